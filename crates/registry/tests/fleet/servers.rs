//! The simulated model servers: heartbeats, draining, deregistration and crashes.

use mosshead_registry::{HeartbeatOutcome, OperState, Server};
use mosshead_time::{Duration, Instant, whole_millis};

use crate::common::{HEARTBEAT_INTERVAL, address, random_below, server};
use crate::fleet::{CONTROL_NODES, Fleet, RUN_END, STEP, offset_in_interval};

/// The time from the acknowledgement of a server's draining state to its deregistration.
const DRAINING_TIME: Duration = Duration::from_secs(3);
/// The time from the end of a server to the start of its replacement.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(2);
/// No server changes in this last part of a run, so that all registries can converge.
const CONVERGENCE_TIME: Duration = Duration::from_secs(10);
/// No server starts, drains or crashes in this last part of a run: it is longer than the time from a crash to
/// the removal.
const CRASH_REMOVAL_TIME: Duration = Duration::from_secs(40);

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Lifecycle {
    Up,
    /// `acknowledged` is when a control node first acknowledged the state.
    Draining {
        acknowledged: Option<Instant>,
    },
    Ended(Instant),
}

pub(crate) struct SimulatedServer {
    /// The state that it reports in its next heartbeat.
    pub(crate) reported: Server,
    /// The time within each interval at which it sends a heartbeat.
    pub(crate) heartbeat_offset: Duration,
    /// The control node that last acknowledged a call of it.
    pub(crate) preferred_node: usize,
    pub(crate) lifecycle: Lifecycle,
}

/// A call of a server to a control node.
enum ServerCall {
    Heartbeat(Server),
    /// Contains the server's id.
    Deregister(String),
}

impl Fleet {
    /// Starts a server at an address.
    pub(crate) fn start_server(&mut self, address_number: u8) {
        let mut reported = server(address_number, 0);
        reported.id = format!("i-{}", self.next_server_id);
        reported.address = address(address_number);
        self.next_server_id += 1;
        let steps = whole_millis(HEARTBEAT_INTERVAL) / whole_millis(STEP);
        let heartbeat_offset = STEP * random_below(&mut self.rng, steps) as u32;
        let preferred_node = random_below(&mut self.rng, CONTROL_NODES as u64) as usize;
        self.servers.push(SimulatedServer {
            reported,
            heartbeat_offset,
            preferred_node,
            lifecycle: Lifecycle::Up,
        });
    }

    fn handle_call(&mut self, now: Instant, node_index: usize, call: &ServerCall) -> HeartbeatOutcome {
        let node = &mut self.control_nodes[node_index];
        let outcome = match call {
            ServerCall::Heartbeat(server) => node.record_heartbeat(now, server.clone()),
            ServerCall::Deregister(id) => node.deregister(now, id),
        };
        outcome.expect("the servers are valid and few")
    }

    /// Sends a server's call to a control node. Returns true if it was acknowledged.
    fn send_to_node(&mut self, now: Instant, node_index: usize, call: &ServerCall) -> bool {
        if self.nodes_unreachable_by_servers.contains(&node_index) {
            return false;
        }
        if !self.handle_call(now, node_index, call).needs_replication {
            return true;
        }
        let Some(other) =
            (0..CONTROL_NODES).find(|&other| other != node_index && !self.is_partitioned(node_index, other))
        else {
            return false;
        };
        self.replicate(now, node_index, other);
        assert!(
            !self.handle_call(now, node_index, call).needs_replication,
            "seed {}: still needs replication after it was replicated",
            self.seed
        );
        true
    }

    /// Sends a heartbeat to the control nodes in turn until one acknowledges it.
    fn send_heartbeat(&mut self, now: Instant, number: usize) {
        if matches!(self.servers[number].lifecycle, Lifecycle::Ended(_)) {
            return;
        }
        self.change_server(now, number);
        if let Lifecycle::Draining { acknowledged: Some(acknowledged_at) } = self.servers[number].lifecycle
            && now > acknowledged_at + DRAINING_TIME
        {
            self.deregister_server(now, number);
        }
        if matches!(self.servers[number].lifecycle, Lifecycle::Ended(_)) {
            return;
        }
        let first = self.servers[number].preferred_node;
        for attempt in 0..CONTROL_NODES {
            let node_index = (first + attempt) % CONTROL_NODES;
            self.servers[number].reported.sequence += 1;
            let heartbeat = ServerCall::Heartbeat(self.servers[number].reported.clone());
            if self.send_to_node(now, node_index, &heartbeat) {
                self.servers[number].preferred_node = node_index;
                if let Lifecycle::Draining { acknowledged } = &mut self.servers[number].lifecycle {
                    acknowledged.get_or_insert(now);
                }
                break;
            }
        }
    }

    /// Randomly changes a server, crashes it or lets it start to drain.
    fn change_server(&mut self, now: Instant, number: usize) {
        if self.is_one_in(60) && now < RUN_END - CONVERGENCE_TIME {
            let slots = 1 + random_below(&mut self.rng, 64) as u32;
            self.servers[number].reported.slots = slots;
        }
        if self.is_one_in(50)
            && self.servers[number].lifecycle == Lifecycle::Up
            && now < RUN_END - CRASH_REMOVAL_TIME
        {
            if self.is_one_in(3) {
                // The server crashes without deregistering.
                self.servers[number].lifecycle = Lifecycle::Ended(now);
                return;
            }
            self.servers[number].reported.state = OperState::Draining;
            self.servers[number].lifecycle = Lifecycle::Draining { acknowledged: None };
        }
    }

    /// Deregisters a server at the first control node that acknowledges it. The server ends in any case.
    fn deregister_server(&mut self, now: Instant, number: usize) {
        let call = ServerCall::Deregister(self.servers[number].reported.id.clone());
        for node_index in 0..CONTROL_NODES {
            if self.send_to_node(now, node_index, &call) {
                break;
            }
        }
        self.servers[number].lifecycle = Lifecycle::Ended(now);
    }

    /// Sends the heartbeats that are due at this instant.
    pub(crate) fn send_due_heartbeats(&mut self, now: Instant) {
        for number in 0..self.servers.len() {
            if offset_in_interval(now, HEARTBEAT_INTERVAL) == self.servers[number].heartbeat_offset {
                self.send_heartbeat(now, number);
            }
        }
    }

    /// Starts new servers at the addresses of those that ended [`REPLACEMENT_DELAY`] ago.
    pub(crate) fn replace_ended_servers(&mut self, now: Instant) {
        for number in 0..self.servers.len() {
            let server = &self.servers[number];
            if server.lifecycle == Lifecycle::Ended(now - REPLACEMENT_DELAY)
                && now < RUN_END - CRASH_REMOVAL_TIME
            {
                let address_number = server.reported.address.ip().octets()[3];
                self.start_server(address_number);
            }
        }
    }
}
