//! Limits how often a line of one kind is logged.

use std::cell::Cell;

use mosshead_time::{Duration, Instant};

/// The minimum time between two lines of one kind.
pub const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Admits one line per [`LOG_INTERVAL`], and counts those between.
#[derive(Debug, Default)]
pub struct LogLimit {
    last: Cell<Option<Instant>>,
    suppressed: Cell<u64>,
}

impl LogLimit {
    /// The number of lines that were suppressed since the last one, if a line may be logged now.
    pub fn admit(&self, now: Instant) -> Option<u64> {
        if self.last.get().is_some_and(|last| now - last < LOG_INTERVAL) {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.last.set(Some(now));
        Some(self.suppressed.take())
    }
}
