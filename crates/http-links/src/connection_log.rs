//! Records of connections, each passed to the program's log once when the connection closes.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::close_reason::CloseReason;

/// The kind of a connection's peer, and the callback that logs its end.
#[derive(Clone, Copy, Debug)]
pub struct PeerKind {
    /// The name in the log.
    pub name: &'static str,
    /// Called with the record of each connection of this kind when it closes.
    pub on_close: fn(&ConnectionRecord),
}

impl PeerKind {
    /// A kind of peer whose connections are not logged one by one.
    pub const fn unlogged(name: &'static str) -> PeerKind {
        PeerKind { name, on_close: |_| {} }
    }
}

/// The peer, age, message count and close reason of a connection, for the log.
#[derive(Debug)]
pub struct ConnectionRecord {
    peer_kind: PeerKind,
    peer: SocketAddr,
    opened_at: Instant,
    close_reason: Cell<CloseReason>,
    /// True if `close_reason` is final.
    has_close_reason: Cell<bool>,
    message_count: Cell<u64>,
}

impl ConnectionRecord {
    fn new(peer_kind: PeerKind, peer: SocketAddr) -> ConnectionRecord {
        ConnectionRecord {
            peer_kind,
            peer,
            opened_at: Instant::now(),
            close_reason: Cell::new(CloseReason::ClosedByPeer),
            has_close_reason: Cell::new(false),
            message_count: Cell::new(0),
        }
    }

    /// Sets the reason why the connection ends. Only the first call has an effect: later reasons follow from the first.
    pub fn set_close_reason(&self, reason: CloseReason) {
        if !self.has_close_reason.replace(true) {
            self.close_reason.set(reason);
        }
    }

    /// Sets the reason that is logged if the connection ends before [`ConnectionRecord::set_close_reason`] is called.
    pub fn set_default_close_reason(&self, reason: CloseReason) {
        if !self.has_close_reason.get() {
            self.close_reason.set(reason);
        }
    }

    /// Counts a message that the connection carries.
    pub fn count_message(&self) {
        self.message_count.set(self.message_count.get() + 1);
    }

    /// The reason why the connection ended or, while it is open, the reason that would be logged if it ended now.
    pub fn close_reason(&self) -> CloseReason {
        self.close_reason.get()
    }

    /// The name of the kind of peer.
    pub fn peer_kind(&self) -> &'static str {
        self.peer_kind.name
    }

    /// The address of the other end.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// The number of messages that the connection has carried.
    pub fn message_count(&self) -> u64 {
        self.message_count.get()
    }

    /// The time since the connection was opened.
    pub fn age(&self) -> Duration {
        self.opened_at.elapsed()
    }
}

/// Logs a connection when the guard is dropped. The owner of the connection drops it when the connection closes.
#[derive(Debug)]
pub struct ConnectionLogGuard(Rc<ConnectionRecord>);

impl ConnectionLogGuard {
    /// Creates the record of a connection that was accepted or is about to be opened.
    pub fn open(peer_kind: PeerKind, peer: SocketAddr) -> Self {
        Self(Rc::new(ConnectionRecord::new(peer_kind, peer)))
    }

    /// The record of the connection.
    pub fn record(&self) -> Rc<ConnectionRecord> {
        self.0.clone()
    }
}

impl Drop for ConnectionLogGuard {
    fn drop(&mut self) {
        (self.0.peer_kind.on_close)(&self.0);
    }
}
