use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use mosshead_http_links::{ConnectError, ConnectOptions, OutboundConnection, PeerKind};
use tokio::time::Instant;

use crate::CallError;
use crate::server::USER_TIMEOUT;

/// How long a connection is kept for the next call.
const IDLE: Duration = Duration::from_secs(10);
/// Idle connections to one address.
const MAX_IDLE: usize = 4;
/// Idle connections to all addresses.
const MAX_ALL_IDLE: usize = 256;
/// How long one attempt to connect may take; there are two.
const CONNECT: Duration = Duration::from_millis(300);

/// Ends of these connections are not logged one by one.
const PEER: PeerKind = PeerKind { name: "peer", on_close: |_| {} };

/// An open connection. Dropping it closes it.
pub(crate) type Connection = OutboundConnection<Full<Bytes>>;

/// Connects; a lost opening packet would come again only after seconds, so there is a second attempt.
pub(crate) async fn connect(to: SocketAddrV4, deadline: Instant) -> Result<Connection, CallError> {
    let connected = match attempt(to, deadline).await {
        Err(ConnectError::Unreachable | ConnectError::TimedOut) if Instant::now() < deadline => {
            attempt(to, deadline).await
        }
        connected => connected,
    };
    connected.map_err(|_| CallError::Connect)
}

async fn attempt(to: SocketAddrV4, deadline: Instant) -> Result<Connection, ConnectError> {
    let within = CONNECT.min(deadline.saturating_duration_since(Instant::now()));
    Connection::connect(
        PEER,
        to.into(),
        ConnectOptions { timeout: within, user_timeout: Some(USER_TIMEOUT) },
        (),
    )
    .await
}

/// The idle connections.
#[derive(Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<SocketAddrV4, Vec<(Instant, Connection)>>>,
    count: Cell<usize>,
    sweeping: Cell<bool>,
}

impl Pool {
    /// The one that was used last.
    pub fn take(&self, to: SocketAddrV4) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let of_address = idle.get_mut(&to)?;
        while let Some((since, connection)) = of_address.pop() {
            self.count.set(self.count.get().saturating_sub(1));
            if !connection.is_closed() && since.elapsed() < IDLE {
                return Some(connection);
            }
        }
        idle.remove(&to);
        None
    }

    /// Keeps a connection on which nothing is under way.
    pub fn put(self: &Rc<Pool>, to: SocketAddrV4, connection: Connection) {
        if connection.is_closed() || self.count.get() >= MAX_ALL_IDLE {
            return;
        }
        {
            let mut idle = self.idle.borrow_mut();
            let of_address = idle.entry(to).or_default();
            if of_address.len() >= MAX_IDLE {
                return;
            }
            of_address.push((Instant::now(), connection));
            self.count.set(self.count.get().saturating_add(1));
        }
        if !self.sweeping.replace(true) {
            tokio::task::spawn_local(sweep(Rc::downgrade(self)));
        }
    }

    /// Closes those to an address where one has turned out to be dead.
    pub fn forget(&self, to: SocketAddrV4) {
        let gone = self.idle.borrow_mut().remove(&to).map_or(0, |of_address| of_address.len());
        self.count.set(self.count.get().saturating_sub(gone));
    }

    /// Closes those that are idle for too long, and says when the next one will be.
    fn purge(&self) -> Option<Instant> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, of_address| {
            of_address.retain(|(since, connection)| !connection.is_closed() && since.elapsed() < IDLE);
            !of_address.is_empty()
        });
        self.count.set(idle.values().map(Vec::len).sum());
        let oldest = idle.values().flatten().map(|(since, _)| *since).min();
        self.sweeping.set(oldest.is_some());
        oldest.map(|since| since + IDLE)
    }
}

async fn sweep(pool: Weak<Pool>) {
    while let Some(next) = pool.upgrade().and_then(|pool| pool.purge()) {
        tokio::time::sleep_until(next).await;
    }
}
