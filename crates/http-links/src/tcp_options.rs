//! Options of TCP connections.

use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

/// How a connection is opened. A bare `Duration` is the timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectOptions {
    /// The connection has to be established within this time.
    pub timeout: Duration,
    /// `TCP_USER_TIMEOUT`: the system closes the connection if sent data goes unacknowledged for so long.
    pub user_timeout: Option<Duration>,
}

impl From<Duration> for ConnectOptions {
    fn from(timeout: Duration) -> Self {
        Self { timeout, user_timeout: None }
    }
}

impl ConnectOptions {
    /// Sets the options of an established connection; see [`set_tcp_options`].
    pub fn apply_to(&self, stream: &TcpStream) {
        set_tcp_options(stream, self.user_timeout);
    }
}

/// Sets the options of an inbound or outbound connection: `TCP_NODELAY`, and `TCP_USER_TIMEOUT` if one is given. An
/// option that the system does not support is left out: without it the connection works, but is slower, or is found broken
/// later.
pub fn set_tcp_options(stream: &TcpStream, user_timeout: Option<Duration>) {
    // Without it the second part of a small message waits for the acknowledgement of the first.
    let _ = stream.set_nodelay(true);
    if user_timeout.is_some() {
        let _ = SockRef::from(stream).set_tcp_user_timeout(user_timeout);
    }
}
