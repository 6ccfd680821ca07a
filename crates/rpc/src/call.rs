use std::future::Future;
use std::net::SocketAddrV4;
use std::time::Duration;

use minicbor::{Decode, Decoder, Encode};
use mosshead_http_links::RetryPolicy;

use crate::CallError;

/// The longest body of a call or an answer, in bytes.
pub const MAX_BODY_BYTES: usize = 8 << 20;

/// A question of one process to another, paired with its answer.
pub trait Call: Encode<()> + for<'bytes> Decode<'bytes, ()> + 'static {
    /// What the call is named on the wire; letters, digits, `-` and `/`.
    const NAME: &'static str;
    /// When it may be sent again on another connection after its first one was lost. docs/design/calls.md says why.
    const RETRY_POLICY: RetryPolicy;
    /// What is answered.
    type Response: Encode<()> + for<'bytes> Decode<'bytes, ()> + 'static;
}

/// Who calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The other end of the connection; the port is any.
    pub address: SocketAddrV4,
}

/// What carries calls.
pub trait Transport {
    /// Calls, and waits for the answer no longer than `timeout`.
    ///
    /// Danger: after [`CallError::Timeout`], [`CallError::ConnectionLost`], [`CallError::Malformed`], [`CallError::ResponseMismatch`]
    /// and [`CallError::TooLong`], and when the future is dropped, the call may have been handled, or may be yet.
    fn call<C: Call>(
        &self,
        to: SocketAddrV4,
        call: &C,
        timeout: Duration,
    ) -> impl Future<Output = Result<C::Response, CallError>>;
}

/// None: it would be too long, or can't be encoded.
pub(crate) fn encode<T: Encode<()>>(value: &T) -> Result<Vec<u8>, CallError> {
    let bytes = minicbor::to_vec(value).map_err(|_| CallError::Malformed)?;
    if bytes.len() > MAX_BODY_BYTES { Err(CallError::TooLong) } else { Ok(bytes) }
}

/// None: the bytes are not just one such value.
pub(crate) fn decode<T: for<'bytes> Decode<'bytes, ()>>(bytes: &[u8]) -> Option<T> {
    let mut decoder = Decoder::new(bytes);
    let value = decoder.decode().ok()?;
    (decoder.position() == bytes.len()).then_some(value)
}
