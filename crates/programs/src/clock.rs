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
    /// The instant at which a clock starts.
    const FIRST_INSTANT: Duration = Duration::from_millis(1);

    /// Starts a clock. All parts of a process share one.
    pub(crate) fn start() -> Clock {
        Clock { start: tokio::time::Instant::now() }
    }

    /// The instant at which the caller runs.
    pub(crate) fn now(&self) -> Instant {
        self.at(tokio::time::Instant::now())
    }

    /// The instant of this clock that is tokio's; the first one for all that lie before its start.
    pub(crate) fn at(&self, instant: tokio::time::Instant) -> Instant {
        Instant::ORIGIN + Clock::FIRST_INSTANT + instant.saturating_duration_since(self.start)
    }
}
