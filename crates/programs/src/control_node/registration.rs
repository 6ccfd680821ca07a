//! Heartbeats and deregistrations of model servers, and when they may be acknowledged.

use std::net::SocketAddrV4;
use std::rc::Rc;

use mosshead_control_plane::{
    AcknowledgementDecision, EntryReplication, EntryVersion, ReplicaSet, ShutdownStep,
};
use mosshead_registry::{Delta, HeartbeatOutcome, RegistrationError, Server, VersionVector};
use mosshead_rpc::{Caller, Transport};
use mosshead_time::Duration;
use tokio::sync::mpsc;

use super::consensus_host::ConsensusHost;
use super::directory::ControlNodeDirectory;
use super::registry_host::RegistryHost;
use crate::calls::ReplicateEntries;

/// The timeout of a call that replicates an entry; a control node that has not responded by then counts as without it.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(350);
/// Entries that are sent with one call, at most.
const MAX_ENTRIES_PER_CALL: usize = 400;

/// The outcome of sending an entry to a peer.
struct ReplicationReply {
    peer: SocketAddrV4,
    /// Up to which version of each source the peer then has the entries; `None` if it has not responded.
    vector: Option<VersionVector>,
}

/// Registers model servers by their heartbeats, and replicates what has to be on other control nodes first.
pub(super) struct Registration {
    registry: Rc<RegistryHost>,
    consensus: Rc<ConsensusHost>,
    directory: Rc<ControlNodeDirectory>,
    caller: Caller,
    /// How many control nodes may fail at once.
    tolerated_failures: usize,
}

impl Registration {
    pub(super) fn new(
        registry: Rc<RegistryHost>,
        consensus: Rc<ConsensusHost>,
        directory: Rc<ControlNodeDirectory>,
        caller: Caller,
        tolerated_failures: usize,
    ) -> Rc<Registration> {
        Rc::new(Registration { registry, consensus, directory, caller, tolerated_failures })
    }

    /// Records a server's heartbeat. Whether it may be acknowledged.
    pub(super) async fn record_heartbeat(self: &Rc<Self>, server: Server) -> bool {
        let id = server.id.clone();
        let outcome = self.registry.record_heartbeat(server);
        self.acknowledge(&id, outcome).await
    }

    /// Records that a server has shut down. Whether that may be acknowledged.
    pub(super) async fn deregister(self: &Rc<Self>, id: &str) -> bool {
        let outcome = self.registry.deregister(id);
        self.acknowledge(id, outcome).await
    }

    async fn acknowledge(
        self: &Rc<Self>,
        id: &str,
        outcome: Result<HeartbeatOutcome, RegistrationError>,
    ) -> bool {
        let outcome = match outcome {
            Ok(outcome) => outcome,
            Err(error) => {
                spdlog::warn!("registry: heartbeat rejected instance={id} error={error}");
                return false;
            }
        };
        let (contact, replica_set) = (self.consensus.quorum_contact(), self.replica_set());
        match self.registry.start_acknowledgement(id, &outcome, contact, &replica_set) {
            ShutdownStep::Acknowledge => true,
            ShutdownStep::Reject => false,
            ShutdownStep::Replicate(replication) => self.replicate_until_decided(replication).await,
        }
    }

    /// Replicates the entry of a draining server until enough control nodes have it, or can't any more. Whether it may
    /// be acknowledged.
    ///
    /// A server ends once it is acknowledged. If all control nodes that have the entry were lost then, proxies would
    /// continue sending requests to it.
    async fn replicate_until_decided(self: &Rc<Self>, mut replication: EntryReplication) -> bool {
        let entry = replication.entry();
        let mut replies = self.replicate_to_peers(entry);
        loop {
            match replication.decision(self.consensus.quorum_contact()) {
                AcknowledgementDecision::Acknowledge => {
                    self.registry.on_acknowledged(entry);
                    return true;
                }
                AcknowledgementDecision::Reject => return false,
                AcknowledgementDecision::Wait => {}
            }
            let Some(reply) = replies.recv().await else { return false };
            replication.record_reply(reply.peer, reply.vector.as_ref());
        }
    }

    /// Sends an entry to all peers. The tasks continue when enough have responded, so that the others get it too.
    fn replicate_to_peers(self: &Rc<Self>, entry: EntryVersion) -> mpsc::UnboundedReceiver<ReplicationReply> {
        let (sender, receiver) = mpsc::unbounded_channel();
        for peer in self.directory.peers() {
            let (registration, sender) = (self.clone(), sender.clone());
            tokio::task::spawn_local(async move {
                let vector = registration.replicate_entry(peer, entry).await;
                let _ = sender.send(ReplicationReply { peer, vector });
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
            local_address: self.directory.local_address(),
            members: self.consensus.members(),
            tolerated_failures: self.tolerated_failures,
        }
    }
}
