//! Whether this registry may have diverged from another one, so that all entries have to be received anew.

use mosshead_time::{Duration, Instant};

/// How long after one suspected divergence another one may be suspected: a full synchronization sends all entries.
const FULL_SYNC_INTERVAL: Duration = Duration::from_secs(10);

/// The last suspected divergence and the full synchronization that follows it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Divergence {
    suspected_at: Option<Instant>,
    needs_full_sync: bool,
}

impl Divergence {
    /// Whether the last one was suspected so long ago that another one may be.
    pub(crate) fn may_be_suspected(&self, now: Instant) -> bool {
        self.suspected_at.is_none_or(|last| now.duration_since(last) >= FULL_SYNC_INTERVAL)
    }

    /// Another registry has the same vector and other entries.
    pub(crate) fn suspect(&mut self, now: Instant) {
        self.suspected_at = Some(now);
        self.needs_full_sync = true;
    }

    /// Whether a full synchronization is to begin now.
    pub(crate) fn take_full_sync(&mut self) -> bool {
        std::mem::take(&mut self.needs_full_sync)
    }
}
