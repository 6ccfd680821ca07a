//! The world: it owns the parts of the platform, carries messages between them in virtual time, and injects the faults.
//!
//! Each file has one part with its state: [`clients`], [`proxies`], [`connections`] and [`attempts`] on them, [`servers`],
//! [`discovery_service`], [`links`] and [`faults`]. [`builder`] draws all of that from a scenario. What has to happen later is
//! a [`Due`] in the queue.

mod attempts;
mod builder;
mod clients;
mod connections;
mod discovery_service;
mod faults;
mod links;
mod machine;
mod model;
mod proxies;
mod servers;

use crate::Time;
use crate::discovery::{DiscoveryCall, FinishedCall, VersionedList};
use crate::event_queue::EventQueue;
use crate::events::{AttemptOutcome, Event, EventKind};
use crate::random::RandomStream;
use crate::scenario::Scenario;
use crate::scorecard::Scorecard;
use crate::server::{LoadReport, ServerTraits};

use attempts::{ExchangeId, Exchanges};
use clients::{Clients, OperationId};
use connections::Network;
use discovery_service::DiscoveryService;
use faults::Faults;
use links::ActiveLinkFaults;
pub use links::{LinkChange, LinkFault};
pub use model::{
    ConnectionId, Handshake, Input, ListEntry, ListResponse, Output, Request, RequestId, ServerId,
    ServerSnapshot, ServerState,
};
use proxies::ProxyState;
use servers::Servers;

/// Housekeeping happens at this interval.
const HOUSEKEEPING_INTERVAL: Time = Time::from_millis(1000);

/// What has to happen at an instant.
enum Due {
    /// An operation begins at a proxy.
    Arrival {
        proxy: usize,
    },
    /// A client sends the next request of an operation.
    ClientRetry(OperationId),
    /// A client gives up a request.
    ClientTimeout(RequestId),
    /// The first message of a handshake reaches an address.
    HandshakeArrives(ConnectionId),
    /// An attempt reaches its server.
    AttemptArrives(ExchangeId),
    /// A probe reaches its server.
    ProbeArrives {
        connection: ConnectionId,
        number: u64,
    },
    /// A server learns that a proxy has given up an attempt.
    AbandonmentArrives(ExchangeId),
    /// The state of a server changes, unless something has happened to it since step `step`.
    ServerStep {
        server: ServerId,
        step: u64,
    },
    /// A message of a server reaches its proxy.
    MessageArrives {
        connection: ConnectionId,
        message: ServerMessage,
    },
    /// The state of discovery changes, unless something has happened to it since step `step`.
    DiscoveryStep {
        step: u64,
    },
    /// A call reaches discovery.
    DiscoveryCallArrives(DiscoveryCall),
    /// A response of discovery reaches its proxy.
    DiscoveryResponseArrives(FinishedCall),
    /// A change enters discovery's list.
    ListChange(ListEntry),
    /// A fault, by its index in the scenario, begins.
    FaultBegins(usize),
    /// A fault ends.
    FaultEnds(usize),
    /// A fault that is on and off in turn changes.
    FaultToggles {
        fault: usize,
        is_on: bool,
    },
    /// The next server is replaced.
    ServerReplaced {
        fault: usize,
    },
    /// The next connections are reset.
    ConnectionsReset {
        fault: usize,
    },
    /// The process of a server ends for good.
    ServerEnds(ServerId),
    /// The process of a server starts.
    ServerStarts(ServerId),
    /// A machine that was cut off is back.
    ServerReturns(ServerId),
    /// A proxy is to be started again.
    ProxyStarts(usize),
    /// A client misbehaves.
    ClientMisbehaves,
    Housekeeping,
}

/// A message of a server to a proxy.
#[derive(Clone, Copy)]
enum ServerMessage {
    HandshakeDone,
    ConnectionRefused,
    ConnectionReset,
    Response { exchange: ExchangeId, outcome: AttemptOutcome, report: LoadReport },
    ProbeResponse { number: u64, report: LoadReport },
}

/// The random streams that belong to no single part. Each is a stream of its own, so that a part which draws more often does
/// not change what another one draws.
struct WorldRandom {
    /// Errors of responses.
    responses: RandomStream,
    /// What clients and faults do.
    incidents: RandomStream,
    /// How late changes enter the list.
    list_delays: RandomStream,
}

/// The platform on one day.
pub struct World {
    scenario: Scenario,
    /// For how long clients arrive.
    length: Time,
    now: Time,
    queue: EventQueue<Due>,
    clients: Clients,
    proxies: Vec<ProxyState>,
    network: Network,
    exchanges: Exchanges,
    servers: Servers,
    discovery: DiscoveryService,
    link_faults: ActiveLinkFaults,
    faults: Faults,
    random: WorldRandom,
    scorecard: Scorecard,
    /// Events that the host has not taken yet.
    events: Vec<Event>,
    /// Rises with each change of who listens where and who can reach whom.
    topology_version: u64,
}

impl World {
    /// The day's description.
    pub fn scenario(&self) -> &Scenario {
        &self.scenario
    }

    /// For how long clients arrive.
    pub fn length(&self) -> Time {
        self.length
    }

    /// The number of proxies.
    pub fn proxy_count(&self) -> usize {
        self.proxies.len()
    }

    /// The index of a proxy's zone.
    pub fn proxy_zone(&self, proxy: usize) -> usize {
        self.proxies[proxy].zone()
    }

    /// The mean work of a request, in seconds on a standard core.
    pub fn mean_work(&self) -> f64 {
        self.clients.mean_work()
    }

    /// What a server is like.
    pub fn server_traits(&self, server: ServerId) -> &ServerTraits {
        self.servers.machine(server).traits()
    }

    /// The list as discovery shows it now.
    pub fn current_list(&self) -> &VersionedList {
        self.discovery.list()
    }

    /// The number of addresses that are or were in use: each address is below this.
    pub fn address_count(&self) -> u32 {
        self.servers.address_count()
    }

    /// Rises with each change of who listens where and who can reach whom.
    pub fn topology_version(&self) -> u64 {
        self.topology_version
    }

    /// The server that listens at an address, and whether its machine is cut off, so that nothing reaches it. `None` where
    /// connections are refused.
    pub fn listener_at(&self, address: u32) -> Option<(ServerId, bool)> {
        let server = self.servers.listener_at(address)?;
        let machine = self.servers.machine(server);
        machine.is_running().then_some((server, machine.is_cut_off()))
    }

    /// Whether the day is over: no client waits, and none will come.
    pub fn is_over(&self) -> bool {
        self.now >= self.length && self.clients.has_no_operations()
    }

    /// What has come of the day so far.
    pub fn scorecard(&self) -> &Scorecard {
        &self.scorecard
    }

    /// Takes out the events that were recorded since the last call.
    pub fn drain_events(&mut self) -> std::vec::Drain<'_, Event> {
        self.events.drain(..)
    }

    /// The true state of every server whose process runs.
    pub fn server_snapshots(&self) -> Vec<ServerSnapshot> {
        self.servers.snapshots()
    }

    /// How many events of the queue have happened.
    pub fn processed_event_count(&self) -> u64 {
        self.queue.popped_count()
    }

    /// When something happens next.
    pub fn next_event_at(&self) -> Option<Time> {
        self.queue.next_at()
    }

    /// Lets time pass until `now`, and appends to `outputs` what reaches the proxies on the way.
    pub fn advance(&mut self, now: Time, outputs: &mut Vec<Output>) {
        while let Some((at, due)) = self.queue.pop(now) {
            self.now = self.now.max(at);
            self.handle_due(due, outputs);
        }
        self.now = self.now.max(now);
    }

    fn handle_due(&mut self, due: Due, outputs: &mut Vec<Output>) {
        match due {
            Due::Arrival { proxy } => self.begin_operation(proxy, outputs),
            Due::ClientRetry(operation) => self.send_request(operation, outputs),
            Due::ClientTimeout(request) => self.on_client_timeout(request, outputs),
            Due::HandshakeArrives(connection) => self.on_handshake_arrives(connection),
            Due::AttemptArrives(exchange) => self.on_attempt_arrives(exchange),
            Due::ProbeArrives { connection, number } => self.on_probe_arrives(connection, number),
            Due::AbandonmentArrives(exchange) => self.on_abandonment_arrives(exchange),
            Due::ServerStep { server, step } => self.on_server_step(server, step),
            Due::MessageArrives { connection, message } => {
                self.on_message_arrives(connection, message, outputs);
            }
            Due::DiscoveryStep { step } => self.on_discovery_step(step),
            Due::DiscoveryCallArrives(call) => self.on_discovery_call_arrives(call),
            Due::DiscoveryResponseArrives(finished) => {
                self.on_discovery_response_arrives(finished, outputs);
            }
            Due::ListChange(entry) => self.on_list_change(entry),
            Due::FaultBegins(fault) => self.begin_fault(fault, outputs),
            Due::FaultEnds(fault) => self.end_fault(fault, outputs),
            Due::FaultToggles { fault, is_on } => self.toggle_fault(fault, is_on),
            Due::ServerReplaced { fault } => self.replace_next_server(fault),
            Due::ConnectionsReset { fault } => self.reset_some_connections(fault),
            Due::ServerEnds(server) => self.end_server_for_good(server),
            Due::ServerStarts(server) => self.start_server(server),
            Due::ServerReturns(server) => self.reconnect_machine(server),
            Due::ProxyStarts(proxy) => outputs.push(Output::StartProxy(proxy)),
            Due::ClientMisbehaves => self.on_client_misbehaves(outputs),
            Due::Housekeeping => self.run_housekeeping(),
        }
    }

    /// Takes in what a proxy does at `now`. What follows from it comes from [`World::advance`].
    pub fn handle_input(&mut self, now: Time, input: Input) {
        debug_assert!(self.queue.next_at().is_none_or(|next| next >= self.now));
        self.now = self.now.max(now);
        match input {
            Input::ConnectionOpened { connection, proxy, address, handshake } => {
                self.open_connection(connection, proxy, address, handshake);
            }
            Input::AttemptStarted { connection, request } => self.on_attempt_started(connection, request),
            Input::AttemptWritten { connection, request, is_intact } => {
                self.on_attempt_written(connection, request, is_intact);
            }
            Input::ProbeSent { connection, number } => self.on_probe_sent(connection, number),
            Input::ConnectionClosed { connection } => self.close_connection(connection),
            Input::DiscoveryCalled(call) => self.on_discovery_called(call),
            Input::DiscoveryCallAbandoned { proxy, number } => self.discovery.forget_call(proxy, number),
            Input::ResponseSent { request, response } => self.on_response(request, response),
            Input::ProxyStarted { proxy } => self.on_proxy_started(proxy),
            Input::ProxyStopped { proxy } => self.on_proxy_stopped(proxy),
        }
    }

    fn record(&mut self, kind: EventKind) {
        self.events.push(Event { at: self.now, kind });
    }

    /// Once a second: closes idle connections, forgets idempotency keys, and notifies proxies that do not ask.
    fn run_housekeeping(&mut self) {
        self.close_idle_connections();
        self.exchanges.forget_keys(|request| !self.clients.has_request(request));
        self.notify_silent_proxies();
        if !self.is_over() {
            self.queue.push(self.now + HOUSEKEEPING_INTERVAL, Due::Housekeeping);
        }
    }
}
