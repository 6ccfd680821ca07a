//! What is known of a connection, and why it ended: handed to a program's log once, as the connection closes.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Why a connection ended. The on-call page explains each code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
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
    /// What only one program knows, by its code.
    Own(&'static str),
}

impl Reason {
    /// The code in the log.
    pub fn code(self) -> &'static str {
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
            Reason::Own(code) => code,
        }
    }
}

/// Whom a connection leads to, and where its end is logged.
#[derive(Clone, Copy, Debug)]
pub struct Side {
    /// Its name in the log.
    pub name: &'static str,
    /// Takes the record of each connection of this side that ends.
    pub log: fn(&Record),
}

/// What is known of an open connection.
#[derive(Debug)]
pub struct Record {
    side: Side,
    peer: SocketAddr,
    began: Instant,
    reason: Cell<Reason>,
    named: Cell<bool>,
    messages: Cell<u64>,
}

impl Record {
    /// Names the reason. The first one named stands: what follows is its consequence.
    pub fn because(&self, reason: Reason) {
        if !self.named.replace(true) {
            self.reason.set(reason);
        }
    }

    /// The reason, should the connection end now and nobody name another.
    pub fn otherwise(&self, reason: Reason) {
        if !self.named.get() {
            self.reason.set(reason);
        }
    }

    /// Counts a message that it carries.
    pub fn message(&self) {
        self.messages.set(self.messages.get() + 1);
    }

    /// The reason as it stands.
    pub fn reason(&self) -> Reason {
        self.reason.get()
    }

    /// The name of its side.
    pub fn side(&self) -> &'static str {
        self.side.name
    }

    /// The other end.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// How many messages it has carried.
    pub fn messages(&self) -> u64 {
        self.messages.get()
    }

    /// How long it has been open.
    pub fn open_for(&self) -> Duration {
        self.began.elapsed()
    }
}

/// The line that a connection owes: logged when this is dropped, which its owner does as it closes.
#[derive(Debug)]
pub struct Line(Rc<Record>);

impl Line {
    /// A connection has come up, or is about to.
    pub fn open(side: Side, peer: SocketAddr) -> Self {
        let (reason, named, messages) = (Cell::new(Reason::ClosedByPeer), Cell::new(false), Cell::new(0));
        Self(Rc::new(Record { side, peer, began: Instant::now(), reason, named, messages }))
    }

    /// What is known of it, to be added to.
    pub fn record(&self) -> Rc<Record> {
        self.0.clone()
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        (self.0.side.log)(&self.0);
    }
}
