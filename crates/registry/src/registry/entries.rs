//! Publishes and replaces the entries in force, and keeps their indexes up to date.

use std::sync::Arc;

use mosshead_time::Instant;

use crate::server_record::ServerRecord;
use crate::{Entry, Registry, Server};

impl Registry {
    /// Publishes a server under a new version. The caller must ensure that it supersedes the entry in force,
    /// since other processes would not merge it otherwise.
    pub(super) fn publish(&mut self, now: Instant, server: Server) {
        let version = self.published.next();
        self.store(now, Entry { server, source: self.local_id, version });
        self.sources.raise_known_version(self.local_id, version);
    }

    /// Publishes the known state of a server with `change` applied to it.
    pub(super) fn publish_change(&mut self, now: Instant, id: &str, change: impl FnOnce(&mut Server)) {
        let Some(record) = self.records.get(id) else { return };
        let mut server = record.entry.server.clone();
        // If only another node has reported the sequence number, it may belong to a state that is not known
        // here, such as draining. An entry with that number would revert that state.
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
                // If the replaced entry needs no replication, another node is known to have its state, or the
                // state is `Up`, which never needs any.
                if !record.needs_replication(self.local_id, self.published.replicated()) {
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
            self.tombstones.insert(state_since, id);
        }
    }

    fn add_to_indexes(&mut self, now: Instant, id: &Arc<str>, entry: &Entry) {
        self.sources.insert(now, entry.source, entry.version, id.clone());
        if !entry.server.is_removed() {
            self.fingerprint ^= entry.fingerprint();
            self.index.insert(id, &entry.server);
        }
    }

    pub(super) fn remove_from_indexes(&mut self, id: &Arc<str>) {
        let Some(record) = self.records.get(id) else { return };
        let entry = &record.entry;
        self.sources.remove(entry.source, entry.version);
        if entry.server.is_removed() {
            self.tombstones.remove(record.state_since, id);
        } else {
            self.fingerprint ^= entry.fingerprint();
            self.index.remove(id, &entry.server);
        }
    }
}
