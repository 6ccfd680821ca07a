//! Heartbeats of model servers, and the replication of registry entries between control nodes.

use std::net::SocketAddrV4;
use std::rc::Rc;

use mosshead_control_plane::{
    AcknowledgementDecision, EntryReplication, EntryVersion, ReplicaSet, ShutdownStep,
};
use mosshead_registry::{Delta, HeartbeatOutcome, Server, SourceId, VersionVector};
use mosshead_rpc::Transport;
use mosshead_time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::node::ControlNode;
use crate::calls::{CompareHeartbeats, ReplicateEntries, Updates, WatchUpdates};
use crate::send_queues::SendQueue;

/// An entry that a server waits for reaches another control node within this time, or that one does not count.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(350);
/// Entries that are sent with one call.
const MAX_ENTRIES_PER_CALL: usize = 400;
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
/// A peer that has failed so many times in a row is followed no longer, unless it is found again.
const MAX_WATCH_FAILURES: usize = 40;
/// How often control nodes report to each other which servers send heartbeats.
const HEARTBEAT_EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// A server counts as sending heartbeats for this time after its last one.
const HEARTBEAT_WINDOW: Duration = Duration::from_millis(1500);

impl ControlNode {
    /// Records a server's heartbeat. Whether it may be acknowledged.
    pub(crate) async fn record_heartbeat(self: &Rc<Self>, server: Server) -> bool {
        let id = server.id.clone();
        let outcome = self.registry.record_heartbeat(server);
        self.acknowledge(&id, outcome).await
    }

    /// Records that a server has shut down. Whether that may be acknowledged.
    pub(crate) async fn deregister(self: &Rc<Self>, id: &str) -> bool {
        let outcome = self.registry.deregister(id);
        self.acknowledge(id, outcome).await
    }

    async fn acknowledge(self: &Rc<Self>, id: &str, outcome: HeartbeatOutcome) -> bool {
        if let Some(error) = outcome.error {
            spdlog::warn!("registry: heartbeat rejected error={error}");
            return false;
        }
        if outcome.changed {
            self.changes.notify();
        }
        let (contact, replica_set) = (self.contact(), self.replica_set());
        match self.registry.start_acknowledgement(id, &outcome, contact, &replica_set) {
            ShutdownStep::Acknowledge => true,
            ShutdownStep::Reject => false,
            ShutdownStep::Replicate(replication) => self.collect_copies(replication).await,
        }
    }

    /// Replicates the entry of a draining server until enough control nodes have it. Whether it may be acknowledged.
    ///
    /// If all control nodes that have the entry were lost, clients' requests would go on to the server.
    async fn collect_copies(self: &Rc<Self>, mut replication: EntryReplication) -> bool {
        let entry = replication.entry();
        let mut responses = self.replicate_to_peers(entry);
        loop {
            match replication.decision(self.contact()) {
                AcknowledgementDecision::Acknowledge => {
                    self.registry.on_acknowledged(entry);
                    return true;
                }
                AcknowledgementDecision::Reject => return false,
                AcknowledgementDecision::Wait => {}
            }
            let Some((peer, vector)) = responses.recv().await else { return false };
            replication.record_reply(peer, vector.as_ref());
        }
    }

    /// Sends an entry to all peers. The tasks go on when enough have responded, so that the others get it too.
    fn replicate_to_peers(
        self: &Rc<Self>,
        entry: EntryVersion,
    ) -> mpsc::UnboundedReceiver<(SocketAddrV4, Option<VersionVector>)> {
        let (sender, receiver) = mpsc::unbounded_channel();
        for peer in self.peers() {
            let (control_node, sender) = (self.clone(), sender.clone());
            tokio::task::spawn_local(async move {
                let _ = sender.send((peer, control_node.replicate_entry(peer, entry).await));
            });
        }
        receiver
    }

    /// Sends an entry to a peer. The peer's vector after that, if it has responded.
    async fn replicate_entry(&self, peer: SocketAddrV4, entry: EntryVersion) -> Option<VersionVector> {
        let vector = self.replicate(peer, self.registry.latest_entries()).await?;
        if entry.is_covered_by(&vector) {
            return Some(vector);
        }
        // The entry was made by another source, or the peer lacks entries before it.
        let missing = self.registry.missing_entries(&vector, MAX_ENTRIES_PER_CALL);
        self.replicate(peer, missing).await
    }

    async fn replicate(&self, peer: SocketAddrV4, delta: Delta) -> Option<VersionVector> {
        let ack = self.caller.call(peer, &ReplicateEntries { delta }, REPLICATION_TIMEOUT).await.ok()?;
        self.registry.mark_replicated(&ack.vector);
        Some(ack.vector)
    }

    fn replica_set(&self) -> ReplicaSet {
        ReplicaSet {
            local_address: self.settings.internal_address(),
            members: self.consensus.members(),
            tolerated_failures: self.settings.node_failures,
        }
    }

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
                revision: u64::MAX,
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
                    let _ = control_node.caller.call(peer, &call, REPLICATION_TIMEOUT).await;
                });
            }
            if self.registry.tick() {
                self.changes.notify();
            }
        }
    }
}
