//! Actions that the balancer asks its host to carry out.

use super::ids::{AttemptNumber, EndpointId, RequestId, Seconds, TimerToken};

/// A request from the balancer to its host.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Action {
    /// Send an attempt: the first one, a retry or a hedge.
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        endpoint: EndpointId,
        /// When the attempt times out.
        deadline: Seconds,
    },
    /// Final answer: the request is rejected, and the client may safely retry it.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it retries, in seconds.
        retry_after: Seconds,
    },
    /// Final answer: the request has failed, and it may have taken effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Probe a server.
    Probe {
        /// The server.
        endpoint: EndpointId,
    },
    /// Close the idle connections to a server, so that the next send opens a new one.
    CloseIdleConnections {
        /// The server.
        endpoint: EndpointId,
    },
    /// Subscribe to the list of servers.
    WatchList,
    /// Deliver one [`Event::TimerFired`](super::Event::TimerFired) after a delay.
    SetTimer {
        /// The time from now, in seconds.
        delay: Seconds,
        /// Returned with the event.
        token: TimerToken,
    },
}
