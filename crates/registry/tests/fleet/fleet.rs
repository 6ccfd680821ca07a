//! The registries of the fleet, the faults, and what the processes exchange.

use std::collections::BTreeSet;

use mosshead_registry::Registry;
use mosshead_time::{Duration, Instant, whole_millis};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::common::{control_node, random_below, read_replica};
use crate::servers::SimulatedServer;

/// The virtual clock advances by this.
pub(crate) const STEP: Duration = Duration::from_millis(100);
/// Faults are injected until then.
pub(crate) const FAULTS_END: Instant = Instant::from_millis(60_000);
/// The end of a run.
pub(crate) const RUN_END: Instant = Instant::from_millis(120_000);
/// How often control nodes exchange digests and entries.
const NODE_SYNC_INTERVAL: Duration = Duration::from_millis(300);
/// How often proxies synchronize with the control nodes.
const PROXY_SYNC_INTERVAL: Duration = Duration::from_millis(500);
/// How far back a digest goes.
const DIGEST_WINDOW: Duration = Duration::from_millis(1500);
pub(crate) const CONTROL_NODES: usize = 3;
pub(crate) const PROXIES: usize = 4;

pub(crate) struct Fleet {
    pub(crate) seed: u64,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) control_nodes: Vec<Registry>,
    pub(crate) proxies: Vec<Registry>,
    /// The servers that each proxy has had as draining since its start.
    pub(crate) drained_servers: Vec<BTreeSet<String>>,
    pub(crate) servers: Vec<SimulatedServer>,
    /// Pairs of control nodes, the lower number first.
    pub(crate) node_partitions: BTreeSet<(usize, usize)>,
    /// Pairs of a proxy and a control node.
    pub(crate) proxy_partitions: BTreeSet<(usize, usize)>,
    /// Control nodes that no server reaches.
    pub(crate) nodes_without_servers: BTreeSet<usize>,
    pub(crate) last_source: u64,
    pub(crate) next_server_id: u32,
}

/// The time since the last multiple of an interval.
pub(crate) fn time_into(now: Instant, interval: Duration) -> Duration {
    Duration::from_millis(now.as_millis() % whole_millis(interval))
}

impl Fleet {
    /// A fleet of new control nodes, proxies and ten servers.
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
            nodes_without_servers: BTreeSet::new(),
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

    pub(crate) fn one_in(&mut self, count: u64) -> bool {
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

    /// All partitions end.
    pub(crate) fn heal_partitions(&mut self) {
        self.node_partitions.clear();
        self.proxy_partitions.clear();
        self.nodes_without_servers.clear();
    }

    fn restart_processes(&mut self, now: Instant) {
        if self.one_in(40) {
            let at = random_below(&mut self.rng, CONTROL_NODES as u64) as usize;
            self.control_nodes[at] = self.new_control_node();
        }
        if self.one_in(300) {
            for at in 0..CONTROL_NODES {
                self.control_nodes[at] = self.new_control_node();
            }
        }
        if self.one_in(60) {
            let at = random_below(&mut self.rng, PROXIES as u64) as usize;
            self.proxies[at] = read_replica(1_000_100 + now.as_millis());
            self.drained_servers[at].clear();
        }
    }

    fn change_partitions(&mut self) {
        if self.one_in(20) {
            let a = random_below(&mut self.rng, CONTROL_NODES as u64) as usize;
            let b = (a + 1) % CONTROL_NODES;
            let pair = (a.min(b), a.max(b));
            if !self.node_partitions.remove(&pair) {
                self.node_partitions.insert(pair);
            }
        }
        if self.one_in(20) {
            let pair = (
                random_below(&mut self.rng, PROXIES as u64) as usize,
                random_below(&mut self.rng, CONTROL_NODES as u64) as usize,
            );
            if !self.proxy_partitions.remove(&pair) {
                self.proxy_partitions.insert(pair);
            }
        }
        if self.one_in(40) {
            let at = random_below(&mut self.rng, CONTROL_NODES as u64) as usize;
            if !self.nodes_without_servers.remove(&at) {
                self.nodes_without_servers.insert(at);
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

    /// Runs what is due at this instant.
    pub(crate) fn step(&mut self, now: Instant) {
        self.send_due_heartbeats(now);
        self.replace_ended_servers(now);
        if time_into(now, NODE_SYNC_INTERVAL).is_zero() {
            self.synchronize_control_nodes(now);
        }
        if time_into(now, PROXY_SYNC_INTERVAL).is_zero() {
            self.synchronize_proxies(now);
        }
        for registry in self.control_nodes.iter_mut().chain(&mut self.proxies) {
            registry.tick(now);
        }
    }

    fn synchronize_control_nodes(&mut self, now: Instant) {
        for from in 0..CONTROL_NODES {
            for to in 0..CONTROL_NODES {
                if from != to && !self.is_partitioned(from, to) && !(now < FAULTS_END && self.one_in(5)) {
                    self.send_digest(now, from, to);
                    self.replicate(now, from, to);
                }
            }
        }
    }

    /// One control node reports to another which servers have sent it heartbeats lately.
    fn send_digest(&mut self, now: Instant, from: usize, to: usize) {
        let digest = self.control_nodes[from].heartbeats_since(now - DIGEST_WINDOW);
        let source = self.control_nodes[from].local_id();
        self.control_nodes[to].record_remote_heartbeats(now, source, &digest);
    }

    fn synchronize_proxies(&mut self, now: Instant) {
        for at in 0..PROXIES {
            for from in 0..CONTROL_NODES {
                if !self.proxy_partitions.contains(&(at, from)) {
                    self.synchronize_proxy(now, at, from);
                }
            }
        }
    }

    /// A proxy sends the entries that a control node is missing and merges its response, at times late or twice.
    fn synchronize_proxy(&mut self, now: Instant, at: usize, from: usize) {
        let max_entries = 1 + random_below(&mut self.rng, 40) as usize;
        let (proxy, node) = (&mut self.proxies[at], &mut self.control_nodes[from]);
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
        self.assert_draining_is_final(now, at);
    }
}
