//! One actor for each server: it owns the connections there, and the attempts and probes on them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode, Version, body::Incoming};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout_at};

use crate::body::OutboundConnection;
use crate::body::{self, BodyStart, OutgoingBody};
use crate::budget::DescriptorBudget;
use crate::connection_log::EXECUTE_NODE;
use crate::duration;
use crate::load_report;
use crate::messages::{
    AttemptGuard, EndpointStatus, ForwardedRequest, ProbeGuard, RequestBody, ServerMessage,
};
use mosshead_decide::interface::*;
use mosshead_http_links::{
    BodyError, CloseReason, ConnectionRecord, IDEMPOTENCY_KEY_HEADER, MAX_BUFFERED_BODY_BYTES, WriteProgress,
    read_body,
};

/// An idle connection is closed after this share of the time that servers keep one: what is
/// written to one that they have closed is lost.
const IDLE_SHARE: f64 = 0.9;
/// An answer whose length is not stated is held for so long, should it prove to be small.
const SMALL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(10);
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

/// What one message to the server needs.
struct ExchangeContext {
    shared: Rc<ServerState>,
    /// What was told of the server when the balancer chose it.
    chosen_status: EndpointStatus,
    home: UnboundedSender<ServerMessage>,
    link: Option<OutboundConnection>,
}

/// What came of writing a call to the server.
struct ExchangeResult {
    outcome: Outcome,
    report: LoadReport,
    body: Bytes,
    link: Option<OutboundConnection>,
    /// More of the answer than can be held.
    rest_of_body: Option<Incoming>,
    /// When the head of a good answer came.
    head_received_at: Option<Instant>,
}

impl ExchangeResult {
    fn without_response(outcome: Outcome) -> Self {
        Self {
            outcome,
            report: LoadReport::default(),
            body: Bytes::new(),
            link: None,
            rest_of_body: None,
            head_received_at: None,
        }
    }
}

/// How far an attempt has come, seen from outside: that it never ran can be proved until its last byte.
#[derive(Default)]
struct AttemptProgress(RefCell<Option<(Rc<WriteProgress>, Rc<ConnectionRecord>)>>);

impl AttemptProgress {
    fn started(&self, link: &OutboundConnection) {
        *self.0.borrow_mut() = Some((link.write_progress.clone(), link.record.clone()));
    }

    /// Its connection is about to be closed. Says whether it may have run.
    fn abandon(&self) -> bool {
        self.0.borrow().as_ref().is_some_and(|(written, record)| {
            record.set_close_reason(CloseReason::Abandoned);
            written.is_complete()
        })
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

async fn exchange(
    context: &mut ExchangeContext,
    forwarded: &ForwardedRequest,
    deadline: Instant,
    progress: &AttemptProgress,
) -> ExchangeResult {
    let (shared, chosen_status) = (context.shared.clone(), context.chosen_status);
    // What can't be sent once more is not; the connection stays for others.
    if forwarded.body.upload().is_some_and(|upload| upload.is_spent()) {
        let unused = context.link.take();
        return ExchangeResult { link: unused, ..ExchangeResult::without_response(Outcome::NotSent) };
    }
    loop {
        let kept = match context.link.take() {
            Some(mut link) => link.ready().await.then_some(link),
            None => None,
        };
        let again = kept.is_some();
        let mut link = match kept {
            Some(link) => link,
            None => match connect(&shared, chosen_status.addr).await {
                Ok(link) => link,
                Err(outcome) => return ExchangeResult::without_response(outcome),
            },
        };
        // A drain counts from the first byte, and a connection may take long to come up. A server that
        // has started anew meanwhile is cold: the balancer chose it warm.
        let status = shared.status.get();
        if status.readiness != Readiness::Ready
            || status.started_ms != chosen_status.started_ms
            || status.addr != chosen_status.addr
        {
            link.record.set_close_reason(CloseReason::EndpointChanged);
            return ExchangeResult::without_response(Outcome::NotSent);
        }
        let (body, length) = match &forwarded.body {
            RequestBody::Buffered(body) => (Some(OutgoingBody::from(body.clone())), body.len()),
            RequestBody::Streaming(upload) => {
                let length = upload.length().map_or(usize::MAX, |length| length as usize);
                (upload.stream_to(link.write_progress.clone()), length)
            }
        };
        let Some(request) = body.and_then(|body| build_request(forwarded, status.addr, deadline, body))
        else {
            link.record.set_close_reason(CloseReason::Abandoned);
            return ExchangeResult::without_response(Outcome::NotSent);
        };
        link.record.set_default_close_reason(CloseReason::ConnectionBroken);
        progress.started(&link);
        match link.send(request, length).await {
            Ok(response) => return read_response(link, response).await,
            Err(_) if link.write_progress.is_complete() => {
                return ExchangeResult::without_response(Outcome::Reset);
            }
            // It ended, or brought what belongs to no answer, while it was idle: nothing was written to it.
            Err(_) if again && !link.write_progress.has_started() => {
                link.record.set_close_reason(CloseReason::Stale)
            }
            Err(_) => return ExchangeResult::without_response(Outcome::ConnectFailed),
        }
    }
}

/// A new connection; where this machine has no descriptor left for it, the server is not to blame.
async fn connect(shared: &ServerState, addr: SocketAddr) -> std::result::Result<OutboundConnection, Outcome> {
    let latest = Instant::now() + shared.connect_timeout.get();
    let permit = timeout_at(latest.into(), shared.budget.acquire()).await.map_err(|_| Outcome::NotSent)?;
    let within = latest.saturating_duration_since(Instant::now());
    OutboundConnection::open(EXECUTE_NODE, addr, within, permit).await.ok_or(Outcome::ConnectFailed)
}

fn build_request(
    forwarded: &ForwardedRequest,
    addr: SocketAddr,
    deadline: Instant,
    body: OutgoingBody,
) -> Option<Request<OutgoingBody>> {
    let left = deadline.saturating_duration_since(Instant::now()).as_secs_f64();
    let mut request = Request::builder().method(forwarded.method.as_str()).uri(forwarded.target.as_str());
    request = request.header("host", addr.to_string()).header("x-time-left", format!("{left:.3}"));
    if !forwarded.id.is_empty() {
        request = request.header("x-correlation-id", forwarded.id.as_str());
    }
    if let Some(key) = &forwarded.idempotency_key {
        request = request.header(IDEMPOTENCY_KEY_HEADER, HeaderValue::from_maybe_shared(key.clone()).ok()?);
    }
    request.body(body).ok()
}

/// A connection that carried all of the request; answered before that, it is of no further use.
fn reusable_after_full_request(link: OutboundConnection) -> Option<OutboundConnection> {
    Some(link).filter(|link| link.write_progress.is_complete())
}

async fn read_response(link: OutboundConnection, response: Response<Incoming>) -> ExchangeResult {
    let head_received_at = Some(Instant::now());
    let header = |name| response.headers().get(name).and_then(|value| value.to_str().ok());
    let report = header("x-backend-load").map(load_report::load_report).unwrap_or_default();
    let unprocessed = header("x-unprocessed").is_some_and(|value| value.trim() == "1");
    let outcome = match response.status() {
        StatusCode::OK => Outcome::Served,
        // Without the mark it may have run, whatever the code says.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unprocessed => Outcome::Rejected,
        _ => Outcome::Errored,
    };
    // With two lengths nobody can tell whether an answer is whole. Where none is stated its end is the
    // connection's, if the server says that it will close it.
    let has = |name| response.headers().contains_key(name);
    let framed = match (has(CONTENT_LENGTH), has(TRANSFER_ENCODING)) {
        (true, true) => false,
        (false, false) => {
            let close = header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
            close || response.version() == Version::HTTP_10
        }
        _ => true,
    };
    let fault = match framed {
        true if outcome == Outcome::Served => {
            match body::read_start(response.into_body(), Some(SMALL_RESPONSE_TIMEOUT)).await {
                Ok(BodyStart::Complete(body)) => {
                    return ExchangeResult {
                        report,
                        body,
                        link: reusable_after_full_request(link),
                        head_received_at,
                        ..ExchangeResult::without_response(outcome)
                    };
                }
                Ok(BodyStart::Partial(body, rest)) => {
                    let (link, rest_of_body) = (Some(link), Some(rest));
                    return ExchangeResult {
                        report,
                        body,
                        link,
                        rest_of_body,
                        head_received_at,
                        ..ExchangeResult::without_response(outcome)
                    };
                }
                Err(fault) => fault,
            }
        }
        true => match read_body(response.into_body(), MAX_BUFFERED_BODY_BYTES).await {
            Ok(body) => {
                return ExchangeResult {
                    report,
                    body,
                    link: reusable_after_full_request(link),
                    ..ExchangeResult::without_response(outcome)
                };
            }
            Err(fault) => fault,
        },
        false => BodyError::InvalidLength,
    };
    if fault != BodyError::Interrupted {
        link.record.set_close_reason(CloseReason::InvalidResponse);
    }
    // A broken answer has run, whatever its head claims.
    ExchangeResult { report, ..ExchangeResult::without_response(Outcome::Reset) }
}
