//! Bodies that are held whole.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};

/// The most of a body that is held.
pub const BODY_LIMIT: usize = 64 * 1024;

/// Why a body could not be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFault {
    /// It is longer than its limit.
    TooLong,
    /// Its connection ended, or its framing made no sense.
    Broken,
    /// It did not come fast enough.
    Late,
    /// Its length is not given, or twice.
    Unframed,
}

/// The whole body, within `limit`.
pub async fn whole(body: Incoming, limit: usize) -> Result<Bytes, BodyFault> {
    if body.size_hint().lower() > limit as u64 {
        return Err(BodyFault::TooLong);
    }
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(BodyFault::TooLong),
        Err(_) => Err(BodyFault::Broken),
    }
}
