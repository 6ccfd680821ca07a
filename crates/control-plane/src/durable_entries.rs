//! Tracks which entries of the registry are durable in a node's own log.
//!
//! The log is written in the background. Entries are queued in records, and for each record, in queue order,
//! a completion reports whether it is durable. Since each record builds on the ones before it, records queued
//! after a failed one do not count, and all entries that are not durable are queued again.

use std::collections::VecDeque;

use mosshead_registry::{Delta, Registry, SourceId, VersionVector};

/// The maximum number of entries in a record that is appended.
const MAX_RECORD_ENTRIES: usize = 400;
/// The maximum number of entries in a record that replaces the log: more than a registry contains.
const MAX_SNAPSHOT_ENTRIES: usize = 100_000;

/// A record that was queued for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
struct QueuedRecord {
    token: u64,
    /// True if it replaces the log.
    is_snapshot: bool,
    /// The versions up to which all entries in force are durable once this record is; `None` if that is not
    /// known.
    durable_after: Option<VersionVector>,
}

/// A record to write to the log, and the token by which its completion is reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryRecord {
    /// Identifies the write in its completion.
    pub token: u64,
    /// The entries, which are merged into the registry after a restart.
    pub delta: Delta,
}

/// The versions up to which the registry is queued for the log, and up to which it is durable there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DurableEntries {
    /// The version of each source up to which entries were queued.
    queued: VersionVector,
    /// The version of each source up to which all entries in force are durable.
    durable: VersionVector,
    /// The records whose completion was not reported yet, oldest first.
    pending: VecDeque<QueuedRecord>,
    last_token: u64,
}

impl DurableEntries {
    /// Returns the version of each source up to which all entries in force are durable.
    pub fn durable(&self) -> &VersionVector {
        &self.durable
    }

    /// Returns true while the completion of a queued record has not been reported.
    pub fn is_writing(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns true while the completion of a queued record that replaces the log has not been reported.
    fn is_rewriting(&self) -> bool {
        self.pending.iter().any(|record| record.is_snapshot)
    }

    /// Returns the next record of entries that were not queued yet; `None` if there are none. The record
    /// counts as queued from now on: a host that can't queue it must report it as not durable by
    /// [`DurableEntries::complete`].
    pub fn next_record(&mut self, registry: &Registry) -> Option<RegistryRecord> {
        self.apply_reset(&registry.vector());
        let delta = registry.missing_entries(&self.queued, MAX_RECORD_ENTRIES);
        if delta.is_empty() {
            self.mark_all_durable(registry);
            return None;
        }
        let token = self.enqueue(registry, &delta, false);
        Some(RegistryRecord { token, delta })
    }

    /// Returns a record of the whole registry, to replace the log. Returns `None` while such a record is
    /// being written, or if an entry lies above the known version of its source: the record would contain
    /// neither that entry nor the one that it superseded, which the log may still contain.
    pub fn snapshot_record(&mut self, registry: &Registry) -> Option<RegistryRecord> {
        if self.is_rewriting() || registry.has_entries_above_known_versions() {
            return None;
        }
        let delta = registry.missing_entries(&VersionVector::default(), MAX_SNAPSHOT_ENTRIES);
        let token = self.enqueue(registry, &delta, true);
        Some(RegistryRecord { token, delta })
    }

    /// Records the completion of a write. It has no effect if the record was queued after one that failed.
    pub fn complete(&mut self, token: u64, is_durable: bool) {
        let Some(position) = self.pending.iter().position(|record| record.token == token) else { return };
        if !is_durable {
            self.pending.clear();
            self.queued = self.durable.clone();
            return;
        }
        // Completions are reported in order, so the records before this one are complete too.
        for record in self.pending.drain(..=position) {
            if let Some(durable) = record.durable_after {
                self.durable = durable;
            }
        }
    }

    fn enqueue(&mut self, registry: &Registry, delta: &Delta, is_snapshot: bool) -> u64 {
        self.last_token += 1;
        for (source, version) in delta.vector.iter() {
            self.queued.set(source, version);
        }
        // An entry above the known version of its source is in no delta yet, and the entry that it superseded
        // is in no delta any more. Then the log may contain neither of the two.
        let is_complete = !delta.is_truncated && !registry.has_entries_above_known_versions();
        let durable_after = is_complete.then(|| registry.vector());
        self.pending.push_back(QueuedRecord { token: self.last_token, is_snapshot, durable_after });
        self.last_token
    }

    /// Called when nothing is left to queue. Marks all entries in force as durable, unless a record is still
    /// pending or an entry lies above the known version of its source.
    fn mark_all_durable(&mut self, registry: &Registry) {
        if !self.is_writing() && !registry.has_entries_above_known_versions() {
            self.durable = registry.vector();
        }
    }

    /// Lowers the versions to those that the registry still knows. It may have dropped a source without
    /// entries in force, or reset its vector after a divergence, in order to receive all entries again.
    fn apply_reset(&mut self, vector: &VersionVector) {
        let is_lower = |(source, version): (SourceId, u64)| vector.get(source) < version;
        if !self.queued.iter().any(is_lower) {
            return;
        }
        lower_to(&mut self.queued, vector);
        lower_to(&mut self.durable, vector);
        self.pending.iter_mut().for_each(|record| record.durable_after = None);
    }
}

/// Lowers each version to that in `bounds`.
fn lower_to(versions: &mut VersionVector, bounds: &VersionVector) {
    let lowered = versions.iter().map(|(source, version)| (source, version.min(bounds.get(source))));
    *versions = lowered.filter(|(_, version)| *version > 0).collect();
}
