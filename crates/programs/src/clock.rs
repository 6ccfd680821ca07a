//! The steady clock of a process.

use mosshead_time::{Duration, Instant};

/// Turns tokio's instants into those that the deciding parts work with.
///
/// An instant that it shows is never [`Instant::ORIGIN`], so that a default `Instant` lies before each event.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    /// When the clock was started.
    start: tokio::time::Instant,
}

impl Clock {
    /// How far the first instant of a clock lies after [`Instant::ORIGIN`].
    const START_OFFSET: Duration = Duration::from_millis(1);

    /// Starts a clock. All parts of a process share one.
    pub(crate) fn start() -> Clock {
        Clock { start: tokio::time::Instant::now() }
    }

    /// The instant at which the caller runs.
    pub(crate) fn now(&self) -> Instant {
        self.at(tokio::time::Instant::now())
    }

    /// Converts an instant of tokio; one before the start of this clock becomes its first instant.
    pub(crate) fn at(&self, instant: tokio::time::Instant) -> Instant {
        Instant::ORIGIN + Clock::START_OFFSET + instant.saturating_duration_since(self.start)
    }
}
