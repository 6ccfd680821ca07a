//! The request ids in use: those of pending requests, and of finished ones that may still be running at a server.

use std::collections::{HashSet, VecDeque};
use std::time::{Duration, Instant};

/// The ids that no new request may have: a server takes a second request of the same id for a repeat of the first one.
pub struct RequestIds {
    /// All ids in use, also those in `finished`.
    in_use: HashSet<u64>,
    /// The ids of finished requests, with the instant at which each is free again; in the order of these instants.
    finished: VecDeque<(Instant, u64)>,
    retention: Duration,
}

impl RequestIds {
    /// `retention` is how long a finished request may still be running at a server.
    pub fn new(retention: Duration) -> Self {
        Self { in_use: HashSet::new(), finished: VecDeque::new(), retention }
    }

    /// Lengthens the retention of requests that finish from now on; a shorter one has no effect.
    pub fn extend_retention(&mut self, retention: Duration) {
        // `finished` would no longer be in order if it could be shortened.
        self.retention = self.retention.max(retention);
    }

    /// Reserves an id for a new request. Returns whether it was free.
    pub fn try_reserve(&mut self, id: u64, now: Instant) -> bool {
        while let Some((free_at, finished)) = self.finished.front().copied()
            && free_at <= now
        {
            self.finished.pop_front();
            self.in_use.remove(&finished);
        }
        self.in_use.insert(id)
    }

    /// Releases the id of a finished request: at once if it was never sent, else after the retention.
    pub fn release(&mut self, id: u64, was_sent: bool, now: Instant) {
        if was_sent {
            self.finished.push_back((now + self.retention, id));
        } else {
            self.in_use.remove(&id);
        }
    }

    /// How many ids are in use.
    pub fn len(&self) -> usize {
        self.in_use.len()
    }

    /// Whether no id is in use.
    pub fn is_empty(&self) -> bool {
        self.in_use.is_empty()
    }

    /// How many of the ids in use are those of finished requests.
    pub fn finished_len(&self) -> usize {
        self.finished.len()
    }
}
