//! Which ids are taken: by requests that are held, and by requests that went out not long ago and may have run.

use std::collections::{HashSet, VecDeque};
use std::time::{Duration, Instant};

/// The ids that no newcomer may bring. A server takes a second request of the same id for the same
/// request sent again.
pub struct RequestIds {
    pub taken: HashSet<u64>,
    /// Those of requests that are over, until when each is kept.
    pub finished: VecDeque<(Instant, u64)>,
    retention: Duration,
}

impl RequestIds {
    /// `retention`: for how long a request that is over may still run somewhere.
    pub fn new(retention: Duration) -> Self {
        Self { taken: HashSet::new(), finished: VecDeque::new(), retention }
    }

    /// Later requests may run for so long.
    pub fn extend_retention(&mut self, retention: Duration) {
        // Shortened, an id that is kept longer would stand before one that is due.
        self.retention = self.retention.max(retention);
    }

    /// Takes an id; false if it is taken already.
    pub fn try_reserve(&mut self, id: u64, now: Instant) -> bool {
        while let Some((until, finished)) = self.finished.front().copied()
            && until <= now
        {
            self.finished.pop_front();
            self.taken.remove(&finished);
        }
        self.taken.insert(id)
    }

    /// The request is over. One that was never sent leaves its id free at once.
    pub fn release(&mut self, id: u64, sent: bool, now: Instant) {
        if sent {
            self.finished.push_back((now + self.retention, id));
        } else {
            self.taken.remove(&id);
        }
    }
}
