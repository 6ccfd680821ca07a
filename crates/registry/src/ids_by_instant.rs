//! Server ids ordered by an instant: when a timer expires, or when a tombstone was created.

use std::collections::BTreeSet;
use std::sync::Arc;

use mosshead_time::Instant;

/// A set of server ids, ordered by instant and then by id.
#[derive(Clone, Debug, Default)]
pub(crate) struct IdsByInstant {
    ids: BTreeSet<(Instant, Arc<str>)>,
}

impl IdsByInstant {
    pub(crate) fn insert(&mut self, instant: Instant, id: &Arc<str>) {
        self.ids.insert((instant, id.clone()));
    }

    /// Removes an id that was inserted with this instant.
    pub(crate) fn remove(&mut self, instant: Instant, id: &Arc<str>) {
        self.ids.remove(&(instant, id.clone()));
    }

    /// Returns the id with the earliest instant, and the instant.
    pub(crate) fn first(&self) -> Option<(Instant, Arc<str>)> {
        self.ids.first().cloned()
    }

    /// Removes all ids whose instant is not after `latest`, and returns them in order.
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
