//! A request as it is sent to servers.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Method, Request, Uri};
use mosshead_time::{Duration, whole_millis};

use crate::headers::{ATTEMPT_ID, DEADLINE_MS, TARGET_INSTANCE};

/// On whose account a request goes to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOrigin {
    /// A client sent it. It bears the client's attempt id, which the response echoes.
    Client,
    /// The proxy sends it on its own account. Neither the request nor its response bears an id.
    Proxy,
}

/// The server that an attempt is made at.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// The server's instance id.
    pub(crate) id: Rc<str>,
    pub(crate) address: SocketAddrV4,
    /// How many connections this proxy may have to it.
    pub(crate) max_connections: usize,
}

/// A request as it is sent to servers, once or several times.
#[derive(Debug)]
pub(crate) struct ServerRequest {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    pub(crate) origin: RequestOrigin,
    /// What the client calls this attempt of its own.
    attempt_id: Option<HeaderValue>,
    /// Ids of the servers that the request may have reached.
    may_have_reached: RefCell<Vec<Rc<str>>>,
}

impl ServerRequest {
    /// A client's request; of its headers only those that are forwarded.
    pub(crate) fn of_client(method: Method, uri: Uri, headers: HeaderMap, body: Bytes) -> Self {
        let attempt_id = headers.get(ATTEMPT_ID).filter(|id| !id.is_empty()).cloned();
        let may_have_reached = RefCell::default();
        Self { method, uri, headers, body, origin: RequestOrigin::Client, attempt_id, may_have_reached }
    }

    /// A call of the proxy's own.
    pub(crate) fn of_proxy(method: Method, uri: Uri) -> Self {
        Self {
            method,
            uri,
            headers: HeaderMap::new(),
            body: Bytes::new(),
            origin: RequestOrigin::Proxy,
            attempt_id: None,
            may_have_reached: RefCell::default(),
        }
    }

    /// Whether it needs a connection that has carried nothing yet: where it has no id, or was sent to this server
    /// before, no id would tell its response from a late one to what the connection carried before.
    pub(crate) fn needs_new_connection(&self, target: &Target) -> bool {
        let has_no_id = self.origin == RequestOrigin::Client && self.attempt_id.is_none();
        has_no_id || self.may_have_reached.borrow().contains(&target.id)
    }

    /// Whether this can be the head of its response. A response echoes the id, and has none where the request had none
    /// (PROTOCOL.md, Servers). Calls of the proxy's own are matched by their connections, which carry nothing else.
    pub(crate) fn is_answered_by(&self, head: &Parts) -> bool {
        let echo = head.headers.get(ATTEMPT_ID).filter(|id| !id.is_empty());
        self.origin == RequestOrigin::Proxy || echo == self.attempt_id.as_ref()
    }

    /// Records that the request may reach the server. This must happen before the send: the future that sends may be
    /// dropped at any moment, and the request may have arrived all the same.
    pub(crate) fn record_send(&self, target: &Target) {
        self.may_have_reached.borrow_mut().push(target.id.clone());
    }

    /// Takes the last `record_send` back: it is proven that the request was not sent completely.
    pub(crate) fn revoke_send(&self) {
        self.may_have_reached.borrow_mut().pop();
    }

    /// The request for this server, which may take `time_left`.
    pub(crate) fn to_http(
        &self,
        target: &Target,
        time_left: Duration,
        extra_headers: &[(HeaderName, HeaderValue)],
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        headers.remove(CONTENT_LENGTH);
        if !self.body.is_empty() || self.method != Method::GET {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(self.body.len() as u64));
        }
        headers.insert(DEADLINE_MS, HeaderValue::from(whole_millis(time_left).max(1)));
        if let Ok(id) = HeaderValue::from_str(&target.id) {
            headers.insert(TARGET_INSTANCE, id);
        }
        for (name, value) in extra_headers {
            headers.insert(name, value.clone());
        }
        request
    }
}
