//! The request ids in use: those of pending requests, and of finished requests that a server may still be executing.

use std::collections::{HashSet, VecDeque};
use std::time::{Duration, Instant};

/// The ids that no new request may have: a server treats a second request with the same id as a repeat of the first.
pub struct RequestIds {
    /// All ids in use, including those in `finished`.
    in_use: HashSet<u64>,
    /// The ids of finished requests, each with the instant at which it becomes free, ordered by that instant.
    finished: VecDeque<(Instant, u64)>,
    retention: Duration,
}

impl RequestIds {
    /// `retention` is how long a server may still be executing a finished request.
    pub fn new(retention: Duration) -> Self {
        Self { in_use: HashSet::new(), finished: VecDeque::new(), retention }
    }

    /// Extends the retention of requests that finish from now on; a shorter value is ignored.
    pub fn extend_retention(&mut self, retention: Duration) {
        // `finished` would no longer be ordered if the retention could be shortened.
        self.retention = self.retention.max(retention);
    }

    /// Reserves an id for a new request. Returns true if it was free.
    pub fn try_reserve(&mut self, id: u64, now: Instant) -> bool {
        while let Some((free_at, finished)) = self.finished.front().copied()
            && free_at <= now
        {
            self.finished.pop_front();
            self.in_use.remove(&finished);
        }
        self.in_use.insert(id)
    }

    /// Releases the id of a finished request: at once if the request was never sent, otherwise after the retention.
    pub fn release(&mut self, id: u64, was_sent: bool, now: Instant) {
        if was_sent {
            self.finished.push_back((now + self.retention, id));
        } else {
            self.in_use.remove(&id);
        }
    }

    /// The number of ids in use.
    pub fn len(&self) -> usize {
        self.in_use.len()
    }

    /// True if no id is in use.
    pub fn is_empty(&self) -> bool {
        self.in_use.is_empty()
    }

    /// The number of ids in use that belong to finished requests.
    pub fn finished_len(&self) -> usize {
        self.finished.len()
    }
}
