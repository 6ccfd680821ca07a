//! Reads bodies into memory, up to a limit.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use quick_error::quick_error;

/// The default limit of a buffered body, and the limit of an outbound connection's buffer, in bytes.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;

/// The maximum number of headers of a message, inbound or outbound.
pub const MAX_HEADERS: usize = 1024;

quick_error! {
    /// Why a body could not be read. [`read_body`] returns the first two; the others are for callers that limit the
    /// time or check the headers.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum BodyError {
        /// It is longer than the limit.
        TooLong {
            display("the body is too long")
        }
        /// The connection ended within the body, or its framing is invalid.
        Interrupted {
            display("the body ended early or has invalid framing")
        }
        /// It did not arrive in time.
        Timeout {
            display("the body did not arrive in time")
        }
        /// Its length is not stated, or stated twice.
        InvalidLength {
            display("the length of the body is not stated exactly once")
        }
    }
}

/// Reads a complete body of at most `max_bytes`, without a time limit. A body with a greater `Content-Length` is
/// rejected before any of it is read.
///
/// # Errors
///
/// [`BodyError::TooLong`] or [`BodyError::Interrupted`].
pub async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyError::TooLong);
    }
    match Limited::new(body, max_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(BodyError::TooLong),
        Err(_) => Err(BodyError::Interrupted),
    }
}
