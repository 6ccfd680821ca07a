//! Opens connections to other processes, and keeps idle ones for reuse.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use mosshead_http_links::{ConnectError, ConnectOptions, OutboundConnection, PeerKind};
use tokio::time::Instant;

use crate::error::CallError;
use crate::tcp::USER_TIMEOUT;

/// How long an idle connection is kept for the next call.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The maximum number of idle connections to one address.
const MAX_IDLE_PER_ADDRESS: usize = 4;
/// The maximum number of idle connections to all addresses.
const MAX_IDLE: usize = 256;
/// The timeout of one attempt to connect. There are at most two attempts.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The kind of the peers of these connections, another process of the fleet. Connection events are not logged.
const PEER: PeerKind = PeerKind::unlogged("peer");

/// An open connection. Dropping it closes it.
pub(crate) type Connection = OutboundConnection<Full<Bytes>>;

/// Opens a connection, in at most two attempts. The kernel would retransmit a lost SYN only after one second; the
/// second attempt begins earlier.
///
/// # Errors
///
/// [`CallError::Connect`] if no attempt succeeds by the deadline.
pub(crate) async fn connect(to: SocketAddrV4, deadline: Instant) -> Result<Connection, CallError> {
    let connected = match try_connect(to, deadline).await {
        Err(ConnectError::Unreachable | ConnectError::TimedOut) if Instant::now() < deadline => {
            try_connect(to, deadline).await
        }
        connected => connected,
    };
    connected.map_err(|_| CallError::Connect)
}

async fn try_connect(to: SocketAddrV4, deadline: Instant) -> Result<Connection, ConnectError> {
    let timeout = CONNECT_TIMEOUT.min(deadline.saturating_duration_since(Instant::now()));
    let options = ConnectOptions { timeout, user_timeout: Some(USER_TIMEOUT) };
    Connection::connect(PEER, to.into(), options, ()).await
}

/// The idle connections of a caller.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    /// By address, the most recently used connection last.
    idle: RefCell<HashMap<SocketAddrV4, Vec<IdleConnection>>>,
    /// The number of connections in `idle`.
    count: Cell<usize>,
    /// True while the task that closes expired connections runs.
    has_expiry_task: Cell<bool>,
}

struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
}

impl IdleConnection {
    fn is_usable(&self) -> bool {
        !self.connection.is_closed() && self.idle_since.elapsed() < IDLE_TIMEOUT
    }
}

impl ConnectionPool {
    /// Removes and returns the most recently used connection to an address.
    pub(crate) fn take(&self, to: SocketAddrV4) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let candidates = idle.get_mut(&to)?;
        while let Some(candidate) = candidates.pop() {
            self.count.set(self.count.get().saturating_sub(1));
            if candidate.is_usable() {
                return Some(candidate.connection);
            }
        }
        idle.remove(&to);
        None
    }

    /// Stores an idle connection, or closes it if there are too many.
    pub(crate) fn put(self: &Rc<ConnectionPool>, to: SocketAddrV4, connection: Connection) {
        if connection.is_closed() || self.count.get() >= MAX_IDLE {
            return;
        }
        {
            let mut idle = self.idle.borrow_mut();
            let connections = idle.entry(to).or_default();
            if connections.len() >= MAX_IDLE_PER_ADDRESS {
                return;
            }
            connections.push(IdleConnection { connection, idle_since: Instant::now() });
            self.count.set(self.count.get().saturating_add(1));
        }
        if !self.has_expiry_task.replace(true) {
            tokio::task::spawn_local(close_expired_connections(Rc::downgrade(self)));
        }
    }

    /// Closes all idle connections to an address.
    pub(crate) fn close_all_to(&self, to: SocketAddrV4) {
        let closed = self.idle.borrow_mut().remove(&to).map_or(0, |connections| connections.len());
        self.count.set(self.count.get().saturating_sub(closed));
    }

    /// Closes the expired connections. Returns the instant at which the next one expires, or `None` if none is left.
    fn close_expired(&self) -> Option<Instant> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections.retain(IdleConnection::is_usable);
            !connections.is_empty()
        });
        self.count.set(idle.values().map(Vec::len).sum());
        let oldest = idle.values().flatten().map(|connection| connection.idle_since).min();
        self.has_expiry_task.set(oldest.is_some());
        oldest.map(|idle_since| idle_since + IDLE_TIMEOUT)
    }
}

async fn close_expired_connections(pool: Weak<ConnectionPool>) {
    while let Some(next_expiry) = pool.upgrade().and_then(|pool| pool.close_expired()) {
        tokio::time::sleep_until(next_expiry).await;
    }
}
