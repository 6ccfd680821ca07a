//! The monotonic clock of a process.

use mosshead_time::{Duration, Instant};

/// Converts tokio's instants to the [`Instant`] type that the I/O-free libraries use.
///
/// It never returns [`Instant::ORIGIN`], so a default `Instant` is earlier than every event.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    /// When the clock was started.
    start: tokio::time::Instant,
}

impl Clock {
    /// The distance of the clock's first instant from [`Instant::ORIGIN`].
    const START_OFFSET: Duration = Duration::from_millis(1);

    /// Starts a clock. All components of a process share one clock.
    pub(crate) fn start() -> Clock {
        Clock { start: tokio::time::Instant::now() }
    }

    /// The current instant.
    pub(crate) fn now(&self) -> Instant {
        self.at(tokio::time::Instant::now())
    }

    /// Converts a tokio instant. An instant before the start of this clock becomes the clock's first instant.
    pub(crate) fn at(&self, instant: tokio::time::Instant) -> Instant {
        Instant::ORIGIN + Clock::START_OFFSET + instant.saturating_duration_since(self.start)
    }
}
