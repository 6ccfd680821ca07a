//! Events that the host reports to the balancer.

use super::endpoint_list::ListUpdate;
use super::ids::{AttemptNumber, ClassId, EndpointId, RequestId, Seconds, TenantId, TimerToken};

/// The load that a server reports of itself; `None` for a number that it did not report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct LoadReport {
    /// Requests at the server, including queued ones.
    pub in_flight: Option<f64>,
    /// Queued requests.
    pub queued: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Outcome {
    /// The server responded without an error.
    Served,
    /// The server responded with an error; the attempt may have run.
    Errored,
    /// The server rejected the attempt, which never ran, unless
    /// [`Rules::may_reject_after_start`](super::Rules::may_reject_after_start) is set.
    Rejected,
    /// No response arrived in time; the attempt may have run.
    TimedOut,
    /// No connection could be made; the attempt never ran.
    ConnectFailed,
    /// The connection broke; the attempt may have run.
    Reset,
    /// The attempt was cancelled; it may have run.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// How long until the client gives up on this request, in seconds. A client's own retry is a new request.
    pub time_left: Seconds,
    /// Its class.
    pub class: ClassId,
    /// Its tenant; `None` if it has none.
    pub tenant: Option<TenantId>,
}

/// Something that happened at the host.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Event {
    /// The list of servers was updated.
    ListUpdated(ListUpdate),
    /// A client's request has arrived. It gets exactly one final answer, unless it is withdrawn.
    RequestReceived(Request),
    /// A request's headers have arrived, but not yet all of its body. It may already be forwarded; its time limits
    /// start at [`Event::BodyReceived`].
    HeadReceived(Request),
    /// The last byte of such a request's body has arrived.
    BodyReceived {
        /// The request.
        request: RequestId,
        /// How long until the client gives up on it, in seconds.
        time_left: Seconds,
    },
    /// An attempt ended. Reported exactly once for each [`Action::Send`](super::Action::Send).
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The server it went to.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// How long it was in flight, in seconds.
        rtt: Seconds,
        /// True if the request already has its final answer.
        settled: bool,
        /// The load report in the response.
        report: LoadReport,
    },
    /// A streamed response has started, so the request is committed to this attempt.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// A probe ended. Reported exactly once for each [`Action::Probe`](super::Action::Probe).
    ProbeEnded {
        /// The server.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// How long it was in flight, in seconds.
        rtt: Seconds,
        /// The load report in the response.
        report: LoadReport,
    },
    /// The client has disconnected and needs no answer.
    RequestWithdrawn {
        /// The request.
        request: RequestId,
    },
    /// A timer has expired.
    TimerFired(TimerToken),
}
