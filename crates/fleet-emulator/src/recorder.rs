//! Records what is seen in an emulation.

use std::cell::RefCell;
use std::rc::Rc;

use mosshead_fleet_rules::History;
use mosshead_time::Instant;

/// Records into one history. Clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Recorder {
    start: tokio::time::Instant,
    history: Rc<RefCell<History>>,
}

impl Recorder {
    /// Begins an empty history now.
    pub(crate) fn new() -> Recorder {
        Recorder { start: tokio::time::Instant::now(), history: Rc::default() }
    }

    /// The present instant, counted from the beginning of the history.
    pub(crate) fn now(&self) -> Instant {
        self.at(tokio::time::Instant::now())
    }

    /// An instant of the runtime's clock, counted from the beginning of the history.
    pub(crate) fn at(&self, instant: tokio::time::Instant) -> Instant {
        Instant::ORIGIN + instant.saturating_duration_since(self.start)
    }

    /// Adds to the history.
    pub(crate) fn record(&self, add: impl FnOnce(&mut History)) {
        add(&mut self.history.borrow_mut());
    }

    /// The history so far.
    pub(crate) fn history(&self) -> History {
        self.history.borrow().clone()
    }
}
