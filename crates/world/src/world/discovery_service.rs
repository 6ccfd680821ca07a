//! Discovery as a part of the world: calls and responses on their way, changes that enter the list, and earlier lists.

use std::collections::VecDeque;

use super::{Due, ListEntry, ListResponse, Output, World};
use crate::Time;
use crate::discovery::{Discovery, DiscoveryCall, FinishedCall, VersionedList};
use crate::fault::{Direction, LinkKind};

/// So many earlier lists are remembered.
const MAX_REMEMBERED_LISTS: usize = 512;

/// A list, and since when discovery has shown it.
struct FormerList {
    since: Time,
    list: VersionedList,
}

/// Discovery with its history.
pub(super) struct DiscoveryService {
    discovery: Discovery,
    /// Rises with each [`Due::DiscoveryStep`], of which only the last one counts.
    step: u64,
    /// What a fault adds to the time after which a change enters the list.
    extra_change_delay: Time,
    /// The oldest first.
    history: VecDeque<FormerList>,
}

impl DiscoveryService {
    pub(super) fn new(discovery: Discovery) -> Self {
        Self { discovery, step: 0, extra_change_delay: Time::ZERO, history: VecDeque::new() }
    }

    /// What faults add to the time after which a change enters the list.
    pub(super) fn extra_change_delay(&self) -> Time {
        self.extra_change_delay
    }

    pub(super) fn add_change_delay(&mut self, delay: Time) {
        self.extra_change_delay += delay;
    }

    pub(super) fn remove_change_delay(&mut self, delay: Time) {
        self.extra_change_delay = self.extra_change_delay - delay;
    }

    /// The current list, also while discovery serves a backup.
    pub(super) fn list(&self) -> &VersionedList {
        self.discovery.list()
    }

    pub(super) fn forget_call(&mut self, proxy: usize, number: u64) {
        self.discovery.forget_call(proxy, number);
    }

    pub(super) fn forget_proxy(&mut self, proxy: usize) {
        self.discovery.forget_proxy(proxy);
    }

    pub(super) fn has_open_call(&self, proxy: usize) -> bool {
        self.discovery.has_open_call(proxy)
    }

    /// Remembers the current list, which is shown from now on.
    pub(super) fn remember_list(&mut self, now: Time) {
        self.history.push_back(FormerList { since: now, list: self.discovery.list().clone() });
        if self.history.len() > MAX_REMEMBERED_LISTS {
            self.history.pop_front();
        }
    }

    /// The list as it was shown `age` ago.
    pub(super) fn list_before(&self, age: Time, now: Time) -> VersionedList {
        let at = now - age;
        let older = self.history.iter().rev().find(|former| former.since <= at).or(self.history.front());
        match older {
            Some(FormerList { list, .. }) if age > Time::ZERO => list.clone(),
            _ => self.discovery.list().clone(),
        }
    }
}

impl World {
    /// How long a message takes between discovery and a proxy.
    fn discovery_delay(&mut self, proxy: usize) -> Time {
        let delay = self.network.with_jitter(self.scenario.network.within_zone.min);
        delay + self.draw_fault_delay(proxy, LinkKind::Discovery, None)
    }

    /// A proxy calls discovery.
    pub(super) fn on_discovery_called(&mut self, call: DiscoveryCall) {
        self.scorecard.record_discovery_call(self.now);
        self.proxies[call.proxy].record_discovery_call(self.now);
        let delay = self.discovery_delay(call.proxy);
        self.queue.push(self.now + delay, Due::DiscoveryCallArrives(call));
    }

    pub(super) fn on_discovery_call_arrives(&mut self, call: DiscoveryCall) {
        if self.link_passes(call.proxy, LinkKind::Discovery, None, Direction::FromProxy) {
            self.update_discovery(|discovery, now, finished| discovery.accept_call(now, call, finished));
        }
    }

    /// The state of discovery changes by itself.
    pub(super) fn on_discovery_step(&mut self, step: u64) {
        if self.discovery.step == step {
            self.update_discovery(|_, _, _| {});
        }
    }

    /// A change enters the list.
    pub(super) fn on_list_change(&mut self, change: ListEntry) {
        self.update_discovery(|discovery, _, finished| discovery.apply_change(change, finished));
    }

    /// Lets time pass at discovery until now, updates it, and sends the responses of the calls that this has finished.
    pub(super) fn update_discovery(
        &mut self,
        update: impl FnOnce(&mut Discovery, Time, &mut Vec<FinishedCall>),
    ) {
        let mut finished = Vec::new();
        self.discovery.discovery.advance(self.now, &mut finished);
        let version = self.discovery.list().version;
        update(&mut self.discovery.discovery, self.now, &mut finished);
        if self.discovery.list().version != version {
            self.discovery.remember_list(self.now);
        }
        self.send_discovery_responses(finished);
    }

    /// Sends responses, and schedules the next change of discovery's state.
    pub(super) fn send_discovery_responses(&mut self, finished: Vec<FinishedCall>) {
        for finished_call in finished {
            let delay = self.discovery_delay(finished_call.call.proxy);
            self.queue.push(self.now + delay, Due::DiscoveryResponseArrives(finished_call));
        }
        self.discovery.step += 1;
        let next = self.discovery.discovery.next_event_at();
        if next < Time::NEVER {
            self.queue.push(next, Due::DiscoveryStep { step: self.discovery.step });
        }
    }

    /// Discovery goes down or comes up.
    pub(super) fn set_discovery_down(&mut self, is_down: bool) {
        let mut finished = Vec::new();
        match is_down {
            true => self.discovery.discovery.go_down(&mut finished),
            false => self.discovery.discovery.come_up(&mut finished),
        }
        self.send_discovery_responses(finished);
    }

    /// A response of discovery reaches its proxy.
    pub(super) fn on_discovery_response_arrives(
        &mut self,
        FinishedCall { call, response }: FinishedCall,
        outputs: &mut Vec<Output>,
    ) {
        if !self.link_passes(call.proxy, LinkKind::Discovery, None, Direction::ToProxy) {
            return;
        }
        if let Some(ListResponse { version, is_full, entries }) = &response {
            // A list that is older than one that the proxy had before notifies it of nothing.
            if self.proxies[call.proxy].record_list_version(*version) {
                self.notify_proxy(call.proxy, *is_full, entries);
            }
        }
        self.proxies[call.proxy].record_discovery_response(self.now, response.is_some());
        outputs.push(Output::DiscoveryResponded(call, response));
    }
}
