//! Updates for proxies and other control nodes: the newest revision, registry entries, and which processes are alive.

use std::net::SocketAddrV4;
use std::rc::Rc;

use mosshead_registry::Delta;
use mosshead_time::Duration;
use tokio::time::{Instant, timeout_at};

use super::node::ControlNode;
use crate::calls::{Updates, WatchUpdates};
use crate::config_transfer::{ChunkRequest, ConfigChunk};

/// Entries in one response.
const MAX_ENTRIES_PER_RESPONSE: usize = 400;
/// The longest wait of a call, whatever the caller asks for.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(2000);
/// How long after its start the node asks its callers for entries that it lacks.
const RECOVERY_TIME: Duration = Duration::from_secs(6);

impl ControlNode {
    /// Responds with what is new to the caller, as soon as there is something or the wait is over.
    pub(super) async fn watch_updates(self: Rc<Self>, call: WatchUpdates) -> Updates {
        if call.is_proxy {
            self.proxies.on_call(call.name.clone());
        } else {
            self.registry.mark_replicated(&call.vector);
        }
        let deadline = Instant::now() + call.wait.min(MAX_WATCH_WAIT);
        let mut changes = self.changes.subscribe();
        loop {
            changes.mark_unchanged();
            let updates = self.updates_for(&call);
            if has_changes(&updates, &call) || timeout_at(deadline, changes.changed()).await.is_err() {
                return updates;
            }
        }
    }

    /// Responds to a proxy that fetches the configuration.
    pub(super) fn fetch_config(&self, request: ChunkRequest) -> ConfigChunk {
        self.configs.next_chunk(request, self.quorum_contact())
    }

    fn updates_for(&self, call: &WatchUpdates) -> Updates {
        let missing = self.registry.missing_entries(&call.vector, MAX_ENTRIES_PER_RESPONSE);
        let has_newer_entries = !missing.entries.is_empty();
        let contact = self.quorum_contact();
        Updates {
            revision: self.configs.advertised_revision(contact),
            delta: if call.wants_entries { missing } else { Delta::default() },
            has_newer_entries,
            control_nodes: self.control_nodes(),
            proxy_count: self.proxy_count(),
            has_quorum_contact: contact.is_confirmed(),
            needs_entries: self.needs_entries_of(call),
            source: self.incarnation,
        }
    }

    fn needs_entries_of(&self, call: &WatchUpdates) -> bool {
        self.started_at.elapsed() < RECOVERY_TIME && self.registry.lacks_entries_of(&call.vector)
    }

    fn proxy_count(&self) -> u32 {
        self.proxies.count().max(self.gossip.live_proxies()) as u32
    }

    /// The other control nodes that are known here.
    pub(super) fn peers(&self) -> Vec<SocketAddrV4> {
        let local_address = self.settings.internal_address();
        let mut peers = self.control_nodes();
        peers.retain(|peer| *peer != local_address);
        peers
    }

    /// The members of the consensus group and the control nodes in the membership; the seeds while there are none.
    fn control_nodes(&self) -> Vec<SocketAddrV4> {
        let mut addresses = self.consensus.members();
        self.gossip.append_control_nodes(&mut addresses);
        if addresses.is_empty() {
            addresses = self.settings.internal_seed_addresses();
        }
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }
}

/// Whether a response is to be sent before the wait is over.
fn has_changes(updates: &Updates, call: &WatchUpdates) -> bool {
    updates.revision > call.revision
        || updates.has_newer_entries
        || !updates.has_quorum_contact
        || updates.needs_entries
}
