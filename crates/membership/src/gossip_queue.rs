//! Names of which there is news, and how often it was sent.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    times: u32,
    number: Reverse<u64>,
}

/// Least sent first, and the newest among these.
#[derive(Default)]
pub(crate) struct Rumours {
    places: BTreeMap<String, Place>,
    turn: BTreeSet<(Place, String)>,
    /// When each came, by its number.
    ages: BTreeMap<u64, (u64, String)>,
    count: u64,
}

impl Rumours {
    /// There is something new of that name.
    pub(crate) fn push(&mut self, name: &str, now: u64) {
        self.remove(name);
        self.count += 1;
        self.ages.insert(self.count, (now, name.to_owned()));
        self.put(name.to_owned(), Place { times: 0, number: Reverse(self.count) });
    }

    pub(crate) fn remove(&mut self, name: &str) {
        if let Some(place) = self.places.remove(name) {
            self.turn.remove(&(place, name.to_owned()));
            self.ages.remove(&place.number.0);
        }
    }

    /// What is older is known to all, or is found by comparison.
    pub(crate) fn forget_before(&mut self, time: u64) {
        while let Some(oldest) = self.ages.first_entry().filter(|entry| entry.get().0 < time) {
            let (_, name) = oldest.remove();
            self.remove(&name);
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
            let Some(Place { times, number }) = self.places.get(name).copied() else { continue };
            if times + 1 >= limit {
                self.remove(name);
            } else {
                self.turn.remove(&(Place { times, number }, name.clone()));
                self.put(name.clone(), Place { times: times + 1, number });
            }
        }
    }

    fn put(&mut self, name: String, place: Place) {
        self.places.insert(name.clone(), place);
        self.turn.insert((place, name));
    }
}
