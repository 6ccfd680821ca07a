//! The simulated model servers: heartbeats, draining, deregistrations and crashes.

use mosshead_registry::{OperState, Server};

use crate::common::{address, millis, random_below, server};
use crate::fleet::{CONTROL_NODES, Fleet, RUN_END, STEP_MILLIS};

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Lifecycle {
    Up,
    Draining { acknowledged: Option<u64> },
    Ended(u64),
}

pub(crate) struct SimulatedServer {
    /// What it reports in its next heartbeat.
    pub(crate) reported: Server,
    /// When it sends heartbeats within each interval.
    pub(crate) heartbeat_offset: u64,
    /// The control node that last acknowledged it.
    pub(crate) preferred_node: usize,
    pub(crate) lifecycle: Lifecycle,
}

impl Fleet {
    /// Starts a server at an address.
    pub(crate) fn start_server(&mut self, address_number: u8) {
        let mut reported = server(address_number, 0);
        reported.id = format!("i-{}", self.next_server_id);
        reported.address = address(address_number);
        self.next_server_id += 1;
        let heartbeat_offset = random_below(&mut self.rng, 12) * STEP_MILLIS;
        let preferred_node = random_below(&mut self.rng, CONTROL_NODES as u64) as usize;
        self.servers.push(SimulatedServer {
            reported,
            heartbeat_offset,
            preferred_node,
            lifecycle: Lifecycle::Up,
        });
    }

    /// A server's call to a control node. Returns whether it was acknowledged.
    fn send_to_node(&mut self, now: u64, at: usize, server: &Server, deregisters: bool) -> bool {
        if self.nodes_without_servers.contains(&at) {
            return false;
        }
        let outcome = match deregisters {
            true => self.control_nodes[at].deregister(millis(now), &server.id),
            false => self.control_nodes[at].record_heartbeat(millis(now), server.clone()),
        };
        if !outcome.needs_replication {
            return true;
        }
        let Some(other) = (0..CONTROL_NODES).find(|&other| other != at && !self.is_partitioned(at, other))
        else {
            return false;
        };
        self.replicate(now, at, other);
        let again = match deregisters {
            true => self.control_nodes[at].deregister(millis(now), &server.id),
            false => self.control_nodes[at].record_heartbeat(millis(now), server.clone()),
        };
        assert!(
            !again.needs_replication,
            "seed {}: still needs replication after it was replicated",
            self.seed
        );
        true
    }

    /// Sends one heartbeat, to the control nodes in turn until one acknowledges it.
    fn send_heartbeat(&mut self, now: u64, number: usize) {
        if matches!(self.servers[number].lifecycle, Lifecycle::Ended(_)) {
            return;
        }
        self.change_server(now, number);
        if let Lifecycle::Draining { acknowledged: Some(at) } = self.servers[number].lifecycle
            && now > at + 3_000
        {
            self.deregister_server(now, number);
        }
        if matches!(self.servers[number].lifecycle, Lifecycle::Ended(_)) {
            return;
        }
        let first = self.servers[number].preferred_node;
        for attempt in 0..CONTROL_NODES {
            let at = (first + attempt) % CONTROL_NODES;
            self.servers[number].reported.sequence += 1;
            let reported = self.servers[number].reported.clone();
            if self.send_to_node(now, at, &reported, false) {
                self.servers[number].preferred_node = at;
                if let Lifecycle::Draining { acknowledged } = &mut self.servers[number].lifecycle {
                    acknowledged.get_or_insert(now);
                }
                break;
            }
        }
    }

    /// At random a server changes, crashes or starts to drain.
    fn change_server(&mut self, now: u64, number: usize) {
        // Nothing changes in the last seconds, so that all registries can converge.
        if self.one_in(60) && now < RUN_END - 10_000 {
            let slots = 1 + random_below(&mut self.rng, 64) as u32;
            self.servers[number].reported.slots = slots;
        }
        if self.one_in(50) && self.servers[number].lifecycle == Lifecycle::Up && now < RUN_END - 40_000 {
            if self.one_in(3) {
                // It crashes without deregistering.
                self.servers[number].lifecycle = Lifecycle::Ended(now);
                return;
            }
            self.servers[number].reported.state = OperState::Draining;
            self.servers[number].lifecycle = Lifecycle::Draining { acknowledged: None };
        }
    }

    /// Deregisters at the first control node that acknowledges it, and ends in any case.
    fn deregister_server(&mut self, now: u64, number: usize) {
        let reported = self.servers[number].reported.clone();
        for attempt in 0..CONTROL_NODES {
            if self.send_to_node(now, attempt, &reported, true) {
                break;
            }
        }
        self.servers[number].lifecycle = Lifecycle::Ended(now);
    }

    /// Sends the heartbeats that are due at this instant.
    pub(crate) fn send_due_heartbeats(&mut self, now: u64) {
        for number in 0..self.servers.len() {
            if now % 1200 == self.servers[number].heartbeat_offset {
                self.send_heartbeat(now, number);
            }
        }
    }

    /// A new server starts at the address of one that ended two seconds ago.
    pub(crate) fn replace_ended_servers(&mut self, now: u64) {
        for number in 0..self.servers.len() {
            let server = &self.servers[number];
            if server.lifecycle == Lifecycle::Ended(now.saturating_sub(2_000)) && now < RUN_END - 40_000 {
                let address_number = server.reported.address.ip().octets()[3];
                self.start_server(address_number);
            }
        }
    }
}
