//! Options of the TCP connections between processes.

use std::time::Duration;

/// `TCP_USER_TIMEOUT`: the kernel closes a connection if sent data is not acknowledged for this time.
pub(crate) const USER_TIMEOUT: Duration = Duration::from_millis(1500);
