//! The trait of RPC calls, and their encoding.

use std::net::SocketAddrV4;

use minicbor::{Decode, Decoder, Encode};
use mosshead_http_links::RetryPolicy;

use crate::error::CallError;

/// The maximum length of the body of a call or a response, in bytes.
pub const MAX_BODY_BYTES: usize = 8 << 20;

/// A request message to another process, paired with its response type.
pub trait Call: Encode<()> + for<'bytes> Decode<'bytes, ()> + 'static {
    /// The name of the call on the wire: letters, digits, `-` and `/`.
    const NAME: &'static str;
    /// Decides whether the call may be retried on another connection after its first connection was lost.
    /// `docs/design/calls.md` gives the reasons.
    const RETRY_POLICY: RetryPolicy;
    /// The type that the handler returns.
    type Response: Encode<()> + for<'bytes> Decode<'bytes, ()> + 'static;
}

/// The sender of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The remote address of the connection, usually with an ephemeral port.
    pub address: SocketAddrV4,
}

/// Encodes a call or a response.
///
/// # Errors
///
/// [`CallError::TooLong`] beyond [`MAX_BODY_BYTES`], [`CallError::Malformed`] if the value can't be encoded.
pub(crate) fn encode<T: Encode<()>>(value: &T) -> Result<Vec<u8>, CallError> {
    let bytes = minicbor::to_vec(value).map_err(|_| CallError::Malformed)?;
    if bytes.len() > MAX_BODY_BYTES { Err(CallError::TooLong) } else { Ok(bytes) }
}

/// Decodes a call or a response. Returns `None` unless the bytes are exactly one such value.
pub(crate) fn decode<T: for<'bytes> Decode<'bytes, ()>>(bytes: &[u8]) -> Option<T> {
    let mut decoder = Decoder::new(bytes);
    let value = decoder.decode().ok()?;
    (decoder.position() == bytes.len()).then_some(value)
}
