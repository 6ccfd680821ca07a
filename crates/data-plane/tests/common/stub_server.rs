//! A stub of a model server whose behavior for each request is scripted.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt;
use std::ops::RangeInclusive;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use hyper::header::HeaderMap;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use mosshead_registry::{Server, Stage};
use tokio::net::TcpListener;
use tokio::sync::Notify;

use super::{SEAL, listen, server};

/// More headers than any test sends.
const MAX_HEADERS: usize = 2000;
const IDLE_LOAD_REPORT: &str = "{\"queued\":0,\"active\":0}";

/// A request as a server received it.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl ReceivedRequest {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// The id of the last event that the client has received, or 0.
    pub(crate) fn last_event_id(&self) -> u64 {
        self.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0)
    }

    /// True if the server is asked to prefill the prompt, not to run the request.
    pub(crate) fn is_prefill(&self) -> bool {
        self.header("x-serving-stage") == Some("prefill")
    }
}

/// How a server responds to a request.
#[derive(Clone, Debug)]
pub(crate) enum Behavior {
    /// Responds with this status, these headers and this body, and echoes the attempt id.
    Respond(u16, Vec<(&'static str, String)>, &'static str),
    /// Streams events with these ids. With `breaks_off`, the connection ends after them and a part of the next event.
    Stream { ids: RangeInclusive<u64>, seal: &'static str, breaks_off: bool },
    /// Closes the connection without a response after the request has been read completely.
    Close,
    /// Never responds.
    Hang,
    /// Streams events with these ids, and then sends nothing more.
    StreamAndStall(RangeInclusive<u64>),
    /// Behaves as the second field says after the proxy has abandoned this many requests, such as load queries.
    OnceAbandoned(usize, Box<Behavior>),
}

/// A successful response with a seal.
pub(crate) fn ok_response(body: &'static str) -> Behavior {
    Behavior::Respond(200, vec![("x-server-seal", SEAL.into())], body)
}

/// The response to a prefill.
pub(crate) fn handle_response() -> Behavior {
    let body = "{\"prefill_handle\":\"3fa09c41b7d5\",\"token_count\":1460,\"revision\":1}";
    Behavior::Respond(200, Vec::new(), body)
}

/// The response of a server that did not run the request.
pub(crate) fn not_executed(status: u16) -> Behavior {
    Behavior::Respond(status, vec![("x-not-executed", "1".into())], "")
}

/// An event as servers send it.
pub(crate) fn event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

pub(crate) fn events(ids: RangeInclusive<u64>) -> String {
    ids.map(event).collect()
}

/// The error by which the server breaks the connection off.
#[derive(Debug)]
pub(crate) struct BrokenOff;

impl fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("broken off")
    }
}

impl std::error::Error for BrokenOff {}

/// A body that sends each chunk separately.
struct ChunkedBody {
    chunks: VecDeque<Result<Bytes, BrokenOff>>,
    was_pending: bool,
    /// If set, the body never ends.
    stall: Option<AbandonedGuard>,
}

/// Counts a request as abandoned when it is dropped: the proxy has closed the connection of a request that the server
/// neither completed nor broke off.
struct AbandonedGuard(Rc<StubServer>);

impl Drop for AbandonedGuard {
    fn drop(&mut self) {
        self.0.abandoned.set(self.0.abandoned.get() + 1);
        self.0.changed.notify_one();
    }
}

impl Body for ChunkedBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        let this = self.get_mut();
        this.was_pending = !this.was_pending;
        if this.was_pending {
            // Gives hyper the chance to flush the previous chunk.
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        if this.chunks.is_empty() && this.stall.is_some() {
            return Poll::Pending;
        }
        Poll::Ready(this.chunks.pop_front().map(|chunk| chunk.map(Frame::data)))
    }
}

/// The head of a response and the chunks of its body.
struct ScriptedResponse {
    status: u16,
    headers: Vec<(&'static str, String)>,
    chunks: Vec<Result<Bytes, BrokenOff>>,
    stalls: bool,
}

/// The response of a behavior; `None` if it has none.
fn scripted_response(behavior: Behavior) -> Option<ScriptedResponse> {
    let seal_header = |seal: &str| ("x-server-seal", seal.to_owned());
    let event_chunk = |id| Ok(Bytes::from(event(id)));
    Some(match behavior {
        Behavior::Close | Behavior::Hang | Behavior::OnceAbandoned(..) => return None,
        Behavior::Respond(status, headers, body) => {
            let chunks = vec![Ok(Bytes::from(body))];
            ScriptedResponse { status, headers, chunks, stalls: false }
        }
        Behavior::StreamAndStall(ids) => {
            let chunks = ids.map(event_chunk).collect();
            ScriptedResponse { status: 200, headers: vec![seal_header(SEAL)], chunks, stalls: true }
        }
        Behavior::Stream { ids, seal, breaks_off } => {
            let next_id = ids.end() + 1;
            let mut chunks: Vec<_> = ids.map(event_chunk).collect();
            if breaks_off {
                chunks.push(Ok(Bytes::from(format!("id: {next_id}\ndata: tok"))));
                chunks.push(Err(BrokenOff));
            }
            let headers = vec![("content-type", "text/event-stream".to_owned()), seal_header(seal)];
            ScriptedResponse { status: 200, headers, chunks, stalls: false }
        }
    })
}

type Script = Box<dyn Fn(&ReceivedRequest) -> Behavior>;

/// A stub of a model server.
pub(crate) struct StubServer {
    pub(crate) server: Server,
    script: Script,
    received: RefCell<Vec<ReceivedRequest>>,
    changed: Notify,
    /// While set, the server does not answer load queries either.
    pub(crate) is_unresponsive: Cell<bool>,
    /// The number of requests that the proxy abandoned before they ended.
    abandoned: Cell<usize>,
}

impl StubServer {
    pub(crate) async fn start(
        id: &str,
        service: &str,
        stage: Option<Stage>,
        script: impl Fn(&ReceivedRequest) -> Behavior + 'static,
    ) -> Rc<Self> {
        let (listener, address) = listen().await;
        let stub = Rc::new(Self {
            server: server(id, service, stage, address),
            script: Box::new(script),
            received: RefCell::default(),
            changed: Notify::new(),
            is_unresponsive: Cell::new(false),
            abandoned: Cell::new(0),
        });
        tokio::task::spawn_local(stub.clone().serve(listener));
        stub
    }

    async fn serve(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let stub = self.clone();
            tokio::task::spawn_local(async move {
                let service = service_fn(move |request| stub.clone().respond(request));
                let mut builder = Builder::new();
                let connection =
                    builder.max_headers(MAX_HEADERS).serve_connection(TokioIo::new(stream), service);
                let _ = connection.await;
            });
        }
    }

    async fn respond(self: Rc<Self>, request: Request<Incoming>) -> Result<Response<ChunkedBody>, BrokenOff> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(|_| BrokenOff)?.to_bytes();
        let path = head.uri.path_and_query().map_or("", |path| path.as_str()).to_owned();
        let request = ReceivedRequest { method: head.method, path, headers: head.headers, body };
        let mut behavior = self.behavior(&request);
        let attempt_id = request.headers.get("x-attempt-id").cloned();
        if request.path != "/report" {
            self.received.borrow_mut().push(request);
            self.changed.notify_one();
        }
        if matches!(behavior, Behavior::Hang) {
            let _guard = AbandonedGuard(self);
            return std::future::pending().await;
        }
        if let Behavior::OnceAbandoned(count, then) = behavior {
            while self.abandoned.get() < count {
                self.changed.notified().await;
            }
            behavior = *then;
        }
        let Some(scripted) = scripted_response(behavior) else { return Err(BrokenOff) };
        let stall = scripted.stalls.then(|| AbandonedGuard(self.clone()));
        let chunks = scripted.chunks.into();
        let mut response = Response::new(ChunkedBody { chunks, was_pending: false, stall });
        *response.status_mut() = StatusCode::from_u16(scripted.status).expect("a status");
        if let Some(attempt_id) = attempt_id {
            response.headers_mut().insert("x-attempt-id", attempt_id);
        }
        for (name, value) in scripted.headers {
            response.headers_mut().insert(name, value.parse().expect("a value"));
        }
        Ok(response)
    }

    fn behavior(&self, request: &ReceivedRequest) -> Behavior {
        // PROTOCOL.md requires every other instance to respond with 421.
        let target = request.header("x-target-instance");
        if target.is_some_and(|target| target != self.server.id) {
            return not_executed(421);
        }
        match request.path.as_str() {
            "/report" if self.is_unresponsive.get() => Behavior::Hang,
            "/report" => Behavior::Respond(200, Vec::new(), IDLE_LOAD_REPORT),
            path if path.starts_with("/kv-handle/") => Behavior::Respond(200, Vec::new(), ""),
            _ => (self.script)(request),
        }
    }

    /// The requests that the server has received so far, without load queries.
    pub(crate) fn received(&self) -> Vec<ReceivedRequest> {
        self.received.borrow().clone()
    }

    /// Waits until the proxy has abandoned a request.
    pub(crate) async fn wait_until_abandoned(&self) {
        while self.abandoned.get() == 0 {
            self.changed.notified().await;
        }
    }

    /// Waits until the server has received a request that matches.
    pub(crate) async fn wait_until_received(&self, matches: impl Fn(&ReceivedRequest) -> bool) {
        while !self.received.borrow().iter().any(&matches) {
            self.changed.notified().await;
        }
    }
}
