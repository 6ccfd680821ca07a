//! The start of a fleet: all registries are filled, and what that takes is measured.

use mosshead_programs::calls::ReplicateEntries;
use mosshead_registry::{Registry, SourceId, VersionVector};

use super::{FleetSize, HEARTBEAT_INTERVAL, MAX_ENTRIES, Proxy, RegistryFleet};
use crate::counter::{Counter, encoded};
use crate::memory;

/// What the first synchronization of the registries took.
#[derive(Clone, Copy, Debug, Default)]
pub struct InitialSync {
    /// Bytes of resident memory of a control node's registry.
    pub control_node_memory: f64,
    /// Bytes of resident memory of a proxy's registry.
    pub proxy_memory: f64,
    /// Bytes of the whole registry as it is sent.
    pub list_len: u64,
    /// Processor time of all proxies with a registry to decode and merge it.
    pub list_counter: Counter,
}

impl RegistryFleet {
    /// Fills the registries of the control nodes by heartbeats, and those of the proxies from the first control node.
    pub(super) fn synchronize_all(&mut self, size: FleetSize) {
        let before = memory::resident_bytes();
        (0..size.servers).for_each(|server| self.send_heartbeat(server));
        for from in 0..size.control_nodes {
            for to in (0..size.control_nodes).filter(|to| *to != from) {
                self.replicate_own_entries(from, to);
            }
        }
        self.initial_sync.control_node_memory =
            memory::growth_per_process(before, memory::resident_bytes(), size.control_nodes);
        let before = memory::resident_bytes();
        let vector = self.control_nodes.first().map(|node| node.registry.vector()).unwrap_or_default();
        for proxy in 0..size.proxies {
            let registry = (proxy < size.proxies_with_registry).then(|| self.synchronized_replica(proxy));
            let vector = vector.clone();
            self.proxies.push(Proxy { counter: Counter::default(), registry, vector });
        }
        // What the vectors of the other proxies take is little beside the registries.
        self.initial_sync.proxy_memory =
            memory::growth_per_process(before, memory::resident_bytes(), size.proxies_with_registry);
        self.reset_counters();
    }

    fn synchronized_replica(&mut self, proxy: usize) -> Registry {
        let mut replica = Registry::read_replica(SourceId(1 + proxy as u64), HEARTBEAT_INTERVAL);
        let mut vector = VersionVector::default();
        let Some(node) = self.control_nodes.first() else { return replica };
        let (now, sync) = (self.now, &mut self.initial_sync);
        loop {
            let delta = node.registry.missing_entries(&vector, MAX_ENTRIES);
            let is_truncated = delta.is_truncated;
            let bytes = encoded(&ReplicateEntries { delta });
            if proxy == 0 {
                sync.list_len += bytes.len() as u64;
            }
            sync.list_counter.time(|| {
                if let Ok(call) = minicbor::decode::<ReplicateEntries>(&bytes) {
                    replica.merge(now, call.delta);
                }
            });
            vector = replica.vector();
            if !is_truncated {
                return replica;
            }
        }
    }
}
