//! The load limits of a server.

use std::time::Duration;

use crate::call::MAX_BODY_BYTES;

/// The limits of the load that a server accepts.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// The maximum number of open connections.
    pub max_connections: usize,
    /// The maximum number of calls that are handled at the same time.
    pub max_concurrent_calls: usize,
    /// The maximum length of the body of a call, in bytes.
    pub max_body_bytes: usize,
    /// The timeout for the head of a call, and therefore for an idle connection.
    pub header_read_timeout: Duration,
    /// The timeout for the body of a call.
    pub body_read_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits {
            max_connections: 512,
            max_concurrent_calls: 1024,
            max_body_bytes: MAX_BODY_BYTES,
            header_read_timeout: Duration::from_secs(15),
            body_read_timeout: Duration::from_secs(5),
        }
    }
}
