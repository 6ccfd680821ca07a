//! Suspected divergence: another registry has the same version vector but different entries, so all entries
//! have to be received again (a full synchronization).

use mosshead_time::{Duration, Instant};

/// The minimum time between two suspected divergences: each one costs a transfer of all entries.
const FULL_SYNC_INTERVAL: Duration = Duration::from_secs(10);

/// The last suspected divergence, and the full synchronization that it requires.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Divergence {
    suspected_at: Option<Instant>,
    is_full_sync_requested: bool,
}

impl Divergence {
    /// Returns true if another divergence may be suspected: the last one was long enough ago, or there was
    /// none.
    pub(crate) fn may_be_suspected(&self, now: Instant) -> bool {
        self.suspected_at.is_none_or(|last| now.duration_since(last) >= FULL_SYNC_INTERVAL)
    }

    /// Records that a divergence is suspected, and requests a full synchronization.
    pub(crate) fn suspect(&mut self, now: Instant) {
        self.suspected_at = Some(now);
        self.is_full_sync_requested = true;
    }

    /// Returns true if a full synchronization was requested, and clears the request.
    pub(crate) fn take_full_sync_request(&mut self) -> bool {
        std::mem::take(&mut self.is_full_sync_requested)
    }
}
