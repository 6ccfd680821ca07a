//! How often, and when last, the view of the live members has changed.

use mosshead_time::Instant;

/// The changes of the live members and their incarnations. A sync waits until there are none.
#[derive(Default)]
pub(crate) struct ChangeCounter {
    count: u64,
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
