//! Servers in the order of an instant that each of them has: when a timer expires, or when a tombstone was made.

use std::collections::BTreeSet;
use std::sync::Arc;

use mosshead_time::Instant;

/// Ids of servers by an instant, then by id.
#[derive(Clone, Debug, Default)]
pub(crate) struct IdsByInstant {
    ids: BTreeSet<(Instant, Arc<str>)>,
}

impl IdsByInstant {
    pub(crate) fn insert(&mut self, instant: Instant, id: &Arc<str>) {
        self.ids.insert((instant, id.clone()));
    }

    /// Removes an id, given with the instant that it was inserted with.
    pub(crate) fn remove(&mut self, instant: Instant, id: &Arc<str>) {
        self.ids.remove(&(instant, id.clone()));
    }

    /// The id with the earliest instant.
    pub(crate) fn first(&self) -> Option<(Instant, Arc<str>)> {
        self.ids.first().cloned()
    }

    /// Removes all ids whose instants are not after `latest`, and returns them in order.
    pub(crate) fn take_until(&mut self, latest: Instant) -> Vec<Arc<str>> {
        let mut taken = Vec::new();
        while self.ids.first().is_some_and(|(instant, _)| *instant <= latest) {
            taken.extend(self.ids.pop_first().map(|(_, id)| id));
        }
        taken
    }

    pub(crate) fn len(&self) -> usize {
        self.ids.len()
    }
}
