//! Options of TCP connections between processes.

use std::time::Duration;

/// `TCP_USER_TIMEOUT`: the system closes a connection whose data goes unacknowledged for so long.
pub(crate) const USER_TIMEOUT: Duration = Duration::from_millis(1500);
