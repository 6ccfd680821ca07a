//! Suspected divergence: another registry has the same version vector and other entries, so that all entries have to be
//! received anew (a full synchronization).

use mosshead_time::{Duration, Instant};

/// How long after one suspected divergence no other is suspected: each one costs the transfer of all entries.
const FULL_SYNC_INTERVAL: Duration = Duration::from_secs(10);

/// The last suspected divergence and the full synchronization that follows it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Divergence {
    suspected_at: Option<Instant>,
    is_full_sync_requested: bool,
}

impl Divergence {
    /// Whether the last one was suspected so long ago that another one may be.
    pub(crate) fn may_be_suspected(&self, now: Instant) -> bool {
        self.suspected_at.is_none_or(|last| now.duration_since(last) >= FULL_SYNC_INTERVAL)
    }

    /// Records that a divergence is suspected, and requests a full synchronization.
    pub(crate) fn suspect(&mut self, now: Instant) {
        self.suspected_at = Some(now);
        self.is_full_sync_requested = true;
    }

    /// Whether a full synchronization was requested; the request is cleared.
    pub(crate) fn take_full_sync_request(&mut self) -> bool {
        std::mem::take(&mut self.is_full_sync_requested)
    }
}
