//! Anti-entropy: processes exchange version vectors and the entries that are missing above them.

use mosshead_time::Instant;

use crate::{Delta, Entry, Registry, VersionVector};

impl Registry {
    /// The versions up to which this process has all entries in force.
    pub fn vector(&self) -> VersionVector {
        self.sources.vector()
    }

    /// Whether another process has entries of a source of which none are known here, and should send them.
    pub fn has_unknown_source(&self, theirs: &VersionVector) -> bool {
        theirs
            .iter()
            .any(|(id, version)| version > 0 && id != self.local_id && self.sources.known_version(id) == 0)
    }

    /// Whether another process has a higher version of any source than this one.
    pub fn is_behind(&self, theirs: &VersionVector) -> bool {
        theirs.iter().any(|(id, version)| id != self.local_id && version > self.sources.known_version(id))
    }

    /// Whether an entry in force lies above the known version of its source: it is in no delta yet.
    pub fn has_entries_above_known_versions(&self) -> bool {
        self.sources.has_entries_above_known_versions()
    }

    /// The entries above a vector, at most `max_entries`, which counts as 1 if it is 0.
    ///
    /// The vector of the delta covers just these: a truncated delta ends within a source and does not name the sources
    /// after it, so that the receiver requests them again.
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

    /// Merges the entries of another process. Returns whether any entry in force has changed.
    ///
    /// If both have the same vector and yet different entries, the next [`Registry::tick`] resets the vector, so that
    /// all entries are received anew.
    pub fn merge(&mut self, now: Instant, delta: Delta) -> bool {
        let mut changed = false;
        for entry in delta.entries {
            changed |= self.merge_entry(now, entry);
        }
        for (source, version) in delta.vector.iter() {
            // Entries between the known version and the base of the delta may be missing: were the vector raised over
            // that gap, they would never be requested again.
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
        // Heartbeats without a change have come here since: the entry is outdated, and what this process knows is
        // published above it.
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

    /// Whether a process without errors may have sent this entry: a valid server, no version of this process that it
    /// has not published, and no version that belongs to another server.
    fn is_plausible(&self, entry: &Entry) -> bool {
        let owner = self.sources.server_id(entry.source, entry.version);
        entry.server.validate().is_ok()
            && (entry.source != self.local_id || entry.version <= self.published.last())
            && owner.is_none_or(|id| **id == *entry.server.id)
    }

    /// Another control node has shown its vector: what that covers needs no further replication.
    ///
    /// To replicate an entry, send the other node the entries that it is missing, merge its response (the entries
    /// missing above the vector shown to it) and call this with the vector of the response. If the other node has an
    /// entry that supersedes the one sent, it never stores that one, and only its response ends the need to replicate.
    pub fn mark_replicated(&mut self, theirs: &VersionVector) {
        self.published.raise_replicated(theirs.get(self.local_id));
    }

    /// Whether another control node is known to have every entry in force that was published here.
    pub fn is_fully_replicated(&self) -> bool {
        self.published.replicated() >= self.sources.last_version(self.local_id)
    }
}
