//! When the shutdown of a server is acknowledged to it. A server announces its shutdown by a heartbeat that reports
//! `draining`, or by its deregistration.
//!
//! Invariant *shutdowns survive failures*: a shutdown is acknowledged only by a control node with quorum contact, and
//! only when so many members have the entry on their disks that it outlives as many failures as the deployment tolerates
//! at once, and a loss of power at all others.

use core::net::SocketAddrV4;
use std::collections::BTreeSet;

use mosshead_registry::{Delta, Entry, HeartbeatOutcome, OperState, Registry, SourceId, VersionVector};
use mosshead_time::{Duration, Instant};

use crate::injected_fault::{Faults, InjectedFault};
use crate::quorum_contact::QuorumContact;

/// A shutdown that is not acknowledged within this time is rejected: the server listens for a second, and the response has
/// to reach it.
pub const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(800);
/// How many acknowledged entries are remembered. One that was dropped is replicated again if the server repeats its call.
const MAX_REMEMBERED_ENTRIES: usize = 4_096;
/// The first delta to another control node starts this many versions back, so that it overlaps with what that node
/// has and no gap remains.
const FIRST_DELTA_VERSIONS: u64 = 64;
/// The most entries of that delta.
const MAX_FIRST_DELTA_ENTRIES: usize = 128;

/// Identifies an entry of the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryVersion {
    /// Who published the entry.
    pub source: SourceId,
    /// The version that its source gave it.
    pub version: u64,
}

impl EntryVersion {
    /// The version of an entry that announces a shutdown; `None` for any other entry.
    pub fn of_shutdown(entry: &Entry) -> Option<EntryVersion> {
        let is_shutdown = entry.server.state >= OperState::Draining;
        is_shutdown.then_some(EntryVersion { source: entry.source, version: entry.version })
    }

    /// Whether a process with this vector has the entry, or one that supersedes it.
    pub fn is_covered_by(&self, vector: &VersionVector) -> bool {
        vector.get(self.source) >= self.version
    }
}

/// The control nodes that may store an entry, and how many failures it has to survive.
#[derive(Clone, Debug)]
pub struct ReplicaSet {
    /// The members by the newest epoch configuration that this node knows.
    pub members: Vec<SocketAddrV4>,
    /// How many members may fail at once.
    pub tolerated_failures: usize,
}

impl ReplicaSet {
    /// How many members have to store an entry durably. There are always as many members, or the failures to survive
    /// have happened already and nothing is acknowledged.
    ///
    /// Where no failure has to be survived, a second member stores it if there is one, so that proxies learn of it while
    /// the first one restarts.
    fn needed_replicas(&self) -> usize {
        match self.tolerated_failures {
            0 => self.members.len().clamp(1, 2),
            failures => failures + 1,
        }
    }
}

/// Whether a shutdown is acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcknowledgementDecision {
    /// Enough members store the entry.
    Acknowledge,
    /// More replicas are needed, and members have yet to respond.
    Wait,
    /// Too few members can store the entry in time, or there is no quorum contact; the server repeats its call.
    Reject,
}

/// The progress of the replication of one entry to the disks of the members.
#[derive(Clone, Debug)]
pub struct EntryReplication {
    entry: EntryVersion,
    /// How many members have to store the entry.
    needed: usize,
    /// Members that have not responded yet.
    pending: BTreeSet<SocketAddrV4>,
    /// Members that store the entry durably; disjoint from `pending`.
    replicas: BTreeSet<SocketAddrV4>,
    /// An acknowledgement after this would not be heard.
    deadline: Instant,
    faults: Faults,
}

impl EntryReplication {
    /// No member is known to store the entry yet. The server has called at `now`.
    fn new(now: Instant, entry: EntryVersion, replica_set: &ReplicaSet, faults: Faults) -> EntryReplication {
        let pending: BTreeSet<SocketAddrV4> = replica_set.members.iter().copied().collect();
        let needed = match faults.include(InjectedFault::AcknowledgeAfterOneReplica) {
            true => 2,
            false => replica_set.needed_replicas(),
        };
        let deadline = now + ACKNOWLEDGEMENT_TIMEOUT;
        EntryReplication { entry, needed, pending, replicas: BTreeSet::new(), deadline, faults }
    }

    /// When the shutdown is rejected if it is not acknowledged before.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// The entry that is replicated.
    pub fn entry(&self) -> EntryVersion {
        self.entry
    }

    /// Records up to where a control node, maybe this one, has the registry on its disk; `None` if that is not known.
    pub fn record_reply(&mut self, from: SocketAddrV4, durable: Option<&VersionVector>) {
        let has_entry = durable.is_some_and(|durable| self.entry.is_covered_by(durable));
        if self.pending.remove(&from) && has_entry {
            self.replicas.insert(from);
        }
    }

    /// Whether the shutdown is acknowledged now, by the replicas so far.
    pub fn decision(&self, now: Instant, contact: QuorumContact) -> AcknowledgementDecision {
        if now >= self.deadline {
            return AcknowledgementDecision::Reject;
        }
        let may_acknowledge =
            contact.is_confirmed() || self.faults.include(InjectedFault::AcknowledgeWithoutQuorum);
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

/// What the host does next after a heartbeat or a deregistration.
#[derive(Clone, Debug)]
pub enum ShutdownStep {
    /// Acknowledge at once: the server does not shut down, or its shutdown was acknowledged before.
    Acknowledge,
    /// Respond that the server has to repeat its call.
    Reject,
    /// Replicate the entry to the members first.
    Replicate(EntryReplication),
}

/// The entries whose shutdown was acknowledged: a repeated call causes no further replication.
#[derive(Clone, Debug, Default)]
pub struct ShutdownAcknowledgements {
    entries: BTreeSet<EntryVersion>,
    faults: Faults,
}

impl ShutdownAcknowledgements {
    /// Nothing is acknowledged yet; with a fault that a test injects.
    #[doc(hidden)]
    #[cfg(feature = "fault-injection")]
    pub fn with_injected_fault(injected_fault: Option<InjectedFault>) -> ShutdownAcknowledgements {
        ShutdownAcknowledgements {
            faults: Faults::new(injected_fault),
            ..ShutdownAcknowledgements::default()
        }
    }

    /// Decides on a call of a server that the registry has recorded.
    ///
    /// It decides by the entry in force, whichever control node has published it: a server that repeats its call at
    /// another control node is not acknowledged there either before there are enough replicas.
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
        let is_unchecked = self.faults.include(InjectedFault::AcknowledgeRepeatsUnchecked);
        if is_unchecked && !outcome.needs_replication {
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

/// The latest entries that were published here: the first delta that another control node gets.
pub fn latest_local_entries(registry: &Registry) -> Delta {
    let mut vector = registry.vector();
    vector.set(registry.local_id(), registry.version().saturating_sub(FIRST_DELTA_VERSIONS));
    registry.missing_entries(&vector, MAX_FIRST_DELTA_ENTRIES)
}
