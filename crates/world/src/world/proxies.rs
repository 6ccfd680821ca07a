//! What the world knows of the proxies: whether they run, and of which server states they have been notified.

use std::collections::{BTreeSet, HashMap};

use super::{EventKind, ListEntry, Output, ServerId, ServerState, World};
use crate::Time;
use crate::discovery::VersionedList;
use crate::events::ClientResponse;
use crate::fault::{LinkKind, SavedList, StoredStateCondition};

/// Where changes are pushed, a proxy that has had no call to its agent for this long counts as notified of what the agent has.
const AGENT_CALL_INTERVAL: Time = Time::from_millis(200);
/// After a failed call, a proxy may go without the next one for so many times the usual interval.
const INTERVAL_FACTOR_AFTER_FAILURE: f64 = 4.0;
/// How far the version of a list that is ahead of discovery lies above discovery's.
const VERSIONS_AHEAD: u64 = 1000;

/// A proxy, as far as the world knows it.
#[derive(Default)]
pub(super) struct ProxyState {
    zone: usize,
    is_up: bool,
    /// A fault has stopped it or killed it.
    is_stopping: bool,
    /// It is suspended; clients and discovery take it for running.
    is_paused: bool,
    /// The state of each server that it was notified of last.
    notified_states: HashMap<ServerId, ServerState>,
    /// The version of the last list that it has received from discovery.
    known_version: u64,
    /// When it last called discovery, or received a response.
    last_discovery_contact: Time,
    /// Whether its last call to discovery was answered with a failure.
    has_failed_call: bool,
    /// The list that it finds when it starts next, and how old that is.
    saved_list: SavedList,
    saved_list_age: Time,
    /// The stored state that it finds when it starts next.
    stored_state: StoredStateCondition,
}

/// What a proxy finds when it starts again.
#[derive(Clone, Copy)]
pub(super) struct RestartConditions {
    pub(super) saved_list: SavedList,
    pub(super) saved_list_age: Time,
    pub(super) stored_state: StoredStateCondition,
}

impl ProxyState {
    pub(super) fn new(zone: usize) -> Self {
        Self { zone, ..Self::default() }
    }

    pub(super) fn zone(&self) -> usize {
        self.zone
    }

    pub(super) fn is_up(&self) -> bool {
        self.is_up
    }

    pub(super) fn record_discovery_call(&mut self, now: Time) {
        self.last_discovery_contact = now;
    }

    pub(super) fn record_discovery_response(&mut self, now: Time, is_success: bool) {
        self.last_discovery_contact = now;
        self.has_failed_call = !is_success;
    }

    /// The proxy receives a list; false where it had a newer one before.
    pub(super) fn record_list_version(&mut self, version: u64) -> bool {
        let is_news = version >= self.known_version;
        self.known_version = version.max(self.known_version);
        is_news
    }

    /// A fault stops or kills the proxy.
    pub(super) fn stop(&mut self, conditions: RestartConditions) {
        self.is_stopping = true;
        self.is_up = false;
        self.is_paused = false;
        self.saved_list = conditions.saved_list;
        self.saved_list_age = conditions.saved_list_age;
        self.stored_state = conditions.stored_state;
    }

    /// A new process is up.
    fn start(&mut self, now: Time) {
        self.is_up = true;
        self.is_stopping = false;
        self.saved_list = SavedList::Kept;
        self.saved_list_age = Time::ZERO;
        self.last_discovery_contact = now;
        self.has_failed_call = false;
        self.notified_states.clear();
        self.known_version = 0;
    }

    /// The states that a list notifies of, in its order; then those of the servers that are missing from a complete list.
    fn changes_by(&self, is_full: bool, entries: &[ListEntry]) -> Vec<(ServerId, ServerState)> {
        let mut changes: Vec<(ServerId, ServerState)> =
            entries.iter().map(|entry| (entry.server, entry.state)).collect();
        if is_full {
            let listed: BTreeSet<ServerId> = entries.iter().map(|entry| entry.server).collect();
            let mut missing: Vec<ServerId> =
                self.notified_states.keys().filter(|server| !listed.contains(server)).copied().collect();
            missing.sort_unstable();
            changes.extend(missing.into_iter().map(|server| (server, ServerState::Deleted)));
        }
        changes
    }
}

impl World {
    /// The list that a proxy finds which starts now.
    pub fn saved_list(&self, proxy: usize) -> VersionedList {
        let ProxyState { saved_list, saved_list_age, .. } = self.proxies[proxy];
        let list = self.discovery.list_before(saved_list_age, self.now);
        match saved_list {
            SavedList::Kept => list,
            SavedList::Missing => VersionedList { version: 0, entries: Vec::new() },
            SavedList::AheadOfDiscovery => {
                VersionedList { version: self.discovery.list().version + VERSIONS_AHEAD, ..list }
            }
        }
    }

    /// The condition of the stored state that a proxy finds which starts now; `None` where proxies have none.
    pub fn stored_state_condition(&self, proxy: usize) -> Option<StoredStateCondition> {
        self.scenario.proxy.has_state_folder.then_some(self.proxies[proxy].stored_state)
    }

    pub(super) fn on_proxy_started(&mut self, proxy: usize) {
        let list = self.saved_list(proxy);
        self.proxies[proxy].start(self.now);
        self.record(EventKind::ProxyStarted { proxy });
        self.notify_proxy(proxy, true, &list.entries);
        self.schedule_waiting_faults();
    }

    pub(super) fn on_proxy_stopped(&mut self, proxy: usize) {
        let expected = self.proxies[proxy].is_stopping;
        self.proxies[proxy].is_up = false;
        self.discovery.forget_proxy(proxy);
        self.record(EventKind::ProxyStopped { proxy, expected });
        for request in self.clients.requests_of(proxy) {
            self.on_response(request, ClientResponse::Aborted);
        }
    }

    /// A proxy has received these entries, or counts as having received them.
    pub(super) fn notify_proxy(&mut self, proxy: usize, is_full: bool, entries: &[ListEntry]) {
        let changes = self.proxies[proxy].changes_by(is_full, entries);
        for entry in entries {
            self.servers.machine_mut(entry.server).notify_of_start(proxy, entry.started_at);
        }
        for (server, state) in changes {
            if self.proxies[proxy].notified_states.insert(server, state) != Some(state) {
                self.record(EventKind::ServerStateNotified { proxy, server, state });
            }
        }
    }

    /// Proxies that have not called discovery for too long count as notified of its list.
    pub(super) fn notify_silent_proxies(&mut self) {
        let list = self.discovery.list().clone();
        for proxy in 0..self.proxies.len() {
            let interval = self.allowed_call_interval(proxy);
            if !self.can_reach_discovery(proxy) {
                self.proxies[proxy].last_discovery_contact = self.now;
            }
            let is_silent = self.proxies[proxy].last_discovery_contact + interval <= self.now;
            if self.proxies[proxy].is_up && is_silent && !self.discovery.has_open_call(proxy) {
                self.notify_proxy(proxy, true, &list.entries);
            }
        }
    }

    /// How long a proxy may go without a call to discovery before it counts as notified: longer after a failed call, so that a
    /// fleet can back off from a discovery that is down or overloaded (WIRE-mosshead.md, `rules.ask_within_s`).
    fn allowed_call_interval(&self, proxy: usize) -> Time {
        if self.scenario.discovery.is_pushed {
            return AGENT_CALL_INTERVAL;
        }
        let interval = self.scenario.rules.discovery_call_interval;
        match self.proxies[proxy].has_failed_call {
            true => interval.scaled_by(INTERVAL_FACTOR_AFTER_FAILURE),
            false => interval,
        }
    }

    /// Whether a proxy could call discovery if it wanted to.
    fn can_reach_discovery(&self, proxy: usize) -> bool {
        !self.proxies[proxy].is_paused && self.link_connects(proxy, LinkKind::Discovery, None)
    }

    /// Proxies are suspended.
    pub(super) fn pause_proxies(&mut self, proxies: &[usize], outputs: &mut Vec<Output>) {
        for &proxy in proxies {
            if self.proxies[proxy].is_up && !self.proxies[proxy].is_paused {
                self.proxies[proxy].is_paused = true;
                self.record(EventKind::ProxyPaused { proxy });
                outputs.push(Output::PauseProxy(proxy));
            }
        }
    }

    /// Suspended proxies go on.
    pub(super) fn resume_proxies(&mut self, proxies: &[usize], outputs: &mut Vec<Output>) {
        for &proxy in proxies {
            if std::mem::take(&mut self.proxies[proxy].is_paused) {
                self.proxies[proxy].last_discovery_contact = self.now;
                self.record(EventKind::ProxyResumed { proxy });
                outputs.push(Output::ResumeProxy(proxy));
            }
        }
    }
}
