//! Since when this process has run without a pause.

use mosshead_time::{Duration, Instant};

/// Detects pauses of this process by the time between its ticks. While the process is paused, it receives no heartbeats,
/// and servers must not be suspected for that.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Uptime {
    last_tick: Option<Instant>,
    running_since: Instant,
}

impl Uptime {
    /// A process that has not ticked yet.
    pub(crate) fn new() -> Uptime {
        Uptime { last_tick: None, running_since: Instant::ORIGIN }
    }

    /// Records that the process runs now. If the last tick is more than `max_gap` ago, the process was paused since.
    pub(crate) fn tick(&mut self, now: Instant, max_gap: Duration) {
        if self.last_tick.is_none_or(|last| now.duration_since(last) > max_gap) {
            self.running_since = now;
        }
        self.last_tick = Some(now);
    }

    /// Since when the process has run without a pause.
    pub(crate) fn running_since(&self) -> Instant {
        self.running_since
    }
}
