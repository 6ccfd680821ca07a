//! What others pull: the configuration in force, entries of the register, the core's machines.

use std::net::SocketAddrV4;
use std::rc::Rc;

use mosshead_consensus::ControlState;
use mosshead_registry::Delta;
use tokio::time::{Duration, Instant, timeout};

use super::ControlNode;
use crate::calls::{Updates, WatchUpdates};
use crate::config_transfer::{ChunkRequest, ConfigChunk, ConfigUpdate};

/// Entries given at once.
const PAGE: usize = 400;
/// A proxy that has not asked for so long is not counted.
const ASKED: Duration = Duration::from_secs(4);
/// So long after its start a machine says that it may lack entries.
const NEW: Duration = Duration::from_secs(6);

impl ControlNode {
    pub(super) fn committed(&self, state: &ControlState) {
        let committed = self.history.borrow_mut().commit(state);
        match committed {
            Ok(Some(config)) => {
                spdlog::info!("config: configuration {} is committed.", config.revision);
                self.tell();
            }
            Ok(None) => {}
            Err(fault) => spdlog::error!("config: what was committed can't be read: {fault}."),
        }
    }

    pub(super) fn fetch(&self, request: ChunkRequest) -> ConfigChunk {
        let (history, contact) = (self.history.borrow(), self.contact());
        let newest = history.advertised_revision(contact);
        if newest == 0 {
            return ConfigChunk::withheld();
        }
        let offer = || ConfigUpdate::from(history.offer(request.base_revision, contact));
        self.transfers.borrow_mut().next_chunk(request, newest, offer)
    }

    pub(super) fn proxies(&self) -> u32 {
        let mut askers = self.askers.borrow_mut();
        askers.retain(|_, asked| asked.elapsed() < ASKED);
        askers.len().max(self.gossip.live_proxies()) as u32
    }

    /// The core's machines as far as they are known here, without this one.
    pub(super) fn others(&self) -> Vec<SocketAddrV4> {
        let me = self.settings.internal_address();
        let mut others = self.all();
        others.retain(|other| *other != me);
        others
    }

    pub(super) fn all(&self) -> Vec<SocketAddrV4> {
        let node = self.node.borrow();
        let mut all: Vec<SocketAddrV4> =
            node.iter().flat_map(|node| node.members().iter().map(|member| member.address)).collect();
        all.extend(self.gossip.live_control_nodes());
        if all.is_empty() {
            all = self.settings.internal_seed_addresses();
        }
        all.sort_unstable();
        all.dedup();
        all
    }

    pub(super) async fn pull(self: Rc<Self>, call: WatchUpdates) -> Updates {
        if call.is_proxy {
            self.askers.borrow_mut().insert(call.name.clone(), Instant::now());
        } else {
            self.register.borrow_mut().mark_replicated(&call.vector);
        }
        let until = Instant::now() + call.wait.min(Duration::from_millis(2000));
        let mut news = self.news.subscribe();
        loop {
            news.mark_unchanged();
            let answer = self.answer(&call);
            let fresh = answer.revision > call.revision
                || answer.has_newer_entries
                || !answer.has_quorum_contact
                || answer.needs_entries;
            if fresh
                || timeout(until.saturating_duration_since(Instant::now()), news.changed()).await.is_err()
            {
                return answer;
            }
        }
    }

    pub(super) fn answer(&self, call: &WatchUpdates) -> Updates {
        let register = self.register.borrow();
        let all = register.missing_entries(&call.vector, PAGE);
        let behind = !all.entries.is_empty();
        let delta = if call.wants_entries { all } else { Delta::default() };
        let wants = self.start.elapsed() < NEW
            && (register.has_unknown_source(&call.vector) || register.is_behind(&call.vector));
        drop(register);
        let contact = self.contact();
        let revision = self.history.borrow().advertised_revision(contact);
        let current = contact.is_confirmed();
        let cores = self.all();
        Updates {
            revision,
            delta,
            has_newer_entries: behind,
            control_nodes: cores,
            proxy_count: self.proxies(),
            has_quorum_contact: current,
            needs_entries: wants,
            source: self.life,
        }
    }
}
