//! What the balancer has its host do.

use super::ids::{AttemptNumber, EndpointId, RequestId, Seconds, TimerToken};

/// Something that the host has to do.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Action {
    /// Send an attempt: the first one, a retry or a hedged one.
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        endpoint: EndpointId,
        /// When the attempt times out.
        deadline: Seconds,
    },
    /// Final answer: rejected, and a retry does no harm.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client ought to wait before it retries, in seconds.
        retry_after: Seconds,
    },
    /// Final answer: failed, and it may have taken effect.
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
    /// Ask for a subscription to the list of servers.
    WatchList,
    /// Ask for one [`Event::TimerFired`](super::Event::TimerFired).
    SetTimer {
        /// How far from now.
        delay: Seconds,
        /// Given back by the event.
        token: TimerToken,
    },
}
