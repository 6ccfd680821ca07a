//! Servers: all machines, their addresses, and the processes on them.

use super::machine::Machine;
use super::{Due, ExchangeId, ListEntry, ServerId, ServerMessage, ServerSnapshot, ServerState, World};
use crate::Time;
use crate::events::{AttemptOutcome, EventKind};
use crate::scenario::Scenario;
use crate::server::{CollapseLimit, Executed, Server};
use crate::units::ValueRange;

/// How long a draining server without requests stays up, at least.
const MIN_DRAINED_LINGER: Time = Time::from_millis(1000);

/// All machines, and who listens at each address.
pub(super) struct Servers {
    /// By server; a machine is never removed.
    machines: Vec<Machine>,
    /// By address.
    listeners: Vec<Option<ServerId>>,
    free_addresses: Vec<u32>,
    collapse_limit: CollapseLimit,
    /// How long a draining server without requests stays up.
    drained_linger: Time,
    /// Requests that a server has executed, while it is advanced; kept to save the allocation.
    executed: Vec<Executed>,
}

impl Servers {
    pub(super) fn new(scenario: &Scenario) -> Self {
        let rules = &scenario.rules;
        Self {
            machines: Vec::new(),
            listeners: Vec::new(),
            free_addresses: Vec::new(),
            collapse_limit: CollapseLimit {
                multiple: rules.collapse_multiple,
                window: rules.collapse_window,
            },
            drained_linger: MIN_DRAINED_LINGER,
            executed: Vec::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.machines.len()
    }

    pub(super) fn ids(&self) -> impl Iterator<Item = ServerId> + use<> {
        (0..self.machines.len() as u32).map(ServerId)
    }

    /// All machines with the ids of their servers.
    pub(super) fn iter(&self) -> impl Iterator<Item = (ServerId, &Machine)> {
        self.ids().zip(&self.machines)
    }

    pub(super) fn machine(&self, server: ServerId) -> &Machine {
        &self.machines[server.index()]
    }

    pub(super) fn machine_mut(&mut self, server: ServerId) -> &mut Machine {
        &mut self.machines[server.index()]
    }

    /// All processes that run.
    pub(super) fn processes_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.machines.iter_mut().filter_map(Machine::process_mut)
    }

    /// Adds a machine whose process runs since before the day, with its full capacity, and listens at its address, the next
    /// one.
    pub(super) fn add_running(&mut self, mut machine: Machine) {
        machine.start_before_day(self.collapse_limit);
        self.listeners.push(Some(ServerId(self.machines.len() as u32)));
        self.machines.push(machine);
    }

    /// Adds a machine whose process is still to be started.
    pub(super) fn add(&mut self, machine: Machine) -> ServerId {
        self.machines.push(machine);
        ServerId(self.machines.len() as u32 - 1)
    }

    /// The server that listens at an address, also while its process does not run.
    pub(super) fn listener_at(&self, address: u32) -> Option<ServerId> {
        *self.listeners.get(address as usize)?
    }

    pub(super) fn address_count(&self) -> u32 {
        self.listeners.len() as u32
    }

    /// The index in the free addresses of the last one that belongs to a zone. An address stays in its zone: a proxy that still
    /// takes it for its former server's must not be led elsewhere.
    pub(super) fn free_address_in(&self, zone: usize) -> Option<usize> {
        let is_in_zone = |&address: &u32| {
            let last = self.machines.iter().rev().find(|machine| machine.address() == address);
            last.is_some_and(|last| last.zone() == zone)
        };
        self.free_addresses.iter().rposition(is_in_zone)
    }

    /// Takes a free address by its index.
    pub(super) fn take_free_address(&mut self, index: usize) -> u32 {
        self.free_addresses.remove(index)
    }

    /// An address that was not used before.
    pub(super) fn new_address(&mut self) -> u32 {
        self.listeners.push(None);
        self.listeners.len() as u32 - 1
    }

    /// The process of a server starts, and listens at its address; false where the server is gone for good.
    fn start_process(&mut self, server: ServerId, now: Time) -> bool {
        let collapse_limit = self.collapse_limit;
        let machine = self.machine_mut(server);
        let (address, has_started) = (machine.address(), machine.start_process(now, collapse_limit));
        if has_started {
            self.listeners[address as usize] = Some(server);
        }
        has_started
    }

    /// How long a draining server without requests stays up.
    pub(super) fn drained_linger(&self) -> Time {
        self.drained_linger
    }

    /// A fault lets draining servers without requests stay up for this long, if that is more than usual.
    pub(super) fn extend_drained_linger(&mut self, linger: Time) {
        self.drained_linger = linger.max(MIN_DRAINED_LINGER);
    }

    fn release_address(&mut self, server: ServerId) {
        let address = self.machine(server).address();
        if self.listeners[address as usize] == Some(server) {
            self.listeners[address as usize] = None;
            self.free_addresses.push(address);
        }
    }

    /// The capacity of all servers when they are warm, in standard cores.
    pub(super) fn full_capacity(&self) -> f64 {
        self.machines.iter().map(|machine| machine.traits().full_capacity()).sum()
    }

    pub(super) fn list_entries(&self) -> Vec<ListEntry> {
        self.iter().map(|(server, machine)| machine.list_entry(server)).collect()
    }

    pub(super) fn snapshots(&self) -> Vec<ServerSnapshot> {
        self.iter().filter_map(|(server, machine)| machine.snapshot(server)).collect()
    }
}

impl World {
    /// Schedules the next change of a server's state.
    pub(super) fn schedule_server_step(&mut self, server: ServerId) {
        if let Some((at, step)) = self.servers.machine_mut(server).next_step() {
            self.queue.push(at, Due::ServerStep { server, step });
        }
    }

    pub(super) fn on_server_step(&mut self, server: ServerId, step: u64) {
        if self.servers.machine(server).is_current_step(step) {
            self.advance_server(server);
            self.schedule_server_step(server);
        }
    }

    /// Lets time pass at a server until now, and sends the responses to what it has executed.
    pub(super) fn advance_server(&mut self, server: ServerId) {
        let mut executed = std::mem::take(&mut self.servers.executed);
        let Some(process) = self.servers.machine_mut(server).process_mut() else {
            self.servers.executed = executed;
            return;
        };
        let congestions = process.congestion_count();
        process.advance(self.now, &mut executed);
        let (is_newly_congested, report) = (process.congestion_count() > congestions, process.load_report());
        if is_newly_congested {
            self.scorecard.congestions += 1;
            self.record(EventKind::ServerCongested { server });
        }
        for Executed { id, .. } in executed.drain(..) {
            self.on_executed(server, ExchangeId(id), report);
        }
        self.servers.executed = executed;
        if self.servers.machine(server).is_drained() {
            self.queue.push(self.now + self.servers.drained_linger, Due::ServerEnds(server));
        }
    }

    /// The outcome of a request that a server has executed.
    pub(super) fn draw_execution_outcome(&mut self, server: ServerId) -> AttemptOutcome {
        if self.servers.machine_mut(server).draw_error() {
            return AttemptOutcome::Errored;
        }
        let corrupted_share = self.faults.corrupted_share(&self.scenario.faults);
        match corrupted_share > 0.0 && self.random.responses.random_bool(corrupted_share) {
            true => AttemptOutcome::Corrupted,
            false => AttemptOutcome::Served,
        }
    }

    /// The state of a server has changed: that enters the list after some time.
    pub(super) fn announce_server(&mut self, server: ServerId) {
        self.announce(server, self.servers.machine(server).state(), self.scenario.discovery.change_delay);
    }

    /// A machine was cut off: the list will say that its server is gone, although it may come back.
    pub(super) fn announce_cut_off(&mut self, server: ServerId) {
        self.announce(server, ServerState::Deleted, self.scenario.discovery.silent_end_delay);
    }

    fn announce(&mut self, server: ServerId, state: ServerState, delay: ValueRange<Time>) {
        let entry = ListEntry { state, ..self.servers.machine(server).list_entry(server) };
        let delay = self.random.list_delays.uniform_time(delay) + self.discovery.extra_change_delay();
        self.queue.push(self.now + delay, Due::ListChange(entry));
    }

    /// All connections of a server end by a reset.
    pub(super) fn reset_all_connections(&mut self, server: ServerId) {
        for connection in self.servers.machine_mut(server).remove_all_connections() {
            self.send_to_proxy(connection, ServerMessage::ConnectionReset);
        }
    }

    /// The process of a server ends. What it had in flight was executed in part, and is never answered.
    pub(super) fn end_process(&mut self, server: ServerId) {
        if !self.servers.machine_mut(server).end_process() {
            return;
        }
        self.topology_version += 1;
        self.record(EventKind::ServerEnded { server });
        for work in self.exchanges.drop_all_of(server) {
            self.scorecard.wasted_work += work;
        }
        if !self.servers.machine(server).is_cut_off() {
            self.reset_all_connections(server);
        }
    }

    /// The process of a server ends, and no other one will start on its machine.
    pub(super) fn end_server_for_good(&mut self, server: ServerId) {
        if !self.servers.machine(server).is_running() {
            return;
        }
        self.end_process(server);
        self.servers.machine_mut(server).delete();
        self.servers.release_address(server);
        self.announce_server(server);
    }

    /// The process of a server starts, cold.
    pub(super) fn start_server(&mut self, server: ServerId) {
        if !self.servers.start_process(server, self.now) {
            return;
        }
        self.topology_version += 1;
        self.record(EventKind::ServerStarted { server });
        self.announce_server(server);
        self.schedule_server_step(server);
    }

    /// A machine that was cut off is back.
    pub(super) fn reconnect_machine(&mut self, server: ServerId) {
        if self.servers.machine_mut(server).reconnect() {
            self.topology_version += 1;
            self.reset_all_connections(server);
            self.announce_server(server);
        }
    }
}
