//! When the word of a server that leaves (`draining`, or its deregistration) is acknowledged.
//!
//! Invariant *leaving words survive*: such a word is acknowledged only by a machine that is in touch, and only when so
//! many members have it that it outlives as many losses as the deployment may have at once.

use core::net::SocketAddrV4;
use std::collections::BTreeSet;

use mosshead_registry::{Delta, Entry, HeartbeatOutcome, OperState, Registry, SourceId, VersionVector};

use crate::{InjectedFault, QuorumContact};

/// Acknowledged entries that are remembered; one that is forgotten is only handed to the members again.
const MOST_REMEMBERED: usize = 4_096;
/// So many of the latest entries go with a copy, so that it fits without a gap to what the other has seen.
const LATEST_VERSIONS: u64 = 64;
/// And at most so many.
const MOST_LATEST: usize = 128;

/// The number of an entry of the register.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryVersion {
    /// Who made the entry.
    pub source: SourceId,
    /// The number that its source gave it.
    pub version: u64,
}

impl EntryVersion {
    /// The number of an entry by which a server leaves; none where it does not leave.
    pub fn of_shutdown(entry: &Entry) -> Option<EntryVersion> {
        let leaves = entry.server.state >= OperState::Draining;
        leaves.then_some(EntryVersion { source: entry.source, version: entry.version })
    }

    /// Whether whoever shows this vector has the entry, or one that holds against it.
    pub fn is_covered_by(&self, vector: &VersionVector) -> bool {
        vector.get(self.source) >= self.version
    }
}

/// Who is to hold the copies.
#[derive(Clone, Debug)]
pub struct ReplicaSet {
    /// The machine that heard the server.
    pub local_address: SocketAddrV4,
    /// The members of the newest record of the control state that it knows.
    pub members: Vec<SocketAddrV4>,
    /// How many members may be lost at once.
    pub tolerated_failures: usize,
}

/// Whether a leaving server's word is acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcknowledgementDecision {
    /// Yes.
    Acknowledge,
    /// More copies are needed, and may come.
    Wait,
    /// No; the server comes again.
    Reject,
}

/// The copies of one entry that are being made.
#[derive(Clone, Debug)]
pub struct EntryReplication {
    entry: EntryVersion,
    needed: usize,
    /// Members that have not answered.
    open: BTreeSet<SocketAddrV4>,
    holders: BTreeSet<SocketAddrV4>,
    injected: Option<InjectedFault>,
}

impl EntryReplication {
    /// No other machine is known to have the entry yet.
    pub fn new(
        entry: EntryVersion,
        membership: &ReplicaSet,
        injected: Option<InjectedFault>,
    ) -> EntryReplication {
        let members: BTreeSet<SocketAddrV4> = membership.members.iter().copied().collect();
        let is_member = members.contains(&membership.local_address);
        let open: BTreeSet<SocketAddrV4> =
            members.into_iter().filter(|member| *member != membership.local_address).collect();
        // Danger: what a machine that is no member holds does not count, for it may go beside the others.
        let wanted =
            if is_member { membership.tolerated_failures.max(1) } else { membership.tolerated_failures + 1 };
        let wanted = if has(injected, InjectedFault::AcknowledgeAfterOneReplica) { 1 } else { wanted };
        let needed = wanted.min(open.len());
        EntryReplication { entry, needed, open, holders: BTreeSet::new(), injected }
    }

    /// Which entry is copied.
    pub fn entry(&self) -> EntryVersion {
        self.entry
    }

    /// A machine has answered with its vector, or not at all.
    pub fn record_reply(&mut self, from: SocketAddrV4, shown: Option<&VersionVector>) {
        let covers = shown.is_some_and(|vector| self.entry.is_covered_by(vector));
        if self.open.remove(&from) && covers {
            self.holders.insert(from);
        }
    }

    /// What is answered to the server now.
    pub fn decision(&self, contact: QuorumContact) -> AcknowledgementDecision {
        let may_acknowledge =
            contact.is_confirmed() || has(self.injected, InjectedFault::AcknowledgeWithoutQuorum);
        if self.holders.len() + self.open.len() < self.needed {
            AcknowledgementDecision::Reject
        } else if self.holders.len() < self.needed {
            AcknowledgementDecision::Wait
        } else if may_acknowledge {
            AcknowledgementDecision::Acknowledge
        } else {
            AcknowledgementDecision::Reject
        }
    }
}

/// What comes of a server's word.
#[derive(Clone, Debug)]
pub enum ShutdownStep {
    /// The server is told at once: it doesn't leave, or was told before.
    Acknowledge,
    /// The server is told to come again.
    Reject,
    /// Copies are needed first.
    Replicate(EntryReplication),
}

/// The entries that were acknowledged, so that a server which repeats its word costs no further copies.
#[derive(Clone, Debug, Default)]
pub struct ShutdownAcknowledgements {
    entries: BTreeSet<EntryVersion>,
    injected: Option<InjectedFault>,
}

impl ShutdownAcknowledgements {
    /// Nothing is acknowledged yet; with a fault built in, for tests.
    #[doc(hidden)]
    pub fn with_injected_fault(injected: Option<InjectedFault>) -> ShutdownAcknowledgements {
        ShutdownAcknowledgements { injected, ..ShutdownAcknowledgements::default() }
    }

    /// Looks at the word of a server that the register has taken in.
    ///
    /// What counts is the entry in force, whoever made it: a server that repeats its word elsewhere, because it was not
    /// acknowledged, is not acknowledged there before there are copies enough.
    pub fn begin(
        &self,
        register: &Registry,
        id: &str,
        heard: &HeartbeatOutcome,
        contact: QuorumContact,
        membership: &ReplicaSet,
    ) -> ShutdownStep {
        let Some(entry) = register.entry(id).and_then(EntryVersion::of_shutdown) else {
            return ShutdownStep::Acknowledge;
        };
        if has(self.injected, InjectedFault::AcknowledgeRepeatsUnchecked) && !heard.needs_replication {
            return ShutdownStep::Acknowledge;
        }
        if self.entries.contains(&entry) {
            return if contact.is_confirmed() { ShutdownStep::Acknowledge } else { ShutdownStep::Reject };
        }
        ShutdownStep::Replicate(EntryReplication::new(entry, membership, self.injected))
    }

    /// Remembers that a server was told.
    pub fn record_acknowledged(&mut self, entry: EntryVersion) {
        if self.entries.len() >= MOST_REMEMBERED {
            self.entries.pop_first();
        }
        self.entries.insert(entry);
    }
}

/// The latest entries that a register has made itself: the first copy that another machine is given.
pub fn latest_local_entries(register: &Registry) -> Delta {
    let mut vector = register.vector();
    vector.0.insert(register.local_id(), register.version().saturating_sub(LATEST_VERSIONS));
    register.missing_entries(&vector, MOST_LATEST)
}

fn has(injected: Option<InjectedFault>, fault: InjectedFault) -> bool {
    injected.is_some_and(|injected| injected.includes(fault))
}
