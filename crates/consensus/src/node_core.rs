//! What a node keeps in every role. The roles work on it and return a [`crate::transition::Transition`].

use core::net::SocketAddrV4;

use mosshead_time::Instant;

use crate::acceptor::Acceptor;
use crate::context::Context;
use crate::control_state::{ControlState, StateVersion};
use crate::delta_log::DeltaLog;
use crate::disk_writes::DurabilityEffect;
use crate::election::Election;
use crate::epoch_config::EpochConfig;
use crate::epoch_view::EpochView;
use crate::injected_fault::InjectedFault;
use crate::join_requests::JoinRequests;
use crate::leadership_transfer::LeadershipTransfer;
use crate::learner::Learner;
use crate::member_removal::MemberRemoval;
use crate::message::Message;
use crate::peers::Peers;
use crate::pending_requests::PendingRequests;
use crate::snapshot::StatePurpose;
use crate::snapshot_transfer::SnapshotTransfers;
use crate::storage::Storage;
use crate::term::Member;

/// The parts of a node that outlive its role.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct NodeCore {
    pub(crate) context: Context,
    pub(crate) storage: Storage,
    pub(crate) acceptor: Acceptor,
    pub(crate) epoch: EpochView,
    pub(crate) learner: Learner,
    pub(crate) election: Election,
    pub(crate) joins: JoinRequests,
    pub(crate) removal: MemberRemoval,
    pub(crate) transfers: SnapshotTransfers,
    pub(crate) requests: PendingRequests,
    /// Kept through a renewal, started over by a new primary.
    pub(crate) peers: Peers,
    /// When the newest heartbeat was sent that a majority has answered: the lease of this node as primary counts from there.
    /// Outlives the role of the primary, since the lease holds on through a renewal.
    pub(crate) primary_lease_confirmed_at: Option<Instant>,
    /// Kept through a renewal, as the peers are.
    pub(crate) delta_log: DeltaLog,
    /// The role of the primary on its way from this node to another one.
    pub(crate) leadership_transfer: Option<LeadershipTransfer>,
}

impl NodeCore {
    pub(crate) fn has_fault(&self, fault: InjectedFault) -> bool {
        self.context.has_fault(fault)
    }

    pub(crate) fn now(&self) -> Instant {
        self.context.now
    }

    pub(crate) fn local(&self) -> Member {
        self.context.local
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

    /// Writes for a member, or for this node itself.
    pub(crate) fn write(&mut self, effect: DurabilityEffect, requester: Member) {
        self.storage.append(&mut self.context, effect, Some(requester));
    }

    /// The addresses of the bootstrap voters, if this disk is one of theirs.
    pub(crate) fn bootstrap_voters(&self) -> Option<&[SocketAddrV4]> {
        let seeds = &self.context.settings.seeds;
        if self.has_fault(InjectedFault::AnyBootstrapVoter) && seeds.contains(&self.local().address) {
            return Some(seeds);
        }
        self.storage.identity().bootstrap_voters.as_deref()
    }

    pub(crate) fn is_bootstrap_voter(&self) -> bool {
        self.bootstrap_voters().is_some()
    }

    /// Before there is a configuration: whether this node is a bootstrap voter, and knows the others or has waited for long
    /// enough.
    pub(crate) fn may_bootstrap(&self) -> bool {
        let Some(voters) = self.bootstrap_voters() else { return false };
        let waited = self.context.elapsed(self.context.started_at);
        waited >= self.context.timings().bootstrap_timeout
            || self.joins.include_bootstrap_voters(self.local(), voters)
    }

    /// Those that are asked for a promise.
    pub(crate) fn electorate(&self) -> Vec<Member> {
        match (self.epoch.config(), self.bootstrap_voters()) {
            (Some(config), _) => config.voters(),
            (None, Some(voters)) => voters.iter().copied().map(Member::bootstrap_voter).collect(),
            (None, None) => Vec::new(),
        }
    }

    /// Whether the disk takes writes and this node does not shut down.
    pub(crate) fn is_healthy(&self) -> bool {
        let is_disk_healthy = self.storage.is_healthy(&self.context, self.now());
        !self.removal.is_shutting_down() && (is_disk_healthy || self.has_fault(InjectedFault::AlwaysHealthy))
    }

    /// A state with this body, if it is durable or committed here.
    pub(crate) fn find_state(&self, version: &StateVersion) -> Option<&ControlState> {
        let states = [self.storage.durable.state.as_ref(), self.learner.committed.as_ref()];
        states.into_iter().flatten().find(|state| state.version().has_same_body(version))
    }

    /// Whether this node, as primary, may send heartbeats: only while its lease holds at the time of this step.
    pub(crate) fn may_send_heartbeats(&self) -> bool {
        self.context.is_within_lease(self.primary_lease_confirmed_at, self.now())
            || self.has_fault(InjectedFault::NoLease)
    }

    /// The configuration that a node without a vote needs to find the others after its next start, if it is not durable.
    pub(crate) fn unwritten_config(&self) -> Option<EpochConfig> {
        let durable = &self.storage.durable;
        let known = [&durable.accepted, &durable.learned].into_iter().flatten().map(|c| c.term).max();
        let config = self.epoch.config().filter(|config| known.is_none_or(|known| known < config.term))?;
        (!config.has_voter(self.local().id)).then(|| config.clone())
    }
}
