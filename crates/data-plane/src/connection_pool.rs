//! Connections to servers, and those of them that wait for their next request.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use mosshead_http_links::{ConnectOptions, CountGuard, OutboundConnection, PeerKind};
use mosshead_time::Duration;
use quick_error::quick_error;
use tokio::time::Instant;

use crate::server_request::{RequestOrigin, Target};

/// A connection to a server. It carries requests of one origin only: a late response to the one kind can't arrive where
/// a response to the other is due.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    pub(crate) outbound: OutboundConnection<Full<Bytes>>,
    origin: RequestOrigin,
}

/// An idle connection is kept for at most this long.
const MAX_IDLE: Duration = Duration::from_secs(12);
/// An idle connection is closed this long before the server would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// How many idle connections to one server are kept for clients' requests.
const MAX_IDLE_FOR_CLIENTS: usize = 24;
/// How many idle connections to one server are kept for the proxy's own calls.
const MAX_IDLE_FOR_PROXY: usize = 2;
/// Within this time after a response a connection must show that it can carry the next request.
const REUSE_CHECK_TIMEOUT: Duration = Duration::from_millis(2);
/// A connection must be established within this time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The kernel breaks a connection whose bytes have gone unacknowledged for this long.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(400);

const SERVER: PeerKind = PeerKind::unlogged("server");

quick_error! {
    /// Why no connection could be opened.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum OpenError {
        /// This proxy already has as many connections to the server as it may.
        LimitReached {
            display("as many connections to the server are open as this proxy may have")
        }
        /// The connection was not established in time, or was refused.
        Unreachable {
            display("no connection to the server came up")
        }
    }
}

struct IdleConnection {
    connection: PooledConnection,
    expires_at: Instant,
}

#[derive(Default)]
struct ServerConnections {
    idle_for_clients: Vec<IdleConnection>,
    idle_for_proxy: Vec<IdleConnection>,
    /// Connections that are open, idle or not.
    open: Rc<Cell<usize>>,
}

impl ServerConnections {
    fn idle(&mut self, origin: RequestOrigin) -> &mut Vec<IdleConnection> {
        match origin {
            RequestOrigin::Client => &mut self.idle_for_clients,
            RequestOrigin::Proxy => &mut self.idle_for_proxy,
        }
    }
}

/// Connections by the server's instance id: an address may pass on to another instance.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    servers: RefCell<HashMap<Rc<str>, ServerConnections>>,
}

impl ConnectionPool {
    /// Takes an idle connection, if there is one. The newest is taken first: the server may have closed older ones.
    pub(crate) fn take_idle(&self, server_id: &str, origin: RequestOrigin) -> Option<PooledConnection> {
        let now = Instant::now();
        let mut servers = self.servers.borrow_mut();
        let idle = servers.get_mut(server_id)?.idle(origin);
        while let Some(candidate) = idle.pop() {
            if !candidate.connection.outbound.is_closed() && candidate.expires_at > now {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Opens a connection within `time_left`.
    ///
    /// # Errors
    ///
    /// The target's `max_connections` are open already, or the connection was not established.
    pub(crate) async fn open(
        &self,
        target: &Target,
        origin: RequestOrigin,
        time_left: Duration,
    ) -> Result<PooledConnection, OpenError> {
        let open = self.servers.borrow_mut().entry(target.id.clone()).or_default().open.clone();
        if open.get() >= target.max_connections {
            return Err(OpenError::LimitReached);
        }
        let guard = CountGuard::new(&open, 1);
        let options =
            ConnectOptions { timeout: CONNECT_TIMEOUT.min(time_left), user_timeout: Some(TCP_USER_TIMEOUT) };
        match OutboundConnection::open(SERVER, target.address.into(), options, guard).await {
            Some(outbound) => Ok(PooledConnection { outbound, origin }),
            None => Err(OpenError::Unreachable),
        }
    }

    /// Puts a connection back whose response was read to its end. It is closed instead if `until` has passed: after
    /// a suspension of this process it is unknown how long the response has waited, and what the server has sent since.
    /// It is closed, too, if further bytes follow the response.
    pub(crate) async fn put(
        &self,
        server_id: &Rc<str>,
        mut connection: PooledConnection,
        keep_alive: Option<Duration>,
        until: Instant,
    ) {
        let idle_time =
            keep_alive.map_or(MAX_IDLE, |timeout| timeout.saturating_sub(IDLE_MARGIN)).min(MAX_IDLE);
        if idle_time.is_zero()
            || Instant::now() >= until
            || !connection.outbound.is_reusable(REUSE_CHECK_TIMEOUT).await
        {
            return;
        }
        let max_idle = match connection.origin {
            RequestOrigin::Client => MAX_IDLE_FOR_CLIENTS,
            RequestOrigin::Proxy => MAX_IDLE_FOR_PROXY,
        };
        let mut servers = self.servers.borrow_mut();
        let idle = servers.entry(server_id.clone()).or_default().idle(connection.origin);
        if idle.len() < max_idle {
            idle.push(IdleConnection { connection, expires_at: Instant::now() + idle_time });
        }
    }

    /// Drops idle connections that have expired, and the entries of servers that are no longer known.
    pub(crate) fn remove_expired(&self, is_known: impl Fn(&str) -> bool) {
        let now = Instant::now();
        self.servers.borrow_mut().retain(|server_id, server| {
            for idle in [&mut server.idle_for_clients, &mut server.idle_for_proxy] {
                idle.retain(|idle| idle.expires_at > now && !idle.connection.outbound.is_closed());
            }
            is_known(server_id) || server.open.get() > 0
        });
    }
}
