//! The client's side: an accept loop and one actor for each connection, HTTP to requests, answers to HTTP.

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

use crate::MAX_WAIT;
use crate::balancer_actor::BalancerHandle;
use crate::body::{self, BodyStart, OutgoingBody, Upload};
use crate::budget::{DescriptorBudget, Permit};
use crate::class_table::{AcceptedNames, ClassBinding};
use crate::connection_log::SUBMITTER;
use crate::framing::RequestFraming;
use crate::handover::Handover;
use crate::lifecycle::Lifecycle;
use crate::log::{LogLimiter, say};
use crate::messages::{ClientRequest, FinalResponse, ForwardedRequest, RequestBody};
use mosshead_decide::interface::{ClassId, RepeatEffect, TenantId};
use mosshead_http_links::{
    BodyError, CloseReason, ConnectionLogGuard, ConnectionRecord, IDEMPOTENCY_KEY_HEADER,
};

/// New connections keep coming for so long after a stop is asked for.
const SHUTDOWN_ACCEPT_PERIOD: Duration = Duration::from_millis(450);
/// And the last of them is taken to have come once none has for so long.
const SHUTDOWN_QUIET_PERIOD: Duration = Duration::from_millis(20);
/// Where a successor accepts, idle connections are kept for so long after a stop is asked for.
const SHUTDOWN_IDLE_PERIOD: Duration = Duration::from_millis(600);
/// A stop waits for descriptors for those in the queue until so long after it was asked for.
const SHUTDOWN_DESCRIPTOR_TIMEOUT: Duration = Duration::from_millis(1000);
/// After an accept that failed, for want of descriptors perhaps, the next one waits for so long.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A head has so long from connecting, a later one from its first byte.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// A connection without an open message is closed after this.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// A client that takes nothing of its answer for so long is let go; what is in the machine's buffers may take long.
const MAX_READER_PAUSE: Duration = Duration::from_secs(30);
/// While the proxy is being emptied, one that idles or says nothing goes after this.
const DRAINING_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// While descriptors are short, one that has said nothing yet goes after this,
const SCARCE_FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(100);
/// and one that has had its answer after this.
const SCARCE_IDLE_TIMEOUT: Duration = Duration::from_millis(100);
/// and one that stops half way in a head after this: slow writers bring something more often.
const SCARCE_STALL_TIMEOUT: Duration = Duration::from_millis(800);

/// How far a stop has come.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ShutdownStage {
    Serving,
    /// Connections are still taken; each answer is its connection's last.
    Closing,
    /// No more connections; idle ones are closed.
    Stopping,
}

/// The side that clients see.
pub(crate) struct ClientFrontend {
    balancer: BalancerHandle,
    names: RefCell<Rc<AcceptedNames>>,
    budget: DescriptorBudget,
    stage: watch::Sender<ShutdownStage>,
    lifecycle: Arc<Lifecycle>,
    rejections: LogLimiter,
}

/// What a connection is about, as far as that says when it is to be closed.
struct ConnectionProgress {
    /// When it came up, or gave its last answer.
    since: Cell<Instant>,
    /// The first byte that came after that.
    first_byte: Cell<Option<Instant>>,
    /// The last byte that came.
    last_read: Cell<Instant>,
    /// A message's head is whole, and its answer is due.
    is_busy: Cell<bool>,
    has_responded: Cell<bool>,
    /// Descriptors are short.
    is_scarce: Cell<bool>,
    /// Since when the proxy is being emptied.
    draining_since: Cell<Option<Instant>>,
    /// Since when the client takes no more of what is written.
    write_blocked_since: Cell<Option<Instant>>,
    /// An answer on it has broken off.
    response_truncated: Cell<bool>,
    framing: RefCell<RequestFraming>,
}

impl ConnectionProgress {
    fn new() -> Self {
        let (since, first_byte, is_busy) = (Cell::new(Instant::now()), Cell::new(None), Cell::new(false));
        let (has_responded, is_scarce, draining_since) =
            (Cell::new(false), Cell::new(false), Cell::new(None));
        let (write_blocked_since, response_truncated, framing) =
            (Cell::new(None), Cell::new(false), RefCell::new(RequestFraming::default()));
        let last_read = Cell::new(Instant::now());
        Self {
            since,
            first_byte,
            last_read,
            is_busy,
            has_responded,
            is_scarce,
            draining_since,
            write_blocked_since,
            response_truncated,
            framing,
        }
    }

    /// Bytes have come.
    fn record_read(&self) {
        let now = Instant::now();
        self.last_read.set(now);
        if !self.is_busy.get() && self.first_byte.get().is_none() {
            self.first_byte.set(Some(now));
        }
    }

    /// The client has taken some of what is written, or has no room for it.
    fn record_write(&self, some: bool) {
        if some {
            self.write_blocked_since.set(None);
            self.since.set(Instant::now());
        } else if self.write_blocked_since.get().is_none() {
            self.write_blocked_since.set(Some(Instant::now()));
        }
    }

    fn response_finished(&self) {
        self.since.set(Instant::now());
        self.first_byte.set(None);
        self.is_busy.set(false);
        self.has_responded.set(true);
        self.is_scarce.set(false);
    }

    /// By when the message that has begun has to be whole.
    fn head_deadline(&self) -> Instant {
        match self.first_byte.get().filter(|_| self.has_responded.get()) {
            Some(first_byte) => first_byte + HEAD_TIMEOUT,
            None => self.since.get() + HEAD_TIMEOUT,
        }
    }

    /// When the connection is to be closed if nothing comes, and why.
    fn close_deadline(&self) -> (Instant, CloseReason) {
        // An answer that a slow reader still takes would be cut off.
        if let Some(write_blocked_since) = self.write_blocked_since.get() {
            return (write_blocked_since + MAX_READER_PAUSE, CloseReason::ResponseUnread);
        }
        let since = self.since.get();
        if let (None, Some(drain)) = (self.first_byte.get(), self.draining_since.get()) {
            return (since.max(drain) + DRAINING_IDLE_TIMEOUT, CloseReason::Draining);
        }
        match (self.first_byte.get(), self.has_responded.get(), self.is_scarce.get()) {
            (Some(_), _, true) => {
                let stalled = self.last_read.get() + SCARCE_STALL_TIMEOUT;
                (self.head_deadline().min(stalled), CloseReason::RequestTimeout)
            }
            (Some(_), _, false) => (self.head_deadline(), CloseReason::RequestTimeout),
            (None, false, false) => (self.head_deadline(), CloseReason::NoRequest),
            (None, true, false) => (since + IDLE_TIMEOUT, CloseReason::IdleTimeout),
            (None, false, true) => (since + SCARCE_FIRST_BYTE_TIMEOUT, CloseReason::DescriptorNeeded),
            (None, true, true) => (since + SCARCE_IDLE_TIMEOUT, CloseReason::DescriptorNeeded),
        }
    }
}

/// A client's stream, which tells when bytes come: hyper says nothing until a head is whole.
struct ClientStream {
    stream: TcpStream,
    progress: Rc<ConnectionProgress>,
}

impl Drop for ClientStream {
    fn drop(&mut self) {
        // Where the end of a body is the end of the connection, half an answer would look whole.
        if self.progress.response_truncated.get() {
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.progress.record_read();
            self.progress.framing.borrow_mut().feed(&buf.filled()[before..]);
        }
        read
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.progress.record_write(wrote.is_ready());
        wrote
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A message that is rejected before it becomes a request.
#[derive(Debug, PartialEq)]
struct RequestRejection(StatusCode, &'static str);

/// What a message's head says of its request.
struct RequestHead {
    class: ClassId,
    tenant: Option<TenantId>,
    time_left: f64,
    id: String,
    idempotency_key: Option<Bytes>,
}

const BAD_ID: RequestRejection =
    RequestRejection(StatusCode::BAD_REQUEST, "X-Correlation-Id is not 16 hex digits");
const ID_TAKEN: RequestRejection = RequestRejection(StatusCode::CONFLICT, "X-Correlation-Id is in use");
/// What an id consists of.
const ID_DIGITS: usize = 16;
/// The most bytes that an idempotency key may have.
const MAX_KEY_BYTES: usize = 255;
/// The most that the head of a message holds.
const MAX_HEAD_BYTES: usize = 16 * 1024;

impl ClientFrontend {
    pub(crate) fn new(
        balancer: BalancerHandle,
        names: AcceptedNames,
        budget: DescriptorBudget,
        lifecycle: Arc<Lifecycle>,
    ) -> Rc<Self> {
        let names = RefCell::new(Rc::new(names));
        let (stage, rejections) = (watch::Sender::new(ShutdownStage::Serving), LogLimiter::default());
        Rc::new(Self { balancer, names, budget, stage, lifecycle, rejections })
    }

    /// What clients may name from now on.
    pub(crate) fn set_accepted_names(&self, names: AcceptedNames) {
        self.names.replace(Rc::new(names));
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
                () = handover.wait_until_accepting() => {}
            }
        }
        loop {
            tokio::select! {
                biased;
                () = &mut stop => break,
                Some(_) = open.join_next() => {}
                new = self.accept(&listener) => self.spawn_connection(new, &mut open),
            }
        }
        self.stage.send_replace(ShutdownStage::Closing);
        let since = Instant::now();
        let mut relieved = false;
        if let Some(handover) = &handover {
            handover.stop();
        }
        loop {
            tokio::select! {
                biased;
                () = sleep_until((since + SHUTDOWN_ACCEPT_PERIOD).into()) => break,
                // A successor accepts at the same socket: its queue lives on.
                () = successor_accepts(&handover) => {
                    relieved = true;
                    break;
                }
                new = self.accept(&listener) => self.spawn_connection(new, &mut open),
            }
        }
        // What the kernel has accepted would be lost with the listener.
        // Without a free descriptor nobody comes either, and the queue is full.
        while !relieved
            && let Ok(permit) =
                timeout_at((since + SHUTDOWN_DESCRIPTOR_TIMEOUT).into(), self.budget.acquire()).await
            && let Ok(new) = timeout(SHUTDOWN_QUIET_PERIOD, self.accept_with(&listener, permit)).await
        {
            self.spawn_connection(new, &mut open);
        }
        drop(listener);
        if let Some(handover) = &handover {
            handover.close();
        }
        if relieved {
            // Closed at once, idle connections would cross what clients send on them.
            sleep_until((since + SHUTDOWN_IDLE_PERIOD).into()).await;
        }
        self.stage.send_replace(ShutdownStage::Stopping);
        while open.join_next().await.is_some() {}
    }

    async fn accept(&self, listener: &TcpListener) -> Option<(TcpStream, ConnectionLogGuard, Permit)> {
        let permit = self.budget.acquire().await;
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
                sleep(ACCEPT_RETRY_DELAY).await;
                None
            }
        }
    }

    fn spawn_connection(
        self: &Rc<Self>,
        new: Option<(TcpStream, ConnectionLogGuard, Permit)>,
        open: &mut JoinSet<()>,
    ) {
        if let Some((stream, log_guard, permit)) = new {
            open.spawn_local(self.clone().serve_connection(stream, log_guard, permit));
        }
    }

    async fn serve_connection(
        self: Rc<Self>,
        stream: TcpStream,
        log_guard: ConnectionLogGuard,
        _permit: Permit,
    ) {
        let _ = stream.set_nodelay(true);
        let record = log_guard.record();
        let progress = Rc::new(ConnectionProgress::new());
        let service = service_fn(|request| {
            let (front, record, progress) = (self.clone(), record.clone(), progress.clone());
            async move {
                progress.is_busy.set(true);
                let has_both_framings = progress.framing.borrow_mut().next_has_both_framings();
                let mut response = front.respond_to(request, &record, has_both_framings).await;
                response.body_mut().on_end(move |whole| {
                    progress.response_finished();
                    progress.response_truncated.set(!whole);
                    progress.is_scarce.set(front.budget.is_tight());
                    if !whole {
                        record.set_close_reason(CloseReason::ConnectionBroken);
                    }
                });
                Ok::<_, Infallible>(response)
            }
        });
        let (mut stage, mut wanted) = (self.stage.subscribe(), self.budget.subscribe_release_requests());
        let mut drains = self.lifecycle.subscribe_draining();
        progress.draining_since.set(*drains.borrow_and_update());
        // A want from before this line would go unheard.
        progress.is_scarce.set(self.budget.is_tight());
        let stream = TokioIo::new(ClientStream { stream, progress: progress.clone() });
        let server = Builder::new().max_buf_size(MAX_HEAD_BYTES).serve_connection(stream, service);
        let (mut server, mut is_stopping) = (pin!(server), false);
        let end = loop {
            // While a request is held nothing is to be closed: it is looked at again later.
            let held = || progress.is_busy.get() && progress.write_blocked_since.get().is_none();
            let close = |at| if held() { Instant::now() + IDLE_TIMEOUT } else { at };
            tokio::select! {
                biased;
                end = server.as_mut() => break end,
                _ = stage.wait_for(|stage| *stage == ShutdownStage::Stopping), if !is_stopping => {
                    is_stopping = true;
                    record.set_default_close_reason(CloseReason::ShuttingDown);
                    server.as_mut().graceful_shutdown();
                }
                _ = wanted.changed() => progress.is_scarce.set(true),
                Ok(()) = drains.changed() => progress.draining_since.set(*drains.borrow_and_update()),
                () = sleep_until(close(progress.close_deadline().0).into()) => {
                    let (at, why) = progress.close_deadline();
                    if !held() && at <= Instant::now() {
                        return record.set_close_reason(why);
                    }
                }
            }
        };
        if let Err(error) = end {
            let reason =
                if error.is_parse() { CloseReason::BadRequest } else { CloseReason::ConnectionBroken };
            // Where a request is held, its client has left; the line already says so.
            if record.close_reason() != CloseReason::ClientGone {
                record.set_close_reason(reason);
            }
        }
    }

    async fn respond_to(
        &self,
        request: Request<Incoming>,
        record: &ConnectionRecord,
        has_both_framings: bool,
    ) -> Response<OutgoingBody> {
        record.count_message();
        let mut response = if request.uri().path() == "/_health" {
            let open = self.lifecycle.is_ready() && !self.lifecycle.is_draining();
            respond(if open { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, Bytes::new())
        } else {
            match self.read_request(request, has_both_framings).await {
                Ok(request) => {
                    record.set_default_close_reason(CloseReason::ClientGone);
                    match self.balancer.submit(request).await {
                        FinalResponse::IdInUse => self.reject(record, ID_TAKEN),
                        response => encode_response(response),
                    }
                }
                Err(rejection) => self.reject(record, rejection),
            }
        };
        let last = match (*self.stage.borrow(), self.lifecycle.is_draining()) {
            (ShutdownStage::Serving, false) => None,
            (ShutdownStage::Serving, true) => Some(CloseReason::Draining),
            _ => Some(CloseReason::ShuttingDown),
        };
        record.set_default_close_reason(last.unwrap_or(CloseReason::ClosedByPeer));
        // Answered while descriptors are short, it would idle on one. Closed by its answer it crosses no
        // further message.
        let is_scarce = self.budget.is_tight();
        if is_scarce {
            record.set_default_close_reason(CloseReason::DescriptorNeeded);
        }
        if last.is_some() || is_scarce {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// The answer to what is no request, the last on its connection: what follows there may be part of it.
    fn reject(
        &self,
        record: &ConnectionRecord,
        RequestRejection(status, why): RequestRejection,
    ) -> Response<OutgoingBody> {
        match self.rejections.admit() {
            Some(0) => say!(status = status.as_u16(), why = %why, "turned-down"),
            Some(left_out) => say!(status = status.as_u16(), why = %why, left_out, "turned-down"),
            None => {}
        }
        record.set_close_reason(CloseReason::BadRequest);
        let mut response = respond(status, Bytes::from_static(why.as_bytes()));
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        response
    }

    async fn read_request(
        &self,
        request: Request<Incoming>,
        has_both_framings: bool,
    ) -> Result<ClientRequest, RequestRejection> {
        let (head, body) = request.into_parts();
        // Where both framings are given a second message may hide in the body.
        if has_both_framings && head.headers.contains_key(TRANSFER_ENCODING) {
            return Err(RequestRejection(StatusCode::BAD_REQUEST, "the body is framed twice"));
        }
        let RequestHead { class, tenant, time_left, id, idempotency_key } = self.read_head(&head)?;
        let too_long = RequestRejection(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
        // A client that never ends its body would hold its descriptor for good.
        let late = RequestRejection(StatusCode::REQUEST_TIMEOUT, "the body did not come in time");
        let body = body::read_start(body, None).await.map_err(|fault| match fault {
            BodyError::TooLong => too_long,
            BodyError::Timeout => late,
            BodyError::Interrupted | BodyError::InvalidLength => {
                RequestRejection(StatusCode::BAD_REQUEST, "the body broke off")
            }
        })?;
        let number = u64::from_str_radix(&id, 16).map_err(|_| BAD_ID)?;
        let target = head.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
        let body = match body {
            BodyStart::Complete(body) => RequestBody::Buffered(body),
            BodyStart::Partial(start, rest) => RequestBody::Streaming(Upload::new(start, rest)),
        };
        let forwarded =
            ForwardedRequest { method: head.method.as_str().to_owned(), target, id, idempotency_key, body };
        // What the client grants counts from its last byte.
        let arrived = Instant::now();
        Ok(ClientRequest { id: number, class, tenant, time_left, arrived, forwarded })
    }

    fn read_head(&self, head: &Parts) -> Result<RequestHead, RequestRejection> {
        let bad = |why| RequestRejection(StatusCode::BAD_REQUEST, why);
        let header = |name| {
            let value = single_header(head, name, "a header is given twice")?;
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
        let (names, now) = (self.names.borrow().clone(), Instant::now());
        if names.class(class, now).next().is_none() {
            return Err(bad("the class is not known"));
        }
        let body = head.headers.get(CONTENT_LENGTH).is_some_and(|length| length.as_bytes() != b"0")
            || head.headers.contains_key(TRANSFER_ENCODING);
        let idempotency_key = read_idempotency_key(head)?;
        // A key on a class that knows none passes on like any other: what is unchanged is as the client sent it.
        let fits = |binding: &&ClassBinding| match binding.effect {
            RepeatEffect::Safe => head.method == Method::GET && !body,
            RepeatEffect::Keyed { .. } => head.method == Method::POST && idempotency_key.is_some(),
            RepeatEffect::Unsafe => head.method == Method::POST,
        };
        let keyed = |binding: &ClassBinding| matches!(binding.effect, RepeatEffect::Keyed { .. });
        let keyless = head.method == Method::POST && idempotency_key.is_none();
        let other = || match keyless && names.class(class, now).any(keyed) {
            true => bad("Idempotency-Key is missing"),
            false => RequestRejection(StatusCode::METHOD_NOT_ALLOWED, "the class goes by another method"),
        };
        let class = names.class(class, now).find(fits).ok_or_else(other)?.class;
        let tenant = match header("x-account")? {
            None | Some("") => None,
            Some(name) => Some(names.tenant(name).ok_or(bad("the account is not known"))?),
        };
        let left = header("x-time-left")?.ok_or(bad("X-Time-Left is missing"))?;
        let left =
            left.trim().parse().ok().filter(|left: &f64| (f64::MIN_POSITIVE..=MAX_WAIT).contains(left));
        let time_left = left.ok_or(bad("X-Time-Left is not a time"))?;
        Ok(RequestHead { class, tenant, time_left, id, idempotency_key })
    }
}

/// A header that is given once at most. Of two values the server may read the other one.
fn single_header<'a>(
    head: &'a Parts,
    name: &str,
    twice: &'static str,
) -> Result<Option<&'a HeaderValue>, RequestRejection> {
    let mut values = head.headers.get_all(name).iter();
    let value = values.next();
    if values.next().is_some() { Err(RequestRejection(StatusCode::BAD_REQUEST, twice)) } else { Ok(value) }
}

/// The idempotency key, if there is one. It need not be text: it passes on byte for byte.
fn read_idempotency_key(head: &Parts) -> Result<Option<Bytes>, RequestRejection> {
    let bad = |why| RequestRejection(StatusCode::BAD_REQUEST, why);
    match single_header(head, IDEMPOTENCY_KEY_HEADER, "Idempotency-Key is given twice")? {
        Some(idempotency_key) if idempotency_key.is_empty() => Err(bad("Idempotency-Key is empty")),
        Some(idempotency_key) if idempotency_key.len() > MAX_KEY_BYTES => {
            Err(bad("Idempotency-Key is too long"))
        }
        idempotency_key => {
            Ok(idempotency_key.map(|idempotency_key| Bytes::copy_from_slice(idempotency_key.as_bytes())))
        }
    }
}

/// Ends once a successor accepts at the same address.
async fn successor_accepts(handover: &Option<Rc<Handover>>) {
    match handover {
        Some(handover) => handover.wait_for_successor().await,
        None => std::future::pending().await,
    }
}

fn respond(status: StatusCode, body: impl Into<OutgoingBody>) -> Response<OutgoingBody> {
    let mut response = Response::new(body.into());
    *response.status_mut() = status;
    response
}

fn encode_response(response: FinalResponse) -> Response<OutgoingBody> {
    match response {
        FinalResponse::Served(body) => respond(StatusCode::OK, body),
        FinalResponse::RetryLater(wait) => {
            let mut response = respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
            if let Ok(wait) = HeaderValue::from_str(&format!("{wait:.3}")) {
                response.headers_mut().insert(RETRY_AFTER, wait);
            }
            response
        }
        FinalResponse::IdInUse => respond(StatusCode::CONFLICT, Bytes::new()),
        // Never a code that says it is harmless to try again.
        FinalResponse::Failed => respond(StatusCode::BAD_GATEWAY, Bytes::new()),
    }
}
