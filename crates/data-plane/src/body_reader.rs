//! Reads complete bodies into memory that is reserved in the proxy's budget.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use quick_error::quick_error;

use crate::memory::{BodyKind, MemoryBudget};

quick_error! {
    /// Why a body was not read.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ReadBodyError {
        /// It is longer than allowed.
        TooLong {
            display("the body is too long")
        }
        /// It doesn't fit into the memory budget beside the other bodies.
        NoMemory {
            display("the memory for bodies is used up")
        }
        /// The sender broke it off, or it is malformed.
        Incomplete {
            display("the body is incomplete")
        }
    }
}

/// Reads the complete body. A stated length is reserved before the first read; otherwise the reservation grows with the
/// body. It lasts until the last clone of the returned handle is dropped. On an error the rest of the body is unread.
///
/// # Errors
///
/// The body is longer than `max_bytes`, does not fit into the budget, or is incomplete.
pub(crate) async fn read_body(
    body: &mut Incoming,
    max_bytes: usize,
    budget: &MemoryBudget,
    kind: BodyKind,
) -> Result<Bytes, ReadBodyError> {
    let stated_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if stated_bytes > max_bytes {
        return Err(ReadBodyError::TooLong);
    }
    let mut reservation = budget.try_reserve(kind, stated_bytes).ok_or(ReadBodyError::NoMemory)?;
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ReadBodyError::Incomplete)?;
        let Ok(data) = frame.into_data() else { continue };
        // Most bodies are short and arrive at once: they are not copied.
        if buffer.is_empty() && body.is_end_stream() {
            return Ok(reservation.attach(data));
        }
        let length = buffer.len() + data.len();
        if length > max_bytes {
            return Err(ReadBodyError::TooLong);
        }
        if length > buffer.capacity() {
            let capacity = length.max(stated_bytes).max(2 * buffer.capacity()).min(max_bytes);
            if !reservation.try_grow_to(capacity) {
                return Err(ReadBodyError::NoMemory);
            }
            buffer.reserve(capacity - buffer.len());
        }
        buffer.extend_from_slice(&data);
    }
    reservation.shrink_to(buffer.capacity());
    Ok(reservation.attach(buffer.freeze()))
}

/// Reads a body to its end and drops it; returns false if it is incomplete.
pub(crate) async fn discard_to_end(mut body: impl Body + Unpin) -> bool {
    while let Some(frame) = body.frame().await {
        if frame.is_err() {
            return false;
        }
    }
    true
}
