//! What clients, model servers and the operator saw, and what was done to the processes.

use std::fmt;
use std::hash::{DefaultHasher, Hasher};
use std::rc::Rc;

use mosshead_time::Instant;

use crate::bounds::Bounds;

/// The kind of a machine that runs a process of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MachineKind {
    /// `mosshead-control`: a machine of the core.
    ControlNode,
    /// `mosshead-router`.
    Proxy,
}

/// A machine that runs a process of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineId {
    /// What runs on it.
    pub kind: MachineKind,
    /// Counted from 0 for each kind.
    pub number: usize,
}

impl MachineId {
    /// The control node of this number.
    pub fn control_node(number: usize) -> MachineId {
        MachineId { kind: MachineKind::ControlNode, number }
    }

    /// The proxy of this number.
    pub fn proxy(number: usize) -> MachineId {
        MachineId { kind: MachineKind::Proxy, number }
    }
}

impl fmt::Display for MachineId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            MachineKind::ControlNode => "control",
            MachineKind::Proxy => "proxy",
        };
        write!(f, "{kind}-{}", self.number)
    }
}

/// What happened to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEventKind {
    /// It was started.
    Started,
    /// It got SIGHUP.
    HungUp,
    /// It got SIGTERM.
    Terminated,
    /// It got SIGKILL because it still ran at the end of the grace period.
    GraceExceeded,
    /// It got SIGKILL at any other time.
    Killed,
    /// It got SIGSTOP.
    Frozen,
    /// It got SIGCONT.
    Continued,
    /// It ended regularly after SIGTERM.
    Ended,
    /// It ended although nobody asked it to, or with an error.
    EndedByItself,
}

/// An event of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessEvent {
    /// Where the process runs.
    pub machine: MachineId,
    /// When it happened.
    pub at: Instant,
    /// What happened.
    pub kind: ProcessEventKind,
}

/// A time during which the whole machine was so busy that every process counts as slowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowSpan {
    /// The beginning.
    pub from: Instant,
    /// The end.
    pub until: Instant,
}

/// The id of one attempt of a client, in `X-Attempt-Id`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub Rc<str>);

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The id of one incarnation of a model server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId(pub Rc<str>);

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A digest of a body. Equal bodies have equal digests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BodyDigest(pub u64);

impl BodyDigest {
    /// The digest of these bytes.
    pub fn of(body: &[u8]) -> BodyDigest {
        let mut hasher = DefaultHasher::new();
        hasher.write(body);
        BodyDigest(hasher.finish())
    }
}

/// What a client asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// May run once at most.
    NonIdempotent,
    /// A stream of so many events, which may be resumed at another server or run once at most.
    Stream {
        /// True if the route allows resuming.
        is_resumable: bool,
        /// The number of events of the complete stream; their ids begin at 1.
        events: u64,
    },
    /// A request on the route that only the configuration with this revision has.
    Probe {
        /// The revision.
        revision: u64,
    },
}

impl RequestKind {
    /// True if servers may run the request more than once.
    pub fn is_repeatable(self) -> bool {
        match self {
            RequestKind::Idempotent | RequestKind::Probe { .. } => true,
            RequestKind::NonIdempotent => false,
            RequestKind::Stream { is_resumable, .. } => is_resumable,
        }
    }
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// `X-Attempt-Id`, if there is one.
    pub attempt: Option<AttemptId>,
    /// The instance that `X-Server-Seal` names, if there is one.
    pub seal: Option<InstanceId>,
}

impl ResponseHead {
    /// True for the status codes 200 to 299.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// One event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// The id.
    pub id: u64,
    /// The instance that has made it.
    pub instance: InstanceId,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The response arrived, and its framing says that it is complete.
    Complete,
    /// The connection ended before that.
    CutOff,
    /// The client's time was over.
    TimedOut,
    /// The client closed the connection itself.
    Left,
    /// The request was not sent completely.
    NotSent,
}

/// One attempt of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Its id.
    pub attempt: AttemptId,
    /// What it asks for.
    pub kind: RequestKind,
    /// The number of the proxy that it was sent to.
    pub proxy: usize,
    /// When its last byte was sent.
    pub sent_at: Instant,
    /// When its response was complete, or it ended in another way.
    pub ended_at: Instant,
    /// The client's deadline or the end of the route's timeout, whichever is earlier.
    pub deadline: Instant,
    /// The head of the response, if one arrived.
    pub head: Option<ResponseHead>,
    /// The digest of the body, if the response is complete.
    pub body: BodyDigest,
    /// The events that arrived, for a stream.
    pub events: Vec<StreamEvent>,
    /// How it ended.
    pub end: RequestEnd,
}

/// How the run of a request ended at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The server sent the whole response.
    Complete,
    /// The server broke off.
    BrokenOff,
    /// The caller closed the connection.
    Abandoned,
}

/// What a server did with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// It did not run the request, and said so.
    Rejected {
        /// The status of the response.
        status: u16,
    },
    /// It prefilled the prompt and did not run the request.
    Prefilled,
    /// It ran the request.
    Executed {
        /// The status of the response.
        status: u16,
        /// The digest of the complete body.
        body: BodyDigest,
        /// How the run ended.
        end: RunEnd,
        /// When the run ended.
        ended_at: Instant,
    },
}

/// A request as a server received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The client's attempt.
    pub attempt: AttemptId,
    /// The server.
    pub instance: InstanceId,
    /// When the request arrived.
    pub arrived_at: Instant,
    /// What became of it.
    pub outcome: RunOutcome,
}

impl Run {
    /// True if the server ran the request.
    pub fn is_executed(&self) -> bool {
        matches!(self.outcome, RunOutcome::Executed { .. })
    }
}

/// An acknowledgement by a control node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acknowledgement {
    /// When it arrived.
    pub at: Instant,
    /// The number of the control node that gave it.
    pub control_node: usize,
}

/// An acknowledged report of a server that it is draining or gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Drain {
    /// The server.
    pub instance: InstanceId,
    /// Its acknowledgement.
    pub acknowledgement: Acknowledgement,
}

/// An order to a model server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The server.
    pub instance: InstanceId,
    /// When it arrived.
    pub at: Instant,
    /// The holder of the role that gave it, as the order names it.
    pub owner: Rc<str>,
    /// The number of the control node that gave it, if its name tells.
    pub control_node: Option<usize>,
    /// Its fencing token.
    pub fence: u64,
}

/// The outcome of a change of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// 200.
    Acknowledged(Acknowledgement),
    /// 412 or 400.
    Refused,
    /// No clear answer: it may be in force or not.
    Unclear,
}

/// A change of the configuration, sent by an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// Its revision.
    pub revision: u64,
    /// The revision that it builds on.
    pub base: u64,
    /// When it was first sent.
    pub sent_at: Instant,
    /// What became of it.
    pub outcome: ChangeOutcome,
}

impl Change {
    /// True if the change may be in force.
    pub fn may_be_in_force(&self) -> bool {
        self.outcome != ChangeOutcome::Refused
    }
}

/// The configuration that the operator read back at the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadBack {
    /// Its revision, if there was one.
    pub revision: Option<u64>,
    /// True if it equals what was sent under that revision.
    pub is_as_sent: bool,
}

/// The recorded history of a fleet.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The bounds of the rules.
    pub bounds: Bounds,
    /// The number of control nodes.
    pub control_nodes: usize,
    /// What happened to the processes, in the order of time.
    pub process_events: Vec<ProcessEvent>,
    /// When the whole machine was too busy.
    pub slow_spans: Vec<SlowSpan>,
    /// What clients saw.
    pub requests: Vec<Request>,
    /// What servers saw.
    pub runs: Vec<Run>,
    /// Servers that left.
    pub drains: Vec<Drain>,
    /// Orders to servers, in the order of time.
    pub orders: Vec<Order>,
    /// What the operators sent.
    pub changes: Vec<Change>,
    /// What the operator read back at the end.
    pub read_back: Option<ReadBack>,
    /// When the final calm began, in which the fleet has to serve.
    pub final_calm_at: Option<Instant>,
}
