//! Anti-entropy: processes exchange version vectors, and the entries that are missing above them.

use mosshead_time::Instant;

use crate::{Delta, Entry, Registry, VersionVector};

impl Registry {
    /// Returns the versions up to which this process has all entries in force.
    pub fn vector(&self) -> VersionVector {
        self.sources.vector()
    }

    /// Returns true if another process has entries of a source of which none are known here. It should send
    /// them.
    pub fn has_unknown_source(&self, theirs: &VersionVector) -> bool {
        theirs
            .iter()
            .any(|(id, version)| version > 0 && id != self.local_id && self.sources.known_version(id) == 0)
    }

    /// Returns true if another process has a higher version of any source than this one.
    pub fn is_behind(&self, theirs: &VersionVector) -> bool {
        theirs.iter().any(|(id, version)| id != self.local_id && version > self.sources.known_version(id))
    }

    /// Returns true if an entry in force lies above the known version of its source, so that it is in no
    /// delta yet.
    pub fn has_entries_above_known_versions(&self) -> bool {
        self.sources.has_entries_above_known_versions()
    }

    /// Returns the entries above a vector, up to `max_entries` of them (0 counts as 1).
    ///
    /// The vector of the delta covers only these entries: a truncated delta ends within a source and does not
    /// list the sources after it, so that the receiver requests them again.
    pub fn missing_entries(&self, theirs: &VersionVector, max_entries: usize) -> Delta {
        let max_entries = max_entries.max(1);
        let mut delta = Delta { fingerprint: self.fingerprint, ..Delta::default() };
        for (source, known_version) in self.sources.known_versions() {
            let base = theirs.get(source);
            let mut covered_version = base;
            for (version, id) in self.sources.entries_above(source, base) {
                if delta.entries.len() >= max_entries {
                    delta.is_truncated = true;
                    break;
                }
                if let Some(entry) = self.entry(id) {
                    delta.entries.push(entry.clone());
                    covered_version = version;
                }
            }
            if !delta.is_truncated {
                covered_version = known_version;
            }
            if base > 0 {
                delta.base.set(source, base);
            }
            if covered_version > 0 {
                delta.vector.set(source, covered_version);
            }
            if delta.is_truncated {
                break;
            }
        }
        delta
    }

    /// Merges the entries of another process. Returns true if any entry in force has changed.
    ///
    /// If both processes have the same vector but different entries, the next [`Registry::tick`] resets the
    /// vector, so that all entries are received again.
    pub fn merge(&mut self, now: Instant, delta: Delta) -> bool {
        let mut changed = false;
        for entry in delta.entries {
            changed |= self.merge_entry(now, entry);
        }
        for (source, version) in delta.vector.iter() {
            // Entries between the known version and the base of the delta may be missing. If the vector were
            // raised over that gap, they would never be requested again.
            if source != self.local_id && self.sources.known_version(source) >= delta.base.get(source) {
                self.sources.raise_known_version(source, version);
            }
        }
        self.sources.drop_empty_sources();
        if !delta.is_truncated && self.has_diverged(now, &delta.vector, delta.fingerprint) {
            self.divergence.suspect(now);
        }
        changed
    }

    fn has_diverged(&self, now: Instant, vector: &VersionVector, fingerprint: u64) -> bool {
        self.divergence.may_be_suspected(now) && fingerprint != self.fingerprint && self.vector() == *vector
    }

    fn merge_entry(&mut self, now: Instant, mut entry: Entry) -> bool {
        entry.normalize();
        if !self.is_plausible(&entry) {
            return false;
        }
        let Some(record) = self.records.get_mut(entry.server.id.as_str()) else {
            if self.is_full() && !entry.server.is_removed() {
                return false;
            }
            self.store(now, entry);
            return true;
        };
        if !entry.supersedes(&record.entry) {
            return false;
        }
        let sequence = entry.server.sequence;
        let has_later_heartbeat = record.last_receiver == self.local_id && record.last_sequence > sequence;
        // This process has received later heartbeats, which reported no change of the state known here. So
        // the entry is outdated, and that state is published with the last sequence number, which supersedes
        // it.
        if has_later_heartbeat
            && !self.is_read_replica
            && !record.entry.server.has_same_properties(&entry.server)
        {
            let mut server = record.entry.server.clone();
            server.sequence = record.last_sequence;
            if entry.source != self.local_id {
                record.replicated_state = record.replicated_state.max(entry.server.state);
            }
            self.publish(now, server);
            return true;
        }
        if sequence > record.last_sequence {
            record.raise_sequence(now, sequence, entry.source);
        }
        self.store(now, entry);
        true
    }

    /// Returns true if a correct process may have sent this entry: the server is valid, the entry has no
    /// version of this process that it has not published, and its version does not belong to another server.
    fn is_plausible(&self, entry: &Entry) -> bool {
        let owner = self.sources.server_id(entry.source, entry.version);
        entry.server.validate().is_ok()
            && (entry.source != self.local_id || entry.version <= self.published.last())
            && owner.is_none_or(|id| **id == *entry.server.id)
    }

    /// Records the vector of another control node: the entries that it covers need no further replication.
    ///
    /// To replicate an entry, send the other node the entries that it is missing, merge its response (the
    /// entries above the vector that it was sent) and call this with the vector of the response. If the other
    /// node has an entry that supersedes the one sent, it never stores the latter, and only its response ends
    /// the need for replication.
    pub fn mark_replicated(&mut self, theirs: &VersionVector) {
        self.published.raise_replicated(theirs.get(self.local_id));
    }

    /// Returns true if another control node is known to have every entry in force that this process
    /// published.
    pub fn is_fully_replicated(&self) -> bool {
        self.published.replicated() >= self.sources.last_version(self.local_id)
    }
}
