//! The tenure of the singleton role: from which instant on its owner may send orders.

use mosshead_time::{Duration, Instant};

/// How much longer than a lease a new owner waits, for clocks that differ and orders that are under way.
const TAKEOVER_MARGIN: Duration = Duration::from_millis(500);

/// The time in which a node owns the role under one term.
///
/// Invariant *owners take no turns*: a new owner sends no order before the lease of the one before it, which may have sent
/// its last order just before it lost the role, has surely expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakeoverDelay {
    orders_from: Instant,
}

impl TakeoverDelay {
    /// The tenure that begins now. `lease` is how long the last order of a former owner may be in flight.
    pub fn begin(now: Instant, lease: Duration) -> TakeoverDelay {
        TakeoverDelay { orders_from: now + lease + TAKEOVER_MARGIN }
    }

    /// Whether the owner may send orders.
    pub fn may_send_commands(&self, now: Instant) -> bool {
        now >= self.orders_from
    }
}
