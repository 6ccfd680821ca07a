//! The client's side: an accept loop and one actor for each connection, HTTP to requests, answers to HTTP.

mod head;
mod progress;

use std::cell::RefCell;
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, timeout_at};

use crate::balancer_actor::BalancerHandle;
use crate::body::{self, BodyStart, OutgoingBody, Upload};
use crate::budget::{DescriptorBudget, Permit};
use crate::class_table::AcceptedNames;
use crate::connection_log::SUBMITTER;
use crate::handover::Handover;
use crate::lifecycle::Lifecycle;
use crate::log::{LogLimiter, say};
use crate::messages::{ClientRequest, FinalResponse, ForwardedRequest, RequestBody};
use mosshead_http_links::{BodyError, CloseReason, ConnectionLogGuard, ConnectionRecord};

/// How long connections are still accepted once shutdown has been requested.
const SHUTDOWN_ACCEPT_PERIOD: Duration = Duration::from_millis(450);
/// The accept queue counts as empty once no connection has come for this long.
const SHUTDOWN_QUIET_PERIOD: Duration = Duration::from_millis(20);
/// How long idle connections are kept after a shutdown request where a successor accepts.
const SHUTDOWN_IDLE_PERIOD: Duration = Duration::from_millis(600);
/// How long after a shutdown request the accept queue may wait for descriptors.
const SHUTDOWN_DESCRIPTOR_TIMEOUT: Duration = Duration::from_millis(1000);
/// The delay before the next accept after one that failed, perhaps for want of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// A connection without an open message is closed after this.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2500);

use head::*;
use progress::*;

/// How far a shutdown has come.
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

    /// Replaces the names of classes and tenants that clients may use.
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
