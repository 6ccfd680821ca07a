//! One send to one server, and what it proves.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Method, Request, StatusCode, Uri};
use mosshead_http_links::{RetryPolicy, SendFaultCause};
use mosshead_routing::ServerFailure;
use tokio::time::{Duration, Instant, timeout_at};

use crate::connection_pool::{Opened, Origin, ServerLink};
use crate::data_plane::DataPlane;

/// An answer that is held is at most this long.
const HELD: usize = 4 * 1024 * 1024;
/// What is left of an answer that nobody wants is read for so long, for the connection's sake.
const REST: Duration = Duration::from_millis(200);

pub(crate) const ATTEMPT: HeaderName = HeaderName::from_static("x-attempt-id");
const SEAL: HeaderName = HeaderName::from_static("x-server-seal");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");

/// A connection that turns out to have ended is replaced so often for one send.
const CONNECTIONS_MOST: usize = 4;

/// A request as it is sent to servers.
#[derive(Debug)]
pub(crate) struct Message {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    origin: Origin,
    /// What the client calls it, and its answer echoes.
    id: Option<HeaderValue>,
    /// The servers that it may have reached.
    sent_to: RefCell<Vec<Rc<str>>>,
}

/// Which server, and how many connections to it this proxy may have.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) id: Rc<str>,
    pub(crate) address: SocketAddrV4,
    pub(crate) most: usize,
}

/// What came of a send.
pub(crate) enum Sent {
    /// The head of the answer to this very request.
    Answer { head: Parts, body: Incoming, link: ServerLink },
    /// It never arrived whole.
    Lost(ServerFailure),
    /// The server says that it did not run and never will.
    NeverRan(StatusCode),
    /// It may have run.
    Broken,
    /// Nothing came in time; it may have run.
    Late,
}

fn number(value: u64) -> HeaderValue {
    HeaderValue::from(value)
}

impl Message {
    /// A client's request.
    pub(crate) fn of_client(method: Method, uri: Uri, headers: HeaderMap, body: Bytes) -> Self {
        let id = headers.get(ATTEMPT).filter(|id| !id.is_empty()).cloned();
        Self { method, uri, headers, body, origin: Origin::Client, id, sent_to: RefCell::default() }
    }

    /// A call of the proxy's own.
    pub(crate) fn of_proxy(method: Method, uri: Uri) -> Self {
        let (headers, body) = (HeaderMap::new(), Bytes::new());
        Self { method, uri, headers, body, origin: Origin::Proxy, id: None, sent_to: RefCell::default() }
    }

    /// Whether it needs a connection that has carried nothing: no id would tell its answer from a late one to what
    /// went before.
    fn needs_new_connection(&self, server: &Server) -> bool {
        let nameless = self.origin == Origin::Client && self.id.is_none();
        nameless || self.sent_to.borrow().contains(&server.id)
    }

    /// Whether this can be the head of its answer: an answer echoes the id, and has none where there was none. Own
    /// calls are told apart by their connections, which carry nothing else.
    fn is_answered_by(&self, head: &Parts) -> bool {
        let echo = head.headers.get(ATTEMPT).filter(|id| !id.is_empty());
        self.origin == Origin::Proxy || echo == self.id.as_ref()
    }

    fn request(
        &self,
        server: &Server,
        left: u64,
        extra: &[(&'static str, HeaderValue)],
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        headers.remove(CONTENT_LENGTH);
        if !self.body.is_empty() || self.method != Method::GET {
            headers.insert(CONTENT_LENGTH, number(self.body.len() as u64));
        }
        headers.insert("x-deadline-ms", number(left.max(1)));
        if let Ok(id) = HeaderValue::from_str(&server.id) {
            headers.insert("x-target-instance", id);
        }
        for (name, value) in extra {
            headers.insert(*name, value.clone());
        }
        request
    }
}

pub(crate) fn kept(head: &Parts) -> Option<Duration> {
    let value = head.headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

impl DataPlane {
    /// Sends once. `until`: for how long the head of an answer is waited for.
    pub(crate) async fn send(
        self: &Rc<Self>,
        server: &Server,
        message: &Message,
        deadline: mosshead_time::Instant,
        until: Instant,
        extra: &[(&'static str, HeaderValue)],
    ) -> Sent {
        for _ in 0..CONNECTIONS_MOST {
            let kept = match message.needs_new_connection(server) {
                true => None,
                false => self.links.idle(&server.id, message.origin),
            };
            let (mut link, reused) = match kept {
                Some(link) => (link, true),
                None => {
                    let (left, to) = (until.saturating_duration_since(Instant::now()), server.address);
                    match self.links.open(&server.id, message.origin, to, server.most, left).await {
                        Opened::Link(link) => (link, false),
                        Opened::TooMany => return Sent::Lost(ServerFailure::Overloaded),
                        Opened::Unreachable => return Sent::Lost(ServerFailure::Unreachable),
                    }
                }
            };
            if !link.link.ready().await {
                if reused {
                    continue;
                }
                return Sent::Lost(ServerFailure::BrokenResponse);
            }
            let request = message.request(server, mosshead_time::whole_millis(deadline - self.now()), extra);
            // Danger: this may be dropped at any moment, and the request may have arrived all the same.
            message.sent_to.borrow_mut().push(server.id.clone());
            let response = match link.link.send_before(request, until).await {
                Ok(response) => response,
                Err(fault) => {
                    let late = fault.cause == SendFaultCause::DeadlinePassed;
                    // Danger: only what has not left whole never ran; a server may begin with the last byte.
                    if !RetryPolicy::OnlyIfNeverSent.allows(fault.progress) {
                        return if late { Sent::Late } else { Sent::Broken };
                    }
                    message.sent_to.borrow_mut().pop();
                    match (late, reused) {
                        (true, _) => return Sent::Lost(ServerFailure::Unreachable),
                        (false, true) => continue,
                        (false, false) => return Sent::Lost(ServerFailure::BrokenResponse),
                    }
                }
            };
            let (head, body) = response.into_parts();
            self.heard(&server.id);
            // Danger: an answer in excess to an earlier request may stand where this one's is due.
            if !message.is_answered_by(&head) {
                return Sent::Broken;
            }
            if head.status == StatusCode::MISDIRECTED_REQUEST || head.headers.contains_key(NOT_EXECUTED) {
                let status = head.status;
                self.spare(&server.id, link, head, body);
                return Sent::NeverRan(status);
            }
            return Sent::Answer { head, body, link };
        }
        Sent::Lost(ServerFailure::BrokenResponse)
    }

    pub(crate) fn heard(&self, id: &str) {
        let now = self.now();
        self.router.borrow_mut().record_received(now, id);
    }

    /// Ends once a server has shown that it is dark: it has been mute for `patience`, and then does not answer within
    /// `within` even what needs no slot. Danger: a long queue is silent, too, and is no reason to ask elsewhere.
    pub(crate) async fn dark(self: &Rc<Self>, server: &Server, patience: Duration, within: Duration) {
        loop {
            tokio::time::sleep(patience).await;
            let since = self.now() - patience;
            if !self.router.borrow().is_silent_since(since, &server.id) {
                continue;
            }
            let asked = self.now();
            self.ask_figure(server, within).await;
            if self.router.borrow().is_silent_since(asked, &server.id) {
                return;
            }
        }
    }

    /// Reads what is left of an answer aside, and keeps the connection.
    pub(crate) fn spare(self: &Rc<Self>, id: &Rc<str>, link: ServerLink, head: Parts, mut body: Incoming) {
        let (data_plane, id) = (self.clone(), id.clone());
        let until = Instant::now() + REST;
        tokio::task::spawn_local(async move {
            let rest = async {
                while let Some(frame) = body.frame().await {
                    if frame.is_err() {
                        return false;
                    }
                }
                true
            };
            if timeout_at(until, rest).await == Ok(true) {
                data_plane.links.put(&id, link, kept(&head), until).await;
            }
        });
    }

    /// The whole answer; `None` where it broke off or was too late or too long. The connection is kept.
    pub(crate) async fn whole(
        self: &Rc<Self>,
        id: &Rc<str>,
        head: &Parts,
        body: Incoming,
        link: ServerLink,
        until: Instant,
    ) -> Option<Bytes> {
        let body = whole_body(head, body, until).await?;
        self.links.put(id, link, kept(head), until).await;
        Some(body)
    }
}

/// The whole body of an answer; `None` where it broke off or was too late or too long.
pub(crate) async fn whole_body(head: &Parts, body: Incoming, until: Instant) -> Option<Bytes> {
    // Danger: without a length or chunks, what broke off looks whole.
    let framed = head.headers.contains_key(CONTENT_LENGTH)
        || head.headers.contains_key(hyper::header::TRANSFER_ENCODING)
        || head.status == StatusCode::NO_CONTENT;
    if !framed || head.headers.contains_key(hyper::header::CONTENT_ENCODING) {
        return None;
    }
    let body = timeout_at(until, Limited::new(body, HELD).collect()).await;
    Some(body.ok()?.ok()?.to_bytes())
}

/// Whether a success bears the server's stamp.
pub(crate) fn sealed(head: &Parts) -> bool {
    head.headers.contains_key(SEAL)
}
