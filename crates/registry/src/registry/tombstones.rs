//! Tombstones: the entries of removed servers are retained for a while, so that older entries do not revive
//! them.

use std::sync::Arc;

use mosshead_time::{Duration, Instant};

use crate::Registry;

/// The maximum number of tombstones. The oldest are dropped first.
pub const MAX_TOMBSTONES: usize = 16_384;
/// How long a tombstone is retained.
pub const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(120);

impl Registry {
    /// Drops the tombstones that have reached the end of their lifetime.
    pub(super) fn expire_tombstones(&mut self, now: Instant) {
        while let Some((removed_at, id)) = self.tombstones.first()
            && now.duration_since(removed_at) >= TOMBSTONE_LIFETIME
        {
            self.remove_record(&id);
        }
    }

    /// Drops the oldest tombstones beyond [`MAX_TOMBSTONES`].
    pub(super) fn evict_tombstones(&mut self) {
        while self.tombstones.len() > MAX_TOMBSTONES {
            let Some((_, oldest)) = self.tombstones.first() else { break };
            self.remove_record(&oldest);
        }
    }

    fn remove_record(&mut self, id: &Arc<str>) {
        self.remove_from_indexes(id);
        self.cancel_timer(id);
        self.records.remove(id);
    }
}
