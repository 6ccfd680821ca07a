//! Counts the changes of the live members, and records when the last one happened.

use mosshead_time::Instant;

/// Tracks changes of the live members and their incarnations. After a recent change, gossip is still spreading it, so
/// a sync is delayed; see [`Settings::sync_quiet_period`](crate::Settings::sync_quiet_period).
#[derive(Default)]
pub(crate) struct ChangeCounter {
    /// The number of changes of other members. It never decreases.
    count: u64,
    /// The time of the last change or refutation.
    last_at: Instant,
}

impl ChangeCounter {
    /// Records that another live member is new, has changed, has died or has left.
    pub(crate) fn record_change(&mut self, now: Instant) {
        self.count += 1;
        self.last_at = now;
    }

    /// Records that the local member has raised its incarnation. It is not counted, because it is no change of
    /// another member.
    pub(crate) fn record_refutation(&mut self, now: Instant) {
        self.last_at = now;
    }

    /// The number of changes of other members so far.
    pub(crate) fn count(&self) -> u64 {
        self.count
    }

    /// The time of the last change or refutation.
    pub(crate) fn last_at(&self) -> Instant {
        self.last_at
    }
}
