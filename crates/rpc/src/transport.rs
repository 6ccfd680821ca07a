//! What carries calls.

use std::future::Future;
use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use mosshead_http_links::RetryPolicy;
use tokio::time::{Instant, timeout_at};

use crate::call::{Call, decode, encode};
use crate::error::CallError;

/// Used in place of a timeout whose end the clock can't represent.
const MAX_TIMEOUT: Duration = Duration::from_secs(86_400);

/// An encoded call with all that a transport has to know of it.
#[derive(Clone, Debug)]
pub struct OutgoingCall {
    /// Where it is sent.
    pub to: SocketAddrV4,
    /// [`Call::NAME`].
    pub name: &'static str,
    /// The call as minicbor, at most [`MAX_BODY_BYTES`](crate::MAX_BODY_BYTES) long.
    pub body: Bytes,
    /// [`Call::RETRY_POLICY`].
    pub retry_policy: RetryPolicy,
    /// The caller waits no longer than this.
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

/// Carries calls to other processes.
pub trait Transport {
    /// Sends an encoded call and returns the body of its response. [`Transport::call`] drops the future at the deadline of the
    /// call.
    ///
    /// # Errors
    ///
    /// As for [`Transport::call`].
    fn exchange(&self, call: &OutgoingCall) -> impl Future<Output = Result<Bytes, CallError>>;

    /// Sends a call, and waits for the response no longer than `timeout`.
    ///
    /// # Errors
    ///
    /// After [`CallError::Connect`] and [`CallError::Rejected`] the call was not handled (except by a handler that
    /// failed). After every other error, and when the future is dropped, it may have been handled, or may be later.
    fn call<C: Call>(
        &self,
        to: SocketAddrV4,
        call: &C,
        timeout: Duration,
    ) -> impl Future<Output = Result<C::Response, CallError>> {
        async move {
            let outgoing = OutgoingCall::new(to, call, timeout)?;
            // The exchange owns its connection, so giving it up closes the connection: a late response must not be
            // taken for the one to the next call.
            let exchange = timeout_at(outgoing.deadline, self.exchange(&outgoing));
            let response = exchange.await.map_err(|_| CallError::Timeout)??;
            decode(&response).ok_or(CallError::Malformed)
        }
    }
}
