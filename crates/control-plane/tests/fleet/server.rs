//! Simulated model servers: heartbeats, draining, deregistration, new incarnations at the same address, and
//! stage assignments with fencing tokens.

use std::net::{Ipv4Addr, SocketAddrV4};

use mosshead_registry::{OperState, Registry, Server, Stage};
use mosshead_stage_scheduler::AssignmentOutcome;
use mosshead_time::{Duration, Instant};
use mosshead_virtual_fleet::millis;

use crate::checker::{AcknowledgedServer, MAX_ISOLATION};
use crate::control_node::HEARTBEAT_INTERVAL;
use crate::messages::{Call, Packet, Party, Purpose, ReplyTo, Response};
use crate::proxy::Proxy;
use crate::simulation::{Event, Simulation};

const TICK_INTERVAL: Duration = millis(100);
/// How long a server waits for a response.
const RESPONSE_TIMEOUT: Duration = millis(1_000);
/// The time after which every proxy without faults must know an acknowledged shutdown.
const MAX_SHUTDOWN_DELAY: Duration = millis(5_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lifecycle {
    Up {
        until: Instant,
    },
    /// Reports that it is draining; not acknowledged yet.
    Draining,
    /// Draining was acknowledged. It continues to send heartbeats, and deregisters at `until`.
    Acknowledged {
        until: Instant,
    },
    Deregistering,
    /// Has ended. A new incarnation starts at the address at `until`.
    Ended {
        until: Instant,
    },
}

pub(crate) struct SimulatedServer {
    pub(crate) incarnation: u64,
    pub(crate) reported: Server,
    lifecycle: Lifecycle,
    control_node: Option<usize>,
    is_waiting: bool,
    next_call_at: Instant,
    /// The highest fencing token that it has seen.
    token: u64,
}

impl Simulation {
    pub(crate) fn add_server(&mut self) {
        let server = self.servers.len();
        let reported = Server {
            id: format!("i-{server}-0"),
            service: "s".into(),
            address: SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, server as u8 + 1), 8080),
            zone: "z".into(),
            software_revision: "v1".into(),
            slots: 8,
            state: OperState::Up,
            is_suspected: false,
            warmup_remaining: Duration::ZERO,
            stage: Some(if server.is_multiple_of(3) { Stage::Prefill } else { Stage::Decode }),
            models: Vec::new(),
            sequence: 0,
        };
        let until = self.draw_shutdown_time();
        let (control_node, lifecycle) = (None, Lifecycle::Up { until });
        self.servers.push(SimulatedServer {
            incarnation: 0,
            reported,
            lifecycle,
            control_node,
            is_waiting: false,
            next_call_at: Instant::ORIGIN,
            token: 0,
        });
        let delay = self.random_duration_below(millis(1_500));
        self.after(delay, Event::Server { server });
    }

    /// Draws when a server that starts now will shut down.
    fn draw_shutdown_time(&mut self) -> Instant {
        self.now() + millis(4_000) + self.random_duration_below(millis(20_000))
    }

    pub(crate) fn on_server_timer(&mut self, index: usize) {
        self.after(TICK_INTERVAL, Event::Server { server: index });
        self.advance_lifecycle(index);
        let (now, server) = (self.now(), &self.servers[index]);
        let has_ended = matches!(server.lifecycle, Lifecycle::Ended { .. });
        if server.is_waiting || now < server.next_call_at || has_ended {
            return;
        }
        let members = self.members();
        let control_node =
            match self.servers[index].control_node.filter(|control_node| members.contains(control_node)) {
                Some(control_node) => Some(control_node),
                None => self.random.pick(&members),
            };
        let Some(control_node) = control_node else { return };
        let server = &mut self.servers[index];
        server.control_node = Some(control_node);
        server.is_waiting = true;
        server.reported.sequence += 1;
        let call = match server.lifecycle {
            Lifecycle::Deregistering => Call::Deregister { id: server.reported.id.clone() },
            _ => Call::Heartbeat(server.reported.clone()),
        };
        let purpose = Purpose::ServerCall { is_shutdown: server.reported.state > OperState::Up };
        self.request(Party::Server(index), Party::Control(control_node), call, purpose, RESPONSE_TIMEOUT);
    }

    fn advance_lifecycle(&mut self, index: usize) {
        let now = self.now();
        match self.servers[index].lifecycle {
            Lifecycle::Up { until } if now >= until => {
                let server = &mut self.servers[index];
                server.lifecycle = Lifecycle::Draining;
                server.reported.state = OperState::Draining;
                server.next_call_at = now;
            }
            Lifecycle::Acknowledged { until } if now >= until => {
                self.servers[index].lifecycle = Lifecycle::Deregistering;
                self.servers[index].next_call_at = now;
            }
            Lifecycle::Ended { until } if now >= until => self.next_incarnation(index),
            _ => {}
        }
    }

    fn next_incarnation(&mut self, index: usize) {
        let until = self.draw_shutdown_time();
        let server = &mut self.servers[index];
        server.incarnation += 1;
        server.reported.id = format!("i-{index}-{}", server.incarnation);
        server.reported.state = OperState::Up;
        server.reported.sequence = 0;
        server.lifecycle = Lifecycle::Up { until };
        server.is_waiting = false;
        server.control_node = None;
        server.token = 0;
    }

    /// Makes all servers that are up start to drain.
    pub(crate) fn drain_all(&mut self) {
        for server in &mut self.servers {
            if matches!(server.lifecycle, Lifecycle::Up { .. }) {
                server.lifecycle = Lifecycle::Up { until: Instant::ORIGIN };
            }
        }
    }

    pub(crate) fn is_first_shutdown_call(&self, from: Party) -> bool {
        match from {
            Party::Server(server) => self.servers[server].lifecycle == Lifecycle::Draining,
            _ => false,
        }
    }

    /// Applies the fault that is scheduled for the next acknowledged shutdown, when a control node is about
    /// to acknowledge one.
    pub(crate) fn before_shutdown_acknowledgement(&mut self, control_node: usize, from: Party, id: &str) {
        let Party::Server(server) = from else { return };
        if let Some(action) = self.after_shutdown.take_if(|action| action.applies_to(control_node)) {
            // The server ends as well, so that it does not repeat its call.
            self.servers[server].lifecycle = Lifecycle::Acknowledged { until: self.now() };
            self.after(Duration::ZERO, Event::Fault(action.for_shutdown(control_node, server, id)));
        }
    }

    pub(crate) fn on_server_response(&mut self, index: usize, is_shutdown: bool, response: Option<Response>) {
        let retry_delay = millis(100) + self.random_duration_below(millis(200));
        let ends_at_once = self.random.is_one_in(2);
        let downtime = millis(1_000) + self.random_duration_below(millis(3_000));
        let now = self.now();
        let server = &mut self.servers[index];
        server.is_waiting = false;
        let response = match response {
            Some(Response::Server(response)) if response.is_acknowledged => response,
            _ => {
                server.control_node = None;
                server.next_call_at = now + retry_delay;
                return;
            }
        };
        if is_shutdown && response.isolated_for > MAX_ISOLATION {
            let description =
                format!("{} by a control node isolated for {:?}", server.reported.id, response.isolated_for);
            self.checker.report_violation("acknowledged without quorum", description);
        }
        let server = &mut self.servers[index];
        server.next_call_at = now + HEARTBEAT_INTERVAL;
        match server.lifecycle {
            // This is the response to a heartbeat that was sent before draining began.
            Lifecycle::Draining if !is_shutdown => server.next_call_at = now,
            Lifecycle::Draining => {
                server.lifecycle = match ends_at_once {
                    true => Lifecycle::Ended { until: now + downtime },
                    false => Lifecycle::Acknowledged { until: now + millis(1_000) },
                };
                let id = server.reported.id.clone();
                self.shutdown_acknowledged(id);
            }
            Lifecycle::Deregistering => {
                server.lifecycle = Lifecycle::Ended { until: now + downtime };
                let id = server.reported.id.clone();
                self.shutdown_acknowledged(id);
            }
            _ => {}
        }
    }

    /// Ends a server whose shutdown has just been acknowledged.
    pub(crate) fn end_server(&mut self, index: usize, id: &str) {
        if self.servers[index].reported.id == id {
            self.servers[index].lifecycle = Lifecycle::Ended { until: self.now() + millis(20_000) };
            self.shutdown_acknowledged(id.to_owned());
        }
    }

    fn shutdown_acknowledged(&mut self, server: String) {
        self.trace(|| format!("{server} is acknowledged"));
        let acknowledged = self.checker.shutdowns.len();
        self.checker.shutdowns.push(AcknowledgedServer { server, acknowledged_at: self.now() });
        self.after(MAX_SHUTDOWN_DELAY, Event::CheckShutdown { acknowledged });
    }

    /// Checks every proxy that had no fault since the acknowledgement, unless more control nodes than
    /// tolerated were affected by faults.
    pub(crate) fn check_shutdown(&mut self, acknowledged: usize) {
        let acknowledged = &self.checker.shutdowns[acknowledged];
        let (since, id) = (acknowledged.acknowledged_at, acknowledged.server.clone());
        let members = self.members().into_iter().map(Party::Control);
        let affected = members.filter(|control_node| self.had_fault_since(*control_node, since)).count();
        if affected > self.tolerated_failures {
            return;
        }
        for index in 0..self.proxies.len() {
            if self.had_fault_since(Party::Proxy(index), since) {
                continue;
            }
            let proxy = &self.proxies[index];
            self.checker.counts.shutdown_checks += 1;
            if proxy.registry.get(&id).is_some_and(|server| server.state < OperState::Draining) {
                self.trace(|| self.describe_entries(&id));
                let description =
                    format!("{id} was acknowledged at {since}, but proxy {index} does not know it");
                self.checker.report_violation("unknown shutdown", description);
            }
        }
    }

    /// Checks that no proxy considers a server ready whose shutdown was acknowledged more than
    /// [`MAX_SHUTDOWN_DELAY`] ago, whatever has failed since.
    pub(crate) fn check_acknowledged_shutdowns(&self) -> Result<(), String> {
        let due_before = self.now() - MAX_SHUTDOWN_DELAY;
        let is_due = |shutdown: &&AcknowledgedServer| shutdown.acknowledged_at <= due_before;
        for AcknowledgedServer { server, acknowledged_at } in self.checker.shutdowns.iter().filter(is_due) {
            let is_ready = |proxy: &Proxy| {
                proxy.registry.get(server).is_some_and(|server| server.state < OperState::Draining)
            };
            if let Some(index) = self.proxies.iter().position(is_ready) {
                self.trace(|| self.describe_entries(server));
                return Err(format!(
                    "lost shutdown: {server} was acknowledged at {acknowledged_at}, but proxy {index} considers it ready"
                ));
            }
        }
        Ok(())
    }

    /// Describes what each process knows about a server.
    fn describe_entries(&self, id: &str) -> String {
        let entry = |registry: &Registry| {
            let entry = registry.entry(id);
            entry.map(|entry| (entry.source, entry.version, entry.server.state, entry.server.sequence))
        };
        let control_nodes =
            self.control_nodes.iter().filter_map(|control_node| control_node.process.as_ref());
        let control_nodes: Vec<_> = control_nodes
            .map(|node| (node.registry.local_id(), entry(&node.registry), node.registry.vector()))
            .collect();
        let proxies: Vec<_> =
            self.proxies.iter().map(|proxy| (entry(&proxy.registry), proxy.registry.vector())).collect();
        format!("{control_nodes:#?}\n{proxies:#?}")
    }

    pub(crate) fn assign_stage(
        &mut self,
        index: usize,
        reply_to: ReplyTo,
        id: &str,
        stage: Stage,
        token: u64,
    ) {
        let server = &mut self.servers[index];
        let response = if server.reported.id != id {
            AssignmentOutcome::Unknown
        } else if token < server.token {
            AssignmentOutcome::StaleFence
        } else {
            server.token = token;
            server.reported.stage = Some(stage);
            AssignmentOutcome::Accepted
        };
        let packet = Packet::Response { request: reply_to.request, response: Response::Assignment(response) };
        self.send(Party::Server(index), reply_to.from, packet);
    }
}
