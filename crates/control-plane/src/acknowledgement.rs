//! Decides when a server's shutdown is acknowledged to it. A server announces its shutdown by a heartbeat
//! that reports `draining`, or by deregistering.
//!
//! Invariant *shutdowns survive failures*: only a control node with quorum contact acknowledges a shutdown,
//! and only once enough members have the entry on disk that it survives the tolerated number of simultaneous
//! failures together with a power loss of all other members.

use core::net::SocketAddrV4;
use std::collections::BTreeSet;

use mosshead_registry::{Delta, Entry, HeartbeatOutcome, OperState, Registry, SourceId, VersionVector};
use mosshead_time::{Duration, Instant};

use crate::injected_fault::{Faults, InjectedFault};
use crate::quorum_contact::QuorumContact;

/// A shutdown that is not acknowledged within this time is rejected: the server waits one second for the
/// response, which still has to reach it.
pub const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(800);
/// The maximum number of acknowledged entries that are remembered. If the server repeats its call after its
/// entry was dropped, the entry is replicated again.
const MAX_REMEMBERED_ENTRIES: usize = 4_096;
/// The first delta to another control node starts this many versions before the last one that this node
/// published. It overlaps with the entries that the other node already has, unless that node is further
/// behind; a gap would keep its version vector from advancing.
const FIRST_DELTA_VERSIONS: u64 = 64;
/// The maximum number of entries in that delta.
const MAX_FIRST_DELTA_ENTRIES: usize = 128;

/// Identifies an entry of the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryVersion {
    /// The source that published the entry.
    pub source: SourceId,
    /// The version that the source assigned to it.
    pub version: u64,
}

impl EntryVersion {
    /// Returns the version of an entry that announces a shutdown; `None` for any other entry.
    pub fn of_shutdown(entry: &Entry) -> Option<EntryVersion> {
        let is_shutdown = entry.server.state >= OperState::Draining;
        is_shutdown.then_some(EntryVersion { source: entry.source, version: entry.version })
    }

    /// Returns true if a process with this vector has the entry, or one that supersedes it.
    pub fn is_covered_by(&self, vector: &VersionVector) -> bool {
        vector.get(self.source) >= self.version
    }
}

/// The control nodes that may store an entry, and how many failures the entry has to survive.
#[derive(Clone, Debug)]
pub struct ReplicaSet {
    /// The members in the newest epoch configuration that this node knows.
    pub members: Vec<SocketAddrV4>,
    /// The maximum number of members that may fail at the same time.
    pub tolerated_failures: usize,
}

impl ReplicaSet {
    /// Returns how many members have to store an entry durably. If there are fewer members than that, the
    /// tolerated failures have already happened, and nothing is acknowledged.
    ///
    /// If no failures are tolerated, a second member stores the entry if there is one, so that proxies learn
    /// of it while the first one restarts.
    fn needed_replicas(&self) -> usize {
        match self.tolerated_failures {
            0 => self.members.len().clamp(1, 2),
            failures => failures + 1,
        }
    }
}

/// The decision on a server's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcknowledgementDecision {
    /// Enough members store the entry.
    Acknowledge,
    /// More replicas are needed, and some members have not responded yet.
    Wait,
    /// Too few members can store the entry in time, or there is no quorum contact. The server has to repeat
    /// its call.
    Reject,
}

/// Progress of replicating one entry to the disks of the members.
#[derive(Clone, Debug)]
pub struct EntryReplication {
    entry: EntryVersion,
    /// The number of members that have to store the entry.
    needed: usize,
    /// Members that have not responded yet.
    pending: BTreeSet<SocketAddrV4>,
    /// Members that store the entry durably; disjoint from `pending`.
    replicas: BTreeSet<SocketAddrV4>,
    /// The end of the time in which an acknowledgement still reaches the server.
    deadline: Instant,
    faults: Faults,
}

impl EntryReplication {
    /// Starts the replication of an entry that no member is known to store yet. The server's call arrived at
    /// `now`.
    fn new(now: Instant, entry: EntryVersion, replica_set: &ReplicaSet, faults: Faults) -> EntryReplication {
        let pending: BTreeSet<SocketAddrV4> = replica_set.members.iter().copied().collect();
        let needed = match faults.is_injected(InjectedFault::AcknowledgeAfterTwoReplicas) {
            true => 2,
            false => replica_set.needed_replicas(),
        };
        let deadline = now + ACKNOWLEDGEMENT_TIMEOUT;
        EntryReplication { entry, needed, pending, replicas: BTreeSet::new(), deadline, faults }
    }

    /// Returns when the shutdown is rejected unless it was acknowledged before.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns the entry that is replicated.
    pub fn entry(&self) -> EntryVersion {
        self.entry
    }

    /// Records up to which versions a control node, possibly this one, has the registry on disk; `None` if
    /// that is not known. Only the first reply of each member counts.
    pub fn record_reply(&mut self, from: SocketAddrV4, durable: Option<&VersionVector>) {
        let has_entry = durable.is_some_and(|durable| self.entry.is_covered_by(durable));
        if self.pending.remove(&from) && has_entry {
            self.replicas.insert(from);
        }
    }

    /// Decides on the shutdown from the replicas recorded so far.
    pub fn decision(&self, now: Instant, contact: QuorumContact) -> AcknowledgementDecision {
        if now >= self.deadline {
            return AcknowledgementDecision::Reject;
        }
        let may_acknowledge =
            contact.is_confirmed() || self.faults.is_injected(InjectedFault::AcknowledgeWithoutQuorum);
        if self.replicas.len() + self.pending.len() < self.needed {
            AcknowledgementDecision::Reject
        } else if self.replicas.len() < self.needed {
            AcknowledgementDecision::Wait
        } else if may_acknowledge {
            AcknowledgementDecision::Acknowledge
        } else {
            AcknowledgementDecision::Reject
        }
    }
}

/// What the host has to do next after a heartbeat or a deregistration.
#[derive(Clone, Debug)]
pub enum ShutdownStep {
    /// Acknowledge at once: the server is not shutting down, or its shutdown was acknowledged before.
    Acknowledge,
    /// Tell the server to repeat its call.
    Reject,
    /// Replicate the entry to the members first.
    Replicate(EntryReplication),
}

/// The entries of acknowledged shutdowns. A repeated call for one of them is not replicated again.
#[derive(Clone, Debug, Default)]
pub struct ShutdownAcknowledgements {
    entries: BTreeSet<EntryVersion>,
    faults: Faults,
}

impl ShutdownAcknowledgements {
    /// Creates an empty set with a fault that a test injects.
    #[doc(hidden)]
    #[cfg(feature = "fault-injection")]
    pub fn with_injected_fault(injected_fault: Option<InjectedFault>) -> ShutdownAcknowledgements {
        ShutdownAcknowledgements {
            faults: Faults::new(injected_fault),
            ..ShutdownAcknowledgements::default()
        }
    }

    /// Decides on a server's call, which the registry has already recorded.
    ///
    /// The decision depends on the entry in force, whichever control node published it: a server that repeats
    /// its call at another control node is not acknowledged there before there are enough replicas either.
    /// `outcome` is used only if a fault is injected.
    pub fn begin(
        &self,
        now: Instant,
        registry: &Registry,
        id: &str,
        outcome: &HeartbeatOutcome,
        contact: QuorumContact,
        replica_set: &ReplicaSet,
    ) -> ShutdownStep {
        let Some(entry) = registry.entry(id).and_then(EntryVersion::of_shutdown) else {
            return ShutdownStep::Acknowledge;
        };
        let skips_checks = self.faults.is_injected(InjectedFault::AcknowledgeRepeatsUnchecked);
        if skips_checks && !outcome.needs_replication {
            return ShutdownStep::Acknowledge;
        }
        if !self.entries.contains(&entry) {
            return ShutdownStep::Replicate(EntryReplication::new(now, entry, replica_set, self.faults));
        }
        if contact.is_confirmed() { ShutdownStep::Acknowledge } else { ShutdownStep::Reject }
    }

    /// Remembers that a shutdown was acknowledged.
    pub fn record_acknowledged(&mut self, entry: EntryVersion) {
        if self.entries.len() >= MAX_REMEMBERED_ENTRIES {
            self.entries.pop_first();
        }
        self.entries.insert(entry);
    }
}

/// Returns the latest entries that this node published: the first delta that is sent to another control node.
pub fn latest_local_entries(registry: &Registry) -> Delta {
    let mut vector = registry.vector();
    vector.set(registry.local_id(), registry.version().saturating_sub(FIRST_DELTA_VERSIONS));
    registry.missing_entries(&vector, MAX_FIRST_DELTA_ENTRIES)
}
