//! Reads clients' requests and dispatches them to the code that forwards them.

use std::rc::Rc;

use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response, StatusCode};
use mosshead_config::Limits;
use mosshead_http_links::CountGuard;
use mosshead_time::Duration;
use quick_error::quick_error;
use tokio::time::timeout;

use crate::body_reader::{ReadBodyError, discard_to_end, read_body};
use crate::client_request::PreparedRequest;
use crate::data_plane::DataPlane;
use crate::headers::head_bytes;
use crate::memory::BodyKind;
use crate::response::{ResponseAborted, ResponseBody, proxy_response};
use crate::run_tracker::RunTracker;
use crate::segmented_body::SegmentedBody;

/// The `Retry-After` of a request while no configuration is in force.
const NOT_CONFIGURED_RETRY_AFTER_SECONDS: f64 = 0.3;
/// The `Retry-After` of a request if the memory for request bodies is used up.
const NO_MEMORY_RETRY_AFTER_SECONDS: f64 = 0.5;

quick_error! {
    /// Why a request's body could not be read.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum BodyError {
        /// It is longer than the configuration allows.
        TooLong {
            display("the body is longer than the configuration allows")
        }
        /// The memory for request bodies is used up.
        NoMemory {
            display("the bodies of other requests take up the memory")
        }
        /// It did not arrive in time.
        TimedOut {
            display("the body did not come in time")
        }
        /// The client closed the connection, or its body is malformed.
        ClientGone {
            display("the client broke off")
        }
    }
}

impl BodyError {
    /// The response to a request whose body could not be read.
    ///
    /// # Errors
    ///
    /// The client is gone, so there is nobody to respond to.
    fn into_response(self) -> Result<Response<ResponseBody>, ResponseAborted> {
        let (status, retry_after) = match self {
            Self::TooLong => (StatusCode::PAYLOAD_TOO_LARGE, None),
            Self::NoMemory => (StatusCode::SERVICE_UNAVAILABLE, Some(NO_MEMORY_RETRY_AFTER_SECONDS)),
            Self::TimedOut => (StatusCode::REQUEST_TIMEOUT, None),
            Self::ClientGone => return Err(ResponseAborted),
        };
        Ok(proxy_response(status, retry_after))
    }
}

impl DataPlane {
    /// Responds to a client's request; asks the client to close the connection if the proxy is draining. A request
    /// whose response has not begun when the process is about to exit is abandoned. `under_way` is held for as long as
    /// the body is read.
    ///
    /// # Errors
    ///
    /// The body of the request is incomplete or malformed; the connection is closed without a response.
    pub(crate) async fn handle_request(
        self: Rc<Self>,
        request: Request<Incoming>,
        under_way: Rc<CountGuard>,
    ) -> Result<Response<ResponseBody>, ResponseAborted> {
        let runs = RunTracker::default();
        let mut response = tokio::select! {
            biased;
            response = self.respond(request, under_way, &runs) => response?,
            () = self.wait_until_responses_due() => self.abandon(&runs),
        };
        if self.is_draining() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }

    async fn respond(
        self: &Rc<Self>,
        request: Request<Incoming>,
        under_way: Rc<CountGuard>,
        runs: &RunTracker,
    ) -> Result<Response<ResponseBody>, ResponseAborted> {
        let in_flight = self.begin_request();
        let (head, body) = request.into_parts();
        let Some(config) = self.config() else {
            return Ok(proxy_response(
                StatusCode::SERVICE_UNAVAILABLE,
                Some(NOT_CONFIGURED_RETRY_AFTER_SECONDS),
            ));
        };
        if head_bytes(&head) > config.limits().max_header_bytes {
            let limits = config.limits();
            let time_allowed = limits.idle_timeout.max(limits.header_timeout);
            discard_body(body, limits.max_body_bytes, time_allowed, under_way);
            self.counters.oversized_heads.increment();
            return Ok(proxy_response(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, None));
        }
        let body = match self.read_request_body(body, config.limits(), under_way).await {
            Ok(body) => body,
            Err(error) => {
                self.counters.count_rejected_body(error);
                return error.into_response();
            }
        };
        drop(config);
        self.counters.requests.increment();
        let request = match self.prepare_request(&head, body, runs) {
            Ok(request) => request,
            Err(error) => return Ok(proxy_response(error.status(), error.retry_after())),
        };
        if !self.accepts(&request) {
            return Ok(self.reject_for_shutdown());
        }
        Ok(match request {
            PreparedRequest::Prompt(request, prompt) => self.forward_prompt(request, prompt, in_flight).await,
            PreparedRequest::Buffered(request) => self.forward_buffered(&request).await,
        })
    }

    async fn read_request_body(
        &self,
        mut body: Incoming,
        limits: &Limits,
        under_way: Rc<CountGuard>,
    ) -> Result<SegmentedBody, BodyError> {
        let time_allowed = limits.idle_timeout.max(limits.header_timeout);
        let read = read_body(&mut body, limits.max_body_bytes, &self.memory, BodyKind::Request);
        match timeout(time_allowed, read).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(ReadBodyError::TooLong)) => Err(BodyError::TooLong),
            Ok(Err(ReadBodyError::NoMemory)) => {
                discard_body(body, limits.max_body_bytes, time_allowed, under_way);
                Err(BodyError::NoMemory)
            }
            Ok(Err(ReadBodyError::Incomplete)) => Err(BodyError::ClientGone),
            Err(_) => Err(BodyError::TimedOut),
        }
    }
}

/// Reads the rest of a rejected request's body in a separate task and drops it. A close with unread bytes would reset the
/// connection, and the client would lose the response.
fn discard_body(body: Incoming, max_bytes: usize, time_allowed: Duration, under_way: Rc<CountGuard>) {
    tokio::task::spawn_local(async move {
        let _ = timeout(time_allowed, discard_to_end(Limited::new(body, max_bytes))).await;
        drop(under_way);
    });
}
