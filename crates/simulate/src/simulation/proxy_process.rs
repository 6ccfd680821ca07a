//! The processes of the simulated proxies: they start, stop, are killed and suspended.

use mosshead_decide::interface::{Event, ListUpdate};
use mosshead_recovery::WatchReopening;
use mosshead_world::scenario::StoredStateCondition;
use mosshead_world::{ConnectionId, Input, ListEntry, Output, ServerId, Time};

use super::{Due, Simulation};
use crate::policy_host::{PolicyHostError, PolicyStart};
use crate::proxy_settings;

/// A proxy and its process.
#[derive(Default)]
pub(super) struct SimulatedProxy {
    is_up: bool,
    /// It was stopped by SIGTERM, and ends with its last request.
    is_stopping: bool,
    /// How often its process has started.
    instance: u32,
    /// What its policy has to handle at the next tick.
    events: Vec<Event>,
    /// By server.
    known_servers: Vec<Option<KnownServer>>,
    /// The version of the list that it has; at first that of the saved list.
    list_version: u64,
    /// The version of the last list that it has received from discovery.
    received_version: u64,
    /// The number of its open call for the list.
    open_list_call: Option<u64>,
    watch_reopening: WatchReopening,
    /// How many requests have no response yet.
    pending_requests: u64,
}

/// An idle connection.
#[derive(Clone, Copy)]
pub(super) struct IdleConnection {
    pub(super) connection: ConnectionId,
    pub(super) since: Time,
}

/// A server that a proxy has read of.
#[derive(Clone)]
pub(super) struct KnownServer {
    pub(super) entry: ListEntry,
    /// The one that was used last is last, and is used first.
    pub(super) idle_connections: Vec<IdleConnection>,
}

impl SimulatedProxy {
    /// The next process of a proxy, which has read this version of a saved list.
    fn next_instance(&self, list_version: u64) -> Self {
        Self { is_up: true, instance: self.instance + 1, list_version, ..Self::default() }
    }

    /// The proxy after its process has ended.
    fn ended(&self) -> Self {
        Self { instance: self.instance, ..Self::default() }
    }

    pub(super) fn is_up(&self) -> bool {
        self.is_up
    }

    /// How often its process has started.
    pub(super) fn instance(&self) -> u32 {
        self.instance
    }

    /// The policy handles an event at the next tick.
    pub(super) fn add_event(&mut self, event: Event) {
        self.events.push(event);
    }

    /// What the policy has to handle at this tick.
    pub(super) fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// How many requests have no response yet.
    pub(super) fn pending_requests(&self) -> u64 {
        self.pending_requests
    }

    pub(super) fn begin_request(&mut self) {
        self.pending_requests += 1;
    }

    pub(super) fn end_request(&mut self) {
        self.pending_requests -= 1;
    }

    /// Begins a call for the list with this number, and returns the version of the list that it has.
    pub(super) fn begin_list_call(&mut self, number: u64) -> u64 {
        self.open_list_call = Some(number);
        self.list_version
    }

    pub(super) fn has_open_list_call(&self) -> bool {
        self.open_list_call.is_some()
    }

    /// Ends a call for the list; false if it is not the open one.
    pub(super) fn end_list_call(&mut self, number: u64) -> bool {
        let is_open = self.open_list_call == Some(number);
        if is_open {
            self.open_list_call = None;
        }
        is_open
    }

    /// Whether a watch without a response is opened again at once.
    pub(super) fn should_reopen_watch(&mut self) -> bool {
        self.watch_reopening.should_reopen()
    }

    /// Discovery has responded with a list; false if it is older than one that was received before.
    pub(super) fn record_list_version(&mut self, version: u64) -> bool {
        self.watch_reopening.on_answer();
        if version < self.received_version {
            return false;
        }
        self.list_version = version;
        self.received_version = version;
        true
    }

    /// Whether it is up, and its process is the one of this number.
    pub(super) fn is_running_as(&self, instance: u32) -> bool {
        self.is_up && self.instance == instance
    }

    pub(super) fn known_server(&self, server: ServerId) -> Option<&KnownServer> {
        self.known_servers.get(server.0 as usize)?.as_ref()
    }

    pub(super) fn known_server_mut(&mut self, server: ServerId) -> Option<&mut KnownServer> {
        self.known_servers.get_mut(server.0 as usize)?.as_mut()
    }

    pub(super) fn known_entries(&self) -> impl Iterator<Item = ListEntry> {
        self.known_servers.iter().flatten().map(|known| known.entry)
    }

    /// Takes in an entry, and returns the one before it.
    pub(super) fn update_entry(&mut self, entry: ListEntry) -> Option<ListEntry> {
        let index = entry.server.0 as usize;
        if self.known_servers.len() <= index {
            self.known_servers.resize(index + 1, None);
        }
        match &mut self.known_servers[index] {
            Some(known) => Some(std::mem::replace(&mut known.entry, entry)),
            unknown => {
                *unknown = Some(KnownServer { entry, idle_connections: Vec::new() });
                None
            }
        }
    }
}

/// What waits for a suspended proxy: it has reached the machine, and not the process.
#[derive(Default)]
pub(super) struct HeldBack {
    pub(super) outputs: Vec<Output>,
    pub(super) dues: Vec<Due>,
}

impl Simulation<'_> {
    /// Starts the process of a proxy; one that still runs is killed.
    pub(super) fn start_proxy(&mut self, proxy: usize) -> Result<(), PolicyHostError> {
        if self.proxies[proxy].is_up {
            self.end_proxy(proxy);
        }
        let saved_list = self.world.saved_list(proxy);
        self.proxies[proxy] = self.proxies[proxy].next_instance(saved_list.version);
        let start = match self.world.stored_state_condition(proxy) {
            Some(StoredStateCondition::Kept) => PolicyStart::WithLearnedValues,
            _ => PolicyStart::Fresh,
        };
        let settings = proxy_settings::to_json(&self.world, proxy).to_string();
        self.policies.start_policy(proxy, &settings, self.policy_seed(proxy), start)?;
        let entries = self.update_list(proxy, &saved_list.entries);
        self.add_event(proxy, Event::ListUpdated(ListUpdate::Saved(entries)));
        self.follow_agent(proxy);
        self.world.handle_input(self.now, Input::ProxyStarted { proxy });
        Ok(())
    }

    /// A seed for the policy of each instance of each proxy, from the seed of the day.
    fn policy_seed(&self, proxy: usize) -> u64 {
        let seed = self.seed ^ (proxy as u64) << 20 ^ u64::from(self.proxies[proxy].instance);
        seed.wrapping_mul(0x9e37_79b9_7f4a_7c15)
    }

    /// The process of a proxy ends, with all that it has.
    fn end_proxy(&mut self, proxy: usize) {
        let is_own = |connection: &&ConnectionId| self.proxy_of(**connection) == Some(proxy);
        let mut connections: Vec<ConnectionId> = self.connections.keys().filter(is_own).copied().collect();
        connections.sort_unstable();
        for connection in connections {
            self.close_connection(connection);
        }
        self.requests.retain(|_, request| request.proxy != proxy);
        let requests = &self.requests;
        self.attempts.retain(|attempt, _| requests.contains_key(&attempt.request));
        self.proxies[proxy] = self.proxies[proxy].ended();
        self.proxies_with_events.remove(&proxy);
        self.suspended.remove(&proxy);
        self.world.handle_input(self.now, Input::ProxyStopped { proxy });
    }

    /// SIGTERM: the proxy ends with its last request.
    pub(super) fn stop_proxy(&mut self, proxy: usize) {
        if self.proxies[proxy].is_up {
            self.proxies[proxy].is_stopping = true;
            self.end_if_stopped(proxy);
        }
    }

    /// A proxy that was stopped ends if it has no request any more.
    pub(super) fn end_if_stopped(&mut self, proxy: usize) {
        if self.proxies[proxy].is_stopping && self.proxies[proxy].pending_requests == 0 {
            self.end_proxy(proxy);
        }
    }

    /// SIGKILL.
    pub(super) fn kill_proxy(&mut self, proxy: usize) {
        if self.proxies[proxy].is_up {
            self.end_proxy(proxy);
        }
    }

    /// SIGSTOP: what is for the proxy waits.
    pub(super) fn suspend_proxy(&mut self, proxy: usize) {
        if self.proxies[proxy].is_up {
            self.suspended.insert(proxy, HeldBack::default());
        }
    }

    /// SIGCONT: the proxy reads all at once that has come meanwhile.
    pub(super) fn resume_proxy(&mut self, proxy: usize) -> Result<(), PolicyHostError> {
        let Some(HeldBack { outputs, dues }) = self.suspended.remove(&proxy) else { return Ok(()) };
        outputs.into_iter().try_for_each(|output| self.handle_output(output))?;
        dues.into_iter().try_for_each(|due| self.handle_due(due))?;
        if !self.proxies[proxy].events.is_empty() {
            self.proxies_with_events.insert(proxy);
            self.schedule_tick();
        }
        Ok(())
    }
}
