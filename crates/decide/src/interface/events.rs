//! What the host reports to the balancer.

use super::endpoint_list::ListUpdate;
use super::ids::{AttemptNumber, ClassId, EndpointId, RequestId, Seconds, TenantId, TimerToken};

/// A server's own report of its load; `None` where a number was not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct LoadReport {
    /// Requests at the server, queued ones included.
    pub in_flight: Option<f64>,
    /// Queued requests.
    pub queued: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Outcome {
    /// It was served.
    Served,
    /// The server responded with an error; it may have run.
    Errored,
    /// The server rejected it; it never ran, unless [`Rules::may_reject_after_start`](super::Rules::may_reject_after_start) says that this proves nothing.
    Rejected,
    /// No response came in time; it may have run.
    TimedOut,
    /// No connection could be made; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// It was cancelled; it may have run.
    Cancelled,
    /// It was never sent.
    NotSent,
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// How long until the client gives up on this attempt of its own.
    pub time_left: Seconds,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are tenants.
    pub tenant: Option<TenantId>,
}

/// Something that has happened.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Event {
    /// The list of servers has an update.
    ListUpdated(ListUpdate),
    /// A client's request has arrived; the balancer owes it one final answer.
    RequestReceived(Request),
    /// A request whose body still arrives: it may be forwarded, and its time counts from [`Event::BodyReceived`].
    HeadReceived(Request),
    /// The last byte of such a request has arrived.
    BodyReceived {
        /// The request.
        request: RequestId,
        /// How long until the client gives up on it.
        time_left: Seconds,
    },
    /// An attempt ended. There is exactly one of these for each send.
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
        /// The request has its final answer.
        settled: bool,
        /// The load report in the response.
        report: LoadReport,
    },
    /// A streamed response has started: the attempt now belongs to the client.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// A probe ended. There is exactly one of these for each probe.
    ProbeEnded {
        /// The server.
        endpoint: EndpointId,
        /// What the probe found.
        outcome: Outcome,
        /// How long it was in flight, in seconds.
        rtt: Seconds,
        /// The load report in the response.
        report: LoadReport,
    },
    /// The client has gone; it is owed no answer any more.
    RequestWithdrawn {
        /// The request.
        request: RequestId,
    },
    /// A timer is due.
    TimerFired(TimerToken),
}
