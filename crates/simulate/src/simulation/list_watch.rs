//! How the simulated proxies watch discovery's list.

use std::collections::BTreeSet;

use mosshead_decide::interface::{
    self, EndpointId, Event, GroupId, ListUpdate, MachineKindId, Readiness, ZoneId,
};
use mosshead_world::discovery::DiscoveryCall;
use mosshead_world::{Input, ListEntry, ListResponse, ServerId, ServerState, Time};

use super::{Due, Simulation, take_next};

/// How long discovery may hold a call open.
const MAX_CALL_WAIT: Time = Time::from_millis(4000);
/// A call is given up when its response is later than this.
const CALL_MARGIN: Time = Time::from_millis(1500);
/// Discovery is called again so long after a response that is older than an earlier one.
const RETRY_AFTER_OUTDATED_LIST: Time = Time::from_millis(1000);
/// An agent is called again so long after a failed call.
const AGENT_RETRY_INTERVAL: Time = Time::from_millis(100);

impl Simulation<'_> {
    /// Where changes are pushed, the host watches the agent of a proxy by itself, as the real one does.
    pub(super) fn follow_agent(&mut self, proxy: usize) {
        if self.world.scenario().discovery.is_pushed {
            self.call_for_list(proxy);
        }
    }

    /// A proxy calls for changes of the list, unless it has an open call.
    pub(super) fn call_for_list(&mut self, proxy: usize) {
        if self.proxies[proxy].has_open_list_call() {
            return;
        }
        let number = take_next(&mut self.next_ids.list_call);
        let known_version = Some(self.proxies[proxy].begin_list_call(number));
        let call = DiscoveryCall { proxy, number, known_version, max_wait: MAX_CALL_WAIT };
        self.world.handle_input(self.now, Input::DiscoveryCalled(call));
        let timeout = self.now + MAX_CALL_WAIT + CALL_MARGIN;
        self.queue.push(timeout, Due::ListCallTimeout { proxy, number });
    }

    pub(super) fn on_list_call_timeout(&mut self, proxy: usize, number: u64) {
        if !self.proxies[proxy].end_list_call(number) {
            return;
        }
        self.world.handle_input(self.now, Input::DiscoveryCallAbandoned { proxy, number });
        if self.proxies[proxy].should_reopen_watch() {
            self.call_for_list(proxy);
        } else {
            self.on_list_call_failed(proxy);
        }
    }

    fn on_list_call_failed(&mut self, proxy: usize) {
        self.add_event(proxy, Event::ListUpdated(ListUpdate::Failed));
        let instance = self.proxies[proxy].instance();
        self.queue.push(self.now + AGENT_RETRY_INTERVAL, Due::AgentRetry { proxy, instance });
    }

    /// Discovery's response, or `None` where the call failed.
    pub(super) fn on_list_response(&mut self, call: DiscoveryCall, response: Option<ListResponse>) {
        let proxy = call.proxy;
        if !self.proxies[proxy].end_list_call(call.number) {
            return;
        }
        let Some(ListResponse { version, is_full, entries }) = response else {
            return self.on_list_call_failed(proxy);
        };
        if !self.proxies[proxy].record_list_version(version) {
            let instance = self.proxies[proxy].instance();
            let at = self.now + RETRY_AFTER_OUTDATED_LIST;
            return self.queue.push(at, Due::ListCallRetry { proxy, instance });
        }
        if is_full {
            self.delete_unlisted(proxy, &entries);
        }
        let entries = self.update_list(proxy, &entries);
        let update = if is_full { ListUpdate::Full(entries) } else { ListUpdate::Changes(entries) };
        // Also where nothing has changed: the policy learns that the list is still valid.
        self.add_event(proxy, Event::ListUpdated(update));
        self.call_for_list(proxy);
    }

    /// Servers that are missing from a complete list are gone.
    fn delete_unlisted(&mut self, proxy: usize, entries: &[ListEntry]) {
        let listed: BTreeSet<ServerId> = entries.iter().map(|entry| entry.server).collect();
        let deleted: Vec<ListEntry> = self.proxies[proxy]
            .known_entries()
            .filter(|entry| entry.state != ServerState::Deleted && !listed.contains(&entry.server))
            .map(|entry| ListEntry { state: ServerState::Deleted, ..entry })
            .collect();
        self.update_list(proxy, &deleted);
    }

    /// Takes in entries of the list, and returns them as the policy knows them. Connections to servers that have changed are
    /// closed.
    pub(super) fn update_list(&mut self, proxy: usize, entries: &[ListEntry]) -> Vec<interface::ListEntry> {
        let mut updates = Vec::with_capacity(entries.len());
        for entry in entries {
            let former = self.proxies[proxy].update_entry(*entry);
            if former.is_some_and(|former| former != *entry) {
                self.close_idle_connections(proxy, entry.server);
            }
            updates.push(self.policy_entry(entry));
        }
        updates
    }

    fn policy_entry(&self, entry: &ListEntry) -> interface::ListEntry {
        let traits = self.world.server_traits(entry.server);
        interface::ListEntry {
            endpoint: EndpointId(entry.server.0),
            readiness: match entry.state {
                ServerState::Serving => Readiness::Ready,
                ServerState::Draining => Readiness::Draining,
                ServerState::Deleted => Readiness::Removed,
            },
            zone: ZoneId(traits.zone),
            kind: MachineKindId(traits.kind),
            group: GroupId(0),
            weight: 1.0,
            started_at: (entry.started_at > Time::ZERO).then(|| entry.started_at.as_seconds()),
        }
    }
}
