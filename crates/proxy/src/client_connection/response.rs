//! Converts final responses to HTTP.

use bytes::Bytes;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::body::OutgoingBody;
use crate::messages::FinalResponse;

pub(super) fn respond(status: StatusCode, body: impl Into<OutgoingBody>) -> Response<OutgoingBody> {
    let mut response = Response::new(body.into());
    *response.status_mut() = status;
    response
}

pub(super) fn empty_response(status: StatusCode) -> Response<OutgoingBody> {
    respond(status, Bytes::new())
}

pub(super) fn encode_response(response: FinalResponse) -> Response<OutgoingBody> {
    match response {
        FinalResponse::Served(body) => respond(StatusCode::OK, body),
        FinalResponse::RetryLater(seconds) => {
            let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
            if let Ok(seconds) = HeaderValue::from_str(&format!("{seconds:.3}")) {
                response.headers_mut().insert(RETRY_AFTER, seconds);
            }
            response
        }
        FinalResponse::IdInUse => empty_response(StatusCode::CONFLICT),
        // The request may have been executed, so this must not be a status on which clients or proxies retry.
        FinalResponse::Failed => empty_response(StatusCode::BAD_GATEWAY),
    }
}
