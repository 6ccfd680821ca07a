//! The delay after which a new owner of the singleton role may send commands.

use mosshead_time::{Duration, Instant};

/// How much longer than a lease a new owner waits, to allow for clock differences and for commands in flight.
const TAKEOVER_MARGIN: Duration = Duration::from_millis(500);

/// The delay after which a node that owns the role under one term may send commands.
///
/// Invariant: commands of two owners never interleave. The previous owner may have sent its last command just before it
/// lost the role, so a new owner sends none until the previous owner's lease has certainly expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakeoverDelay {
    commands_allowed_from: Instant,
}

impl TakeoverDelay {
    /// Starts the delay now. `lease` is how long the last command of a former owner may be in flight.
    pub fn begin(now: Instant, lease: Duration) -> TakeoverDelay {
        TakeoverDelay { commands_allowed_from: now + lease + TAKEOVER_MARGIN }
    }

    /// True if the owner may send commands.
    pub fn may_send_commands(&self, now: Instant) -> bool {
        now >= self.commands_allowed_from
    }
}
