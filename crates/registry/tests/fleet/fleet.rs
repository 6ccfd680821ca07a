//! The registries of the fleet, the injected faults, and the exchanges between processes.

use std::collections::BTreeSet;

use mosshead_registry::Registry;
use mosshead_time::{Duration, Instant, whole_millis};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::common::{control_node, random_below, read_replica};
use crate::servers::SimulatedServer;

/// The time by which the virtual clock advances in one step.
pub(crate) const STEP: Duration = Duration::from_millis(100);
/// The end of fault injection.
pub(crate) const FAULTS_END: Instant = Instant::from_millis(60_000);
/// The end of a run.
pub(crate) const RUN_END: Instant = Instant::from_millis(120_000);
/// How often control nodes exchange digests and entries.
const NODE_SYNC_INTERVAL: Duration = Duration::from_millis(300);
/// How often proxies synchronize with the control nodes.
const PROXY_SYNC_INTERVAL: Duration = Duration::from_millis(500);
/// The period that a digest covers.
const DIGEST_WINDOW: Duration = Duration::from_millis(1500);
pub(crate) const CONTROL_NODES: usize = 3;
pub(crate) const PROXIES: usize = 4;

pub(crate) struct Fleet {
    pub(crate) seed: u64,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) control_nodes: Vec<Registry>,
    pub(crate) proxies: Vec<Registry>,
    /// The servers that each proxy has known as draining since its start.
    pub(crate) drained_servers: Vec<BTreeSet<String>>,
    pub(crate) servers: Vec<SimulatedServer>,
    /// Partitioned pairs of control nodes, the lower index first.
    pub(crate) node_partitions: BTreeSet<(usize, usize)>,
    /// Partitioned pairs of a proxy and a control node.
    pub(crate) proxy_partitions: BTreeSet<(usize, usize)>,
    /// Control nodes that no server can reach.
    pub(crate) nodes_unreachable_by_servers: BTreeSet<usize>,
    pub(crate) last_source: u64,
    pub(crate) next_server_id: u32,
}

/// Returns the time since the last multiple of an interval.
pub(crate) fn offset_in_interval(now: Instant, interval: Duration) -> Duration {
    Duration::from_millis(now.as_millis() % whole_millis(interval))
}

impl Fleet {
    /// Creates a fleet of new control nodes, proxies and ten servers.
    pub(crate) fn new(seed: u64) -> Fleet {
        let mut fleet = Fleet {
            seed,
            rng: Pcg64Mcg::seed_from_u64(seed),
            control_nodes: Vec::new(),
            proxies: (0..PROXIES as u64).map(|number| read_replica(1_000_000 + number)).collect(),
            drained_servers: vec![BTreeSet::new(); PROXIES],
            servers: Vec::new(),
            node_partitions: BTreeSet::new(),
            proxy_partitions: BTreeSet::new(),
            nodes_unreachable_by_servers: BTreeSet::new(),
            last_source: 1,
            next_server_id: 0,
        };
        for _ in 0..CONTROL_NODES {
            let node = fleet.new_control_node();
            fleet.control_nodes.push(node);
        }
        for number in 0..10 {
            fleet.start_server(number);
        }
        fleet
    }

    fn new_control_node(&mut self) -> Registry {
        self.last_source += 1;
        control_node(self.last_source)
    }

    pub(crate) fn is_one_in(&mut self, count: u64) -> bool {
        random_below(&mut self.rng, count) == 0
    }

    pub(crate) fn is_partitioned(&self, a: usize, b: usize) -> bool {
        self.node_partitions.contains(&(a.min(b), a.max(b)))
    }

    /// Restarts processes, and makes or heals partitions.
    pub(crate) fn inject_faults(&mut self, now: Instant) {
        self.restart_processes(now);
        self.change_partitions();
    }

    /// Ends all partitions.
    pub(crate) fn heal_partitions(&mut self) {
        self.node_partitions.clear();
        self.proxy_partitions.clear();
        self.nodes_unreachable_by_servers.clear();
    }

    fn restart_processes(&mut self, now: Instant) {
        if self.is_one_in(40) {
            let node_index = random_below(&mut self.rng, CONTROL_NODES as u64) as usize;
            self.control_nodes[node_index] = self.new_control_node();
        }
        if self.is_one_in(300) {
            for node_index in 0..CONTROL_NODES {
                self.control_nodes[node_index] = self.new_control_node();
            }
        }
        if self.is_one_in(60) {
            let proxy_index = random_below(&mut self.rng, PROXIES as u64) as usize;
            self.proxies[proxy_index] = read_replica(1_000_100 + now.as_millis());
            self.drained_servers[proxy_index].clear();
        }
    }

    fn change_partitions(&mut self) {
        if self.is_one_in(20) {
            let a = random_below(&mut self.rng, CONTROL_NODES as u64) as usize;
            let b = (a + 1) % CONTROL_NODES;
            let pair = (a.min(b), a.max(b));
            if !self.node_partitions.remove(&pair) {
                self.node_partitions.insert(pair);
            }
        }
        if self.is_one_in(20) {
            let pair = (
                random_below(&mut self.rng, PROXIES as u64) as usize,
                random_below(&mut self.rng, CONTROL_NODES as u64) as usize,
            );
            if !self.proxy_partitions.remove(&pair) {
                self.proxy_partitions.insert(pair);
            }
        }
        if self.is_one_in(40) {
            let node_index = random_below(&mut self.rng, CONTROL_NODES as u64) as usize;
            if !self.nodes_unreachable_by_servers.remove(&node_index) {
                self.nodes_unreachable_by_servers.insert(node_index);
            }
        }
    }

    /// Sends another control node the entries that it is missing, and merges its response.
    pub(crate) fn replicate(&mut self, now: Instant, from: usize, to: usize) {
        let vector = self.control_nodes[from].vector();
        let delta = self.control_nodes[from].missing_entries(&self.control_nodes[to].vector(), 1000);
        self.control_nodes[to].merge(now, delta);
        let response = self.control_nodes[to].missing_entries(&vector, 1000);
        self.control_nodes[from].mark_replicated(&response.vector);
        self.control_nodes[from].merge(now, response);
    }

    /// Runs all activities that are due at this instant.
    pub(crate) fn step(&mut self, now: Instant) {
        self.send_due_heartbeats(now);
        self.replace_ended_servers(now);
        if offset_in_interval(now, NODE_SYNC_INTERVAL).is_zero() {
            self.synchronize_control_nodes(now);
        }
        if offset_in_interval(now, PROXY_SYNC_INTERVAL).is_zero() {
            self.synchronize_proxies(now);
        }
        for registry in self.control_nodes.iter_mut().chain(&mut self.proxies) {
            registry.tick(now);
        }
    }

    fn synchronize_control_nodes(&mut self, now: Instant) {
        for from in 0..CONTROL_NODES {
            for to in 0..CONTROL_NODES {
                if from != to && !self.is_partitioned(from, to) && !(now < FAULTS_END && self.is_one_in(5)) {
                    self.send_digest(now, from, to);
                    self.replicate(now, from, to);
                }
            }
        }
    }

    /// Sends the control node `to` a digest of the heartbeats that `from` has received recently.
    fn send_digest(&mut self, now: Instant, from: usize, to: usize) {
        let digest = self.control_nodes[from].heartbeats_since(now - DIGEST_WINDOW);
        let source = self.control_nodes[from].local_id();
        self.control_nodes[to].record_remote_heartbeats(now, source, &digest);
    }

    fn synchronize_proxies(&mut self, now: Instant) {
        for proxy_index in 0..PROXIES {
            for node_index in 0..CONTROL_NODES {
                if !self.proxy_partitions.contains(&(proxy_index, node_index)) {
                    self.synchronize_proxy(now, proxy_index, node_index);
                }
            }
        }
    }

    /// A proxy sends a control node the entries that it is missing, and merges its response, which is
    /// sometimes lost or duplicated.
    fn synchronize_proxy(&mut self, now: Instant, proxy_index: usize, node_index: usize) {
        let max_entries = 1 + random_below(&mut self.rng, 40) as usize;
        let (proxy, node) = (&mut self.proxies[proxy_index], &mut self.control_nodes[node_index]);
        let vector = proxy.vector();
        if node.has_unknown_source(&vector) || node.is_behind(&vector) {
            node.merge(now, proxy.missing_entries(&node.vector(), max_entries));
        }
        let delta = node.missing_entries(&vector, max_entries);
        if now < FAULTS_END && random_below(&mut self.rng, 8) == 0 {
            return;
        }
        proxy.merge(now, delta.clone());
        if random_below(&mut self.rng, 8) == 0 {
            proxy.merge(now, delta);
        }
        self.assert_draining_is_never_reverted(now, proxy_index);
    }
}
