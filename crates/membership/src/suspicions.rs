//! The deadlines by which suspects must refute.

use std::collections::BTreeMap;

use mosshead_time::{Duration, Instant};

/// The deadlines by name. Contains exactly the members whose state is suspect.
#[derive(Default)]
pub(crate) struct Suspicions {
    deadlines: BTreeMap<String, Instant>,
}

impl Suspicions {
    /// Records a suspect, which is dead if it does not refute before `deadline`.
    pub(crate) fn begin(&mut self, name: &str, deadline: Instant) {
        self.deadlines.insert(name.to_owned(), deadline);
    }

    /// Removes a suspicion. Returns true if the member was suspect.
    pub(crate) fn end(&mut self, name: &str) -> bool {
        self.deadlines.remove(name).is_some()
    }

    /// The names of the suspects that did not refute in time.
    pub(crate) fn expired(&self, now: Instant) -> Vec<String> {
        let expired = self.deadlines.iter().filter(|(_, deadline)| **deadline <= now);
        expired.map(|(name, _)| name.clone()).collect()
    }

    /// The earliest deadline.
    pub(crate) fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.values().min().copied()
    }

    /// Postpones all deadlines.
    pub(crate) fn postpone(&mut self, delay: Duration) {
        self.deadlines.values_mut().for_each(|deadline| *deadline += delay);
    }
}
