//! Random exchanges: heartbeats are delayed and duplicated; deltas are lost, truncated, duplicated and
//! misdirected. After a final synchronization all registries have, for every server, the received heartbeat
//! with the highest sequence number.

mod common;

use common::{
    all_entries, assert_consistent, control_node, millis, random_below, read_replica, server, synchronize_all,
};
use mosshead_registry::{Delta, OperState, Registry, Server};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SEEDS: u64 = 200;
const STEPS: usize = 1500;
const SERVERS: u8 = 12;
const READ_REPLICAS: u64 = 4;
/// The number of deltas that may be in flight before one arrives.
const MAX_DELTAS_IN_FLIGHT: usize = 6;

/// A server's last heartbeat, and the newest one that a control node has received.
struct ExpectedServer {
    last: Server,
    arrived: Option<Server>,
    is_deregistered: bool,
}

struct DeltaInFlight {
    /// The index of the registry that the delta was computed for.
    to: usize,
    delta: Delta,
}

struct Exchange {
    seed: u64,
    rng: Pcg64Mcg,
    /// The number of control nodes, which are the first ones of `registries`.
    control_nodes: usize,
    registries: Vec<Registry>,
    servers: Vec<ExpectedServer>,
    heartbeats_in_flight: Vec<Server>,
    deltas_in_flight: Vec<DeltaInFlight>,
}

impl Exchange {
    fn new(seed: u64) -> Exchange {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let control_nodes = 3 + random_below(&mut rng, 3) as usize;
        let mut registries: Vec<Registry> =
            (0..control_nodes as u64).map(|number| control_node(10 + number)).collect();
        registries.extend((0..READ_REPLICAS).map(|number| read_replica(100 + number)));
        let servers = (0..SERVERS)
            .map(|number| ExpectedServer { last: server(number, 0), arrived: None, is_deregistered: false })
            .collect();
        Exchange {
            seed,
            rng,
            control_nodes,
            registries,
            servers,
            heartbeats_in_flight: Vec::new(),
            deltas_in_flight: Vec::new(),
        }
    }

    fn random_index(&mut self, count: usize) -> usize {
        random_below(&mut self.rng, count as u64) as usize
    }

    fn random_control_node(&mut self) -> usize {
        self.random_index(self.control_nodes)
    }

    fn is_one_in(&mut self, count: u32) -> bool {
        self.rng.next_u32().is_multiple_of(count)
    }

    fn step(&mut self) {
        match random_below(&mut self.rng, 10) {
            0..=3 => self.send_heartbeat(),
            4..=6 if !self.heartbeats_in_flight.is_empty() => self.receive_heartbeat(),
            7 if self.is_one_in(20) => self.deregister(),
            8 => self.send_digest(),
            _ => self.send_delta(),
        }
        while self.deltas_in_flight.len() > MAX_DELTAS_IN_FLIGHT {
            self.receive_delta();
        }
    }

    /// Sends a heartbeat, which sometimes reports a change and is sometimes duplicated.
    fn send_heartbeat(&mut self) {
        let number = self.random_index(usize::from(SERVERS));
        if self.servers[number].is_deregistered {
            return;
        }
        self.servers[number].last.sequence += 1;
        match random_below(&mut self.rng, 12) {
            0 => self.servers[number].last.slots = random_below(&mut self.rng, 3) as u32,
            1 if self.is_one_in(4) => self.servers[number].last.state = OperState::Draining,
            _ => {}
        }
        let heartbeat = self.servers[number].last.clone();
        self.heartbeats_in_flight.push(heartbeat.clone());
        if self.is_one_in(8) {
            self.heartbeats_in_flight.push(heartbeat);
        }
    }

    /// Delivers the oldest heartbeat, or sometimes a random one.
    fn receive_heartbeat(&mut self) {
        let any = self.random_index(self.heartbeats_in_flight.len());
        let index = if self.is_one_in(4) { any } else { 0 };
        let heartbeat = self.heartbeats_in_flight.remove(index);
        let to = self.random_control_node();
        for server in self.servers.iter_mut().filter(|server| server.last.id == heartbeat.id) {
            if server.arrived.as_ref().is_none_or(|arrived| arrived.sequence < heartbeat.sequence) {
                server.arrived = Some(heartbeat.clone());
            }
        }
        self.registries[to].record_heartbeat(millis(0), heartbeat).unwrap();
    }

    fn deregister(&mut self) {
        let number = self.random_index(usize::from(SERVERS));
        let at = self.random_control_node();
        self.servers[number].is_deregistered = true;
        self.registries[at].deregister(millis(0), &self.servers[number].last.id).unwrap();
    }

    fn send_digest(&mut self) {
        let from = self.random_control_node();
        let to = self.random_control_node();
        let digest = self.registries[from].heartbeats_since(millis(0));
        let source = self.registries[from].local_id();
        self.registries[to].record_remote_heartbeats(millis(0), source, &digest);
    }

    fn send_delta(&mut self) {
        let from = self.random_index(self.registries.len());
        let to = self.random_index(self.registries.len());
        let max_entries = self.random_index(6);
        if from != to {
            let vector = self.registries[to].vector();
            let delta = self.registries[from].missing_entries(&vector, max_entries);
            self.deltas_in_flight.push(DeltaInFlight { to, delta });
        }
    }

    /// Delivers a random delta to its registry, twice, to another registry, or not at all.
    fn receive_delta(&mut self) {
        let index = self.random_index(MAX_DELTAS_IN_FLIGHT + 1);
        let DeltaInFlight { to, delta } = self.deltas_in_flight.swap_remove(index);
        match random_below(&mut self.rng, 6) {
            0 => {}
            1 => {
                self.registries[to].merge(millis(0), delta.clone());
                self.deltas_in_flight.push(DeltaInFlight { to, delta });
                self.deltas_in_flight.swap_remove(0);
            }
            2 => {
                let other = self.random_index(self.registries.len());
                self.registries[other].merge(millis(0), delta);
            }
            _ => {
                self.registries[to].merge(millis(0), delta);
            }
        }
    }

    fn assert_converged(&self) {
        let first = all_entries(&self.registries[0]);
        for registry in &self.registries {
            assert_consistent(registry);
            assert_eq!(all_entries(registry), first, "seed {}", self.seed);
            assert_eq!(registry.fingerprint(), self.registries[0].fingerprint());
        }
        for server in &self.servers {
            self.assert_known(server);
        }
    }

    fn assert_known(&self, server: &ExpectedServer) {
        let seed = self.seed;
        let known = self.registries[0].get(&server.last.id);
        if server.is_deregistered {
            assert_eq!(known.unwrap().state, OperState::Removed, "seed {seed}");
            return;
        }
        let Some(arrived) = &server.arrived else {
            assert_eq!(known, None);
            return;
        };
        let known = known.unwrap();
        assert_eq!((known.slots, known.state), (arrived.slots, arrived.state), "seed {seed}: {}", known.id);
        assert!(known.sequence <= arrived.sequence);
    }
}

#[test]
fn random_exchanges_with_loss_and_duplicates_converge() {
    for seed in 0..SEEDS {
        let mut exchange = Exchange::new(seed);
        for _ in 0..STEPS {
            exchange.step();
        }
        synchronize_all(millis(0), &mut exchange.registries);
        exchange.assert_converged();
    }
}
