//! Which entries of the registry are durable in a node's own log.
//!
//! The log is written in the background: entries are queued in records, and each record is reported as durable or as
//! failed in the order in which it was queued. A record follows the records before it, so that after a failed one nothing
//! that was queued behind it counts, and all that is not durable is queued again.

use std::collections::VecDeque;

use mosshead_registry::{Delta, Registry, SourceId, VersionVector};

/// Entries of a record that is appended, at most.
const MAX_RECORD_ENTRIES: usize = 400;
/// Entries of a record that replaces the log, at most: more than a registry contains.
const MAX_SNAPSHOT_ENTRIES: usize = 100_000;

/// A record that was queued for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
struct QueuedRecord {
    token: u64,
    /// Whether it replaces the log.
    is_snapshot: bool,
    /// Up to which version of each source all entries in force are durable once this record is; none if that is not known.
    completes: Option<VersionVector>,
}

/// A record to append to the log, and the number by which its completion is reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryRecord {
    /// The number of the write.
    pub token: u64,
    /// The entries; what a restart merges into the registry.
    pub delta: Delta,
}

/// Up to where the registry is queued for the log, and up to where it is durable there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DurableEntries {
    /// Up to which version of each source entries were queued.
    queued: VersionVector,
    /// Up to which version of each source all entries in force are durable.
    durable: VersionVector,
    /// The records without a completion yet, oldest first.
    pending: VecDeque<QueuedRecord>,
    last_token: u64,
}

impl DurableEntries {
    /// Up to which version of each source all entries in force are durable.
    pub fn durable(&self) -> &VersionVector {
        &self.durable
    }

    /// Whether a record was queued whose completion was not reported yet.
    pub fn is_writing(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Whether a record that replaces the log was queued whose completion was not reported yet.
    fn is_rewriting(&self) -> bool {
        self.pending.iter().any(|record| record.is_snapshot)
    }

    /// The next record with entries that were not queued; `None` if there are none. It counts as queued from now on: a
    /// host that can't queue it reports it by [`DurableEntries::complete`] as not durable.
    pub fn next_record(&mut self, registry: &Registry) -> Option<RegistryRecord> {
        self.follow_reset(&registry.vector());
        let delta = registry.missing_entries(&self.queued, MAX_RECORD_ENTRIES);
        if delta.is_empty() {
            self.raise_durable(registry);
            return None;
        }
        let token = self.start(registry, &delta, false);
        Some(RegistryRecord { token, delta })
    }

    /// The record that replaces the log: the whole registry. `None` while that would lose something: an entry above the
    /// known version of its source is not in it, and what it has superseded may be in the log.
    pub fn snapshot_record(&mut self, registry: &Registry) -> Option<RegistryRecord> {
        if self.is_rewriting() || registry.has_entries_above_known_versions() {
            return None;
        }
        let delta = registry.missing_entries(&VersionVector::default(), MAX_SNAPSHOT_ENTRIES);
        let token = self.start(registry, &delta, true);
        Some(RegistryRecord { token, delta })
    }

    /// Records that a write was completed. One that was queued behind a failed write has no effect, whatever its outcome.
    pub fn complete(&mut self, token: u64, is_durable: bool) {
        let Some(position) = self.pending.iter().position(|record| record.token == token) else { return };
        if !is_durable {
            self.pending.clear();
            self.queued = self.durable.clone();
            return;
        }
        // Completions are reported in order: a record that is still pending before this one was never reported.
        for record in self.pending.drain(..=position) {
            if let Some(completes) = record.completes {
                self.durable = completes;
            }
        }
    }

    fn start(&mut self, registry: &Registry, delta: &Delta, is_snapshot: bool) -> u64 {
        self.last_token += 1;
        for (source, version) in delta.vector.iter() {
            self.queued.set(source, version);
        }
        // An entry above the known versions is in no delta yet, and what it has superseded is in none any more: the log
        // would lack what its source has published.
        let is_complete = !delta.is_truncated && !registry.has_entries_above_known_versions();
        let completes = is_complete.then(|| registry.vector());
        self.pending.push_back(QueuedRecord { token: self.last_token, is_snapshot, completes });
        self.last_token
    }

    /// Nothing is left to queue: without a pending record, all entries in force are durable.
    fn raise_durable(&mut self, registry: &Registry) {
        if !self.is_writing() && !registry.has_entries_above_known_versions() {
            self.durable = registry.vector();
        }
    }

    /// Versions that the registry no longer knows don't count. It has dropped a source without entries in force, or has
    /// reset its vector to receive other entries under versions that it had known.
    fn follow_reset(&mut self, vector: &VersionVector) {
        let is_lower = |(source, version): (SourceId, u64)| vector.get(source) < version;
        if !self.queued.iter().any(is_lower) {
            return;
        }
        lower_to(&mut self.queued, vector);
        lower_to(&mut self.durable, vector);
        self.pending.iter_mut().for_each(|record| record.completes = None);
    }
}

/// Lowers the versions to those of `bounds`.
fn lower_to(versions: &mut VersionVector, bounds: &VersionVector) {
    let lowered = versions.iter().map(|(source, version)| (source, version.min(bounds.get(source))));
    *versions = lowered.filter(|(_, version)| *version > 0).collect();
}
