//! Tracks whether a server may have run a client's request.

use std::cell::Cell;
use std::rc::Rc;

/// Counts the attempts of one request that may have run. The clones of a tracker share their count, so that the count
/// can be read after the future that makes the attempts has been dropped.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunTracker(Rc<Cell<u32>>);

impl RunTracker {
    /// Records an attempt before it is made: the attempt may be dropped at any time, and the server may run the request
    /// nevertheless.
    pub(crate) fn record_attempt(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// Undoes the last `record_attempt` after it is certain that the server did not run the request and never will.
    pub(crate) fn revoke_attempt(&self) {
        self.0.set(self.0.get().saturating_sub(1));
    }

    /// True if a server may have run the request or may run it now.
    pub(crate) fn may_have_run(&self) -> bool {
        self.0.get() > 0
    }
}
