//! Servers: heartbeats to their control nodes, shutdowns, and abrupt ends.

use std::net::SocketAddrV4;

use mosshead_programs::control_api;
use mosshead_registry::HeartbeatOutcome;
use mosshead_time::Duration;

use super::{Event, HEARTBEAT_INTERVAL, RegistryFleet};
use crate::machines::{address, zone_name};

/// The bytes of the body of a response to a server.
const RESPONSE_LEN: u64 = 2;
/// Of this many servers that end, one ends abruptly.
const SERVERS_PER_ABRUPT_END: usize = 30;
/// From the start of a shutdown to the deregistration.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// From the start of a shutdown, or an abrupt end, to the start of the server that replaces it.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(5);
const ABRUPT_REPLACEMENT_DELAY: Duration = Duration::from_secs(30);
/// The step from the number of one server that ends to that of the next: a large prime, so that they do not end in the order of
/// their numbers.
const END_STRIDE: usize = 7919;
/// The share of servers, in percent, that prefill; the others decode.
const PREFILL_PERCENT: usize = 27;

pub(super) struct Server {
    /// Counts the servers that had this place one after the other, from 1.
    generation: u64,
    /// The sequence number of its last heartbeat.
    sequence: u64,
    /// Its state, as its heartbeats have it.
    oper_state: &'static str,
    sends_heartbeats: bool,
}

impl Server {
    pub(super) fn new(generation: u64) -> Server {
        Server { generation, sequence: 0, oper_state: "up", sends_heartbeats: true }
    }
}

impl RegistryFleet {
    /// Ends one server, and starts another in its place later. One in thirty ends abruptly; the others drain and deregister.
    pub fn end_and_replace_server(&mut self) {
        let server = (self.replaced_servers * END_STRIDE) % self.servers.len().max(1);
        self.replaced_servers += 1;
        if self.replaced_servers.is_multiple_of(SERVERS_PER_ABRUPT_END) {
            self.end_abruptly(server);
            self.schedule_after(ABRUPT_REPLACEMENT_DELAY, Event::Replace { server });
        } else {
            self.schedule_after_millis(1, Event::StartDraining { server });
            self.schedule_after(DRAIN_TIME, Event::Deregister { server });
            self.schedule_after(REPLACEMENT_DELAY, Event::Replace { server });
        }
    }

    /// Ends a server without an announcement, for good.
    pub fn end_abruptly(&mut self, server: usize) {
        self.stop_heartbeats(server);
    }

    fn stop_heartbeats(&mut self, server: usize) {
        self.servers[server].sends_heartbeats = false;
    }

    pub(super) fn replace(&mut self, server: usize) {
        let generation = self.servers[server].generation + 1;
        self.servers[server] = Server::new(generation);
        self.schedule_after(Duration::ZERO, Event::Heartbeat { server, generation });
    }

    pub(super) fn start_draining(&mut self, server: usize) {
        self.servers[server].oper_state = "draining";
        self.send_heartbeat(server);
    }

    pub(super) fn repeat_heartbeat(&mut self, server: usize, generation: u64) {
        let sender = &self.servers[server];
        if sender.sends_heartbeats && sender.generation == generation {
            self.schedule_after(HEARTBEAT_INTERVAL, Event::Heartbeat { server, generation });
            self.send_heartbeat(server);
        }
    }

    pub(super) fn send_heartbeat(&mut self, server: usize) {
        let (id, home) = (self.server_id(server), self.home_node(server));
        let sender = &mut self.servers[server];
        sender.sequence += 1;
        let body = heartbeat_body(server, sender.sequence, sender.oper_state);
        let (now, node) = (self.now, &mut self.control_nodes[home]);
        node.counter.count_message(body.len() as u64);
        node.counter.count_message(RESPONSE_LEN);
        let registry = &mut node.registry;
        let outcome = node.counter.time(|| {
            let heartbeat = control_api::parse_heartbeat(&id, body.as_bytes());
            heartbeat.and_then(|server| registry.record_heartbeat(now, server).ok()).unwrap_or_default()
        });
        self.apply_outcome(home, &outcome);
    }

    pub(super) fn deregister(&mut self, server: usize) {
        self.stop_heartbeats(server);
        let (id, home) = (self.server_id(server), self.home_node(server));
        let (now, node) = (self.now, &mut self.control_nodes[home]);
        node.counter.count_message(0);
        node.counter.count_message(RESPONSE_LEN);
        let registry = &mut node.registry;
        let outcome = node.counter.time(|| registry.deregister(now, &id).unwrap_or_default());
        self.apply_outcome(home, &outcome);
    }

    /// Replicates a shutdown at once, and reports a change to open calls.
    fn apply_outcome(&mut self, home: usize, outcome: &HeartbeatOutcome) {
        if outcome.needs_replication {
            for to in (0..self.control_nodes.len()).filter(|to| *to != home) {
                self.replicate_latest_entries(home, to);
            }
        }
        if outcome.changed {
            self.notify_watches(home);
        }
    }

    fn server_id(&self, server: usize) -> String {
        format!("instance-{server:05}-{:04}", self.servers[server].generation)
    }

    /// The control node to which a server sends its heartbeats.
    fn home_node(&self, server: usize) -> usize {
        server % self.control_nodes.len()
    }
}

/// The body of a server's heartbeat.
pub fn heartbeat_body(server: usize, sequence: u64, oper_state: &str) -> String {
    let stage = if server % 100 < PREFILL_PERCENT { "prefill" } else { "decode" };
    let model = server % 3;
    format!(
        concat!(
            "{{\"backend_service\":\"model-{model}\",\"address\":\"{address}\",\"zone\":\"{zone}\",",
            "\"revision\":\"software-42\",\"slots\":64,\"oper_state\":\"{oper_state}\",\"warmup_left_ms\":0,",
            "\"stage\":\"{stage}\",\"model_list\":[{{\"name\":\"m{model}\",\"revision\":1,\"adapter_list\":[]}}],",
            "\"busy\":false,\"sequence\":{sequence},\"queued\":1,\"active\":12,\"cache_used\":41000,",
            "\"cache_capacity\":90000,\"prefill_handles\":0}}"
        ),
        address = SocketAddrV4::new(*address(65_536 + server).ip(), 8000),
        zone = zone_name(server),
        model = model,
        oper_state = oper_state,
        stage = stage,
        sequence = sequence,
    )
}
