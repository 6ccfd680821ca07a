//! Responses that several endpoints share, and the result codes in their bodies.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use tinyjson::JsonValue;

/// The response of an endpoint, with its complete body.
pub(super) type ApiResponse = Response<Full<Bytes>>;

/// The value of `Retry-After`: the delay before the caller retries, in seconds.
const RETRY_AFTER_SECONDS: &str = "0.2";

/// A result code in a response body, as listed in docs/codes.md. C07 has no variant: it is sent in the `fault` field
/// of a rejected change, like the codes of invalid configurations.
#[derive(Clone, Copy, Debug)]
pub(super) enum ResultCode {
    /// The outcome is unknown to this node, or there is no quorum.
    Unavailable,
    /// The request body is too long, or ended early.
    BodyTooLarge,
    /// The request body did not arrive in time.
    BodyTimeout,
    /// The heartbeat is invalid.
    InvalidHeartbeat,
    /// There is no such path, or it does not support this method.
    NotFound,
    /// Another control node is the primary.
    NotPrimary,
    /// The change is based on another revision than the current one.
    StaleRevision,
    /// There is no configuration yet.
    NoConfiguration,
    /// The changed configuration would be too large.
    ConfigurationTooLarge,
    /// The request is so old that it is unknown whether it was already accepted.
    Expired,
    /// Founding the fleet anew is impossible or not needed.
    FoundingRefused,
}

impl ResultCode {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            ResultCode::Unavailable => "C01",
            ResultCode::BodyTooLarge => "C02",
            ResultCode::BodyTimeout => "C03",
            ResultCode::InvalidHeartbeat => "C04",
            ResultCode::NotFound => "C05",
            ResultCode::NotPrimary => "C06",
            ResultCode::StaleRevision => "C08",
            ResultCode::NoConfiguration => "C09",
            ResultCode::ConfigurationTooLarge => "C10",
            ResultCode::Expired => "C11",
            ResultCode::FoundingRefused => "C12",
        }
    }
}

/// A response with a JSON body.
pub(super) fn json(status: StatusCode, body: impl Into<Bytes>) -> ApiResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// The text as a JSON string, with its quotes.
pub(super) fn json_string(text: &str) -> String {
    JsonValue::from(text.to_owned()).stringify().unwrap_or_else(|_| "\"\"".into())
}

/// A response whose body contains only a result code.
pub(super) fn code_only(status: StatusCode, code: ResultCode) -> ApiResponse {
    json(status, format!("{{\"code\":\"{}\"}}", code.as_str()))
}

/// The outcome is unknown, or there is no quorum: the caller should retry.
pub(super) fn unavailable() -> ApiResponse {
    retry_later(ResultCode::Unavailable)
}

/// The request may be a retry of one that was accepted too long ago to be remembered, so it is neither acknowledged nor
/// rejected.
pub(super) fn expired() -> ApiResponse {
    retry_later(ResultCode::Expired)
}

fn retry_later(code: ResultCode) -> ApiResponse {
    let mut response = code_only(StatusCode::SERVICE_UNAVAILABLE, code);
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_SECONDS));
    response
}
