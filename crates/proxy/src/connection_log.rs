//! One line for each connection that ends, on either side, with the code of the reason.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use crate::log::say;

/// Why a connection ended. The on-call page explains each code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reason {
    /// The other side closed it between two messages.
    ClosedByPeer,
    /// The other side broke it off, or it spoke no HTTP.
    Broken,
    /// The submitter left while its job was held.
    SubmitterGone,
    /// Nobody listened, or the machine said no.
    Refused,
    /// It did not come up within the time for connecting.
    ConnectTimeout,
    /// An attempt, a probe or a call on it was given up.
    GivenUp,
    /// Idle for nearly as long as the other side allows.
    IdleLimit,
    /// It ended, or brought more than its last answer, before the next message was written.
    Stale,
    /// It came and said nothing.
    Silent,
    /// Its message did not become whole in time.
    Unfinished,
    /// The module asked for idle connections to be closed.
    ModuleAsked,
    /// The machine list took the execute node away, moved or restarted it.
    ListChanged,
    /// The configuration names another address for the machine list.
    Reloaded,
    /// Idle, and its descriptor was needed elsewhere.
    Shed,
    /// The answer on it could not be used.
    BadAnswer,
    /// Something it carried was turned down before it became a job.
    BadRequest,
    /// The proxy is being emptied.
    Draining,
    /// The submitter took nothing more of its answer.
    Unread,
    /// An operator's call has its answer.
    Answered,
    /// The proxy is stopping.
    Stopping,
}

impl Reason {
    /// The code in the log.
    pub(crate) fn code(self) -> &'static str {
        match self {
            Reason::ClosedByPeer => "closed-by-peer",
            Reason::Broken => "broken",
            Reason::SubmitterGone => "submitter-gone",
            Reason::Refused => "refused",
            Reason::ConnectTimeout => "connect-timeout",
            Reason::GivenUp => "given-up",
            Reason::IdleLimit => "idle-limit",
            Reason::Stale => "stale",
            Reason::Silent => "silent",
            Reason::Unfinished => "unfinished",
            Reason::ModuleAsked => "module-asked",
            Reason::ListChanged => "list-changed",
            Reason::Reloaded => "reloaded",
            Reason::Shed => "shed",
            Reason::BadAnswer => "bad-answer",
            Reason::BadRequest => "bad-request",
            Reason::Draining => "draining",
            Reason::Unread => "unread",
            Reason::Answered => "answered",
            Reason::Stopping => "stopping",
        }
    }
}

/// Whom a connection leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    Submitter,
    ExecuteNode,
    MachineList,
    Operator,
}

/// What is known of an open connection.
pub(crate) struct Record {
    side: Side,
    peer: SocketAddr,
    began: Instant,
    reason: Cell<Reason>,
    named: Cell<bool>,
    messages: Cell<u64>,
}

impl Record {
    /// Names the reason. The first one named stands: what follows is its consequence.
    pub(crate) fn because(&self, reason: Reason) {
        if !self.named.replace(true) {
            self.reason.set(reason);
        }
    }

    /// The reason, should the connection end now and nobody name another.
    pub(crate) fn otherwise(&self, reason: Reason) {
        if !self.named.get() {
            self.reason.set(reason);
        }
    }

    /// Counts a message that it carries.
    pub(crate) fn message(&self) {
        self.messages.set(self.messages.get() + 1);
    }

    /// The reason as it stands.
    pub(crate) fn reason(&self) -> Reason {
        self.reason.get()
    }
}

/// The line that a connection owes: written when this is dropped, which its owner does as it closes.
pub(crate) struct Line(Rc<Record>);

impl Line {
    pub(crate) fn open(side: Side, peer: SocketAddr) -> Self {
        let (reason, named, messages) = (Cell::new(Reason::ClosedByPeer), Cell::new(false), Cell::new(0));
        Self(Rc::new(Record { side, peer, began: Instant::now(), reason, named, messages }))
    }

    pub(crate) fn record(&self) -> Rc<Record> {
        self.0.clone()
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        let record = &self.0;
        if STOPPING.load(Ordering::Relaxed) {
            record.because(Reason::Stopping);
        }
        let side = match record.side {
            Side::Submitter => "submitter",
            Side::ExecuteNode => "execute-node",
            Side::MachineList => "machine-list",
            Side::Operator => "operator",
        };
        let open_s = format_args!("{:.3}", record.began.elapsed().as_secs_f64());
        say!(
            side = %side,
            peer = %record.peer,
            reason = %record.reason.get().code(),
            messages = record.messages.get(),
            open_s = %open_s,
            "connection"
        );
    }
}

/// From now on a connection that ends for no other reason ends because the proxy stops.
pub(crate) fn stopping() {
    STOPPING.store(true, Ordering::Relaxed);
}

static STOPPING: AtomicBool = AtomicBool::new(false);
