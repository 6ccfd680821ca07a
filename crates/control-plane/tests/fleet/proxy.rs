//! A simulated proxy: its pool of control nodes, its replica of the registry, and the configuration in force.

use std::net::SocketAddrV4;
use std::sync::Arc;

use mosshead_config::Config;
use mosshead_control_plane::{AssembledConfig, ControlNodePool, WatchSession, assemble_config};
use mosshead_registry::{Registry, SourceId, VersionVector};
use mosshead_time::{Duration, Instant};
use mosshead_virtual_fleet::{control_node_address, millis};

use crate::control_node::HEARTBEAT_INTERVAL;
use crate::messages::{Call, FetchedConfig, Party, PendingCall, Purpose, Response, Updates};
use crate::simulation::{Event, Simulation};

pub(crate) const WATCH_SLOTS: usize = 3;
const WATCH_INTERVAL: Duration = millis(100);
const WATCH_TIMEOUT: Duration = millis(1_400);
const FETCH_TIMEOUT: Duration = millis(1_500);
/// The delay before the next attempt to acquire a control node if there was none.
const ACQUIRE_INTERVAL: Duration = millis(150);
const MAX_REPLICATED_ENTRIES: usize = 5_000;

pub(crate) struct Proxy {
    pub(crate) incarnation: u64,
    pub(crate) config: Option<Arc<Config>>,
    pub(crate) registry: Registry,
    pool: ControlNodePool,
    watch_slots: [WatchSlot; WATCH_SLOTS],
    is_fetching: bool,
    /// When a fault last affected it or its links.
    pub(crate) last_fault_at: Instant,
}

#[derive(Clone, Copy, Default)]
struct WatchSlot {
    control_node: Option<SocketAddrV4>,
    session: WatchSession,
}

impl Simulation {
    pub(crate) fn add_proxy(&mut self) {
        let source = SourceId(self.random.next_u64());
        self.proxies.push(Proxy {
            incarnation: 0,
            config: None,
            registry: Registry::read_replica(source, HEARTBEAT_INTERVAL),
            pool: ControlNodePool::default(),
            watch_slots: Default::default(),
            is_fetching: false,
            last_fault_at: self.now(),
        });
        let seeds = (0..3).map(control_node_address).collect::<Vec<_>>();
        self.start_proxy(self.proxies.len() - 1, &seeds);
    }

    /// Restarts the process, which then knows only its seeds.
    pub(crate) fn start_proxy(&mut self, index: usize, seeds: &[SocketAddrV4]) {
        let source = SourceId(self.random.next_u64());
        let (now, injected) = (self.now(), self.faults.proxy);
        self.network.paused.remove(&Party::Proxy(index));
        let proxy = &mut self.proxies[index];
        proxy.incarnation += 1;
        proxy.config = None;
        proxy.registry = Registry::read_replica(source, HEARTBEAT_INTERVAL);
        proxy.pool = ControlNodePool::new(seeds).with_injected_fault(injected);
        proxy.watch_slots = Default::default();
        proxy.is_fetching = false;
        proxy.last_fault_at = now;
        let incarnation = proxy.incarnation;
        for watch_slot in 0..WATCH_SLOTS {
            self.after(
                millis(1 + watch_slot as u64),
                Event::ProxySlot { proxy: index, incarnation, watch_slot },
            );
        }
    }

    pub(crate) fn on_proxy_timer(&mut self, index: usize, incarnation: u64, watch_slot: usize) {
        if self.proxies[index].incarnation != incarnation {
            return;
        }
        if self.is_paused(Party::Proxy(index)) {
            return self.after(WATCH_INTERVAL, Event::ProxySlot { proxy: index, incarnation, watch_slot });
        }
        let now = self.now();
        let proxy = &mut self.proxies[index];
        if proxy.watch_slots[watch_slot].control_node.is_none() {
            let control_node = proxy.pool.acquire(now);
            proxy.watch_slots[watch_slot] = WatchSlot { control_node, session: WatchSession::default() };
        }
        let Some(control_node) = proxy.watch_slots[watch_slot].control_node else {
            return self.after(ACQUIRE_INTERVAL, Event::ProxySlot { proxy: index, incarnation, watch_slot });
        };
        let call = Call::WatchUpdates { vector: proxy.registry.vector(), is_proxy: true };
        self.proxy_request(
            index,
            control_node,
            call,
            Purpose::ProxyWatch { watch_slot, control_node },
            WATCH_TIMEOUT,
        );
    }

    fn proxy_request(
        &mut self,
        index: usize,
        control_node: SocketAddrV4,
        call: Call,
        purpose: Purpose,
        timeout: Duration,
    ) {
        match self.control_node_at(control_node) {
            Some(to) => self.request(Party::Proxy(index), Party::Control(to), call, purpose, timeout),
            // No control node has this address: the connection fails.
            None => {
                let incarnation = self.proxies[index].incarnation;
                let pending = PendingCall { from: Party::Proxy(index), incarnation, purpose };
                self.on_proxy_response(index, pending, None);
            }
        }
    }

    pub(crate) fn on_proxy_response(
        &mut self,
        index: usize,
        pending: PendingCall,
        response: Option<Response>,
    ) {
        match (pending.purpose, response) {
            (Purpose::ProxyWatch { watch_slot, control_node }, Some(Response::Updates(updates))) => {
                self.on_proxy_updates(index, watch_slot, control_node, updates);
            }
            (Purpose::ProxyWatch { watch_slot, control_node }, _) => {
                self.leave_control_node(index, watch_slot, control_node);
            }
            (Purpose::ProxyFetch { control_node, is_full }, Some(Response::Config(fetched))) => {
                self.on_proxy_config(index, control_node, is_full, &fetched);
            }
            (Purpose::ProxyFetch { .. }, _) => self.proxies[index].is_fetching = false,
            _ => {}
        }
    }

    fn leave_control_node(&mut self, index: usize, watch_slot: usize, control_node: SocketAddrV4) {
        let now = self.now();
        let proxy = &mut self.proxies[index];
        proxy.pool.release(now, control_node);
        proxy.watch_slots[watch_slot].control_node = None;
        let incarnation = proxy.incarnation;
        let pause = millis(60 + 40 * watch_slot as u64);
        self.after(pause, Event::ProxySlot { proxy: index, incarnation, watch_slot });
    }

    fn on_proxy_updates(
        &mut self,
        index: usize,
        watch_slot: usize,
        control_node: SocketAddrV4,
        updates: Updates,
    ) {
        let now = self.now();
        let proxy = &mut self.proxies[index];
        proxy.registry.merge(now, updates.delta);
        proxy.registry.tick(now);
        proxy.pool.update_members(&updates.control_nodes, updates.contact);
        let known_revision = proxy.config.as_ref().map_or(0, |config| config.revision());
        let wants = proxy.pool.should_fetch_config(known_revision, updates.revision, updates.contact);
        let continues = proxy.watch_slots[watch_slot].session.should_continue(now, updates.contact);
        let incarnation = proxy.incarnation;
        let fetches = wants && !proxy.is_fetching;
        if updates.wants_entries {
            let delta = proxy.registry.missing_entries(&VersionVector::default(), MAX_REPLICATED_ENTRIES);
            self.proxy_request(
                index,
                control_node,
                Call::ReplicateEntries { delta },
                Purpose::Ignore,
                WATCH_TIMEOUT,
            );
        }
        if fetches {
            self.proxies[index].is_fetching = true;
            let purpose = Purpose::ProxyFetch { control_node, is_full: false };
            self.proxy_request(
                index,
                control_node,
                Call::FetchConfig { known_revision },
                purpose,
                FETCH_TIMEOUT,
            );
        }
        if continues {
            self.after(WATCH_INTERVAL, Event::ProxySlot { proxy: index, incarnation, watch_slot });
        } else {
            self.leave_control_node(index, watch_slot, control_node);
        }
    }

    fn on_proxy_config(
        &mut self,
        index: usize,
        control_node: SocketAddrV4,
        is_full: bool,
        fetched: &FetchedConfig,
    ) {
        let proxy = &mut self.proxies[index];
        proxy.is_fetching = false;
        let current = proxy.config.clone().filter(|_| !is_full);
        match assemble_config(current.as_deref(), &fetched.offer) {
            AssembledConfig::Config(config) => {
                // As in the data plane, the revision in force never decreases.
                if proxy.config.as_ref().is_none_or(|in_force| in_force.revision() < config.revision()) {
                    proxy.config = Some(config.clone());
                    let now = self.now();
                    self.checker.on_config_in_force(now, index, &config, fetched.isolated_for);
                }
            }
            AssembledConfig::Mismatch if !is_full => {
                proxy.is_fetching = true;
                let purpose = Purpose::ProxyFetch { control_node, is_full: true };
                self.proxy_request(
                    index,
                    control_node,
                    Call::FetchConfig { known_revision: 0 },
                    purpose,
                    FETCH_TIMEOUT,
                );
            }
            AssembledConfig::Mismatch | AssembledConfig::Withheld => {}
        }
    }
}
