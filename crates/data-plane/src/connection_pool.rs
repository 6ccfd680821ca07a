//! The pool of idle connections to servers, and the limit on open ones.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use mosshead_http_links::{ConnectOptions, CountGuard, OutboundConnection, PeerKind};
use mosshead_time::Duration;
use quick_error::quick_error;
use tokio::time::Instant;

use crate::segmented_body::SegmentedBody;
use crate::server_request::{RequestOrigin, Target};

/// A connection to a server. It carries requests of one origin only, so that a late response to a proxy call can't be
/// taken for the response to a client's request, or the other way round.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    pub(crate) outbound: OutboundConnection<SegmentedBody>,
    origin: RequestOrigin,
}

/// The maximum time that an idle connection is kept.
const MAX_IDLE_TIME: Duration = Duration::from_secs(12);
/// Idle connections are closed this long before the server would close them.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// The maximum number of idle connections per server that are kept for clients' requests.
const MAX_IDLE_FOR_CLIENTS: usize = 24;
/// The maximum number of idle connections per server that are kept for the proxy's own calls.
const MAX_IDLE_FOR_PROXY: usize = 2;
/// After a response, a connection that is not ready for the next request within this time is closed.
const REUSE_CHECK_TIMEOUT: Duration = Duration::from_millis(2);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The kernel closes a connection if sent data goes unacknowledged for this long.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(400);

const SERVER: PeerKind = PeerKind::unlogged("server");

quick_error! {
    /// Why no connection could be opened.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum OpenError {
        /// This proxy has reached its limit of connections to the server.
        LimitReached {
            display("as many connections to the server are open as this proxy may have")
        }
        /// The connection was refused or not established in time.
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
    /// The number of open connections, idle or in use.
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

/// Connections by the server's instance id, not by its address, since an address may be reused by another instance.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    servers: RefCell<HashMap<Rc<str>, ServerConnections>>,
}

impl ConnectionPool {
    /// Takes the most recently used idle connection, if there is one: the server may have closed older ones.
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

    /// Opens a connection within `time_left`, or within the connect timeout if that is shorter.
    ///
    /// # Errors
    ///
    /// `max_connections` of the target are already open, or the connection was not established.
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

    /// Returns a connection to the pool after its response was read completely. The connection is closed instead if
    /// further bytes follow the response, or if `until` has passed: the process may have been suspended, and then it is
    /// unknown how long ago the response arrived and what the server has sent since.
    pub(crate) async fn put(
        &self,
        server_id: &Rc<str>,
        mut connection: PooledConnection,
        keep_alive: Option<Duration>,
        until: Instant,
    ) {
        let idle_time = keep_alive
            .map_or(MAX_IDLE_TIME, |timeout| timeout.saturating_sub(IDLE_MARGIN))
            .min(MAX_IDLE_TIME);
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

    /// Drops expired idle connections, and the entries of servers that are neither known nor connected.
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
