//! Until when each suspect may refute.

use std::collections::BTreeMap;

use mosshead_time::{Duration, Instant};

/// The deadlines of exactly the members whose state is suspect, by name.
#[derive(Default)]
pub(crate) struct Suspicions {
    deadlines: BTreeMap<String, Instant>,
}

impl Suspicions {
    /// A member is a suspect, and dead if it does not refute before `deadline`.
    pub(crate) fn begin(&mut self, name: &str, deadline: Instant) {
        self.deadlines.insert(name.to_owned(), deadline);
    }

    /// A member is no suspect any more. Returns whether it was one.
    pub(crate) fn end(&mut self, name: &str) -> bool {
        self.deadlines.remove(name).is_some()
    }

    /// The suspects that have not refuted in time, by name.
    pub(crate) fn expired(&self, now: Instant) -> Vec<String> {
        let expired = self.deadlines.iter().filter(|(_, deadline)| **deadline <= now);
        expired.map(|(name, _)| name.clone()).collect()
    }

    /// The first of the deadlines.
    pub(crate) fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.values().min().copied()
    }

    /// Postpones all deadlines.
    pub(crate) fn postpone(&mut self, delay: Duration) {
        self.deadlines.values_mut().for_each(|deadline| *deadline += delay);
    }
}
