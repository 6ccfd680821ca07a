//! Open calls that wait for updates, and their responses.

use std::net::SocketAddrV4;

use mosshead_programs::calls::{Updates, WatchUpdates};
use mosshead_registry::{Delta, SourceId};
use mosshead_time::{Duration, Instant};

use super::{Event, FIRST_SOURCE_ID, MAX_ENTRIES, Proxy, RegistryFleet, WATCH_TIMEOUT};
use crate::counter::encoded;
use crate::machines::{address, control_node_name, proxy_name};

/// How long a call takes from one machine to another and back.
const ROUND_TRIP_TIME: Duration = Duration::from_millis(2);
/// How much later each further slot of a proxy requests entries that its first slot may get meanwhile.
const RETRY_DELAY_PER_SLOT_MS: u64 = 100;
/// The configuration's revision, at all processes.
const REVISION: u64 = 9;

/// The process that watches.
#[derive(Clone, Copy)]
pub(super) enum Watcher {
    /// A proxy, which watches the control node of the same number as the slot.
    Proxy { proxy: usize, slot: usize },
    /// A proxy whose last response announced entries without containing them. It requests them by a call that does not wait.
    ProxyAgain { proxy: usize, slot: usize },
    /// A control node, which watches all others.
    ControlNode { node: usize },
}

/// A call that waits for updates.
pub(super) struct OpenWatch {
    pub(super) watcher: Watcher,
    call: WatchUpdates,
}

impl RegistryFleet {
    /// Responds to the open calls that have waited for the last change.
    pub(super) fn notify_watches(&mut self, node: usize) {
        let watch_ids: Vec<u64> = self.control_nodes[node].open_watches.keys().copied().collect();
        for watch_id in watch_ids {
            if let Some(response) = self.response_to(node, watch_id)
                && response.has_newer_entries
                && let Some(open) = self.control_nodes[node].open_watches.remove(&watch_id)
            {
                self.respond(node, open.watcher, response);
            }
        }
    }

    /// The response to an open call, if it is still open.
    fn response_to(&mut self, node: usize, watch_id: u64) -> Option<Updates> {
        let control_nodes: Vec<SocketAddrV4> = (0..self.control_nodes.len()).map(address).collect();
        let proxy_count = self.proxies.len() as u32;
        let node = &mut self.control_nodes[node];
        let (registry, call) = (&node.registry, &node.open_watches.get(&watch_id)?.call);
        Some(node.counter.time(|| {
            let missing = registry.missing_entries(&call.vector, MAX_ENTRIES);
            let has_newer_entries = !missing.entries.is_empty();
            let delta = if call.wants_entries { missing } else { Delta::default() };
            Updates {
                revision: REVISION,
                delta,
                has_newer_entries,
                control_nodes,
                proxy_count,
                has_quorum_contact: true,
                needs_entries: false,
                source: registry.local_id().0,
            }
        }))
    }

    pub(super) fn start_watch(&mut self, watcher: Watcher) {
        match watcher {
            Watcher::ControlNode { node } => {
                for to in (0..self.control_nodes.len()).filter(|to| *to != node) {
                    self.watch_from_control_node(node, to);
                }
            }
            Watcher::Proxy { proxy, slot } => self.watch_from_proxy(proxy, slot, watcher, WATCH_TIMEOUT),
            Watcher::ProxyAgain { proxy, slot } => {
                self.watch_from_proxy(proxy, slot, watcher, Duration::ZERO);
            }
        }
    }

    /// As `programs` selects control nodes: the first three that are known get all calls.
    fn watch_from_proxy(&mut self, proxy: usize, slot: usize, watcher: Watcher, wait: Duration) {
        let process = &mut self.proxies[proxy];
        let call = WatchUpdates {
            name: proxy_name(proxy),
            incarnation: FIRST_SOURCE_ID + proxy as u64,
            is_proxy: true,
            revision: REVISION,
            vector: process.vector.clone(),
            wants_entries: slot == 0 || matches!(watcher, Watcher::ProxyAgain { .. }),
            wait,
        };
        let bytes = process.counter.time(|| encoded(&call));
        process.counter.count_message(bytes.len() as u64);
        self.receive_watch(slot, watcher, &bytes);
    }

    fn watch_from_control_node(&mut self, node: usize, to: usize) {
        let process = &mut self.control_nodes[node];
        let registry = &process.registry;
        let bytes = process.counter.time(|| {
            encoded(&WatchUpdates {
                name: control_node_name(node),
                incarnation: registry.local_id().0,
                is_proxy: false,
                // Control nodes get the configuration by other calls.
                revision: u64::MAX,
                vector: registry.vector(),
                wants_entries: true,
                wait: WATCH_TIMEOUT,
            })
        });
        process.counter.count_message(bytes.len() as u64);
        self.receive_watch(to, Watcher::ControlNode { node }, &bytes);
    }

    /// A call arrives at a control node, which responds at once if it has newer entries.
    fn receive_watch(&mut self, node: usize, watcher: Watcher, bytes: &[u8]) {
        self.last_watch_id += 1;
        let watch_id = self.last_watch_id;
        let process = &mut self.control_nodes[node];
        process.counter.count_message(bytes.len() as u64);
        let Ok(call) = process.counter.time(|| minicbor::decode::<WatchUpdates>(bytes)) else { return };
        if !call.is_proxy {
            process.registry.mark_replicated(&call.vector);
        }
        let wait = call.wait;
        process.open_watches.insert(watch_id, OpenWatch { watcher, call });
        let Some(response) = self.response_to(node, watch_id) else { return };
        if response.has_newer_entries || wait.is_zero() {
            self.control_nodes[node].open_watches.remove(&watch_id);
            self.respond(node, watcher, response);
        } else {
            let response = Box::new(response);
            self.schedule_after(wait, Event::WatchTimedOut { node, watch_id, response });
        }
    }

    /// Sends a response and counts it at both ends.
    pub(super) fn respond(&mut self, node: usize, watcher: Watcher, response: Updates) {
        let process = &mut self.control_nodes[node];
        let bytes = process.counter.time(|| encoded(&response));
        process.counter.count_message(bytes.len() as u64);
        let (has_registry, counter) = match watcher {
            Watcher::Proxy { proxy, .. } | Watcher::ProxyAgain { proxy, .. } => {
                let process = &mut self.proxies[proxy];
                (process.has_registry(), &mut process.counter)
            }
            Watcher::ControlNode { node } => (true, &mut self.control_nodes[node].counter),
        };
        counter.count_message(bytes.len() as u64);
        if has_registry {
            counter.time(|| drop(minicbor::decode::<Updates>(&bytes)));
        }
        let response = Box::new(response);
        self.schedule_after(ROUND_TRIP_TIME, Event::ResponseArrived { watcher, node, response });
    }

    /// Merges the entries of a response, and starts the next call.
    pub(super) fn handle_response(&mut self, watcher: Watcher, from: usize, response: Updates) {
        let now = self.now;
        match watcher {
            Watcher::ControlNode { node } => {
                let process = &mut self.control_nodes[node];
                let registry = &mut process.registry;
                let changed = process.counter.time(|| {
                    let changed = registry.merge(now, response.delta);
                    registry.record_contact(now, SourceId(response.source));
                    changed
                });
                if changed {
                    self.notify_watches(node);
                }
                self.watch_from_control_node(node, from);
            }
            Watcher::Proxy { proxy, slot } | Watcher::ProxyAgain { proxy, slot } => {
                self.proxies[proxy].merge(now, response.delta);
                let is_first_call = matches!(watcher, Watcher::Proxy { .. });
                if response.has_newer_entries && slot > 0 && is_first_call {
                    let again = Event::StartWatch(Watcher::ProxyAgain { proxy, slot });
                    self.schedule_after_millis(RETRY_DELAY_PER_SLOT_MS * slot as u64, again);
                } else {
                    self.start_watch(Watcher::Proxy { proxy, slot });
                }
            }
        }
    }
}

impl Proxy {
    fn merge(&mut self, now: Instant, delta: Delta) {
        if let Some(registry) = &mut self.registry {
            self.vector = self.counter.time(|| {
                registry.merge(now, delta);
                registry.vector()
            });
            return;
        }
        for (source, version) in delta.vector.iter() {
            let known = self.vector.get(source);
            if known >= delta.base.get(source) && version > known {
                self.vector.set(source, version);
            }
        }
    }
}
