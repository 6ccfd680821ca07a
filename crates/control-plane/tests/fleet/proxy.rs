//! A proxy: its subscription, its copy of the register and the configuration in force.

use mosshead_time::{Duration, Instant};
use std::net::SocketAddrV4;
use std::sync::Arc;

use mosshead_config::Config;
use mosshead_control_plane::{AssembledConfig, ControlNodePool, WatchSession, assemble_config};
use mosshead_registry::{Registry, SourceId, VersionVector};
use rand_core::RngCore;

use crate::control_node::KEEPALIVE_MS;
use crate::messages::{Answer, Call, Fetched, Party, Pending, Pulled, Purpose};
use crate::simulation::{Event, World, address};

pub const SLOTS: usize = 3;
const POLL_MS: u64 = 100;
const PULL_MS: u64 = 1_400;
const FETCH_MS: u64 = 1_500;
const HAND_PAGE: usize = 5_000;

pub struct Proxy {
    pub life: u64,
    pub config: Option<Arc<Config>>,
    pub register: Registry,
    subscription: ControlNodePool,
    slots: [Slot; SLOTS],
    is_fetching: bool,
    /// When something last happened to it or to its links.
    pub disturbed: u64,
}

#[derive(Clone, Copy, Default)]
struct Slot {
    core: Option<SocketAddrV4>,
    session: WatchSession,
}

impl World {
    pub fn add_proxy(&mut self) {
        let source = SourceId(self.rng.next_u64());
        self.proxies.push(Proxy {
            life: 0,
            config: None,
            register: Registry::read_replica(source, Duration::from_millis(KEEPALIVE_MS)),
            subscription: ControlNodePool::default(),
            slots: Default::default(),
            is_fetching: false,
            disturbed: self.now,
        });
        let seeds = (0..3).map(address).collect::<Vec<_>>();
        self.start_proxy(self.proxies.len() - 1, &seeds);
    }

    /// Starts a process anew: it knows its seeds only.
    pub fn start_proxy(&mut self, index: usize, seeds: &[SocketAddrV4]) {
        let source = SourceId(self.rng.next_u64());
        let (now, injected) = (self.now, self.mutant.proxy);
        self.network.frozen.remove(&Party::Proxy(index));
        let proxy = &mut self.proxies[index];
        proxy.life += 1;
        proxy.config = None;
        proxy.register = Registry::read_replica(source, Duration::from_millis(KEEPALIVE_MS));
        proxy.subscription = ControlNodePool::new(seeds).with_injected_fault(injected);
        proxy.slots = Default::default();
        proxy.is_fetching = false;
        proxy.disturbed = now;
        let life = proxy.life;
        for slot in 0..SLOTS {
            self.after(1 + slot as u64, Event::ProxySlot { proxy: index, life, slot });
        }
    }

    pub fn proxy_timer(&mut self, index: usize, life: u64, slot: usize) {
        if self.proxies[index].life != life {
            return;
        }
        if self.is_frozen(Party::Proxy(index)) {
            return self.after(POLL_MS, Event::ProxySlot { proxy: index, life, slot });
        }
        let now = self.now;
        let proxy = &mut self.proxies[index];
        if proxy.slots[slot].core.is_none() {
            let core = proxy.subscription.acquire(Instant::from_millis(now));
            proxy.slots[slot] = Slot { core, session: WatchSession::default() };
        }
        let Some(core) = proxy.slots[slot].core else {
            return self.after(150, Event::ProxySlot { proxy: index, life, slot });
        };
        let call = Call::Pull { vector: proxy.register.vector(), is_proxy: true };
        self.proxy_request(index, core, call, Purpose::ProxyPull { slot, core }, PULL_MS);
    }

    fn proxy_request(&mut self, index: usize, core: SocketAddrV4, call: Call, purpose: Purpose, within: u64) {
        match self.core_at(core) {
            Some(to) => self.request(Party::Proxy(index), Party::Control(to), call, purpose, within),
            // Nobody has the address: no connection.
            None => {
                let life = self.proxies[index].life;
                let pending = Pending { from: Party::Proxy(index), life, purpose };
                self.proxy_response(index, pending, None);
            }
        }
    }

    pub fn proxy_response(&mut self, index: usize, pending: Pending, answer: Option<Answer>) {
        match (pending.purpose, answer) {
            (Purpose::ProxyPull { slot, core }, Some(Answer::Pulled(pulled))) => {
                self.proxy_pulled(index, slot, core, pulled);
            }
            (Purpose::ProxyPull { slot, core }, _) => self.proxy_leaves(index, slot, core),
            (Purpose::ProxyFetch { core, whole }, Some(Answer::Fetched(fetched))) => {
                self.proxy_fetched(index, core, whole, &fetched);
            }
            (Purpose::ProxyFetch { .. }, _) => self.proxies[index].is_fetching = false,
            _ => {}
        }
    }

    fn proxy_leaves(&mut self, index: usize, slot: usize, core: SocketAddrV4) {
        let now = self.now;
        let proxy = &mut self.proxies[index];
        proxy.subscription.release(Instant::from_millis(now), core);
        proxy.slots[slot].core = None;
        let life = proxy.life;
        self.after(60 + 40 * slot as u64, Event::ProxySlot { proxy: index, life, slot });
    }

    fn proxy_pulled(&mut self, index: usize, slot: usize, core: SocketAddrV4, pulled: Pulled) {
        let now = self.now;
        let proxy = &mut self.proxies[index];
        proxy.register.merge(Instant::from_millis(now), pulled.delta);
        proxy.register.tick(Instant::from_millis(now));
        proxy.subscription.update_members(&pulled.cores, pulled.contact);
        let in_force = proxy.config.as_ref().map_or(0, |config| config.revision);
        let wants = proxy.subscription.should_fetch_config(in_force, pulled.revision, pulled.contact);
        let goes_on = proxy.slots[slot].session.should_continue(Instant::from_millis(now), pulled.contact);
        let life = proxy.life;
        let fetches = wants && !proxy.is_fetching;
        if pulled.wants {
            let delta = proxy.register.missing_entries(&VersionVector::default(), HAND_PAGE);
            self.proxy_request(index, core, Call::Hand { delta }, Purpose::Nothing, PULL_MS);
        }
        if fetches {
            self.proxies[index].is_fetching = true;
            let purpose = Purpose::ProxyFetch { core, whole: false };
            self.proxy_request(index, core, Call::Fetch { have: in_force }, purpose, FETCH_MS);
        }
        if goes_on {
            self.after(POLL_MS, Event::ProxySlot { proxy: index, life, slot });
        } else {
            self.proxy_leaves(index, slot, core);
        }
    }

    fn proxy_fetched(&mut self, index: usize, core: SocketAddrV4, whole: bool, fetched: &Fetched) {
        let proxy = &mut self.proxies[index];
        proxy.is_fetching = false;
        let have = proxy.config.clone().filter(|_| !whole);
        match assemble_config(have.as_deref(), &fetched.offer) {
            AssembledConfig::Config(config) => {
                // As the data plane does: what is in force never goes back.
                if proxy.config.as_ref().is_none_or(|own| own.revision < config.revision) {
                    proxy.config = Some(config.clone());
                    self.ledger.in_force(self.now, index, &config, fetched.isolated_ms);
                }
            }
            AssembledConfig::Mismatch if !whole => {
                proxy.is_fetching = true;
                let purpose = Purpose::ProxyFetch { core, whole: true };
                self.proxy_request(index, core, Call::Fetch { have: 0 }, purpose, FETCH_MS);
            }
            AssembledConfig::Mismatch | AssembledConfig::Withheld => {}
        }
    }
}
