//! Deadlines of exchanges with servers.

use mosshead_time::Instant;

/// The deadline of an exchange with a server, on the proxy's clock and on that of the runtime.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deadline {
    /// On the proxy's clock.
    pub(crate) instant: Instant,
    /// On the runtime's clock, for its timers.
    pub(crate) timer: tokio::time::Instant,
}
