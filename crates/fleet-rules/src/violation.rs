//! What broke a rule.

use std::fmt;
use std::rc::Rc;

use mosshead_time::Instant;

use crate::history::{AttemptId, InstanceId, MachineId, RequestKind, RunEnd};

/// A rule of `RULES.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// A request that was read ends without a complete answer.
    Lost,
    /// A request that may run once ran more often.
    Twice,
    /// A request that was refused has run.
    Refused,
    /// An answer is not the server's.
    Mixed,
    /// A stream misses, repeats or joins events.
    Order,
    /// A request reached a server long after its draining was acknowledged.
    Drain,
    /// A configuration is not in force, or one is that must not be.
    Config,
    /// Two holders of a role gave orders.
    One,
    /// A process ended by itself, or nothing was served.
    Fault,
}

impl Rule {
    /// All rules.
    pub const ALL: [Rule; 9] = [
        Rule::Lost,
        Rule::Twice,
        Rule::Refused,
        Rule::Mixed,
        Rule::Order,
        Rule::Drain,
        Rule::Config,
        Rule::One,
        Rule::Fault,
    ];
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::Lost => "LOST",
            Rule::Twice => "TWICE",
            Rule::Refused => "REFUSED",
            Rule::Mixed => "MIXED",
            Rule::Order => "ORDER",
            Rule::Drain => "DRAIN",
            Rule::Config => "CONFIG",
            Rule::One => "ONE",
            Rule::Fault => "Fault",
        })
    }
}

/// How a rule was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Details {
    /// The connection ended without a complete answer.
    CutOff {
        /// The client's attempt.
        attempt: AttemptId,
        /// What it asked for.
        kind: RequestKind,
        /// The number of the proxy.
        proxy: usize,
        /// How its last run at a server ended, if there was one.
        last_run: Option<RunEnd>,
    },
    /// A request that may run once ran at these servers.
    RanTwice {
        /// The client's attempt.
        attempt: AttemptId,
        /// The servers.
        instances: Vec<InstanceId>,
    },
    /// A request that was refused has run.
    RanThoughRefused {
        /// The client's attempt.
        attempt: AttemptId,
        /// The status that promised that it would not run.
        status: u16,
    },
    /// A success without a seal, or with that of a server that did not run the request.
    NotSealed {
        /// The client's attempt.
        attempt: AttemptId,
    },
    /// The answer belongs to another request.
    ForeignAnswer {
        /// The client's attempt.
        attempt: AttemptId,
    },
    /// The body or the status is not the server's.
    ChangedAnswer {
        /// The client's attempt.
        attempt: AttemptId,
    },
    /// The events of a stream are not those of its runs.
    WrongEvents {
        /// The client's attempt.
        attempt: AttemptId,
        /// Their ids.
        ids: Vec<u64>,
    },
    /// A stream that may not be resumed has events of two servers.
    JoinedRuns {
        /// The client's attempt.
        attempt: AttemptId,
    },
    /// A request reached a server long after its draining was acknowledged.
    ReachedDrained {
        /// The client's attempt.
        attempt: AttemptId,
        /// The server.
        instance: InstanceId,
        /// How long after the acknowledgement, in milliseconds.
        late_millis: u64,
    },
    /// A request was handled as only a configuration older than this one allows.
    OlderInForce {
        /// The client's attempt.
        attempt: AttemptId,
        /// The number of the proxy.
        proxy: usize,
        /// The newest acknowledged revision, or the newest one that the proxy had shown.
        newest: u64,
    },
    /// A refused configuration is in force.
    RefusedInForce {
        /// The client's attempt.
        attempt: AttemptId,
        /// Its revision.
        revision: u64,
    },
    /// Two changes on top of one revision were acknowledged.
    TwoOnOneBase {
        /// The revision that both build on.
        base: u64,
    },
    /// The configuration that was read back is older than the newest acknowledged one, or not as it was sent.
    WrongReadBack {
        /// Its revision, if there was one.
        found: Option<u64>,
        /// The newest acknowledged revision.
        acknowledged: u64,
    },
    /// Two holders gave orders with one fencing token.
    SharedFence {
        /// The server.
        instance: InstanceId,
        /// The token.
        fence: u64,
    },
    /// Two holders gave orders to one server within the lease.
    TookTurns {
        /// The server.
        instance: InstanceId,
        /// Both holders.
        owners: [Rc<str>; 2],
        /// The time between their orders, in milliseconds.
        after_millis: u64,
    },
    /// A process ended by itself.
    EndedByItself {
        /// Its machine.
        machine: MachineId,
    },
    /// Less than a quarter of the requests in the final calm were served.
    NotServed {
        /// The requests.
        requests: usize,
        /// Those that were served.
        served: usize,
    },
}

impl fmt::Display for Details {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Details::CutOff { attempt, kind, proxy, last_run } => {
                write!(
                    f,
                    "{attempt}, {kind:?}, at proxy-{proxy} ended without an answer, last run: {last_run:?}"
                )
            }
            Details::RanTwice { attempt, instances } => {
                let instances: Vec<_> = instances.iter().map(ToString::to_string).collect();
                write!(f, "{attempt} ran at {}", instances.join(", "))
            }
            Details::RanThoughRefused { attempt, status } => write!(f, "{attempt} got {status} and ran"),
            Details::NotSealed { attempt } => write!(f, "{attempt} got a success without its server's seal"),
            Details::ForeignAnswer { attempt } => write!(f, "{attempt} got the answer to another request"),
            Details::ChangedAnswer { attempt } => {
                write!(f, "{attempt} got an answer that is not the server's")
            }
            Details::WrongEvents { attempt, ids } => write!(f, "{attempt} got the events {ids:?}"),
            Details::JoinedRuns { attempt } => write!(f, "{attempt} got events of two runs"),
            Details::ReachedDrained { attempt, instance, late_millis } => {
                write!(f, "{attempt} reached {instance} {late_millis} ms after its draining was acknowledged")
            }
            Details::OlderInForce { attempt, proxy, newest } => {
                write!(f, "{attempt} at proxy-{proxy} was handled by a configuration older than {newest}")
            }
            Details::RefusedInForce { attempt, revision } => {
                write!(f, "{attempt} was handled by configuration {revision}, which was refused")
            }
            Details::TwoOnOneBase { base } => write!(f, "two changes on top of {base} were acknowledged"),
            Details::WrongReadBack { found, acknowledged } => {
                write!(f, "read back {found:?}, acknowledged was {acknowledged}")
            }
            Details::SharedFence { instance, fence } => {
                write!(f, "two holders ordered {instance} with fencing token {fence}")
            }
            Details::TookTurns { instance, owners: [first, second], after_millis } => {
                write!(f, "{first} and, {after_millis} ms later, {second} ordered {instance}")
            }
            Details::EndedByItself { machine } => write!(f, "{machine} ended by itself"),
            Details::NotServed { requests, served } => {
                write!(f, "{served} of {requests} requests were served in the final calm")
            }
        }
    }
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When it was broken.
    pub at: Instant,
    /// How.
    pub details: Details,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}: {}", self.rule, self.at, self.details)
    }
}
