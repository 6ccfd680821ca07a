//! The interface through which calls are sent.

use std::future::Future;
use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use mosshead_http_links::RetryPolicy;
use tokio::time::{Instant, timeout_at};

use crate::call::{Call, decode, encode};
use crate::error::CallError;

/// Replaces a timeout whose end the clock can't represent.
const MAX_TIMEOUT: Duration = Duration::from_secs(86_400);

/// An encoded call, with the information that a transport needs to send it.
#[derive(Clone, Debug)]
pub struct OutgoingCall {
    /// The address of the server.
    pub to: SocketAddrV4,
    /// [`Call::NAME`].
    pub name: &'static str,
    /// The call as minicbor, at most [`MAX_BODY_BYTES`](crate::MAX_BODY_BYTES) bytes long.
    pub body: Bytes,
    /// [`Call::RETRY_POLICY`].
    pub retry_policy: RetryPolicy,
    /// The time until which the caller waits for the response.
    pub deadline: Instant,
}

impl OutgoingCall {
    fn new<C: Call>(to: SocketAddrV4, call: &C, timeout: Duration) -> Result<OutgoingCall, CallError> {
        let body = Bytes::from(encode(call)?);
        let now = Instant::now();
        let deadline = now.checked_add(timeout).unwrap_or(now + MAX_TIMEOUT);
        Ok(OutgoingCall { to, name: C::NAME, body, retry_policy: C::RETRY_POLICY, deadline })
    }
}

/// Sends calls to other processes.
pub trait Transport {
    /// Sends an encoded call and returns the body of its response. [`Transport::call`] drops the future at the call's
    /// deadline.
    ///
    /// # Errors
    ///
    /// The same as [`Transport::call`].
    fn exchange(&self, call: &OutgoingCall) -> impl Future<Output = Result<Bytes, CallError>>;

    /// Sends a call, and waits up to `timeout` for the response.
    ///
    /// # Errors
    ///
    /// With [`CallError::Connect`], the call was not sent. With [`CallError::Rejected`], it did not reach a handler, or
    /// its handler rejected it, or its handler failed ([`HandlerFailed`](crate::CallRejection::HandlerFailed)) and may
    /// already have changed something. With any other error, and if the future is dropped, the call may already have
    /// been handled, or may still be handled later.
    fn call<C: Call>(
        &self,
        to: SocketAddrV4,
        call: &C,
        timeout: Duration,
    ) -> impl Future<Output = Result<C::Response, CallError>> {
        async move {
            let outgoing = OutgoingCall::new(to, call, timeout)?;
            // Dropping the exchange closes its connection, so that a late response can't be mistaken for the response
            // to the next call.
            let exchange = timeout_at(outgoing.deadline, self.exchange(&outgoing));
            let response = exchange.await.map_err(|_| CallError::Timeout)??;
            decode(&response).ok_or(CallError::Malformed)
        }
    }
}
