//! Registers model servers by their heartbeats, and decides when heartbeats and deregistrations may be acknowledged.

use std::net::SocketAddrV4;
use std::rc::Rc;

use mosshead_control_plane::{
    AcknowledgementDecision, EntryReplication, EntryVersion, ReplicaSet, ShutdownStep,
};
use mosshead_registry::{Delta, HeartbeatOutcome, RegistrationError, Server, VersionVector};
use mosshead_rpc::{Caller, Transport};
use mosshead_time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::consensus_host::ConsensusHost;
use super::directory::ControlNodeDirectory;
use super::registry_host::RegistryHost;
use crate::calls::{PersistAck, PersistEntries};
use crate::log_limit::LogLimit;

/// A peer that waits for its disk must respond this long before the caller's deadline.
const RESPONSE_MARGIN: Duration = Duration::from_millis(50);
/// The maximum number of entries in one call.
const MAX_ENTRIES_PER_CALL: usize = 400;

/// The result of replicating an entry to a control node, which may be this node itself.
struct ReplicationReply {
    control_node: SocketAddrV4,
    /// For each source, the version up to which the entries are durable there; `None` if the node did not respond.
    durable: Option<VersionVector>,
}

/// Records heartbeats and deregistrations, and replicates entries that other control nodes must have before the
/// acknowledgement.
pub(super) struct Registration {
    registry: Rc<RegistryHost>,
    consensus: Rc<ConsensusHost>,
    directory: Rc<ControlNodeDirectory>,
    caller: Caller,
    /// The number of control nodes that may fail at the same time.
    tolerated_failures: usize,
    rejection_log: LogLimit,
    model_log: LogLimit,
}

impl Registration {
    pub(super) fn new(
        registry: Rc<RegistryHost>,
        consensus: Rc<ConsensusHost>,
        directory: Rc<ControlNodeDirectory>,
        caller: Caller,
        tolerated_failures: usize,
    ) -> Rc<Registration> {
        Rc::new(Registration {
            registry,
            consensus,
            directory,
            caller,
            tolerated_failures,
            rejection_log: LogLimit::default(),
            model_log: LogLimit::default(),
        })
    }

    /// Records a server's heartbeat. Returns true if it may be acknowledged. Models and adapters beyond the registry's
    /// limit are left out.
    pub(super) async fn record_heartbeat(self: &Rc<Self>, mut server: Server) -> bool {
        let id = server.id.clone();
        let left_out = server.limit_models();
        if left_out > 0
            && let Some(suppressed) = self.model_log.admit(self.registry.now())
        {
            let limit = RegistrationError::ModelsTooLong;
            spdlog::warn!(
                "registry: models left out instance={id} left_out={left_out} suppressed={suppressed} error={limit}"
            );
        }
        let outcome = self.registry.record_heartbeat(server);
        self.acknowledge(&id, outcome).await
    }

    /// Records that a server has shut down. Returns true if this may be acknowledged.
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
                if let Some(suppressed) = self.rejection_log.admit(self.registry.now()) {
                    spdlog::warn!(
                        "registry: heartbeat rejected instance={id} suppressed={suppressed} error={error}"
                    );
                }
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

    /// Replicates the entry of a draining server until enough control nodes have it on disk, or this is no longer
    /// possible. Returns true if the shutdown may be acknowledged.
    ///
    /// An acknowledged server exits and does not report its shutdown again. If all control nodes with the entry then
    /// failed, or lost power before writing it to disk, proxies would continue sending requests to the server.
    async fn replicate_until_decided(self: &Rc<Self>, mut replication: EntryReplication) -> bool {
        let entry = replication.entry();
        let mut replies = self.replicate_to_all(entry, replication.deadline());
        loop {
            let (now, contact) = (self.registry.now(), self.consensus.quorum_contact());
            match replication.decision(now, contact) {
                AcknowledgementDecision::Acknowledge => {
                    self.registry.on_acknowledged(entry);
                    return true;
                }
                AcknowledgementDecision::Reject => return false,
                AcknowledgementDecision::Wait => {}
            }
            let Some(reply) = replies.recv().await else { return false };
            replication.record_reply(reply.control_node, reply.durable.as_ref());
        }
    }

    /// Writes an entry to the local disk and sends it to all peers. The tasks continue after enough nodes have
    /// responded, so that the remaining ones get it too.
    fn replicate_to_all(
        self: &Rc<Self>,
        entry: EntryVersion,
        deadline: mosshead_time::Instant,
    ) -> mpsc::UnboundedReceiver<ReplicationReply> {
        let deadline = Instant::now() + (deadline - self.registry.now());
        let (sender, receiver) = mpsc::unbounded_channel();
        for peer in self.directory.peers() {
            let (registration, sender) = (self.clone(), sender.clone());
            tokio::task::spawn_local(async move {
                let durable = registration.replicate_entry(peer, entry, deadline).await;
                let _ = sender.send(ReplicationReply { control_node: peer, durable });
            });
        }
        let registration = self.clone();
        tokio::task::spawn_local(async move {
            let durable = Some(registration.registry.persist_until(deadline).await);
            let control_node = registration.directory.local_address();
            let _ = sender.send(ReplicationReply { control_node, durable });
        });
        receiver
    }

    /// Sends an entry to a peer. Returns the peer's durable version vector afterwards, or `None` if it did not respond.
    async fn replicate_entry(
        &self,
        peer: SocketAddrV4,
        entry: EntryVersion,
        deadline: Instant,
    ) -> Option<VersionVector> {
        let ack = self.replicate(peer, self.registry.latest_entries(), deadline).await?;
        if entry.is_covered_by(&ack.vector) {
            return Some(ack.durable);
        }
        // The entry comes from another source, or the peer lacks earlier entries.
        let missing = self.registry.missing_entries(&ack.vector, MAX_ENTRIES_PER_CALL);
        Some(self.replicate(peer, missing, deadline).await?.durable)
    }

    async fn replicate(&self, peer: SocketAddrV4, delta: Delta, deadline: Instant) -> Option<PersistAck> {
        let timeout = deadline.saturating_duration_since(Instant::now());
        let call = PersistEntries { delta, wait: timeout.saturating_sub(RESPONSE_MARGIN) };
        let ack = self.caller.call(peer, &call, timeout).await.ok()?;
        self.registry.mark_replicated(&ack.vector);
        Some(ack)
    }

    fn replica_set(&self) -> ReplicaSet {
        ReplicaSet { members: self.consensus.members(), tolerated_failures: self.tolerated_failures }
    }
}
