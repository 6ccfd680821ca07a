//! Bodies that are held whole.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};

/// The most of a body that is held.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;

/// Why a body could not be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than its limit.
    TooLong,
    /// Its connection ended, or its framing made no sense.
    Interrupted,
    /// It did not come fast enough.
    Timeout,
    /// Its length is not given, or twice.
    InvalidLength,
}

/// The whole body, within `limit`.
pub async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > limit as u64 {
        return Err(BodyError::TooLong);
    }
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(BodyError::TooLong),
        Err(_) => Err(BodyError::Interrupted),
    }
}
