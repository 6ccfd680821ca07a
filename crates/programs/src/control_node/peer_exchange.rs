//! What control nodes exchange to keep their registries equal: entries, and which servers send heartbeats to whom.

use std::net::SocketAddrV4;
use std::rc::Rc;

use mosshead_registry::{Delta, SourceId, VersionVector};
use mosshead_rpc::Transport;
use mosshead_time::Duration;
use tokio::time::sleep;

use super::node::ControlNode;
use crate::calls::{CompareHeartbeats, ReplicateEntries, Updates, WatchUpdates};
use crate::send_queues::SendQueue;

/// Entries that are sent to a control node that has lost its memory.
const MAX_RECOVERY_ENTRIES: usize = 5000;
/// The pause after such a call, until the peer is watched again.
const RECOVERY_PAUSE: Duration = Duration::from_millis(300);
/// How long a peer may wait for something new until it responds.
const WATCH_WAIT: Duration = Duration::from_millis(1000);
/// A peer responds within this time.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1400);
/// The pause after a peer did not respond, or has no quorum contact.
const WATCH_BACKOFF: Duration = Duration::from_millis(200);
/// A peer that has failed this many times in a row is followed no longer, unless it is found again.
const MAX_WATCH_FAILURES: usize = 40;
/// How often control nodes report to each other which servers send heartbeats.
const HEARTBEAT_EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// A server counts as sending heartbeats for this time after its last one.
const HEARTBEAT_WINDOW: Duration = Duration::from_millis(1500);
/// A report of heartbeats reaches a peer within this time, or is dropped.
const HEARTBEAT_REPORT_TIMEOUT: Duration = Duration::from_millis(350);

impl ControlNode {
    /// Merges entries of another control node. Whether the registry has changed.
    pub(super) fn merge_entries(&self, delta: Delta) -> bool {
        let changed = self.registry.merge(delta);
        if changed {
            self.changes.notify();
        }
        changed
    }

    /// Watches a peer's registry until the peer has failed too often.
    pub(super) async fn follow_peer(self: Rc<Self>, peer: SocketAddrV4) {
        let mut failures = 0;
        while failures < MAX_WATCH_FAILURES {
            let call = WatchUpdates {
                name: self.settings.node_name.clone(),
                incarnation: self.incarnation,
                is_proxy: false,
                revision: WatchUpdates::NO_CONFIG_WANTED,
                vector: self.registry.vector(),
                wants_entries: true,
                wait: WATCH_WAIT,
            };
            match self.caller.call(peer, &call, WATCH_TIMEOUT).await {
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

    async fn on_peer_updates(&self, peer: SocketAddrV4, updates: Updates) {
        self.merge_entries(updates.delta);
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

    /// Reports to the peers which servers send heartbeats here, and times servers out, for as long as the future is
    /// polled.
    pub(crate) async fn exchange_heartbeats(self: Rc<Self>) {
        loop {
            sleep(HEARTBEAT_EXCHANGE_INTERVAL).await;
            let sequences = self.registry.recent_heartbeats(HEARTBEAT_WINDOW);
            let call = CompareHeartbeats { source: self.incarnation, sequences };
            for peer in self.peers() {
                let (control_node, call) = (self.clone(), call.clone());
                // The task ends with the timeout of its call.
                tokio::task::spawn_local(async move {
                    let _ = control_node.caller.call(peer, &call, HEARTBEAT_REPORT_TIMEOUT).await;
                });
            }
            if self.registry.tick() {
                self.changes.notify();
            }
        }
    }
}
