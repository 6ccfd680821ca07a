//! One actor for each execute node: it owns the connections there, and the attempts and probes on them.

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

use crate::body::{self, Flow, Start};
use crate::budget::Budget;
use crate::connection_log::EXECUTE_NODE;
use crate::duration;
use crate::load_report::{self, OutboundConnection};
use crate::messages::{Call, NodeMail, Payload, ProbeTicket, Ticket, Told};
use mosshead_decide::interface::*;
use mosshead_http_links::{
    BodyError, CloseReason, ConnectionRecord, IDEMPOTENCY_KEY_HEADER, MAX_BUFFERED_BODY_BYTES, WriteProgress,
    read_body,
};

/// An idle connection is closed after this share of the time that execute nodes keep one: what is
/// written to one that they have closed is lost.
const IDLE_SHARE: f64 = 0.9;
/// An answer whose length is not stated is held for so long, should it prove to be small.
const ANSWER_WAIT: Duration = Duration::from_millis(10);
/// A node that takes nothing of a body for so long is given up.
const UPLOAD_REST: Duration = Duration::from_secs(6);
/// How often it is looked whether the last byte has come.
const UPLOAD_LOOK: Duration = Duration::from_millis(20);
/// A probe is given up after so many times the time for connecting.
const PROBE_TIMEOUT: f64 = 2.0;

/// Starts the actor.
pub(crate) fn start(limits: &Limits, budget: Budget, told: Told) -> UnboundedSender<NodeMail> {
    let (home, mailbox) = unbounded_channel();
    let connect_timeout = Cell::new(duration(limits.connect_timeout));
    let shared = Shared { told: Cell::new(told), connect_timeout, budget };
    let keep = duration(limits.idle_timeout * IDLE_SHARE);
    let node =
        Node { shared: Rc::new(shared), home: home.clone(), idle: Vec::new(), out: HashMap::new(), keep };
    spawn_local(node.run(mailbox));
    home
}

/// What the node's attempts look up.
struct Shared {
    told: Cell<Told>,
    connect_timeout: Cell<Duration>,
    budget: Budget,
}

struct Idle {
    link: OutboundConnection,
    since: Instant,
}

struct Node {
    shared: Rc<Shared>,
    home: UnboundedSender<NodeMail>,
    /// The one used last stands last and is used first.
    idle: Vec<Idle>,
    out: HashMap<(RequestId, AttemptNumber), oneshot::Sender<()>>,
    keep: Duration,
}

impl Node {
    async fn run(mut self, mut mailbox: UnboundedReceiver<NodeMail>) {
        let mut wanted = self.shared.budget.wanted();
        loop {
            let expiry = self.idle.first().and_then(|idle| idle.since.checked_add(self.keep));
            tokio::select! {
                biased;
                mail = mailbox.recv() => match mail {
                    Some(NodeMail::End) | None => return self.close(CloseReason::EndpointChanged),
                    Some(mail) => self.read(mail),
                },
                _ = wanted.changed() => self.shed(),
                () = async { sleep_until(expiry.unwrap_or_else(Instant::now).into()).await }, if expiry.is_some() => {
                    let idle = self.idle.remove(0);
                    idle.link.record.set_close_reason(CloseReason::IdleTimeout);
                }
            }
        }
    }

    fn read(&mut self, mail: NodeMail) {
        match mail {
            NodeMail::Told(told) => {
                let before = self.shared.told.replace(told);
                if (before.addr, before.started_ms) != (told.addr, told.started_ms)
                    || told.readiness != Readiness::Ready
                {
                    self.close(CloseReason::EndpointChanged);
                }
            }
            NodeMail::End => {}
            NodeMail::Gone => {
                self.read(NodeMail::Told(Told { readiness: Readiness::Removed, ..self.shared.told.get() }))
            }
            NodeMail::Attempt(ticket, call, until) => {
                let (cancel, cancelled) = oneshot::channel();
                self.out.insert((ticket.job, ticket.round), cancel);
                spawn_local(attempt(self.way(), ticket, call, until, cancelled));
            }
            NodeMail::Probe(ticket) => drop(spawn_local(probe(self.way(), ticket))),
            NodeMail::Cancel(job, round) => {
                if let Some(cancel) = self.out.remove(&(job, round)) {
                    let _ = cancel.send(());
                }
            }
            NodeMail::Close => self.close(CloseReason::ClosedByPolicy),
            NodeMail::Retuned(connect_timeout, keepalive) => {
                self.shared.connect_timeout.set(duration(connect_timeout));
                self.keep = duration(keepalive * IDLE_SHARE);
            }
            NodeMail::Over(key, link, addr) => {
                if let Some(key) = key {
                    self.out.remove(&key);
                }
                let Some(link) = link.filter(|link| !link.is_closed()) else { return };
                let told = self.shared.told.get();
                if told.addr != addr || told.readiness != Readiness::Ready {
                    return link.record.set_close_reason(CloseReason::EndpointChanged);
                }
                if self.shared.budget.short() {
                    return link.record.set_close_reason(CloseReason::DescriptorNeeded);
                }
                self.idle.push(Idle { link, since: Instant::now() });
            }
        }
    }

    /// The way there for one message: the idle connection used last, if one still stands.
    fn way(&mut self) -> Way {
        self.idle.retain(|idle| !idle.link.is_closed());
        let link = self.idle.pop().map(|idle| idle.link);
        Way { shared: self.shared.clone(), chosen: self.shared.told.get(), home: self.home.clone(), link }
    }

    /// Lets go of the connection idle for longest: others may be about to carry a job.
    fn shed(&mut self) {
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

/// What one message to the node needs.
struct Way {
    shared: Rc<Shared>,
    /// What was told of the node when the module chose it.
    chosen: Told,
    home: UnboundedSender<NodeMail>,
    link: Option<OutboundConnection>,
}

/// What came of writing a call to the node.
struct Result {
    outcome: Outcome,
    report: LoadReport,
    body: Bytes,
    link: Option<OutboundConnection>,
    /// More of the answer than can be held.
    more: Option<Incoming>,
    /// When the head of a good answer came.
    headed: Option<Instant>,
}

impl Result {
    fn of(outcome: Outcome) -> Self {
        Self {
            outcome,
            report: LoadReport::default(),
            body: Bytes::new(),
            link: None,
            more: None,
            headed: None,
        }
    }
}

/// How far an attempt has come, seen from outside: that it never ran can be proved until its last byte.
#[derive(Default)]
struct Progress(RefCell<Option<(Rc<WriteProgress>, Rc<ConnectionRecord>)>>);

impl Progress {
    fn begun(&self, link: &OutboundConnection) {
        *self.0.borrow_mut() = Some((link.write_progress.clone(), link.record.clone()));
    }

    /// Its connection is about to be closed. Says whether it may have run.
    fn given_up(&self) -> bool {
        self.0.borrow().as_ref().is_some_and(|(written, record)| {
            record.set_close_reason(CloseReason::Abandoned);
            written.is_complete()
        })
    }
}

async fn attempt(
    mut way: Way,
    mut ticket: Ticket,
    call: Rc<Call>,
    until: Instant,
    cancelled: oneshot::Receiver<()>,
) {
    let progress = Progress::default();
    let key = (ticket.job, ticket.round);
    // Whichever ends first drops the exchange, and that closes its connection.
    let result = tokio::select! {
        biased;
        _ = cancelled => {
            progress.given_up();
            Result::of(Outcome::Cancelled)
        }
        result = exchange(&mut way, &call, until, &progress) => result,
        () = late(&call, until) => Result::of(if progress.given_up() {
            Outcome::TimedOut
        } else {
            Outcome::ConnectFailed
        }),
    };
    if let Some(whole) = call.body.upload().and_then(|upload| upload.whole()) {
        ticket.since(whole);
    }
    let Result { outcome, report, body, link, more, headed } = result;
    ticket.until(headed);
    let (body, link) = match (more, link) {
        (Some(rest), Some(used)) => {
            let (home, addr) = (way.home.clone(), way.chosen.addr);
            let home = move |link| {
                spawn_local(async move { home.send(NodeMail::Over(None, usable(Some(link)).await, addr)) });
            };
            (Flow::down(body, rest, used, home), None)
        }
        (_, link) => (Flow::from(body), link),
    };
    ticket.settle(outcome, report, body);
    let _ = way.home.send(NodeMail::Over(Some(key), usable(link).await, way.chosen.addr));
}

/// Ends when an attempt is to be given up. While the job's body still comes, that is when the node takes no more of it; then the
/// submitter's wait counts from the last byte.
async fn late(call: &Call, until: Instant) {
    let Some(upload) = call.body.upload() else { return sleep_until(until.into()).await };
    let left = until.saturating_duration_since(Instant::now());
    loop {
        let at = upload.whole().map_or(upload.moved() + UPLOAD_REST, |whole| whole + left);
        if at <= Instant::now() {
            return;
        }
        // The last byte may come meanwhile.
        sleep_until(at.min(Instant::now() + UPLOAD_LOOK).into()).await;
    }
}

async fn probe(mut way: Way, ticket: ProbeTicket) {
    let progress = Progress::default();
    let (verb, target, id) = ("GET".to_owned(), "/_load".to_owned(), String::new());
    let call = Call { verb, target, id, key: None, body: Payload::Whole(Bytes::new()) };
    let until = Instant::now() + way.shared.connect_timeout.get().mul_f64(PROBE_TIMEOUT);
    let result = timeout_at(until.into(), exchange(&mut way, &call, until, &progress)).await;
    let mut result = result.unwrap_or_else(|_| {
        progress.given_up();
        Result::of(Outcome::TimedOut)
    });
    if result.report == LoadReport::default() && result.outcome == Outcome::Served {
        result.report = load_report::load_report(&String::from_utf8_lossy(&result.body));
    }
    ticket.settle(result.outcome, result.report);
    let _ = way.home.send(NodeMail::Over(None, usable(result.link).await, way.chosen.addr));
}

/// A connection fit for the next message; it is that only once the whole answer has been taken off it.
async fn usable(link: Option<OutboundConnection>) -> Option<OutboundConnection> {
    let mut link = link?;
    link.record.set_default_close_reason(CloseReason::ClosedByPeer);
    link.ready().await.then_some(link)
}

async fn exchange(way: &mut Way, call: &Call, until: Instant, progress: &Progress) -> Result {
    let (shared, chosen) = (way.shared.clone(), way.chosen);
    // What can't be sent once more is not; the connection stays for others.
    if call.body.upload().is_some_and(|upload| upload.spent()) {
        let unused = way.link.take();
        return Result { link: unused, ..Result::of(Outcome::NotSent) };
    }
    loop {
        let kept = match way.link.take() {
            Some(mut link) => link.ready().await.then_some(link),
            None => None,
        };
        let again = kept.is_some();
        let mut link = match kept {
            Some(link) => link,
            None => match connect(&shared, chosen.addr).await {
                Ok(link) => link,
                Err(outcome) => return Result::of(outcome),
            },
        };
        // Danger: a drain counts from the first byte, and a connection may take long to come up. A node that
        // has started anew meanwhile is cold: the module chose it warm.
        let told = shared.told.get();
        if told.readiness != Readiness::Ready
            || told.started_ms != chosen.started_ms
            || told.addr != chosen.addr
        {
            link.record.set_close_reason(CloseReason::EndpointChanged);
            return Result::of(Outcome::NotSent);
        }
        let (body, length) = match &call.body {
            Payload::Whole(body) => (Some(Flow::from(body.clone())), body.len()),
            Payload::Flowing(upload) => {
                let length = upload.length().map_or(usize::MAX, |length| length as usize);
                (upload.flow(link.write_progress.clone()), length)
            }
        };
        let Some(request) = body.and_then(|body| encode(call, told.addr, until, body)) else {
            link.record.set_close_reason(CloseReason::Abandoned);
            return Result::of(Outcome::NotSent);
        };
        link.record.set_default_close_reason(CloseReason::ConnectionBroken);
        progress.begun(&link);
        match link.send(request, length).await {
            Ok(answer) => return decode(link, answer).await,
            Err(_) if link.write_progress.is_complete() => return Result::of(Outcome::Reset),
            // It ended, or brought what belongs to no answer, while it was idle: nothing was written to it.
            Err(_) if again && !link.write_progress.has_started() => {
                link.record.set_close_reason(CloseReason::Stale)
            }
            Err(_) => return Result::of(Outcome::ConnectFailed),
        }
    }
}

/// A new connection; where this machine has no descriptor left for it, the node is not to blame.
async fn connect(shared: &Shared, addr: SocketAddr) -> std::result::Result<OutboundConnection, Outcome> {
    let latest = Instant::now() + shared.connect_timeout.get();
    let permit = timeout_at(latest.into(), shared.budget.take()).await.map_err(|_| Outcome::NotSent)?;
    let within = latest.saturating_duration_since(Instant::now());
    OutboundConnection::open(EXECUTE_NODE, addr, within, permit).await.ok_or(Outcome::ConnectFailed)
}

fn encode(call: &Call, addr: SocketAddr, until: Instant, body: Flow) -> Option<Request<Flow>> {
    let left = until.saturating_duration_since(Instant::now()).as_secs_f64();
    let mut request = Request::builder().method(call.verb.as_str()).uri(call.target.as_str());
    request = request.header("host", addr.to_string()).header("x-time-left", format!("{left:.3}"));
    if !call.id.is_empty() {
        request = request.header("x-correlation-id", call.id.as_str());
    }
    if let Some(key) = &call.key {
        request = request.header(IDEMPOTENCY_KEY_HEADER, HeaderValue::from_maybe_shared(key.clone()).ok()?);
    }
    request.body(body).ok()
}

/// A connection that carried all of the job; answered before that, it is of no further use.
fn fit(link: OutboundConnection) -> Option<OutboundConnection> {
    Some(link).filter(|link| link.write_progress.is_complete())
}

async fn decode(link: OutboundConnection, answer: Response<Incoming>) -> Result {
    let headed = Some(Instant::now());
    let header = |name| answer.headers().get(name).and_then(|value| value.to_str().ok());
    let report = header("x-backend-load").map(load_report::load_report).unwrap_or_default();
    let unprocessed = header("x-unprocessed").is_some_and(|value| value.trim() == "1");
    let outcome = match answer.status() {
        StatusCode::OK => Outcome::Served,
        // Without the mark it may have run, whatever the code says.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unprocessed => Outcome::Rejected,
        _ => Outcome::Errored,
    };
    // Danger: with two lengths nobody can tell whether an answer is whole. Where none is stated its end is the
    // connection's, if the node says that it will close it.
    let has = |name| answer.headers().contains_key(name);
    let framed = match (has(CONTENT_LENGTH), has(TRANSFER_ENCODING)) {
        (true, true) => false,
        (false, false) => {
            let close = header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
            close || answer.version() == Version::HTTP_10
        }
        _ => true,
    };
    let fault = match framed {
        true if outcome == Outcome::Served => {
            match body::start(answer.into_body(), Some(ANSWER_WAIT)).await {
                Ok(Start::Whole(body)) => {
                    return Result { report, body, link: fit(link), headed, ..Result::of(outcome) };
                }
                Ok(Start::More(body, rest)) => {
                    let (link, more) = (Some(link), Some(rest));
                    return Result { report, body, link, more, headed, ..Result::of(outcome) };
                }
                Err(fault) => fault,
            }
        }
        true => match read_body(answer.into_body(), MAX_BUFFERED_BODY_BYTES).await {
            Ok(body) => return Result { report, body, link: fit(link), ..Result::of(outcome) },
            Err(fault) => fault,
        },
        false => BodyError::InvalidLength,
    };
    if fault != BodyError::Interrupted {
        link.record.set_close_reason(CloseReason::InvalidResponse);
    }
    // Danger: a spoilt answer has run, whatever its head claims.
    Result { report, ..Result::of(Outcome::Reset) }
}
