//! What the balancer tells its host to do.

use super::ids::{AttemptNumber, EndpointId, RequestId, Seconds, TimerToken};

/// Something that the balancer wants done.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Action {
    /// Send an attempt: a first try, a retry or a second copy.
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        endpoint: EndpointId,
        /// The instant at which the attempt is given up.
        deadline: Seconds,
    },
    /// Final answer: turned away, and a retry does no harm.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client ought to wait before it comes back.
        retry_after: Seconds,
    },
    /// Final answer: failed, with no promise about whether it took effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
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
    /// Ask for one [`Event::TimerFired`].
    SetTimer {
        /// How far from now.
        delay: Seconds,
        /// Given back by the event.
        token: TimerToken,
    },
}
