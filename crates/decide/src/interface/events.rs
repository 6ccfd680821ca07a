//! What the host tells the balancer.

use super::endpoint_list::ListUpdate;
use super::ids::{AttemptNumber, ClassId, EndpointId, RequestId, Seconds, TenantId, TimerToken};

/// A server's own report of its load; `None` where a figure was not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct LoadReport {
    /// Requests it holds, waiting ones included.
    pub in_flight: Option<f64>,
    /// Requests waiting.
    pub queued: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Outcome {
    /// It was served.
    Served,
    /// The server answered with an error; it may have run.
    Errored,
    /// Turned away; it never ran, unless [`Rules::may_reject_after_start`] says that this proves nothing.
    Rejected,
    /// No answer came in time; it may have run.
    TimedOut,
    /// No connection could be made; it never ran.
    ConnectFailed,
    /// The connection dropped; it may have run.
    Reset,
    /// It was called off; it may have run.
    Cancelled,
    /// It was never sent.
    NotSent,
}

/// A client's request, as the balancer takes it on.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// How long until the client gives up on this try.
    pub time_left: Seconds,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are tenants.
    pub tenant: Option<TenantId>,
}

/// Something that the balancer is told.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Event {
    /// News of the list of servers.
    ListUpdated(ListUpdate),
    /// A client's request; one final answer is now owed.
    RequestReceived(Request),
    /// A request whose body still comes: it may be sent on, and its time counts from [`Event::BodyReceived`].
    HeadReceived(Request),
    /// The last byte of such a request has come.
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
        /// How long it was out.
        rtt: Seconds,
        /// The request has its final answer and needs no further one.
        settled: bool,
        /// The load report that came along.
        report: LoadReport,
    },
    /// A streamed answer has started: the attempt now belongs to the client.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// A probe came back.
    ProbeEnded {
        /// The server.
        endpoint: EndpointId,
        /// What the probe found.
        outcome: Outcome,
        /// How long it was out.
        rtt: Seconds,
        /// The load report that came along.
        report: LoadReport,
    },
    /// The client walked away; nothing more is owed.
    RequestWithdrawn {
        /// The request.
        request: RequestId,
    },
    /// A timer came due.
    TimerFired(TimerToken),
}
