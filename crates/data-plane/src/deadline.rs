//! Until when an exchange with a server may take.

use mosshead_time::Instant;

/// Until when an exchange with a server may take, by both clocks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deadline {
    /// By the proxy's clock.
    pub(crate) instant: Instant,
    /// By the runtime's clock, for its timers.
    pub(crate) timer: tokio::time::Instant,
}
