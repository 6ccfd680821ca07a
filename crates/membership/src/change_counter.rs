//! How often, and when last, what is believed about the live members has changed.

use mosshead_time::Instant;

/// The changes of the live members and their incarnations. While there are some, gossip is still spreading them, so a sync
/// waits; see [`Settings::sync_quiet_period`](crate::Settings::sync_quiet_period).
#[derive(Default)]
pub(crate) struct ChangeCounter {
    /// Changes of other members; never decreases.
    count: u64,
    /// When `count` was last raised, or the local member last refuted.
    last_at: Instant,
}

impl ChangeCounter {
    /// Another live member is new, changed, dead or has left.
    pub(crate) fn record_change(&mut self, now: Instant) {
        self.count += 1;
        self.last_at = now;
    }

    /// The local member has raised its incarnation. That is not counted, as nothing was received.
    pub(crate) fn record_refutation(&mut self, now: Instant) {
        self.last_at = now;
    }

    /// Changes of other members so far.
    pub(crate) fn count(&self) -> u64 {
        self.count
    }

    /// When the live members, or an incarnation, last changed.
    pub(crate) fn last_at(&self) -> Instant {
        self.last_at
    }
}
