//! Connections between proxies and servers, and the time that messages take on them.

use std::collections::HashMap;

use super::{ConnectionId, Due, ExchangeId, Handshake, Output, ServerId, ServerMessage, World};
use crate::Time;
use crate::events::{AttemptOutcome, EventKind};
use crate::fault::{Direction, LinkKind};
use crate::random::RandomStream;
use crate::server::LoadReport;

/// A connection from a proxy.
struct Connection {
    proxy: usize,
    address: u32,
    /// The server that it leads to, once it is established.
    server: Option<ServerId>,
    /// The next request is its first one, which pays for the handshake.
    is_unused: bool,
    handshake: Handshake,
    /// The attempt in flight on it.
    exchange: Option<ExchangeId>,
    last_used_at: Time,
}

/// What the first request of a connection costs.
pub(super) struct FirstUse {
    /// Whether it is the first request.
    pub(super) is_first: bool,
    /// Whether it waits for the handshake, which a kernel has done in no time.
    pub(super) waits_for_handshake: bool,
}

impl Connection {
    /// Puts an attempt on the connection.
    fn start_exchange(&mut self, exchange: ExchangeId, now: Time) -> FirstUse {
        let is_first = std::mem::take(&mut self.is_unused);
        self.exchange = Some(exchange);
        self.last_used_at = now;
        FirstUse { is_first, waits_for_handshake: is_first && self.handshake == Handshake::DoneByKernel }
    }

    fn is_idle_for(&self, span: Time, now: Time) -> bool {
        self.exchange.is_none() && self.last_used_at + span <= now
    }
}

/// All connections, and the delays of messages.
pub(super) struct Network {
    connections: HashMap<ConnectionId, Connection>,
    /// The delay between two zones in one direction, by both their indices.
    zone_delays: Vec<Vec<Time>>,
    /// The most that a message takes longer, as a share of its delay.
    jitter: f64,
    random: RandomStream,
}

impl Network {
    pub(super) fn new(zone_delays: Vec<Vec<Time>>, jitter: f64, random: RandomStream) -> Self {
        Self { connections: HashMap::new(), zone_delays, jitter, random }
    }

    /// The proxy of a connection.
    pub(super) fn proxy_of(&self, connection: ConnectionId) -> Option<usize> {
        self.connections.get(&connection).map(|connection| connection.proxy)
    }

    /// An attempt is put on a connection.
    pub(super) fn start_exchange(
        &mut self,
        connection: ConnectionId,
        exchange: ExchangeId,
        now: Time,
    ) -> Option<FirstUse> {
        Some(self.connections.get_mut(&connection)?.start_exchange(exchange, now))
    }

    /// The server that an established connection leads to.
    pub(super) fn server_of(&self, connection: ConnectionId) -> Option<ServerId> {
        self.connections.get(&connection)?.server
    }

    /// A delay with the jitter of one message.
    pub(super) fn with_jitter(&mut self, delay: Time) -> Time {
        delay.scaled_by(1.0 + self.jitter * self.random.unit_interval())
    }

    pub(super) fn random(&mut self) -> &mut RandomStream {
        &mut self.random
    }
}

impl World {
    /// How long a message takes on a connection, in either direction.
    pub(super) fn message_delay(&mut self, connection: ConnectionId) -> Option<Time> {
        let Connection { proxy, address, server, .. } = *self.network.connections.get(&connection)?;
        let server = server.or_else(|| self.servers.listener_at(address));
        let zone = server.map_or(0, |server| self.servers.machine(server).zone());
        let delay = self.network.zone_delays[self.proxies[proxy].zone()][zone];
        let fault_delay = self.draw_fault_delay(proxy, LinkKind::Server, Some(zone));
        Some(self.network.with_jitter(delay) + fault_delay)
    }

    /// Whether what is sent now on a connection to a server passes in this direction.
    fn connection_passes(&self, connection: ConnectionId, server: ServerId, direction: Direction) -> bool {
        let zone = self.servers.machine(server).zone();
        let proxy = self.network.proxy_of(connection);
        proxy.is_none_or(|proxy| self.link_passes(proxy, LinkKind::Server, Some(zone), direction))
    }

    pub(super) fn open_connection(
        &mut self,
        connection: ConnectionId,
        proxy: usize,
        address: u32,
        handshake: Handshake,
    ) {
        self.scorecard.record_connection(self.now);
        let opened = Connection {
            proxy,
            address,
            server: None,
            is_unused: true,
            handshake,
            exchange: None,
            last_used_at: self.now,
        };
        self.network.connections.insert(connection, opened);
        match handshake {
            Handshake::DoneByKernel => self.attach_to_listener(connection),
            Handshake::Simulated => {
                if let Some(delay) = self.message_delay(connection) {
                    self.queue.push(self.now + delay, Due::HandshakeArrives(connection));
                }
            }
        }
    }

    /// The connection leads to the server that listens at its address now.
    fn attach_to_listener(&mut self, id: ConnectionId) {
        let Some(connection) = self.network.connections.get_mut(&id) else { return };
        let server = self.servers.listener_at(connection.address);
        connection.server = server;
        if let Some(server) = server {
            self.servers.machine_mut(server).add_connection(id);
        }
    }

    /// The first message of a handshake reaches its address.
    pub(super) fn on_handshake_arrives(&mut self, id: ConnectionId) {
        let Some(connection) = self.network.connections.get(&id) else { return };
        let listener = self.servers.listener_at(connection.address);
        let Some(delay) = self.message_delay(id) else { return };
        let running = listener.filter(|server| self.servers.machine(*server).is_running());
        let Some(server) = running else {
            return self.schedule_message(delay, id, ServerMessage::ConnectionRefused);
        };
        let passes = [Direction::FromProxy, Direction::ToProxy]
            .into_iter()
            .all(|direction| self.connection_passes(id, server, direction));
        let machine = self.servers.machine(server);
        if !machine.is_cut_off() && passes {
            let round_trips = machine.traits().handshake_round_trips.max(1);
            self.attach_to_listener(id);
            // One way of the first round trip is over.
            let delay = delay.scaled_by((2 * round_trips - 1) as f64);
            self.schedule_message(delay, id, ServerMessage::HandshakeDone);
        }
    }

    fn schedule_message(&mut self, delay: Time, connection: ConnectionId, message: ServerMessage) {
        self.queue.push(self.now + delay, Due::MessageArrives { connection, message });
    }

    /// Whether a message reaches the server's side of a connection, and the connection is still there.
    pub(super) fn delivery(&self, connection: ConnectionId, server: ServerId) -> Delivery {
        let machine = self.servers.machine(server);
        if machine.is_cut_off() || !self.connection_passes(connection, server, Direction::FromProxy) {
            return Delivery::Lost;
        }
        match machine.is_running() && machine.has_connection(connection) {
            true => Delivery::Delivered,
            false => Delivery::ConnectionGone,
        }
    }

    /// A server sends a message to the proxy of a connection.
    pub(super) fn send_to_proxy(&mut self, connection: ConnectionId, mut message: ServerMessage) {
        let Some(delay) = self.message_delay(connection) else { return };
        let server = self.network.server_of(connection);
        if let ServerMessage::Response { report, .. } | ServerMessage::ProbeResponse { report, .. } =
            &mut message
            && let Some(server) = server
        {
            add_noise(report, server, self.servers.machine(server).traits().report_noise);
        }
        if server.is_none_or(|server| self.connection_passes(connection, server, Direction::ToProxy)) {
            self.schedule_message(delay, connection, message);
        }
    }

    /// A message reaches its proxy. What a machine sent before it was cut off still arrives.
    pub(super) fn on_message_arrives(
        &mut self,
        id: ConnectionId,
        message: ServerMessage,
        outputs: &mut Vec<Output>,
    ) {
        let Some(connection) = self.network.connections.get_mut(&id) else { return };
        match message {
            ServerMessage::HandshakeDone => outputs.push(Output::ConnectionEstablished(id)),
            ServerMessage::ConnectionRefused => {
                self.network.connections.remove(&id);
                outputs.push(Output::ConnectionRefused(id));
            }
            ServerMessage::ConnectionReset => {
                let exchange = connection.exchange.take();
                self.remove_connection(id);
                if let Some(exchange) = exchange {
                    self.on_exchange_reset(exchange, id);
                }
                outputs.push(Output::ConnectionReset(id));
            }
            ServerMessage::Response { exchange, outcome, report } => {
                if connection.exchange != Some(exchange) {
                    return;
                }
                connection.exchange = None;
                connection.last_used_at = self.now;
                if let Some(request) = self.exchanges.stop_waiting(exchange) {
                    self.record(EventKind::AttemptEnded { request, connection: id, outcome });
                    outputs.push(Output::AttemptAnswered { connection: id, request, outcome, report });
                }
            }
            ServerMessage::ProbeResponse { number, report } => {
                outputs.push(Output::ProbeAnswered { connection: id, number, report });
            }
        }
    }

    /// The attempt on a connection that was reset gets no response.
    fn on_exchange_reset(&mut self, exchange: ExchangeId, connection: ConnectionId) {
        self.exchanges.abandon(exchange);
        if let Some(request) = self.exchanges.stop_waiting(exchange) {
            self.record(EventKind::AttemptEnded { request, connection, outcome: AttemptOutcome::Reset });
        }
    }

    fn remove_connection(&mut self, id: ConnectionId) -> Option<Connection> {
        let connection = self.network.connections.remove(&id)?;
        if let Some(server) = connection.server {
            self.servers.machine_mut(server).remove_connection(id);
        }
        Some(connection)
    }

    /// A proxy closes a connection; an attempt in flight on it is given up.
    pub(super) fn close_connection(&mut self, id: ConnectionId) {
        let delay = self.message_delay(id);
        let Some(connection) = self.remove_connection(id) else { return };
        if let (Some(exchange), Some(delay)) = (connection.exchange, delay) {
            if let Some(request) = self.exchanges.stop_waiting(exchange) {
                self.record(EventKind::AttemptAbandoned { request, connection: id });
            }
            self.queue.push(self.now + delay, Due::AbandonmentArrives(exchange));
        }
    }

    /// Servers reset the connections that have been idle for too long.
    pub(super) fn close_idle_connections(&mut self) {
        for server in self.servers.ids() {
            let machine = self.servers.machine(server);
            let idle_timeout = machine.traits().idle_timeout;
            let is_expired = |id: &ConnectionId| {
                let connection = self.network.connections.get(id);
                connection.is_some_and(|connection| connection.is_idle_for(idle_timeout, self.now))
            };
            let expired: Vec<ConnectionId> = machine.connections().filter(is_expired).collect();
            for connection in expired {
                self.reset_connection(server, connection);
            }
        }
    }

    /// A server resets one of its connections.
    pub(super) fn reset_connection(&mut self, server: ServerId, connection: ConnectionId) {
        self.servers.machine_mut(server).remove_connection(connection);
        self.send_to_proxy(connection, ServerMessage::ConnectionReset);
    }
}

/// What becomes of a message to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    /// It is lost: nobody will ever answer it.
    Lost,
    /// The process or the connection is gone: the machine answers by a reset.
    ConnectionGone,
    /// It has reached the process.
    Delivered,
}

/// Adds the error of a server's measurements. It is a function of the report and not of the message: with a new error in each
/// response, an old report would look like a new one.
fn add_noise(report: &mut LoadReport, server: ServerId, noise: f64) {
    let mut random = RandomStream::new(report.taken_at.0, "report", server.0.into());
    let LoadReport { requests_per_second, in_flight, queued, utilization, .. } = report;
    for value in [requests_per_second, in_flight, queued, utilization] {
        *value *= 1.0 + noise * (2.0 * random.unit_interval() - 1.0);
    }
}
