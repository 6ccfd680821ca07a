//! Serves updates to proxies and other control nodes: the newest revision, registry entries, and the live processes.

use std::rc::Rc;

use mosshead_registry::{Delta, SourceId};
use mosshead_time::Duration;
use tokio::time::{Instant, timeout_at};

use super::change_notifier::ChangeNotifier;
use super::config_store::ConfigStore;
use super::consensus_host::ConsensusHost;
use super::directory::ControlNodeDirectory;
use super::proxy_presence::{ProxyCall, ProxyPresence};
use super::registry_host::RegistryHost;
use crate::calls::{Updates, WatchUpdates};
use crate::config_transfer::{ChunkRequest, ConfigChunk};
use crate::gossip::Gossip;

/// The maximum number of entries in one response.
const MAX_ENTRIES_PER_RESPONSE: usize = 400;
/// The maximum wait of a call, regardless of what the caller requests.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(2000);
/// For this long after its start, the node asks its callers for entries that it lacks.
const RECOVERY_TIME: Duration = Duration::from_secs(6);

/// The components that the service reads from.
pub(super) struct UpdateSources {
    pub(super) registry: Rc<RegistryHost>,
    pub(super) configs: Rc<ConfigStore>,
    pub(super) consensus: Rc<ConsensusHost>,
    pub(super) directory: Rc<ControlNodeDirectory>,
    pub(super) gossip: Rc<Gossip>,
    pub(super) changes: Rc<ChangeNotifier>,
}

/// Responds to the processes that watch this control node, and to proxies that fetch the configuration.
pub(super) struct UpdateService {
    /// The id of this control node as a source of registry entries.
    source: SourceId,
    started_at: Instant,
    sources: UpdateSources,
    proxies: ProxyPresence,
}

impl UpdateService {
    /// `source` is the id of this control node as a source of registry entries.
    pub(super) fn new(source: SourceId, sources: UpdateSources) -> Rc<UpdateService> {
        let proxies = ProxyPresence::default();
        Rc::new(UpdateService { source, started_at: Instant::now(), sources, proxies })
    }

    /// Responds as soon as there is a change that the caller does not have, or when the wait is over.
    pub(super) async fn watch_updates(self: Rc<Self>, call: WatchUpdates) -> Updates {
        if call.is_proxy {
            self.proxies.on_call(call.name.clone(), call.revision);
        } else {
            self.sources.registry.mark_replicated(&call.vector);
        }
        let deadline = Instant::now() + call.wait.min(MAX_WATCH_WAIT);
        let mut changes = self.sources.changes.subscribe();
        loop {
            changes.mark_unchanged();
            let updates = self.updates_for(&call);
            if must_respond_now(&updates, &call) || timeout_at(deadline, changes.changed()).await.is_err() {
                return updates;
            }
        }
    }

    /// The proxies that have watched this node recently.
    pub(super) fn proxy_calls(&self) -> Vec<ProxyCall> {
        self.proxies.calls()
    }

    /// Returns the chunk of the configuration that a proxy requests.
    pub(super) fn fetch_config(&self, request: ChunkRequest) -> ConfigChunk {
        self.sources.configs.next_chunk(request, self.sources.consensus.quorum_contact())
    }

    fn updates_for(&self, call: &WatchUpdates) -> Updates {
        let UpdateSources { registry, configs, consensus, directory, .. } = &self.sources;
        let missing = registry.missing_entries(&call.vector, MAX_ENTRIES_PER_RESPONSE);
        let has_newer_entries = !missing.entries.is_empty();
        let contact = consensus.quorum_contact();
        Updates {
            revision: configs.advertised_revision(contact),
            delta: if call.wants_entries { missing } else { Delta::default() },
            has_newer_entries,
            control_nodes: directory.control_nodes(),
            proxy_count: self.proxy_count(),
            has_quorum_contact: contact.is_confirmed(),
            needs_entries: self.needs_entries_of(call),
            source: self.source.0,
        }
    }

    fn needs_entries_of(&self, call: &WatchUpdates) -> bool {
        self.started_at.elapsed() < RECOVERY_TIME && self.sources.registry.lacks_entries_of(&call.vector)
    }

    fn proxy_count(&self) -> u32 {
        self.proxies.count().max(self.sources.gossip.live_proxy_count()) as u32
    }
}

/// True if the response must be sent before the wait is over: there is a change, the caller must send entries, or
/// this node has no quorum contact.
fn must_respond_now(updates: &Updates, call: &WatchUpdates) -> bool {
    updates.revision > call.revision
        || updates.has_newer_entries
        || !updates.has_quorum_contact
        || updates.needs_entries
}
