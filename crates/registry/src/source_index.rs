//! The index of entries by source and version, with what has been seen of each source.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

use mosshead_time::Instant;

use crate::{SOURCE_TIMEOUT, SourceId, VersionVector};

/// Contacts that are remembered; the oldest go first.
const MOST_CONTACTS: usize = 64;

#[derive(Clone, Debug, Default)]
struct Source {
    /// Everything up to here has been seen.
    known: u64,
    entries: BTreeMap<u64, Arc<str>>,
    /// When it was first named.
    named: Instant,
}

/// A source without entries is dropped: all that it said has been superseded, so nothing is lost by being given
/// it anew, and lives that have ended leave nothing behind.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sources {
    all: BTreeMap<SourceId, Source>,
    empty: usize,
    contacts: BTreeMap<SourceId, Instant>,
}

impl Sources {
    pub fn insert(&mut self, now: Instant, id: SourceId, version: u64, instance: Arc<str>) {
        let source = self.all.entry(id).or_insert_with(|| {
            self.empty += 1;
            Source { named: now, ..Source::default() }
        });
        if source.entries.is_empty() {
            self.empty = self.empty.saturating_sub(1);
        }
        source.entries.insert(version, instance);
    }

    /// The source itself stays until [`Sources::trim`], so that a claim for it can follow.
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
        self.known(id) > 0
    }

    /// Everything of a source up to here has been seen. Means nothing for a source without entries.
    pub fn claim(&mut self, id: SourceId, version: u64) {
        if let Some(source) = self.all.get_mut(&id) {
            source.known = source.known.max(version);
        }
    }

    pub fn record_contact(&mut self, now: Instant, id: SourceId) {
        let at = self.contacts.entry(id).or_insert(now);
        *at = now.max(*at);
        if self.contacts.len() > MOST_CONTACTS
            && let Some((&oldest, _)) = self.contacts.iter().min_by_key(|(_, at)| **at)
        {
            self.contacts.remove(&oldest);
        }
    }

    /// Last contact, or when the source was first named, whichever is later.
    pub fn seen(&self, id: SourceId) -> Option<Instant> {
        let named = self.all.get(&id).map(|source| source.named);
        named.max(self.contacts.get(&id).copied())
    }

    /// Whether the source itself has lately been in touch; to be named by others doesn't count.
    pub fn is_in_contact(&self, now: Instant, id: SourceId) -> bool {
        self.contacts.get(&id).is_some_and(|at| now.duration_since(*at) <= SOURCE_TIMEOUT)
    }

    /// The last version of a source that still is in force.
    pub fn last(&self, id: SourceId) -> u64 {
        self.all.get(&id).and_then(|s| s.entries.last_key_value()).map_or(0, |(&version, _)| version)
    }

    /// How many sources have entries.
    pub fn with_entries(&self) -> usize {
        self.all.len().saturating_sub(self.empty)
    }

    pub fn vector(&self) -> VersionVector {
        VersionVector(self.each().collect())
    }

    /// Sources and what has been seen of them.
    pub fn each(&self) -> impl Iterator<Item = (SourceId, u64)> + '_ {
        let named = self.all.iter().filter(|(_, s)| s.known > 0 && !s.entries.is_empty());
        named.map(|(&id, s)| (id, s.known))
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
    pub fn forget(&mut self, local_id: SourceId) {
        for (&id, source) in &mut self.all {
            if id != local_id {
                source.known = 0;
            }
        }
    }

    /// Drops the sources without entries.
    pub fn trim(&mut self) {
        if self.empty > 0 {
            self.all.retain(|_, source| !source.entries.is_empty());
            self.empty = 0;
        }
    }
}
