//! Attempts and probes on connections: from the proxy to the server, and its execution there.

use std::collections::HashMap;

use super::connections::Delivery;
use super::{ConnectionId, Due, RequestId, ServerId, ServerMessage, World};
use crate::Time;
use crate::events::{AttemptOutcome, EventKind};
use crate::scenario::{DeduplicationScope, RepeatEffect, RequestClass};
use crate::server::{Admission, LoadReport, Server};

/// An attempt that was written to a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ExchangeId(pub(super) u64);

/// An attempt whose server has not responded.
#[derive(Clone, Copy)]
struct Exchange {
    request: RequestId,
    connection: ConnectionId,
    server: ServerId,
    /// In seconds on a standard core.
    work: f64,
    /// Its proxy does not wait for the response any more.
    is_abandoned: bool,
    /// Its idempotency key was known when it arrived: it is not executed again.
    is_dropped_repeat: bool,
}

/// All attempts in flight.
#[derive(Default)]
pub(super) struct Exchanges {
    open: HashMap<ExchangeId, Exchange>,
    /// The request of each attempt until its proxy has learned of its end, or has given it up.
    waiting: HashMap<ExchangeId, RequestId>,
    /// When the idempotency key of a request first reached a group of servers.
    seen_keys: HashMap<(RequestId, usize), Time>,
    next_id: u64,
}

impl Exchanges {
    fn next_id(&mut self) -> ExchangeId {
        self.next_id += 1;
        ExchangeId(self.next_id - 1)
    }

    /// The proxy has learned of the end of an attempt, or gives it up: returns its request, the first time.
    pub(super) fn stop_waiting(&mut self, exchange: ExchangeId) -> Option<RequestId> {
        self.waiting.remove(&exchange)
    }

    /// Nobody waits for the response of an attempt.
    pub(super) fn abandon(&mut self, exchange: ExchangeId) {
        if let Some(exchange) = self.open.get_mut(&exchange) {
            exchange.is_abandoned = true;
        }
    }

    /// The process of a server has ended. Returns the work of each attempt that it had, in the order of the attempts.
    pub(super) fn drop_all_of(&mut self, server: ServerId) -> Vec<f64> {
        let own = self.open.iter().filter(|(_, exchange)| exchange.server == server);
        let mut own: Vec<ExchangeId> = own.map(|(id, _)| *id).collect();
        own.sort_unstable();
        own.iter().filter_map(|id| self.open.remove(id)).map(|exchange| exchange.work).collect()
    }

    /// Forgets the idempotency keys of these requests.
    pub(super) fn forget_keys(&mut self, is_forgotten: impl Fn(RequestId) -> bool) {
        self.seen_keys.retain(|(request, _), _| !is_forgotten(*request));
    }

    /// Whether the key of a request is known in a group of servers. From now on it is.
    fn is_known_key(&mut self, request: RequestId, group: usize, window: Time, now: Time) -> bool {
        let first = self.seen_keys.entry((request, group)).or_insert(now);
        let is_known = *first < now && now <= *first + window;
        if now > *first + window {
            *first = now;
        }
        is_known
    }
}

impl World {
    pub(super) fn on_attempt_started(&mut self, connection: ConnectionId, request: RequestId) {
        if let (Some(proxy), Some(server)) =
            (self.network.proxy_of(connection), self.network.server_of(connection))
        {
            self.record(EventKind::AttemptStarted { request, proxy, server, connection });
        }
    }

    pub(super) fn on_attempt_written(
        &mut self,
        connection: ConnectionId,
        request: RequestId,
        is_intact: bool,
    ) {
        let Some(server) = self.network.server_of(connection) else { return };
        let id = self.exchanges.next_id();
        let Some(first_use) = self.network.start_exchange(connection, id, self.now) else { return };
        self.scorecard.attempts += 1;
        let deduplication_group = self.deduplication_group(request, server).unwrap_or_default();
        let written =
            EventKind::AttemptWritten { request, server, connection, is_intact, deduplication_group };
        self.record(written);
        let traits = self.servers.machine(server).traits();
        let (handshake_work, round_trips) = (traits.handshake_work, traits.handshake_round_trips);
        let work = self.clients.work_of(request) + if first_use.is_first { handshake_work } else { 0.0 };
        let (is_abandoned, is_dropped_repeat) = (false, false);
        let exchange = Exchange { request, connection, server, work, is_abandoned, is_dropped_repeat };
        self.exchanges.waiting.insert(id, request);
        self.exchanges.open.insert(id, exchange);
        let Some(mut delay) = self.message_delay(connection) else { return };
        if first_use.waits_for_handshake {
            delay += delay.scaled_by((2 * round_trips) as f64);
        }
        self.queue.push(self.now + delay, Due::AttemptArrives(id));
    }

    /// An attempt reaches its server.
    pub(super) fn on_attempt_arrives(&mut self, id: ExchangeId) {
        let Some(&Exchange { connection, server, .. }) = self.exchanges.open.get(&id) else { return };
        match self.delivery(connection, server) {
            Delivery::Lost => _ = self.exchanges.open.remove(&id),
            Delivery::ConnectionGone => {
                self.exchanges.open.remove(&id);
                self.send_to_proxy(connection, ServerMessage::ConnectionReset);
            }
            Delivery::Delivered => self.offer_to_server(id, server),
        }
    }

    fn offer_to_server(&mut self, id: ExchangeId, server: ServerId) {
        let Some(&Exchange { request, connection, work, .. }) = self.exchanges.open.get(&id) else { return };
        self.advance_server(server);
        let machine = self.servers.machine_mut(server);
        if !machine.is_running() {
            return;
        }
        if !machine.takes_requests() {
            return self.reject_attempt(id);
        }
        if machine.draw_fast_error() {
            let report = machine.process().map(Server::load_report).unwrap_or_default();
            self.record(EventKind::ServerAccepted { request, server });
            self.exchanges.open.remove(&id);
            let outcome = AttemptOutcome::Errored;
            return self.send_to_proxy(connection, ServerMessage::Response { exchange: id, outcome, report });
        }
        machine.record_sent_work(self.network.proxy_of(connection), work);
        let Some(process) = machine.process_mut() else { return };
        match process.offer_request(id.0, work) {
            Admission::Accepted => self.on_accepted(id, request, server, work),
            Admission::Rejected => self.reject_attempt(id),
            Admission::Collapsed => self.on_collapse(server),
        }
    }

    fn on_accepted(&mut self, id: ExchangeId, request: RequestId, server: ServerId, work: f64) {
        let is_dropped_repeat = self.is_repeat(request, server);
        if let Some(exchange) = self.exchanges.open.get_mut(&id) {
            exchange.is_dropped_repeat = is_dropped_repeat;
        }
        self.scorecard.work += work;
        self.record(EventKind::ServerAccepted { request, server });
        self.schedule_server_step(server);
    }

    fn on_collapse(&mut self, server: ServerId) {
        self.scorecard.collapses += 1;
        if self.servers.machine(server).was_sent_work_knowingly() {
            self.record(EventKind::ServerCollapsed { server });
        }
        self.end_server_for_good(server);
    }

    fn reject_attempt(&mut self, id: ExchangeId) {
        let Some(exchange) = self.exchanges.open.remove(&id) else { return };
        let process = self.servers.machine(exchange.server).process();
        let report = process.map(Server::load_report).unwrap_or_default();
        let outcome = AttemptOutcome::Rejected;
        self.send_to_proxy(exchange.connection, ServerMessage::Response { exchange: id, outcome, report });
    }

    /// A server has executed an attempt, and responds with this load report.
    pub(super) fn on_executed(&mut self, server: ServerId, id: ExchangeId, report: LoadReport) {
        let Some(exchange) = self.exchanges.open.remove(&id) else { return };
        let request = exchange.request;
        if !exchange.is_dropped_repeat {
            self.record(EventKind::ServerExecuted { request, server });
        }
        let outcome = self.draw_execution_outcome(server);
        let is_useless = exchange.is_abandoned || !self.clients.has_request(request);
        if is_useless || outcome != AttemptOutcome::Served {
            self.scorecard.wasted_work += exchange.work;
        }
        if !self.servers.machine(server).is_cut_off() {
            self.send_to_proxy(
                exchange.connection,
                ServerMessage::Response { exchange: id, outcome, report },
            );
        }
    }

    /// A server learns that the proxy has given up an attempt.
    pub(super) fn on_abandonment_arrives(&mut self, id: ExchangeId) {
        let Some(exchange) = self.exchanges.open.get_mut(&id) else { return };
        exchange.is_abandoned = true;
        let server = exchange.server;
        self.advance_server(server);
        let process = self.servers.machine_mut(server).process_mut();
        if process.is_some_and(|process| process.abandon_request(id.0)) {
            self.exchanges.open.remove(&id);
            self.schedule_server_step(server);
        }
    }

    /// The group of servers that drop each other's repeats of a request; `None` for a request without an idempotency key.
    fn deduplication_group(&self, request: RequestId, server: ServerId) -> Option<usize> {
        Some(match self.keyed_class_of(request)?.deduplication_scope {
            DeduplicationScope::Zone => self.servers.machine(server).zone(),
            DeduplicationScope::AllServers => 0,
        })
    }

    /// The class of a request with an idempotency key.
    fn keyed_class_of(&self, request: RequestId) -> Option<&RequestClass> {
        let class = &self.scenario.classes[self.clients.class_of(request)?];
        (class.repeat_effect == RepeatEffect::Keyed).then_some(class)
    }

    /// Whether the idempotency key of a request is known where it has arrived. From now on it is.
    fn is_repeat(&mut self, request: RequestId, server: ServerId) -> bool {
        let Some(window) = self.keyed_class_of(request).map(|class| class.deduplication_window) else {
            return false;
        };
        let Some(group) = self.deduplication_group(request, server) else { return false };
        self.exchanges.is_known_key(request, group, window, self.now)
    }

    pub(super) fn on_probe_sent(&mut self, connection: ConnectionId, number: u64) {
        self.scorecard.probes += 1;
        if let Some(delay) = self.message_delay(connection) {
            self.queue.push(self.now + delay, Due::ProbeArrives { connection, number });
        }
    }

    /// A probe reaches its server.
    pub(super) fn on_probe_arrives(&mut self, connection: ConnectionId, number: u64) {
        let Some(server) = self.network.server_of(connection) else { return };
        match self.delivery(connection, server) {
            Delivery::Lost => {}
            Delivery::ConnectionGone => self.send_to_proxy(connection, ServerMessage::ConnectionReset),
            Delivery::Delivered => {
                self.advance_server(server);
                if let Some(process) = self.servers.machine_mut(server).process_mut() {
                    process.accept_probe();
                    let report = process.load_report();
                    self.send_to_proxy(connection, ServerMessage::ProbeResponse { number, report });
                }
                self.schedule_server_step(server);
            }
        }
    }
}
