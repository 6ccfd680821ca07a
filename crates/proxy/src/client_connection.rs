//! The submitter's side: an accept loop and one actor for each connection, HTTP to jobs, answers to HTTP.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, timeout_at};

use crate::LONGEST;
use crate::balancer_actor::Module;
use crate::body::{self, Flow, Start, Upload};
use crate::budget::{Budget, Permit};
use crate::class_table::{Term, Terms};
use crate::connection_log::SUBMITTER;
use crate::framing::Framing;
use crate::handover::Handover;
use crate::lifecycle::Control;
use crate::log::{Bounded, say};
use crate::messages::{Answer, Call, Job, Payload};
use mosshead_decide::interface::{ClassId, RepeatEffect, TenantId};
use mosshead_http_links::{
    BodyError, CloseReason, ConnectionLogGuard, ConnectionRecord, IDEMPOTENCY_KEY_HEADER,
};

/// New connections keep coming for so long after a stop is asked for.
const STOP_ACCEPTING: Duration = Duration::from_millis(450);
/// And the last of them is taken to have come once none has for so long.
const STOP_QUIET: Duration = Duration::from_millis(20);
/// Where a successor accepts, idle connections are kept for so long after a stop is asked for.
const STOP_KEEPING: Duration = Duration::from_millis(600);
/// A stop waits for descriptors for those in the queue until so long after it was asked for.
const STOP_WAITING: Duration = Duration::from_millis(1000);
/// After an accept that failed, for want of descriptors perhaps, the next one waits for so long.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A head has so long from connecting, a later one from its first byte.
const HEAD: Duration = Duration::from_millis(2500);
/// A connection without an open message is closed after this.
const IDLE: Duration = Duration::from_millis(2500);
/// A submitter that takes nothing of its answer for so long is let go; what is in the machine's buffers may take long.
const READER_REST: Duration = Duration::from_secs(30);
/// While the proxy is being emptied, one that idles or says nothing goes after this.
const IDLE_IF_DRAINING: Duration = Duration::from_millis(500);
/// While descriptors are short, one that has said nothing yet goes after this,
const SILENT_IF_SHORT: Duration = Duration::from_millis(100);
/// and one that has had its answer after this.
const IDLE_IF_SHORT: Duration = Duration::from_millis(100);
/// and one that stops half way in a head after this: slow writers bring something more often.
const STALL_IF_SHORT: Duration = Duration::from_millis(800);

/// How far a stop has come.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    Serving,
    /// Connections are still taken; each answer is its connection's last.
    Closing,
    /// No more connections; idle ones are closed.
    Stopping,
}

/// The side that submitters see.
pub(crate) struct Front {
    module: Module,
    terms: RefCell<Rc<Terms>>,
    budget: Budget,
    stage: watch::Sender<Stage>,
    control: Arc<Control>,
    turned_down: Bounded,
}

/// What a connection is about, as far as that says when it is to be closed.
struct Progress {
    /// When it came up, or gave its last answer.
    since: Cell<Instant>,
    /// The first byte that came after that.
    begun: Cell<Option<Instant>>,
    /// The last byte that came.
    heard: Cell<Instant>,
    /// A message's head is whole, and its answer is due.
    busy: Cell<bool>,
    answered: Cell<bool>,
    /// Descriptors are short.
    short: Cell<bool>,
    /// Since when the proxy is being emptied.
    draining: Cell<Option<Instant>>,
    /// Since when the submitter takes no more of what is written.
    blocked: Cell<Option<Instant>>,
    /// An answer on it has broken off.
    spoilt: Cell<bool>,
    framing: RefCell<Framing>,
}

impl Progress {
    fn new() -> Self {
        let (since, begun, busy) = (Cell::new(Instant::now()), Cell::new(None), Cell::new(false));
        let (answered, short, draining) = (Cell::new(false), Cell::new(false), Cell::new(None));
        let (blocked, spoilt, framing) = (Cell::new(None), Cell::new(false), RefCell::new(Framing::new()));
        let heard = Cell::new(Instant::now());
        Self { since, begun, heard, busy, answered, short, draining, blocked, spoilt, framing }
    }

    /// Bytes have come.
    fn heard(&self) {
        let now = Instant::now();
        self.heard.set(now);
        if !self.busy.get() && self.begun.get().is_none() {
            self.begun.set(Some(now));
        }
    }

    /// The submitter has taken some of what is written, or has no room for it.
    fn wrote(&self, some: bool) {
        if some {
            self.blocked.set(None);
            self.since.set(Instant::now());
        } else if self.blocked.get().is_none() {
            self.blocked.set(Some(Instant::now()));
        }
    }

    fn answered(&self) {
        self.since.set(Instant::now());
        self.begun.set(None);
        self.busy.set(false);
        self.answered.set(true);
        self.short.set(false);
    }

    /// By when the message that has begun has to be whole.
    fn whole_by(&self) -> Instant {
        match self.begun.get().filter(|_| self.answered.get()) {
            Some(begun) => begun + HEAD,
            None => self.since.get() + HEAD,
        }
    }

    /// When the connection is to be closed if nothing comes, and why.
    fn end(&self) -> (Instant, CloseReason) {
        // Danger: an answer that a slow reader still takes would be cut off.
        if let Some(blocked) = self.blocked.get() {
            return (blocked + READER_REST, CloseReason::ResponseUnread);
        }
        let since = self.since.get();
        if let (None, Some(drain)) = (self.begun.get(), self.draining.get()) {
            return (since.max(drain) + IDLE_IF_DRAINING, CloseReason::Draining);
        }
        match (self.begun.get(), self.answered.get(), self.short.get()) {
            (Some(_), _, true) => {
                let stalled = self.heard.get() + STALL_IF_SHORT;
                (self.whole_by().min(stalled), CloseReason::RequestTimeout)
            }
            (Some(_), _, false) => (self.whole_by(), CloseReason::RequestTimeout),
            (None, false, false) => (self.whole_by(), CloseReason::NoRequest),
            (None, true, false) => (since + IDLE, CloseReason::IdleTimeout),
            (None, false, true) => (since + SILENT_IF_SHORT, CloseReason::DescriptorNeeded),
            (None, true, true) => (since + IDLE_IF_SHORT, CloseReason::DescriptorNeeded),
        }
    }
}

/// A submitter's stream, which tells when bytes come: hyper says nothing until a head is whole.
struct Heard {
    stream: TcpStream,
    progress: Rc<Progress>,
}

impl Drop for Heard {
    fn drop(&mut self) {
        // Danger: where the end of a body is the end of the connection, half an answer would look whole.
        if self.progress.spoilt.get() {
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for Heard {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.progress.heard();
            self.progress.framing.borrow_mut().feed(&buf.filled()[before..]);
        }
        read
    }
}

impl AsyncWrite for Heard {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.progress.wrote(wrote.is_ready());
        wrote
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A message that is turned down before it becomes a job.
#[derive(Debug, PartialEq)]
struct Turned(StatusCode, &'static str);

/// What a message's head says of its job.
struct HeadRead {
    class: ClassId,
    tenant: Option<TenantId>,
    time_left: f64,
    id: String,
    key: Option<Bytes>,
}

const BAD_ID: Turned = Turned(StatusCode::BAD_REQUEST, "X-Correlation-Id is not 16 hex digits");
const ID_TAKEN: Turned = Turned(StatusCode::CONFLICT, "X-Correlation-Id is in use");
/// What an id consists of.
const ID_DIGITS: usize = 16;
/// The most bytes that an idempotency key may have.
const KEY_LIMIT: usize = 255;
/// The most that the head of a message holds.
const HEAD_LIMIT: usize = 16 * 1024;

impl Front {
    pub(crate) fn new(module: Module, terms: Terms, budget: Budget, control: Arc<Control>) -> Rc<Self> {
        let terms = RefCell::new(Rc::new(terms));
        let (stage, turned_down) = (watch::Sender::new(Stage::Serving), Bounded::new());
        Rc::new(Self { module, terms, budget, stage, control, turned_down })
    }

    /// What submitters may name from now on.
    pub(crate) fn retuned(&self, terms: Terms) {
        self.terms.replace(Rc::new(terms));
    }

    /// Serves until `stop`, then finishes what it has taken.
    pub(crate) async fn serve(
        self: Rc<Self>,
        listener: Rc<TcpListener>,
        stop: impl Future<Output = ()>,
        handover: Option<Rc<Handover>>,
    ) {
        let mut open = JoinSet::new();
        let mut stop = pin!(stop);
        if let Some(handover) = &handover {
            tokio::select! {
                biased;
                // It has taken nobody in: the predecessor still does.
                () = &mut stop => return handover.close(),
                () = handover.begin() => {}
            }
        }
        loop {
            tokio::select! {
                biased;
                () = &mut stop => break,
                Some(_) = open.join_next() => {}
                new = self.accept(&listener) => self.start(new, &mut open),
            }
        }
        self.stage.send_replace(Stage::Closing);
        let since = Instant::now();
        let mut relieved = false;
        if let Some(handover) = &handover {
            handover.stop();
        }
        loop {
            tokio::select! {
                biased;
                () = sleep_until((since + STOP_ACCEPTING).into()) => break,
                // A successor accepts at the same socket: its queue lives on.
                () = by_successor(&handover) => {
                    relieved = true;
                    break;
                }
                new = self.accept(&listener) => self.start(new, &mut open),
            }
        }
        // What the kernel has accepted would be lost with the listener.
        // Danger: without a free descriptor nobody comes either, and the queue is full.
        while !relieved
            && let Ok(permit) = timeout_at((since + STOP_WAITING).into(), self.budget.take()).await
            && let Ok(new) = timeout(STOP_QUIET, self.accept_with(&listener, permit)).await
        {
            self.start(new, &mut open);
        }
        drop(listener);
        if let Some(handover) = &handover {
            handover.close();
        }
        if relieved {
            // Danger: closed at once, idle connections would cross what submitters send on them.
            sleep_until((since + STOP_KEEPING).into()).await;
        }
        self.stage.send_replace(Stage::Stopping);
        while open.join_next().await.is_some() {}
    }

    async fn accept(&self, listener: &TcpListener) -> Option<(TcpStream, ConnectionLogGuard, Permit)> {
        let permit = self.budget.take().await;
        self.accept_with(listener, permit).await
    }

    async fn accept_with(
        &self,
        listener: &TcpListener,
        permit: Permit,
    ) -> Option<(TcpStream, ConnectionLogGuard, Permit)> {
        match listener.accept().await {
            Ok((stream, peer)) => Some((stream, ConnectionLogGuard::open(SUBMITTER, peer), permit)),
            Err(error) => {
                say!(why = %error, "accept failed");
                sleep(ACCEPT_PAUSE).await;
                None
            }
        }
    }

    fn start(self: &Rc<Self>, new: Option<(TcpStream, ConnectionLogGuard, Permit)>, open: &mut JoinSet<()>) {
        if let Some((stream, line, permit)) = new {
            open.spawn_local(self.clone().connection(stream, line, permit));
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream, line: ConnectionLogGuard, _permit: Permit) {
        let _ = stream.set_nodelay(true);
        let record = line.record();
        let progress = Rc::new(Progress::new());
        let service = service_fn(|request| {
            let (front, record, progress) = (self.clone(), record.clone(), progress.clone());
            async move {
                progress.busy.set(true);
                let both = progress.framing.borrow_mut().next();
                let mut answer = front.answer(request, &record, both).await;
                answer.body_mut().tells(move |whole| {
                    progress.answered();
                    progress.spoilt.set(!whole);
                    progress.short.set(front.budget.tight());
                    if !whole {
                        record.set_close_reason(CloseReason::ConnectionBroken);
                    }
                });
                Ok::<_, Infallible>(answer)
            }
        });
        let (mut stage, mut wanted) = (self.stage.subscribe(), self.budget.wanted());
        let mut drains = self.control.drains();
        progress.draining.set(*drains.borrow_and_update());
        // Danger: a want from before this line would go unheard.
        progress.short.set(self.budget.tight());
        let stream = TokioIo::new(Heard { stream, progress: progress.clone() });
        let server = Builder::new().max_buf_size(HEAD_LIMIT).serve_connection(stream, service);
        let (mut server, mut stopping) = (pin!(server), false);
        let end = loop {
            // While a job is held nothing is to be closed: it is looked at again later.
            let held = || progress.busy.get() && progress.blocked.get().is_none();
            let close = |at| if held() { Instant::now() + IDLE } else { at };
            tokio::select! {
                biased;
                end = server.as_mut() => break end,
                _ = stage.wait_for(|stage| *stage == Stage::Stopping), if !stopping => {
                    stopping = true;
                    record.set_default_close_reason(CloseReason::ShuttingDown);
                    server.as_mut().graceful_shutdown();
                }
                _ = wanted.changed() => progress.short.set(true),
                Ok(()) = drains.changed() => progress.draining.set(*drains.borrow_and_update()),
                () = sleep_until(close(progress.end().0).into()) => {
                    let (at, why) = progress.end();
                    if !held() && at <= Instant::now() {
                        return record.set_close_reason(why);
                    }
                }
            }
        };
        if let Err(error) = end {
            let reason =
                if error.is_parse() { CloseReason::BadRequest } else { CloseReason::ConnectionBroken };
            // Where a job is held, its submitter has left; the line already says so.
            if record.close_reason() != CloseReason::ClientGone {
                record.set_close_reason(reason);
            }
        }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        record: &ConnectionRecord,
        both: bool,
    ) -> Response<Flow> {
        record.count_message();
        let mut response = if request.uri().path() == "/_health" {
            let open = self.control.ready() && !self.control.draining();
            respond(if open { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, Bytes::new())
        } else {
            match self.decode(request, both).await {
                Ok(job) => {
                    record.set_default_close_reason(CloseReason::ClientGone);
                    match self.module.take(job).await {
                        Answer::IdTaken => self.turn_down(record, ID_TAKEN),
                        answer => encode(answer),
                    }
                }
                Err(turned) => self.turn_down(record, turned),
            }
        };
        let last = match (*self.stage.borrow(), self.control.draining()) {
            (Stage::Serving, false) => None,
            (Stage::Serving, true) => Some(CloseReason::Draining),
            _ => Some(CloseReason::ShuttingDown),
        };
        record.set_default_close_reason(last.unwrap_or(CloseReason::ClosedByPeer));
        // Danger: answered while descriptors are short, it would idle on one. Closed by its answer it crosses no
        // further message.
        let short = self.budget.tight();
        if short {
            record.set_default_close_reason(CloseReason::DescriptorNeeded);
        }
        if last.is_some() || short {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// The answer to what is no job, the last on its connection: what follows there may be part of it.
    fn turn_down(&self, record: &ConnectionRecord, Turned(status, why): Turned) -> Response<Flow> {
        match self.turned_down.admit() {
            Some(0) => say!(status = status.as_u16(), why = %why, "turned-down"),
            Some(left_out) => say!(status = status.as_u16(), why = %why, left_out, "turned-down"),
            None => {}
        }
        record.set_close_reason(CloseReason::BadRequest);
        let mut response = respond(status, Bytes::from_static(why.as_bytes()));
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        response
    }

    async fn decode(&self, request: Request<Incoming>, both: bool) -> Result<Job, Turned> {
        let (head, body) = request.into_parts();
        // Danger: where both framings are given a second message may hide in the body.
        if both && head.headers.contains_key(TRANSFER_ENCODING) {
            return Err(Turned(StatusCode::BAD_REQUEST, "the body is framed twice"));
        }
        let HeadRead { class, tenant, time_left, id, key } = self.read_head(&head)?;
        let too_long = Turned(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
        // Danger: a submitter that never ends its body would hold its descriptor for good.
        let late = Turned(StatusCode::REQUEST_TIMEOUT, "the body did not come in time");
        let body = body::start(body, None).await.map_err(|fault| match fault {
            BodyError::TooLong => too_long,
            BodyError::Timeout => late,
            BodyError::Interrupted | BodyError::InvalidLength => {
                Turned(StatusCode::BAD_REQUEST, "the body broke off")
            }
        })?;
        let number = u64::from_str_radix(&id, 16).map_err(|_| BAD_ID)?;
        let target = head.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
        let body = match body {
            Start::Whole(body) => Payload::Whole(body),
            Start::More(start, rest) => Payload::Flowing(Upload::new(start, rest)),
        };
        let call = Call { verb: head.method.as_str().to_owned(), target, id, key, body };
        // What the submitter grants counts from its last byte.
        let arrived = Instant::now();
        Ok(Job { id: number, class, tenant, time_left, arrived, call })
    }

    fn read_head(&self, head: &Parts) -> Result<HeadRead, Turned> {
        let bad = |why| Turned(StatusCode::BAD_REQUEST, why);
        let header = |name| {
            let value = single(head, name, "a header is given twice")?;
            value.map(|value| value.to_str().map_err(|_| bad("a header is not text"))).transpose()
        };
        let id = header("x-correlation-id")?.filter(|id| !id.is_empty());
        let id = id.ok_or(bad("X-Correlation-Id is missing"))?.to_owned();
        if id.len() != ID_DIGITS || !id.bytes().all(|digit| digit.is_ascii_hexdigit()) {
            return Err(BAD_ID);
        }
        let first = head.uri.path().split('/').nth(1).unwrap_or_default();
        let class = header("x-service-class")?.unwrap_or(first);
        if class != first {
            return Err(bad("path and class differ"));
        }
        let (terms, now) = (self.terms.borrow().clone(), Instant::now());
        if terms.class(class, now).next().is_none() {
            return Err(bad("the class is not known"));
        }
        let body = head.headers.get(CONTENT_LENGTH).is_some_and(|length| length.as_bytes() != b"0")
            || head.headers.contains_key(TRANSFER_ENCODING);
        let key = read_key(head)?;
        // A key on a class that knows none passes on like any other: what is unchanged is as the submitter sent it.
        let fits = |term: &&Term| match term.effect {
            RepeatEffect::Safe => head.method == Method::GET && !body,
            RepeatEffect::Keyed { .. } => head.method == Method::POST && key.is_some(),
            RepeatEffect::Unsafe => head.method == Method::POST,
        };
        let keyed = |term: &Term| matches!(term.effect, RepeatEffect::Keyed { .. });
        let keyless = head.method == Method::POST && key.is_none();
        let other = || match keyless && terms.class(class, now).any(keyed) {
            true => bad("Idempotency-Key is missing"),
            false => Turned(StatusCode::METHOD_NOT_ALLOWED, "the class goes by another method"),
        };
        let class = terms.class(class, now).find(fits).ok_or_else(other)?.class;
        let tenant = match header("x-account")? {
            None | Some("") => None,
            Some(name) => Some(terms.tenant(name).ok_or(bad("the account is not known"))?),
        };
        let left = header("x-time-left")?.ok_or(bad("X-Time-Left is missing"))?;
        let left = left.trim().parse().ok().filter(|left: &f64| (f64::MIN_POSITIVE..=LONGEST).contains(left));
        let time_left = left.ok_or(bad("X-Time-Left is not a time"))?;
        Ok(HeadRead { class, tenant, time_left, id, key })
    }
}

/// A header that is given once at most. Danger: of two values the execute node may read the other one.
fn single<'a>(head: &'a Parts, name: &str, twice: &'static str) -> Result<Option<&'a HeaderValue>, Turned> {
    let mut values = head.headers.get_all(name).iter();
    let value = values.next();
    if values.next().is_some() { Err(Turned(StatusCode::BAD_REQUEST, twice)) } else { Ok(value) }
}

/// The idempotency key, if there is one. It need not be text: it passes on byte for byte.
fn read_key(head: &Parts) -> Result<Option<Bytes>, Turned> {
    let bad = |why| Turned(StatusCode::BAD_REQUEST, why);
    match single(head, IDEMPOTENCY_KEY_HEADER, "Idempotency-Key is given twice")? {
        Some(key) if key.is_empty() => Err(bad("Idempotency-Key is empty")),
        Some(key) if key.len() > KEY_LIMIT => Err(bad("Idempotency-Key is too long")),
        key => Ok(key.map(|key| Bytes::copy_from_slice(key.as_bytes()))),
    }
}

/// Ends once a successor accepts at the same door.
async fn by_successor(handover: &Option<Rc<Handover>>) {
    match handover {
        Some(handover) => handover.relieved().await,
        None => std::future::pending().await,
    }
}

fn respond(status: StatusCode, body: impl Into<Flow>) -> Response<Flow> {
    let mut response = Response::new(body.into());
    *response.status_mut() = status;
    response
}

fn encode(answer: Answer) -> Response<Flow> {
    match answer {
        Answer::Served(body) => respond(StatusCode::OK, body),
        Answer::Requeue(wait) => {
            let mut response = respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
            if let Ok(wait) = HeaderValue::from_str(&format!("{wait:.3}")) {
                response.headers_mut().insert(RETRY_AFTER, wait);
            }
            response
        }
        Answer::IdTaken => respond(StatusCode::CONFLICT, Bytes::new()),
        // Never a code that says it is harmless to try again.
        Answer::Failed => respond(StatusCode::BAD_GATEWAY, Bytes::new()),
    }
}
