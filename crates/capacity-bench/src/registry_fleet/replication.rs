//! What control nodes send each other on their own account: entries, and whose heartbeats they receive.

use mosshead_programs::calls::{CompareHeartbeats, ReplicateAck, ReplicateEntries};
use mosshead_registry::{Delta, Entry, VersionVector};
use mosshead_time::Duration;

use super::RegistryFleet;
use crate::counter::encoded;

/// The maximum number of entries in one `ReplicateEntries` call after a shutdown, as in `programs`.
const MAX_REPLICATED_ENTRIES: usize = 128;
/// How many of a source's last versions such a call covers, as in `programs`.
const REPLICATED_VERSIONS: u64 = 64;
/// Heartbeats up to this age are compared, as in `programs`.
const COMPARED_PERIOD: Duration = Duration::from_millis(1_200);

impl RegistryFleet {
    /// Sends a control node the latest entries of another one.
    pub(super) fn replicate_latest_entries(&mut self, from: usize, to: usize) {
        let node = &mut self.control_nodes[from];
        let registry = &mut node.registry;
        let bytes = node.counter.time(|| {
            let mut base = registry.vector();
            let base_version = registry.version().saturating_sub(REPLICATED_VERSIONS);
            base.set(registry.local_id(), base_version);
            encoded(&ReplicateEntries { delta: registry.missing_entries(&base, MAX_REPLICATED_ENTRIES) })
        });
        registry.mark_replicated(&VersionVector::from_iter([(registry.local_id(), registry.version())]));
        self.deliver_entries(from, to, &bytes);
    }

    /// Sends a control node all entries of which another one is the source.
    pub(super) fn replicate_own_entries(&mut self, from: usize, to: usize) {
        let registry = &self.control_nodes[from].registry;
        let is_own = |entry: &&Entry| entry.source == registry.local_id();
        let entries = registry.entries().filter(is_own).cloned().collect();
        let vector = VersionVector::from_iter([(registry.local_id(), registry.version())]);
        let delta = Delta { entries, vector: vector.clone(), is_truncated: true, ..Delta::default() };
        let bytes = encoded(&ReplicateEntries { delta });
        self.deliver_entries(from, to, &bytes);
        self.control_nodes[from].registry.mark_replicated(&vector);
    }

    /// A `ReplicateEntries` call from one control node to another.
    fn deliver_entries(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let vector = self.control_nodes[to].registry.vector();
        let response_len = encoded(&ReplicateAck { changed: true, vector }).len() as u64;
        self.count_call(from, to, bytes.len() as u64, response_len);
        let (now, node) = (self.now, &mut self.control_nodes[to]);
        let registry = &mut node.registry;
        let changed = node.counter.time(|| {
            let call = minicbor::decode::<ReplicateEntries>(bytes);
            call.is_ok_and(|call| registry.merge(now, call.delta))
        });
        if changed {
            self.notify_watches(to);
        }
    }

    /// Reports to the other control nodes whose heartbeats one receives, and then lets that one detect failures.
    pub(super) fn compare_heartbeats(&mut self, from: usize) {
        let now = self.now;
        let response = ReplicateAck { changed: false, vector: VersionVector::default() };
        let response_len = encoded(&response).len() as u64;
        let node = &mut self.control_nodes[from];
        let (registry, source) = (&node.registry, node.registry.local_id());
        let heartbeats = node.counter.time(|| registry.heartbeats_since(now - COMPARED_PERIOD));
        let call = CompareHeartbeats { source: source.0, heartbeats };
        for to in (0..self.control_nodes.len()).filter(|to| *to != from) {
            let bytes = self.control_nodes[from].counter.time(|| encoded(&call));
            self.count_call(from, to, bytes.len() as u64, response_len);
            let node = &mut self.control_nodes[to];
            let registry = &mut node.registry;
            node.counter.time(|| {
                if let Ok(call) = minicbor::decode::<CompareHeartbeats>(&bytes) {
                    registry.record_remote_heartbeats(now, source, &call.heartbeats);
                }
            });
        }
        let node = &mut self.control_nodes[from];
        let registry = &mut node.registry;
        if node.counter.time(|| registry.tick(now)) {
            self.notify_watches(from);
        }
    }

    /// Counts a call and its response at both control nodes.
    fn count_call(&mut self, from: usize, to: usize, call_len: u64, response_len: u64) {
        for node in [from, to] {
            let counter = &mut self.control_nodes[node].counter;
            counter.count_message(call_len);
            counter.count_message(response_len);
        }
    }
}
