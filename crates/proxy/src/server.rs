//! One actor for each server: it owns the connections there, and the attempts and probes on them.

mod exchange;

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout_at};

use crate::body::OutboundConnection;
use crate::body::OutgoingBody;
use crate::budget::DescriptorBudget;
use crate::duration;
use crate::load_report;
use crate::messages::{
    AttemptGuard, EndpointStatus, ForwardedRequest, ProbeGuard, RequestBody, ServerMessage,
};
use mosshead_decide::interface::*;
use mosshead_http_links::CloseReason;

use exchange::{AttemptProgress, ExchangeContext, ExchangeResult, exchange};

/// An idle connection is closed after this share of the time that servers keep one: what is
/// written to one that they have closed is lost.
const IDLE_SHARE: f64 = 0.9;
/// A server that takes nothing of a body for so long is given up.
const MAX_UPLOAD_STALL: Duration = Duration::from_secs(6);
/// How often it is looked whether the last byte has come.
const UPLOAD_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// A probe is given up after so many times the time for connecting.
const PROBE_TIMEOUT_FACTOR: f64 = 2.0;

/// Starts the actor.
pub fn start(
    limits: &Limits,
    budget: DescriptorBudget,
    status: EndpointStatus,
) -> UnboundedSender<ServerMessage> {
    let (home, mailbox) = unbounded_channel();
    let connect_timeout = Cell::new(duration(limits.connect_timeout));
    let shared = ServerState { status: Cell::new(status), connect_timeout, budget };
    let keep = duration(limits.idle_timeout * IDLE_SHARE);
    let node = ServerActor {
        shared: Rc::new(shared),
        home: home.clone(),
        idle: Vec::new(),
        in_flight: HashMap::new(),
        keep,
    };
    spawn_local(node.run(mailbox));
    home
}

/// What the server's attempts look up.
struct ServerState {
    status: Cell<EndpointStatus>,
    connect_timeout: Cell<Duration>,
    budget: DescriptorBudget,
}

struct IdleConnection {
    link: OutboundConnection,
    since: Instant,
}

struct ServerActor {
    shared: Rc<ServerState>,
    home: UnboundedSender<ServerMessage>,
    /// The one used last stands last and is used first.
    idle: Vec<IdleConnection>,
    in_flight: HashMap<(RequestId, AttemptNumber), oneshot::Sender<()>>,
    keep: Duration,
}

impl ServerActor {
    async fn run(mut self, mut mailbox: UnboundedReceiver<ServerMessage>) {
        let mut wanted = self.shared.budget.subscribe_release_requests();
        loop {
            let expiry = self.idle.first().and_then(|idle| idle.since.checked_add(self.keep));
            tokio::select! {
                biased;
                message = mailbox.recv() => match message {
                    Some(ServerMessage::Shutdown) | None => return self.close(CloseReason::EndpointChanged),
                    Some(message) => self.handle_message(message),
                },
                _ = wanted.changed() => self.close_longest_idle(),
                () = async { sleep_until(expiry.unwrap_or_else(Instant::now).into()).await }, if expiry.is_some() => {
                    let idle = self.idle.remove(0);
                    idle.link.record.set_close_reason(CloseReason::IdleTimeout);
                }
            }
        }
    }

    fn handle_message(&mut self, message: ServerMessage) {
        match message {
            ServerMessage::StatusChanged(status) => {
                let before = self.shared.status.replace(status);
                if (before.addr, before.started_ms) != (status.addr, status.started_ms)
                    || status.readiness != Readiness::Ready
                {
                    self.close(CloseReason::EndpointChanged);
                }
            }
            ServerMessage::Shutdown => {}
            ServerMessage::Removed => self.handle_message(ServerMessage::StatusChanged(EndpointStatus {
                readiness: Readiness::Removed,
                ..self.shared.status.get()
            })),
            ServerMessage::Attempt(guard, forwarded, deadline) => {
                let (cancel, cancelled) = oneshot::channel();
                self.in_flight.insert((guard.request, guard.attempt), cancel);
                spawn_local(run_attempt(self.exchange_context(), guard, forwarded, deadline, cancelled));
            }
            ServerMessage::Probe(guard) => drop(spawn_local(run_probe(self.exchange_context(), guard))),
            ServerMessage::Cancel(request, attempt) => {
                if let Some(cancel) = self.in_flight.remove(&(request, attempt)) {
                    let _ = cancel.send(());
                }
            }
            ServerMessage::CloseIdle => self.close(CloseReason::ClosedByPolicy),
            ServerMessage::LimitsChanged(connect_timeout, keepalive) => {
                self.shared.connect_timeout.set(duration(connect_timeout));
                self.keep = duration(keepalive * IDLE_SHARE);
            }
            ServerMessage::ConnectionFreed(key, link, addr) => {
                if let Some(key) = key {
                    self.in_flight.remove(&key);
                }
                let Some(link) = link.filter(|link| !link.is_closed()) else { return };
                let status = self.shared.status.get();
                if status.addr != addr || status.readiness != Readiness::Ready {
                    return link.record.set_close_reason(CloseReason::EndpointChanged);
                }
                if self.shared.budget.has_waiters() {
                    return link.record.set_close_reason(CloseReason::DescriptorNeeded);
                }
                self.idle.push(IdleConnection { link, since: Instant::now() });
            }
        }
    }

    /// The way there for one message: the idle connection used last, if one still stands.
    fn exchange_context(&mut self) -> ExchangeContext {
        self.idle.retain(|idle| !idle.link.is_closed());
        let link = self.idle.pop().map(|idle| idle.link);
        ExchangeContext {
            shared: self.shared.clone(),
            chosen_status: self.shared.status.get(),
            home: self.home.clone(),
            link,
        }
    }

    /// Lets go of the connection idle for longest: others may be about to carry a request.
    fn close_longest_idle(&mut self) {
        if !self.idle.is_empty() {
            self.idle.remove(0).link.record.set_close_reason(CloseReason::DescriptorNeeded);
        }
    }

    fn close(&mut self, reason: CloseReason) {
        for idle in self.idle.drain(..) {
            idle.link.record.set_close_reason(reason);
        }
    }
}

async fn run_attempt(
    mut context: ExchangeContext,
    mut guard: AttemptGuard,
    forwarded: Rc<ForwardedRequest>,
    deadline: Instant,
    cancelled: oneshot::Receiver<()>,
) {
    let progress = AttemptProgress::default();
    let key = (guard.request, guard.attempt);
    // Whichever ends first drops the exchange, and that closes its connection.
    let result = tokio::select! {
        biased;
        _ = cancelled => {
            progress.abandon();
            ExchangeResult::without_response(Outcome::Cancelled)
        }
        result = exchange(&mut context, &forwarded, deadline, &progress) => result,
        () = attempt_timeout(&forwarded, deadline) => ExchangeResult::without_response(if progress.abandon() {
            Outcome::TimedOut
        } else {
            Outcome::ConnectFailed
        }),
    };
    if let Some(whole) = forwarded.body.upload().and_then(|upload| upload.completed_at()) {
        guard.started_no_earlier_than(whole);
    }
    let ExchangeResult { outcome, report, body, link, rest_of_body, head_received_at } = result;
    guard.set_responded_at(head_received_at);
    let (body, link) = match (rest_of_body, link) {
        (Some(rest), Some(used)) => {
            let (home, addr) = (context.home.clone(), context.chosen_status.addr);
            let home = move |link| {
                spawn_local(async move {
                    home.send(ServerMessage::ConnectionFreed(
                        None,
                        wait_until_reusable(Some(link)).await,
                        addr,
                    ))
                });
            };
            (OutgoingBody::download(body, rest, used, home), None)
        }
        (_, link) => (OutgoingBody::from(body), link),
    };
    guard.finish(outcome, report, body);
    let _ = context.home.send(ServerMessage::ConnectionFreed(
        Some(key),
        wait_until_reusable(link).await,
        context.chosen_status.addr,
    ));
}

/// Ends when an attempt is to be given up. While the request's body still comes, that is when the server takes no more of it; then the
/// client's wait counts from the last byte.
async fn attempt_timeout(forwarded: &ForwardedRequest, deadline: Instant) {
    let Some(upload) = forwarded.body.upload() else { return sleep_until(deadline.into()).await };
    let left = deadline.saturating_duration_since(Instant::now());
    loop {
        let at =
            upload.completed_at().map_or(upload.last_progress() + MAX_UPLOAD_STALL, |whole| whole + left);
        if at <= Instant::now() {
            return;
        }
        // The last byte may come meanwhile.
        sleep_until(at.min(Instant::now() + UPLOAD_POLL_INTERVAL).into()).await;
    }
}

async fn run_probe(mut context: ExchangeContext, guard: ProbeGuard) {
    let progress = AttemptProgress::default();
    let (method, target, id) = ("GET".to_owned(), "/_load".to_owned(), String::new());
    let forwarded = ForwardedRequest {
        method,
        target,
        id,
        idempotency_key: None,
        body: RequestBody::Buffered(Bytes::new()),
    };
    let deadline = Instant::now() + context.shared.connect_timeout.get().mul_f64(PROBE_TIMEOUT_FACTOR);
    let result = timeout_at(deadline.into(), exchange(&mut context, &forwarded, deadline, &progress)).await;
    let mut result = result.unwrap_or_else(|_| {
        progress.abandon();
        ExchangeResult::without_response(Outcome::TimedOut)
    });
    if result.report == LoadReport::default() && result.outcome == Outcome::Served {
        result.report = load_report::load_report(&String::from_utf8_lossy(&result.body));
    }
    guard.finish(result.outcome, result.report);
    let _ = context.home.send(ServerMessage::ConnectionFreed(
        None,
        wait_until_reusable(result.link).await,
        context.chosen_status.addr,
    ));
}

/// A connection fit for the next message; it is that only once the whole answer has been taken off it.
async fn wait_until_reusable(link: Option<OutboundConnection>) -> Option<OutboundConnection> {
    let mut link = link?;
    link.record.set_default_close_reason(CloseReason::ClosedByPeer);
    link.ready().await.then_some(link)
}
