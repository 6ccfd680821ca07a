//! Names of which there is news, and how often it was sent.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

type Place = (u32, Reverse<u64>);

/// Least sent first, and the newest among these.
#[derive(Default)]
pub(crate) struct Rumours {
    places: BTreeMap<String, Place>,
    turn: BTreeSet<(Place, String)>,
    count: u64,
}

impl Rumours {
    /// There is something new of that name.
    pub(crate) fn push(&mut self, name: &str) {
        self.remove(name);
        self.count += 1;
        self.put(name.to_owned(), (0, Reverse(self.count)));
    }

    pub(crate) fn remove(&mut self, name: &str) {
        if let Some(place) = self.places.remove(name) {
            self.turn.remove(&(place, name.to_owned()));
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// The names to send next, in turn.
    pub(crate) fn next(&self) -> impl Iterator<Item = &str> {
        self.turn.iter().map(|(_, name)| name.as_str())
    }

    /// These were sent; what was sent `limit` times is no news any more.
    pub(crate) fn sent(&mut self, names: &[String], limit: u32) {
        for name in names {
            let Some((times, age)) = self.places.get(name).copied() else { continue };
            self.remove(name);
            if times + 1 < limit {
                self.put(name.clone(), (times + 1, age));
            }
        }
    }

    fn put(&mut self, name: String, place: Place) {
        self.places.insert(name.clone(), place);
        self.turn.insert((place, name));
    }
}
