//! Detection of pauses of this process.

use mosshead_time::{Duration, Instant};

/// Detects pauses of this process by the time between its ticks. A paused process receives no heartbeats, and
/// must not suspect servers for that.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Uptime {
    last_tick: Option<Instant>,
    running_since: Instant,
}

impl Uptime {
    /// Creates the uptime of a process that has not ticked yet.
    pub(crate) fn new() -> Uptime {
        Uptime { last_tick: None, running_since: Instant::ORIGIN }
    }

    /// Records that the process is running now. If the last tick was more than `max_gap` ago, the process was
    /// paused in between.
    pub(crate) fn tick(&mut self, now: Instant, max_gap: Duration) {
        if self.last_tick.is_none_or(|last| now.duration_since(last) > max_gap) {
            self.running_since = now;
        }
        self.last_tick = Some(now);
    }

    /// Returns since when the process has been running without a pause.
    pub(crate) fn running_since(&self) -> Instant {
        self.running_since
    }
}
