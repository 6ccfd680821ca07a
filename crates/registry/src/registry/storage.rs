//! Stores entries in memory: records, indexes, tombstones and the numbering of what is published here.

use std::sync::Arc;

use mosshead_time::{Duration, Instant};

use crate::server_record::ServerRecord;
use crate::{Entry, Registry, Server};

/// The most tombstones that are kept; the oldest go first.
pub const MAX_TOMBSTONES: usize = 16_384;
/// How long a tombstone is kept.
pub const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(120);

impl Registry {
    /// Publishes a server under a new version. The caller makes sure that it supersedes the entry in force: other
    /// processes would not take it in otherwise.
    pub(super) fn publish(&mut self, now: Instant, server: Server) {
        self.version = self.version.saturating_add(1);
        self.store(now, Entry { server, source: self.local_id, version: self.version });
        self.sources.raise_known_version(self.local_id, self.version);
    }

    /// Publishes what is known about a server with a change to it.
    pub(super) fn publish_change(&mut self, now: Instant, id: &str, change: impl FnOnce(&mut Server)) {
        let Some(record) = self.records.get(id) else { return };
        let mut server = record.entry.server.clone();
        // A sequence number that another node has only reported may belong to a state that is not known here, such as
        // draining. An entry with that number would undo it.
        if record.last_receiver == self.local_id {
            server.sequence = record.last_sequence;
        }
        change(&mut server);
        self.publish(now, server);
    }

    /// Replaces the entry of a server.
    pub(super) fn store(&mut self, now: Instant, mut entry: Entry) {
        entry.normalize();
        let id: Arc<str> = match self.records.get_key_value(entry.server.id.as_str()) {
            Some((id, _)) => id.clone(),
            None => Arc::from(entry.server.id.as_str()),
        };
        self.remove_from_indexes(&id);
        self.add_to_indexes(now, &id, &entry);
        self.store_record(now, &id, entry);
        self.schedule_check(&id);
        self.evict_tombstones();
    }

    fn store_record(&mut self, now: Instant, id: &Arc<str>, entry: Entry) {
        let is_removed = entry.server.is_removed();
        let state_since = match self.records.get_mut(id) {
            Some(record) => {
                let before = &record.entry.server;
                // Another node is known to have the state that is replaced; `Up` never needs replication.
                if !record.needs_replication(self.local_id, self.replicated_version) {
                    record.replicated_state = before.state;
                }
                if before.is_suspected != entry.server.is_suspected || before.state != entry.server.state {
                    record.state_since = now;
                }
                record.last_sequence = record.last_sequence.max(entry.server.sequence);
                record.entry = entry;
                record.state_since
            }
            None => {
                self.records.insert(id.clone(), ServerRecord::new(now, entry));
                now
            }
        };
        if is_removed {
            self.tombstones.insert((state_since, id.clone()));
        }
    }

    fn add_to_indexes(&mut self, now: Instant, id: &Arc<str>, entry: &Entry) {
        self.sources.insert(now, entry.source, entry.version, id.clone());
        if !entry.server.is_removed() {
            self.fingerprint ^= entry.fingerprint();
            self.index.insert(id, &entry.server);
        }
    }

    fn remove_from_indexes(&mut self, id: &Arc<str>) {
        let Some(record) = self.records.get(id) else { return };
        let entry = &record.entry;
        self.sources.remove(entry.source, entry.version);
        if entry.server.is_removed() {
            self.tombstones.remove(&(record.state_since, id.clone()));
        } else {
            self.fingerprint ^= entry.fingerprint();
            self.index.remove(id, &entry.server);
        }
    }

    /// Drops the tombstones that have reached the end of their lifetime.
    pub(super) fn expire_tombstones(&mut self, now: Instant) {
        while let Some((removed_at, id)) = self.tombstones.first().cloned() {
            if now.duration_since(removed_at) < TOMBSTONE_LIFETIME {
                break;
            }
            self.remove_record(&id);
        }
    }

    /// Drops the oldest tombstones beyond [`MAX_TOMBSTONES`].
    fn evict_tombstones(&mut self) {
        while self.tombstones.len() > MAX_TOMBSTONES {
            let Some((_, oldest)) = self.tombstones.first().cloned() else { break };
            self.remove_record(&oldest);
        }
    }

    fn remove_record(&mut self, id: &Arc<str>) {
        self.remove_from_indexes(id);
        if let Some(record) = self.records.remove(id)
            && let Some(expires_at) = record.timer
        {
            self.timers.remove(&(expires_at, id.clone()));
        }
    }
}
