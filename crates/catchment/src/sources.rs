//! The index of entries by source and version, with what has been seen of each source.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

use crate::{SourceId, Vector};

/// Sources without entries that are still named in the vector.
const MOST_EMPTY: usize = 64;
/// How long a source without entries and contact stays named.
const EMPTY_MS: u64 = 120_000;

#[derive(Clone, Debug, Default)]
struct Source {
    /// Everything up to here has been seen.
    known: u64,
    entries: BTreeMap<u64, Arc<str>>,
    /// Last contact, or when it was first named.
    seen: u64,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Sources {
    all: BTreeMap<SourceId, Source>,
    empty: usize,
}

impl Sources {
    fn source(&mut self, now: u64, id: SourceId) -> &mut Source {
        self.all.entry(id).or_insert_with(|| {
            self.empty += 1;
            Source { seen: now, ..Source::default() }
        })
    }

    pub fn insert(&mut self, now: u64, id: SourceId, version: u64, instance: Arc<str>) {
        let source = self.source(now, id);
        let was_empty = source.entries.is_empty();
        source.entries.insert(version, instance);
        if was_empty {
            self.empty = self.empty.saturating_sub(1);
        }
    }

    pub fn remove(&mut self, id: SourceId, version: u64) {
        let Some(source) = self.all.get_mut(&id) else { return };
        if source.entries.remove(&version).is_some() && source.entries.is_empty() {
            self.empty += 1;
        }
    }

    pub fn instance(&self, id: SourceId, version: u64) -> Option<&Arc<str>> {
        self.all.get(&id)?.entries.get(&version)
    }

    pub fn known(&self, id: SourceId) -> u64 {
        self.all.get(&id).map_or(0, |source| source.known)
    }

    pub fn is_known(&self, id: SourceId) -> bool {
        self.all.get(&id).is_some_and(|source| source.known > 0)
    }

    pub fn claim(&mut self, now: u64, id: SourceId, version: u64) {
        let source = self.source(now, id);
        source.known = source.known.max(version);
    }

    pub fn contact(&mut self, now: u64, id: SourceId) {
        let source = self.source(now, id);
        source.seen = source.seen.max(now);
    }

    pub fn seen(&self, id: SourceId) -> Option<u64> {
        self.all.get(&id).map(|source| source.seen)
    }

    /// How many sources have entries.
    pub fn with_entries(&self) -> usize {
        self.all.len().saturating_sub(self.empty)
    }

    pub fn vector(&self) -> Vector {
        Vector(self.all.iter().filter(|(_, s)| s.known > 0).map(|(&id, s)| (id, s.known)).collect())
    }

    /// Sources and what has been seen of them.
    pub fn each(&self) -> impl Iterator<Item = (SourceId, u64)> + '_ {
        self.all.iter().filter(|(_, s)| s.known > 0).map(|(&id, s)| (id, s.known))
    }

    /// Instances of a source above one version, up to what has been seen.
    pub fn above(&self, id: SourceId, base: u64) -> impl Iterator<Item = (u64, &Arc<str>)> + '_ {
        self.all
            .get(&id)
            .filter(move |source| base < source.known)
            .into_iter()
            .flat_map(move |s| s.entries.range((Bound::Excluded(base), Bound::Included(s.known))))
            .map(|(&version, instance)| (version, instance))
    }

    /// All instances, by source and version.
    pub fn instances(&self) -> impl Iterator<Item = &Arc<str>> + '_ {
        self.all.values().flat_map(|source| source.entries.values())
    }

    /// Claims nothing any more, but of `me`.
    pub fn forget(&mut self, me: SourceId) {
        for (&id, source) in &mut self.all {
            if id != me {
                source.known = 0;
            }
        }
    }

    /// Drops sources without entries: the old ones, and the oldest while there are too many.
    pub fn trim(&mut self, now: u64, me: SourceId) {
        if self.empty == 0 {
            return;
        }
        self.all.retain(|&id, s| id == me || !s.entries.is_empty() || now.saturating_sub(s.seen) <= EMPTY_MS);
        let mut empty: Vec<(u64, SourceId)> =
            self.all.iter().filter(|(_, s)| s.entries.is_empty()).map(|(&id, s)| (s.seen, id)).collect();
        self.empty = empty.len();
        if self.empty <= MOST_EMPTY {
            return;
        }
        empty.sort_unstable();
        for (_, id) in empty {
            if self.empty > MOST_EMPTY && id != me {
                self.all.remove(&id);
                self.empty -= 1;
            }
        }
    }
}
