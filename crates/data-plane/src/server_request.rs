//! Requests as they are sent to servers.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;

use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Method, Request, Uri};
use mosshead_time::{Duration, whole_millis};

use crate::headers::{ATTEMPT_ID, DEADLINE_MS, TARGET_INSTANCE};
use crate::segmented_body::SegmentedBody;

/// Who originated a request to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOrigin {
    /// A client. The request has the client's attempt id, if any, and the response echoes it.
    Client,
    /// The proxy itself. Neither the request nor its response has an attempt id.
    Proxy,
}

/// The server of an attempt.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// The server's instance id.
    pub(crate) id: Rc<str>,
    pub(crate) address: SocketAddrV4,
    /// This proxy's limit of connections to the server.
    pub(crate) max_connections: usize,
}

/// A request as it is sent to servers, once or several times.
#[derive(Debug)]
pub(crate) struct ServerRequest {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: SegmentedBody,
    pub(crate) origin: RequestOrigin,
    /// The client's id of its attempt.
    attempt_id: Option<HeaderValue>,
    /// Ids of the servers that the request may have reached.
    may_have_reached: RefCell<Vec<Rc<str>>>,
}

impl ServerRequest {
    /// Creates a client's request from its method, URI and body and the headers to forward.
    pub(crate) fn from_client(method: Method, uri: Uri, headers: HeaderMap, body: SegmentedBody) -> Self {
        let attempt_id = headers.get(ATTEMPT_ID).filter(|id| !id.is_empty()).cloned();
        let may_have_reached = RefCell::default();
        Self { method, uri, headers, body, origin: RequestOrigin::Client, attempt_id, may_have_reached }
    }

    /// Creates a call of the proxy itself.
    pub(crate) fn from_proxy(method: Method, uri: Uri) -> Self {
        Self {
            method,
            uri,
            headers: HeaderMap::new(),
            body: SegmentedBody::default(),
            origin: RequestOrigin::Proxy,
            attempt_id: None,
            may_have_reached: RefCell::default(),
        }
    }

    /// True if the request needs a connection that has carried no request yet. A client's request needs one if it has
    /// no attempt id, and any request needs one if it may have reached this server before: its id could then not tell
    /// its response from a late response to an earlier request.
    pub(crate) fn needs_new_connection(&self, target: &Target) -> bool {
        let has_no_id = self.origin == RequestOrigin::Client && self.attempt_id.is_none();
        has_no_id || self.may_have_reached.borrow().contains(&target.id)
    }

    /// True if this can be the head of the response to this request. A response echoes the attempt id, and has none if
    /// the request has none (PROTOCOL.md, Servers). Proxy calls have no id; their connections carry no other requests.
    pub(crate) fn is_answered_by(&self, head: &Parts) -> bool {
        let echo = head.headers.get(ATTEMPT_ID).filter(|id| !id.is_empty());
        self.origin == RequestOrigin::Proxy || echo == self.attempt_id.as_ref()
    }

    /// Records that the request may reach the server. Must be called before the send: the sending future may be dropped
    /// at any time, and the request may have arrived nevertheless.
    pub(crate) fn record_send(&self, target: &Target) {
        self.may_have_reached.borrow_mut().push(target.id.clone());
    }

    /// Undoes the last `record_send` after it is certain that the request was not sent completely.
    pub(crate) fn revoke_send(&self) {
        self.may_have_reached.borrow_mut().pop();
    }

    /// Builds the HTTP request for this server, with `time_left` until the deadline.
    pub(crate) fn to_http(
        &self,
        target: &Target,
        time_left: Duration,
        extra_headers: &[(HeaderName, HeaderValue)],
    ) -> Request<SegmentedBody> {
        let mut request = Request::new(self.body.clone());
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
