//! Responses that several endpoints share, and the codes in their bodies.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use tinyjson::JsonValue;

/// The response of an endpoint: the body is complete before it is sent.
pub(super) type ApiResponse = Response<Full<Bytes>>;

/// The value of `Retry-After`: how long the caller is to wait before it repeats the request, in seconds.
const RETRY_AFTER_SECONDS: &str = "0.2";

/// A code of docs/codes.md, for the body of a response. C07 is not among them: it is sent as the `fault` of a rejected
/// change, like the codes of invalid configurations.
#[derive(Clone, Copy, Debug)]
pub(super) enum ResultCode {
    /// The outcome is not known here, or there is no quorum.
    Unavailable,
    /// The body is too long, or ended early.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// A heartbeat that can't be read.
    InvalidHeartbeat,
    /// No such path, or not with this method.
    NotFound,
    /// Another control node is the primary.
    NotPrimary,
    /// The change builds on another revision than the current one.
    StaleRevision,
    /// There is no configuration yet.
    NoConfiguration,
    /// The configuration that the change makes is too large.
    ConfigurationTooLarge,
    /// Whether the request repeats one that was accepted long ago is unknown.
    Expired,
    /// The fleet can't be founded anew, or need not be.
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

/// A response whose body is JSON text.
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

/// A response that carries nothing but a code.
pub(super) fn code_only(status: StatusCode, code: ResultCode) -> ApiResponse {
    json(status, format!("{{\"code\":\"{}\"}}", code.as_str()))
}

/// The outcome is not known, or there is none yet: the caller is to repeat the request.
pub(super) fn unavailable() -> ApiResponse {
    retry_later(ResultCode::Unavailable)
}

/// Whether the request repeats one that was accepted long ago is unknown, so that it is neither acknowledged nor
/// rejected.
pub(super) fn expired() -> ApiResponse {
    retry_later(ResultCode::Expired)
}

fn retry_later(code: ResultCode) -> ApiResponse {
    let mut response = code_only(StatusCode::SERVICE_UNAVAILABLE, code);
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_SECONDS));
    response
}
