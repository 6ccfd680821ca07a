//! The machine of a server: its process if that runs, its connections, and what faults do to it.

use std::collections::BTreeSet;

use super::{ConnectionId, ListEntry, ServerId, ServerSnapshot, ServerState};
use crate::Time;
use crate::random::RandomStream;
use crate::server::{CollapseLimit, Server, ServerTraits, StartCondition};

/// Work that was sent to a server since its process started, in seconds on a standard core.
#[derive(Clone, Copy, Default)]
struct SentWork {
    /// By proxies that had been notified of the start,
    by_notified: f64,
    /// and by all proxies.
    total: f64,
}

/// The machine of a server.
pub(super) struct Machine {
    traits: ServerTraits,
    process: Option<Server>,
    address: u32,
    /// Its state as it will be on the list.
    state: ServerState,
    started_at: Time,
    /// Nothing reaches it, and nothing comes from it.
    is_cut_off: bool,
    /// The proxies that have been notified of its last start.
    notified_proxies: BTreeSet<usize>,
    sent_work: SentWork,
    /// The share of requests that a fault lets fail at once.
    fast_error_share: f64,
    /// Rises with each scheduled change of the process's state, of which only the last one counts.
    step: u64,
    connections: BTreeSet<ConnectionId>,
    random: RandomStream,
}

impl Machine {
    /// A machine whose process does not run yet.
    pub(super) fn new(traits: ServerTraits, address: u32, started_at: Time, random: RandomStream) -> Self {
        Self {
            traits,
            process: None,
            address,
            state: ServerState::Serving,
            started_at,
            is_cut_off: false,
            notified_proxies: BTreeSet::new(),
            sent_work: SentWork::default(),
            fast_error_share: 0.0,
            step: 0,
            connections: BTreeSet::new(),
            random,
        }
    }

    /// The process runs since before the day, with its full capacity.
    pub(super) fn start_before_day(&mut self, collapse_limit: CollapseLimit) {
        self.process =
            Some(Server::start(self.started_at, self.traits.clone(), StartCondition::Warm, collapse_limit));
    }

    /// The process starts now, cold; false where the server is gone for good.
    pub(super) fn start_process(&mut self, now: Time, collapse_limit: CollapseLimit) -> bool {
        if self.state == ServerState::Deleted {
            return false;
        }
        self.process = Some(Server::start(now, self.traits.clone(), StartCondition::Cold, collapse_limit));
        self.started_at = now;
        self.fast_error_share = 0.0;
        self.notified_proxies.clear();
        self.sent_work = SentWork::default();
        true
    }

    /// The process ends; false where it does not run.
    pub(super) fn end_process(&mut self) -> bool {
        self.process.take().is_some()
    }

    pub(super) fn traits(&self) -> &ServerTraits {
        &self.traits
    }

    pub(super) fn zone(&self) -> usize {
        self.traits.zone
    }

    pub(super) fn address(&self) -> u32 {
        self.address
    }

    pub(super) fn state(&self) -> ServerState {
        self.state
    }

    pub(super) fn process(&self) -> Option<&Server> {
        self.process.as_ref()
    }

    pub(super) fn process_mut(&mut self) -> Option<&mut Server> {
        self.process.as_mut()
    }

    pub(super) fn is_running(&self) -> bool {
        self.process.is_some()
    }

    pub(super) fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Whether it serves and can be reached.
    pub(super) fn is_serving(&self) -> bool {
        self.state == ServerState::Serving && self.process.is_some() && !self.is_cut_off
    }

    /// Whether the process takes requests: it does not drain, and has not too many connections.
    pub(super) fn takes_requests(&self) -> bool {
        let connections = self.process.as_ref().map_or(0, Server::connection_count);
        self.state == ServerState::Serving && connections <= self.traits.max_connections
    }

    /// Whether it drains and has nothing left in flight.
    pub(super) fn is_drained(&self) -> bool {
        let is_idle = self.process.as_ref().is_some_and(|process| process.in_flight() == 0);
        self.state == ServerState::Draining && is_idle
    }

    pub(super) fn drain(&mut self) {
        self.state = ServerState::Draining;
    }

    /// The server is gone for good.
    pub(super) fn delete(&mut self) {
        self.state = ServerState::Deleted;
    }

    pub(super) fn cut_off(&mut self) {
        self.is_cut_off = true;
    }

    /// The machine can be reached again; false where it could be.
    pub(super) fn reconnect(&mut self) -> bool {
        std::mem::take(&mut self.is_cut_off)
    }

    pub(super) fn set_fast_error_share(&mut self, share: f64) {
        self.fast_error_share = share;
    }

    /// Draws whether a fault lets the next request fail at once.
    pub(super) fn draw_fast_error(&mut self) -> bool {
        self.fast_error_share > 0.0 && self.random.random_bool(self.fast_error_share)
    }

    /// Draws whether the execution of a request fails, as it may without any fault.
    pub(super) fn draw_error(&mut self) -> bool {
        self.random.random_bool(self.traits.error_rate)
    }

    /// A proxy has received an entry of this server, whose process started at `started_at` by that entry.
    pub(super) fn notify_of_start(&mut self, proxy: usize, started_at: Time) {
        if self.started_at == started_at {
            self.notified_proxies.insert(proxy);
        }
    }

    /// Work was sent to the process, by this proxy where that is known.
    pub(super) fn record_sent_work(&mut self, proxy: Option<usize>, work: f64) {
        let is_notified = proxy.is_some_and(|proxy| self.notified_proxies.contains(&proxy));
        self.sent_work.total += work;
        self.sent_work.by_notified += if is_notified { work } else { 0.0 };
    }

    /// Whether two thirds of the work since the start came from proxies that had been notified of it. Others cannot know that
    /// the server is cold.
    pub(super) fn was_sent_work_knowingly(&self) -> bool {
        3.0 * self.sent_work.by_notified >= 2.0 * self.sent_work.total
    }

    pub(super) fn connections(&self) -> impl Iterator<Item = ConnectionId> {
        self.connections.iter().copied()
    }

    pub(super) fn has_connection(&self, connection: ConnectionId) -> bool {
        self.connections.contains(&connection)
    }

    pub(super) fn add_connection(&mut self, connection: ConnectionId) {
        self.connections.insert(connection);
        if let Some(process) = &mut self.process {
            process.open_connection();
        }
    }

    pub(super) fn remove_connection(&mut self, connection: ConnectionId) {
        if self.connections.remove(&connection)
            && let Some(process) = &mut self.process
        {
            process.close_connection();
        }
    }

    /// Removes all connections, and returns them in their order.
    pub(super) fn remove_all_connections(&mut self) -> BTreeSet<ConnectionId> {
        if let Some(process) = &mut self.process {
            self.connections.iter().for_each(|_| process.close_connection());
        }
        std::mem::take(&mut self.connections)
    }

    /// When the state of the process changes next, and the step that this is. Earlier steps no longer count.
    pub(super) fn next_step(&mut self) -> Option<(Time, u64)> {
        let at = self.process.as_ref()?.next_event_at();
        self.step += 1;
        Some((at, self.step))
    }

    pub(super) fn is_current_step(&self, step: u64) -> bool {
        self.step == step
    }

    pub(super) fn list_entry(&self, server: ServerId) -> ListEntry {
        ListEntry { server, address: self.address, state: self.state, started_at: self.started_at }
    }

    pub(super) fn snapshot(&self, server: ServerId) -> Option<ServerSnapshot> {
        let process = self.process.as_ref()?;
        let is_usable =
            self.state == ServerState::Serving && !self.is_cut_off && self.fast_error_share == 0.0;
        Some(ServerSnapshot {
            server,
            address: self.address,
            is_usable,
            in_flight: process.in_flight() as f64,
            capacity: process.current_capacity(),
        })
    }
}
