//! The simulated model servers: heartbeats, draining, deregistrations and crashes.

use mosshead_registry::{HeartbeatOutcome, OperState, Server};
use mosshead_time::{Duration, Instant, whole_millis};

use crate::common::{HEARTBEAT_INTERVAL, address, random_below, server};
use crate::fleet::{CONTROL_NODES, Fleet, RUN_END, STEP, time_into};

/// A server deregisters so long after the acknowledgement of its draining state.
const DRAINING_TIME: Duration = Duration::from_secs(3);
/// A server is replaced so long after its end.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(2);
/// The last changes lie so long before the end of a run, so that all registries can converge.
const QUIET_END: Duration = Duration::from_secs(10);
/// The last servers start, drain or crash so long before the end of a run: longer than from a crash to the removal.
const STABLE_END: Duration = Duration::from_secs(40);

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Lifecycle {
    Up,
    /// `acknowledged`: when a control node first acknowledged the state.
    Draining {
        acknowledged: Option<Instant>,
    },
    Ended(Instant),
}

pub(crate) struct SimulatedServer {
    /// What it reports in its next heartbeat.
    pub(crate) reported: Server,
    /// When it sends heartbeats within each interval.
    pub(crate) heartbeat_offset: Duration,
    /// The control node that last acknowledged it.
    pub(crate) preferred_node: usize,
    pub(crate) lifecycle: Lifecycle,
}

/// What a server calls a control node for.
enum ServerCall {
    Heartbeat(Server),
    /// With the server's id.
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

    fn handle_call(&mut self, now: Instant, at: usize, call: &ServerCall) -> HeartbeatOutcome {
        let node = &mut self.control_nodes[at];
        let outcome = match call {
            ServerCall::Heartbeat(server) => node.record_heartbeat(now, server.clone()),
            ServerCall::Deregister(id) => node.deregister(now, id),
        };
        outcome.expect("the servers are valid and few")
    }

    /// Sends a server's call to a control node. Returns whether it was acknowledged.
    fn send_to_node(&mut self, now: Instant, at: usize, call: &ServerCall) -> bool {
        if self.nodes_without_servers.contains(&at) {
            return false;
        }
        if !self.handle_call(now, at, call).needs_replication {
            return true;
        }
        let Some(other) = (0..CONTROL_NODES).find(|&other| other != at && !self.is_partitioned(at, other))
        else {
            return false;
        };
        self.replicate(now, at, other);
        assert!(
            !self.handle_call(now, at, call).needs_replication,
            "seed {}: still needs replication after it was replicated",
            self.seed
        );
        true
    }

    /// Sends heartbeats to the control nodes in turn until one acknowledges it.
    fn send_heartbeat(&mut self, now: Instant, number: usize) {
        if matches!(self.servers[number].lifecycle, Lifecycle::Ended(_)) {
            return;
        }
        self.change_server(now, number);
        if let Lifecycle::Draining { acknowledged: Some(at) } = self.servers[number].lifecycle
            && now > at + DRAINING_TIME
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
            let heartbeat = ServerCall::Heartbeat(self.servers[number].reported.clone());
            if self.send_to_node(now, at, &heartbeat) {
                self.servers[number].preferred_node = at;
                if let Lifecycle::Draining { acknowledged } = &mut self.servers[number].lifecycle {
                    acknowledged.get_or_insert(now);
                }
                break;
            }
        }
    }

    /// At random a server changes, crashes or starts to drain.
    fn change_server(&mut self, now: Instant, number: usize) {
        if self.one_in(60) && now < RUN_END - QUIET_END {
            let slots = 1 + random_below(&mut self.rng, 64) as u32;
            self.servers[number].reported.slots = slots;
        }
        if self.one_in(50) && self.servers[number].lifecycle == Lifecycle::Up && now < RUN_END - STABLE_END {
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
    fn deregister_server(&mut self, now: Instant, number: usize) {
        let call = ServerCall::Deregister(self.servers[number].reported.id.clone());
        for at in 0..CONTROL_NODES {
            if self.send_to_node(now, at, &call) {
                break;
            }
        }
        self.servers[number].lifecycle = Lifecycle::Ended(now);
    }

    /// Sends the heartbeats that are due at this instant.
    pub(crate) fn send_due_heartbeats(&mut self, now: Instant) {
        for number in 0..self.servers.len() {
            if time_into(now, HEARTBEAT_INTERVAL) == self.servers[number].heartbeat_offset {
                self.send_heartbeat(now, number);
            }
        }
    }

    /// New servers start at the addresses of those that ended a [`REPLACEMENT_DELAY`] ago.
    pub(crate) fn replace_ended_servers(&mut self, now: Instant) {
        for number in 0..self.servers.len() {
            let server = &self.servers[number];
            if server.lifecycle == Lifecycle::Ended(now - REPLACEMENT_DELAY) && now < RUN_END - STABLE_END {
                let address_number = server.reported.address.ip().octets()[3];
                self.start_server(address_number);
            }
        }
    }
}
