//! Socket options of TCP connections.

use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

/// Options for opening a connection. A `Duration` converts to options with this timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectOptions {
    /// The time within which the connection must be established.
    pub timeout: Duration,
    /// `TCP_USER_TIMEOUT`: the kernel closes the connection if sent data goes unacknowledged for this long.
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

/// Sets the options of an inbound or outbound connection: `TCP_NODELAY`, and `TCP_USER_TIMEOUT` if one is given. Errors
/// are ignored: without the options the connection works, but is slower, or a broken one is detected later.
pub fn set_tcp_options(stream: &TcpStream, user_timeout: Option<Duration>) {
    // Without `TCP_NODELAY`, the second part of a small message waits until the first one is acknowledged.
    let _ = stream.set_nodelay(true);
    if user_timeout.is_some() {
        let _ = SockRef::from(stream).set_tcp_user_timeout(user_timeout);
    }
}
