//! Keeps the registries of the control nodes in sync: watches the peers' entries, and reports to them which servers
//! send heartbeats to this node.

use std::net::SocketAddrV4;
use std::rc::Rc;

use mosshead_registry::{SourceId, VersionVector};
use mosshead_rpc::{Caller, Transport};
use mosshead_time::Duration;
use tokio::time::sleep;

use super::directory::ControlNodeDirectory;
use super::registry_host::RegistryHost;
use crate::calls::{CompareHeartbeats, ReplicateEntries, Updates, WatchUpdates};
use crate::send_queues::SendQueue;

/// The maximum number of entries sent to a control node that lacks entries after its restart.
const MAX_RECOVERY_ENTRIES: usize = 5000;
/// The delay after sending these entries, before the peer is watched again.
const RECOVERY_PAUSE: Duration = Duration::from_millis(300);
/// How long a peer may wait for a change before it responds.
const WATCH_WAIT: Duration = Duration::from_millis(1000);
/// The timeout of a watch call.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1400);
/// The delay after a failed watch call, or after a response from a peer without quorum contact.
const WATCH_BACKOFF: Duration = Duration::from_millis(200);
/// After this many consecutive failures the peer is no longer watched, until [`peer_followers`](super::peer_followers)
/// next looks for new peers.
const MAX_WATCH_FAILURES: usize = 40;
/// How often a control node reports to its peers which servers send heartbeats to it.
const HEARTBEAT_EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// A server is reported for this time after its last heartbeat.
const HEARTBEAT_WINDOW: Duration = Duration::from_millis(1500);
/// The timeout of a heartbeat report. A failed report is not retried.
const HEARTBEAT_REPORT_TIMEOUT: Duration = Duration::from_millis(350);

/// Makes the calls to other control nodes on behalf of the registry.
pub(super) struct PeerExchange {
    node_name: String,
    /// The incarnation of the process, which is also its source id in the registry.
    incarnation: u64,
    registry: Rc<RegistryHost>,
    directory: Rc<ControlNodeDirectory>,
    caller: Caller,
}

impl PeerExchange {
    pub(super) fn new(
        node_name: &str,
        incarnation: u64,
        registry: Rc<RegistryHost>,
        directory: Rc<ControlNodeDirectory>,
        caller: Caller,
    ) -> Rc<PeerExchange> {
        Rc::new(PeerExchange { node_name: node_name.to_owned(), incarnation, registry, directory, caller })
    }

    /// The other control nodes.
    pub(super) fn peers(&self) -> Vec<SocketAddrV4> {
        self.directory.peers()
    }

    /// Watches a peer's registry until [`MAX_WATCH_FAILURES`] consecutive calls have failed.
    pub(super) async fn follow_peer(self: Rc<Self>, peer: SocketAddrV4) {
        let mut failures = 0;
        while failures < MAX_WATCH_FAILURES {
            match self.caller.call(peer, &self.watch_call(), WATCH_TIMEOUT).await {
                Ok(updates) => {
                    failures = 0;
                    self.on_peer_updates(peer, updates).await;
                }
                Err(_) => {
                    failures += 1;
                    sleep(WATCH_BACKOFF).await;
                }
            }
        }
    }

    fn watch_call(&self) -> WatchUpdates {
        WatchUpdates {
            name: self.node_name.clone(),
            incarnation: self.incarnation,
            is_proxy: false,
            revision: WatchUpdates::NO_CONFIG_WANTED,
            vector: self.registry.vector(),
            wants_entries: true,
            wait: WATCH_WAIT,
        }
    }

    async fn on_peer_updates(&self, peer: SocketAddrV4, updates: Updates) {
        self.registry.merge(updates.delta);
        self.registry.record_contact(SourceId(updates.source));
        if updates.needs_entries {
            let delta = self.registry.missing_entries(&VersionVector::default(), MAX_RECOVERY_ENTRIES);
            let _ = self.caller.call(peer, &ReplicateEntries { delta }, SendQueue::Small.timeout()).await;
            sleep(RECOVERY_PAUSE).await;
        }
        if !updates.has_quorum_contact {
            sleep(WATCH_BACKOFF).await;
        }
    }

    /// Periodically reports to the peers which servers send heartbeats to this node, and processes timeouts of servers,
    /// for as long as the future is polled.
    pub(super) async fn exchange_heartbeats(self: Rc<Self>) {
        loop {
            sleep(HEARTBEAT_EXCHANGE_INTERVAL).await;
            let heartbeats = self.registry.recent_heartbeats(HEARTBEAT_WINDOW);
            let call = CompareHeartbeats { source: self.incarnation, heartbeats };
            for peer in self.peers() {
                let (caller, call) = (self.caller.clone(), call.clone());
                // The task ends with the timeout of its call.
                tokio::task::spawn_local(async move {
                    let _ = caller.call(peer, &call, HEARTBEAT_REPORT_TIMEOUT).await;
                });
            }
            self.registry.tick();
        }
    }
}
