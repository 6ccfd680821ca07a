//! An index of the entries by source and version, with the known version of each source.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

use mosshead_time::{Duration, Instant};

use crate::{SourceId, VersionVector};

/// A source that has had no contact for longer than this is considered lost: other nodes then suspect the
/// servers whose heartbeats it received.
pub const SOURCE_TIMEOUT: Duration = Duration::from_secs(3);

/// The maximum number of other control nodes whose last contact is remembered. The oldest are dropped first.
const MAX_CONTACTS: usize = 64;

#[derive(Clone, Debug, Default)]
struct Source {
    /// The version up to which no entry in force of this source is missing here.
    known_version: u64,
    /// The ids of the servers whose entries in force come from this source, by version.
    entries: BTreeMap<u64, Arc<str>>,
    /// When the first entry of the source was stored.
    first_seen_at: Instant,
}

/// The sources of the stored entries.
///
/// A source without entries is dropped: all entries that it has published are superseded, so receiving them
/// again does no harm, and ended incarnations leave no state behind.
#[derive(Clone, Debug, Default)]
pub(crate) struct SourceIndex {
    sources: BTreeMap<SourceId, Source>,
    /// The number of `sources` without entries. They are removed by [`SourceIndex::drop_empty_sources`].
    empty_sources: usize,
    /// When each other control node was last in contact with this one.
    contacts: BTreeMap<SourceId, Instant>,
}

impl SourceIndex {
    /// Adds an entry in force.
    pub(crate) fn insert(&mut self, now: Instant, id: SourceId, version: u64, server_id: Arc<str>) {
        let source = self.sources.entry(id).or_insert_with(|| {
            self.empty_sources += 1;
            Source { first_seen_at: now, ..Source::default() }
        });
        if source.entries.is_empty() {
            self.empty_sources = self.empty_sources.saturating_sub(1);
        }
        source.entries.insert(version, server_id);
    }

    /// Removes a superseded entry. The source itself stays until [`SourceIndex::drop_empty_sources`], so that
    /// its known version can still be raised.
    pub(crate) fn remove(&mut self, id: SourceId, version: u64) {
        let Some(source) = self.sources.get_mut(&id) else { return };
        if source.entries.remove(&version).is_some() && source.entries.is_empty() {
            self.empty_sources += 1;
        }
    }

    /// Returns the server whose entry in force has this source and version.
    pub(crate) fn server_id(&self, id: SourceId, version: u64) -> Option<&Arc<str>> {
        self.sources.get(&id)?.entries.get(&version)
    }

    /// Returns the version up to which no entry of the source is missing; 0 if nothing is known.
    pub(crate) fn known_version(&self, id: SourceId) -> u64 {
        self.sources.get(&id).map_or(0, |source| source.known_version)
    }

    /// Raises the known version. Has no effect on a source without entries.
    pub(crate) fn raise_known_version(&mut self, id: SourceId, version: u64) {
        if let Some(source) = self.sources.get_mut(&id) {
            source.known_version = source.known_version.max(version);
        }
    }

    /// Records a contact with the source itself.
    pub(crate) fn record_contact(&mut self, now: Instant, id: SourceId) {
        let last = self.contacts.entry(id).or_insert(now);
        *last = now.max(*last);
        if self.contacts.len() > MAX_CONTACTS
            && let Some((&oldest, _)) = self.contacts.iter().min_by_key(|(_, last)| **last)
        {
            self.contacts.remove(&oldest);
        }
    }

    /// Returns when the source was last in contact or first seen, whichever is later.
    pub(crate) fn last_seen_at(&self, id: SourceId) -> Option<Instant> {
        let first_seen_at = self.sources.get(&id).map(|source| source.first_seen_at);
        // `None` is less than any instant.
        first_seen_at.max(self.contacts.get(&id).copied())
    }

    /// Returns true if the source itself was in contact within [`SOURCE_TIMEOUT`]. What other nodes report
    /// about it does not count.
    pub(crate) fn has_recent_contact(&self, now: Instant, id: SourceId) -> bool {
        self.contacts.get(&id).is_some_and(|last| now.duration_since(*last) <= SOURCE_TIMEOUT)
    }

    /// Returns the highest version of the source that is in force; 0 if there is none.
    pub(crate) fn last_version(&self, id: SourceId) -> u64 {
        let source = self.sources.get(&id);
        source.and_then(|source| source.entries.last_key_value()).map_or(0, |(&version, _)| version)
    }

    /// Returns the number of sources that have entries.
    pub(crate) fn len(&self) -> usize {
        self.sources.len().saturating_sub(self.empty_sources)
    }

    /// Returns the known versions above 0 of the sources that have entries.
    pub(crate) fn vector(&self) -> VersionVector {
        self.known_versions().collect()
    }

    /// Iterates over the sources that have entries and a known version above 0, with that version.
    pub(crate) fn known_versions(&self) -> impl Iterator<Item = (SourceId, u64)> + '_ {
        self.sources
            .iter()
            .filter(|(_, source)| source.known_version > 0 && !source.entries.is_empty())
            .map(|(&id, source)| (id, source.known_version))
    }

    /// Iterates over the versions and server ids of a source above `base`, up to the known version.
    pub(crate) fn entries_above(
        &self,
        id: SourceId,
        base: u64,
    ) -> impl Iterator<Item = (u64, &Arc<str>)> + '_ {
        self.sources
            .get(&id)
            .filter(move |source| base < source.known_version)
            .into_iter()
            .flat_map(move |source| {
                source.entries.range((Bound::Excluded(base), Bound::Included(source.known_version)))
            })
            .map(|(&version, server_id)| (version, server_id))
    }

    /// Returns true if any source has an entry above its known version.
    pub(crate) fn has_entries_above_known_versions(&self) -> bool {
        let last_version =
            |source: &Source| source.entries.last_key_value().map_or(0, |(version, _)| *version);
        self.sources.values().any(|source| last_version(source) > source.known_version)
    }

    /// Iterates over all server ids, ordered by source and version.
    pub(crate) fn server_ids(&self) -> impl Iterator<Item = &Arc<str>> + '_ {
        self.sources.values().flat_map(|source| source.entries.values())
    }

    /// Sets the known versions of all sources except `local_id` to 0.
    pub(crate) fn reset_known_versions(&mut self, local_id: SourceId) {
        for (&id, source) in &mut self.sources {
            if id != local_id {
                source.known_version = 0;
            }
        }
    }

    /// Drops the sources without entries.
    pub(crate) fn drop_empty_sources(&mut self) {
        if self.empty_sources > 0 {
            self.sources.retain(|_, source| !source.entries.is_empty());
            self.empty_sources = 0;
        }
    }
}
