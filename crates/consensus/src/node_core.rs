//! The state of a node that does not depend on its role. The roles work on it and return a
//! [`crate::transition::Transition`].
//!
//! Each part owns its state behind methods. The parts are separate fields because most of their methods borrow the
//! context, or another part, at the same time.

use core::net::SocketAddrV4;

use mosshead_time::Instant;

use crate::acceptor::Acceptor;
use crate::context::Context;
use crate::control_state::{ControlState, StateVersion};
use crate::delta_log::DeltaLog;
use crate::disk_writes::DurabilityEffect;
use crate::election_timer::ElectionTimer;
use crate::epoch_config::EpochConfig;
use crate::epoch_view::EpochView;
use crate::failure_detector::FailureDetector;
use crate::injected_fault::InjectedFault;
use crate::join_requests::JoinRequests;
use crate::leadership_transfer::LeadershipTransfer;
use crate::learner::Learner;
use crate::member_removal::MemberRemoval;
use crate::message::Message;
use crate::peers::Peers;
use crate::pending_requests::PendingRequests;
use crate::pre_votes::PreVotes;
use crate::primary_lease::PrimaryLease;
use crate::snapshot::StatePurpose;
use crate::snapshot_transfer::SnapshotTransfers;
use crate::storage::Storage;
use crate::term::Member;
use crate::votes::QuorumRule;

/// The parts of a node that outlive its role.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct NodeCore {
    pub(crate) context: Context,
    pub(crate) storage: Storage,
    pub(crate) acceptor: Acceptor,
    pub(crate) epoch: EpochView,
    pub(crate) learner: Learner,
    pub(crate) failure_detector: FailureDetector,
    pub(crate) election_timer: ElectionTimer,
    pub(crate) pre_votes: PreVotes,
    pub(crate) joins: JoinRequests,
    pub(crate) removal: MemberRemoval,
    pub(crate) transfers: SnapshotTransfers,
    pub(crate) requests: PendingRequests,
    /// Kept through a renewal; otherwise rebuilt when this node becomes primary.
    pub(crate) peers: Peers,
    pub(crate) primary_lease: PrimaryLease,
    /// Kept through a renewal, like the peers.
    pub(crate) delta_log: DeltaLog,
    pub(crate) leadership_transfer: LeadershipTransfer,
}

impl NodeCore {
    /// `incarnation` is the random number of this incarnation of the process.
    pub(crate) fn new(context: Context, storage: Storage, incarnation: u64) -> NodeCore {
        let (now, promised) = (context.now(), storage.promised());
        let mut core = NodeCore {
            context,
            storage,
            acceptor: Acceptor::new(promised),
            epoch: EpochView::new(promised),
            learner: Learner::new(incarnation),
            failure_detector: FailureDetector::default(),
            election_timer: ElectionTimer::default(),
            pre_votes: PreVotes::default(),
            joins: JoinRequests::new(now),
            removal: MemberRemoval::default(),
            transfers: SnapshotTransfers::default(),
            requests: PendingRequests::default(),
            peers: Peers::default(),
            primary_lease: PrimaryLease::default(),
            delta_log: DeltaLog::default(),
            leadership_transfer: LeadershipTransfer::default(),
        };
        core.reset_addresses();
        for config in core.storage.configs() {
            core.epoch.observe_config(config);
        }
        core
    }

    /// See [`Context::has_fault`].
    pub(crate) fn has_fault(&self, fault: InjectedFault) -> bool {
        self.context.has_fault(fault)
    }

    pub(crate) fn now(&self) -> Instant {
        self.context.now()
    }

    pub(crate) fn local(&self) -> Member {
        self.context.local()
    }

    pub(crate) fn send(&mut self, to: SocketAddrV4, message: Message) {
        self.context.send(to, message);
    }

    pub(crate) fn send_state(&mut self, to: Member, purpose: StatePurpose, state: ControlState) {
        self.transfers.send_state(&mut self.context, to, purpose, state);
    }

    pub(crate) fn publish(&mut self, state: ControlState) {
        self.learner.publish(&mut self.context, state);
    }

    /// Appends a write for `requester`: another member, or this node for its own role.
    pub(crate) fn write(&mut self, effect: DurabilityEffect, requester: Member) {
        self.storage.append(&mut self.context, effect, Some(requester));
    }

    /// The addresses of the bootstrap voters, if this disk is one of theirs.
    pub(crate) fn bootstrap_voters(&self) -> Option<&[SocketAddrV4]> {
        let seeds = &self.context.settings().seeds;
        if self.has_fault(InjectedFault::AnyBootstrapVoter) && seeds.contains(&self.local().address) {
            return Some(seeds);
        }
        self.storage.identity().bootstrap_voters.as_deref()
    }

    pub(crate) fn is_bootstrap_voter(&self) -> bool {
        self.bootstrap_voters().is_some()
    }

    /// Returns true if this node may take over without having seen a configuration: it is a bootstrap voter, and knows
    /// the other bootstrap voters or has waited for `bootstrap_timeout`.
    pub(crate) fn may_bootstrap(&self) -> bool {
        let Some(voters) = self.bootstrap_voters() else { return false };
        let waited = self.context.elapsed(self.context.started_at());
        waited >= self.context.timings().bootstrap_timeout
            || self.joins.include_bootstrap_voters(self.local(), voters)
    }

    /// The members that pre-votes and promises are requested from: the voters of the highest configuration seen. Without
    /// a configuration, the bootstrap voters, or nobody if this disk is not one of theirs.
    pub(crate) fn known_voters(&self) -> Vec<Member> {
        match (self.epoch.config(), self.bootstrap_voters()) {
            (Some(config), _) => config.voters(),
            (None, Some(voters)) => voters.iter().copied().map(Member::bootstrap_voter).collect(),
            (None, None) => Vec::new(),
        }
    }

    /// The majorities that a configuration needs in a take-over.
    pub(crate) fn quorum_rule(&self) -> QuorumRule {
        match self.has_fault(InjectedFault::NewMembersOnly) {
            true => QuorumRule::NewOnly,
            false => QuorumRule::Joint,
        }
    }

    /// Forgets all addresses but those of the seeds and of the members.
    pub(crate) fn reset_addresses(&mut self) {
        let known_voters = self.known_voters();
        self.epoch.reset_addresses(&self.context.settings().seeds, &known_voters);
    }

    /// Returns true if the disk accepts writes and this node is not shutting down.
    pub(crate) fn is_healthy(&self) -> bool {
        let is_disk_healthy = self.storage.is_healthy(&self.context);
        !self.removal.is_shutting_down() && (is_disk_healthy || self.has_fault(InjectedFault::AlwaysHealthy))
    }

    /// The state with this body, if it is durable here or known to be committed.
    pub(crate) fn find_state(&self, version: &StateVersion) -> Option<&ControlState> {
        let states = [self.storage.state(), self.learner.committed()];
        states.into_iter().flatten().find(|state| state.version().has_same_body(version))
    }

    /// Returns true if this node, as primary, may send heartbeats: only while its lease is valid at the time of this step.
    pub(crate) fn may_send_heartbeats(&self) -> bool {
        self.primary_lease.is_valid(&self.context, self.now())
            || self.has_fault(InjectedFault::IgnorePrimaryLease)
    }

    /// The newest configuration, if this node has no vote in it and it is not durable yet. The node needs it to find the
    /// others after a restart.
    pub(crate) fn unwritten_config(&self) -> Option<EpochConfig> {
        let known = self.storage.configs().map(|config| config.term).max();
        let config = self.epoch.config().filter(|config| known.is_none_or(|known| known < config.term))?;
        (!config.has_voter(self.local().id)).then(|| config.clone())
    }
}
