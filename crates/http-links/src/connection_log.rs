//! What is known of a connection, and why it ended: handed to a program's log once, as the connection closes.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Why a connection ended. The on-call page explains each code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The other side closed it between two messages.
    ClosedByPeer,
    /// The other side broke it off, or it spoke no HTTP.
    ConnectionBroken,
    /// The submitter left while its job was held.
    ClientGone,
    /// Nobody listened, or the machine said no.
    ConnectionRefused,
    /// It did not come up within the time for connecting.
    ConnectTimeout,
    /// An attempt, a probe or a call on it was given up.
    Abandoned,
    /// Idle for nearly as long as the other side allows.
    IdleTimeout,
    /// It ended, or brought more than its last answer, before the next message was written.
    Stale,
    /// It came and said nothing.
    NoRequest,
    /// Its message did not become whole in time.
    RequestTimeout,
    /// The module asked for idle connections to be closed.
    ClosedByPolicy,
    /// The machine list took the execute node away, moved or restarted it.
    EndpointChanged,
    /// The configuration names another address for the machine list.
    ConfigReloaded,
    /// Idle, and its descriptor was needed elsewhere.
    DescriptorNeeded,
    /// The answer on it could not be used.
    InvalidResponse,
    /// Something it carried was turned down before it became a job.
    BadRequest,
    /// The proxy is being emptied.
    Draining,
    /// The submitter took nothing more of its answer.
    ResponseUnread,
    /// An operator's call has its answer.
    AdminRequestAnswered,
    /// The proxy is stopping.
    ShuttingDown,
    /// What only one program knows, by its code.
    Other(&'static str),
}

impl CloseReason {
    /// The code in the log.
    pub fn code(self) -> &'static str {
        match self {
            CloseReason::ClosedByPeer => "closed-by-peer",
            CloseReason::ConnectionBroken => "broken",
            CloseReason::ClientGone => "submitter-gone",
            CloseReason::ConnectionRefused => "refused",
            CloseReason::ConnectTimeout => "connect-timeout",
            CloseReason::Abandoned => "given-up",
            CloseReason::IdleTimeout => "idle-limit",
            CloseReason::Stale => "stale",
            CloseReason::NoRequest => "silent",
            CloseReason::RequestTimeout => "unfinished",
            CloseReason::ClosedByPolicy => "module-asked",
            CloseReason::EndpointChanged => "list-changed",
            CloseReason::ConfigReloaded => "reloaded",
            CloseReason::DescriptorNeeded => "shed",
            CloseReason::InvalidResponse => "bad-answer",
            CloseReason::BadRequest => "bad-request",
            CloseReason::Draining => "draining",
            CloseReason::ResponseUnread => "unread",
            CloseReason::AdminRequestAnswered => "answered",
            CloseReason::ShuttingDown => "stopping",
            CloseReason::Other(code) => code,
        }
    }
}

/// Whom a connection leads to, and where its end is logged.
#[derive(Clone, Copy, Debug)]
pub struct PeerKind {
    /// Its name in the log.
    pub name: &'static str,
    /// Takes the record of each connection of this side that ends.
    pub on_close: fn(&ConnectionRecord),
}

/// What is known of an open connection.
#[derive(Debug)]
pub struct ConnectionRecord {
    side: PeerKind,
    peer: SocketAddr,
    began: Instant,
    reason: Cell<CloseReason>,
    named: Cell<bool>,
    messages: Cell<u64>,
}

impl ConnectionRecord {
    /// Names the reason. The first one named stands: what follows is its consequence.
    pub fn set_close_reason(&self, reason: CloseReason) {
        if !self.named.replace(true) {
            self.reason.set(reason);
        }
    }

    /// The reason, should the connection end now and nobody name another.
    pub fn set_default_close_reason(&self, reason: CloseReason) {
        if !self.named.get() {
            self.reason.set(reason);
        }
    }

    /// Counts a message that it carries.
    pub fn count_message(&self) {
        self.messages.set(self.messages.get() + 1);
    }

    /// The reason as it stands.
    pub fn close_reason(&self) -> CloseReason {
        self.reason.get()
    }

    /// The name of its side.
    pub fn peer_kind(&self) -> &'static str {
        self.side.name
    }

    /// The other end.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// How many messages it has carried.
    pub fn message_count(&self) -> u64 {
        self.messages.get()
    }

    /// How long it has been open.
    pub fn age(&self) -> Duration {
        self.began.elapsed()
    }
}

/// The line that a connection owes: logged when this is dropped, which its owner does as it closes.
#[derive(Debug)]
pub struct ConnectionLogGuard(Rc<ConnectionRecord>);

impl ConnectionLogGuard {
    /// A connection has come up, or is about to.
    pub fn open(side: PeerKind, peer: SocketAddr) -> Self {
        let (reason, named, messages) =
            (Cell::new(CloseReason::ClosedByPeer), Cell::new(false), Cell::new(0));
        Self(Rc::new(ConnectionRecord { side, peer, began: Instant::now(), reason, named, messages }))
    }

    /// What is known of it, to be added to.
    pub fn record(&self) -> Rc<ConnectionRecord> {
        self.0.clone()
    }
}

impl Drop for ConnectionLogGuard {
    fn drop(&mut self) {
        (self.0.side.on_close)(&self.0);
    }
}
