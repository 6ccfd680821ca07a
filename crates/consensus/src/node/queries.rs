//! The read-only API that a node offers to its host.

use core::net::SocketAddrV4;
use core::time::Duration;

use mosshead_time::Instant;
use rand_core::RngCore;

use super::{Node, Role};
use crate::control_state::ControlState;
use crate::epoch_config::EpochConfig;
use crate::founding::{Founding, FoundingError, plan_founding};
use crate::group_health::GroupHealth;
use crate::injected_fault::InjectedFault;
use crate::member_removal::SHUTDOWN_TIMEOUT;
use crate::term::{Member, Term};

/// A node with [`InjectedFault::ShutDownWithoutRemoval`] shuts down after this time.
const INJECTED_SHUTDOWN: Duration = Duration::from_millis(150);

impl<R: RngCore> Node<R> {
    /// The id of this disk and the address of this machine.
    pub fn local_member(&self) -> Member {
        self.core.local()
    }

    /// The primary as known at the last step.
    pub fn primary(&self) -> Option<Member> {
        self.primary_at(self.core.now())
    }

    /// The primary as known at `now`, which may be later than the last step.
    pub fn primary_at(&self, now: Instant) -> Option<Member> {
        if self.role.is_primary_or_renewal() {
            return self.has_quorum_contact(now).then_some(self.core.local());
        }
        let max_silence = 2 * self.core.context.timings().suspicion_timeout;
        self.core.failure_detector.primary_within(max_silence, now)
    }

    /// Returns true if this node was primary after its last step. Before acting as primary, check
    /// [`Node::holds_primary_lease`].
    pub fn is_primary(&self) -> bool {
        matches!(self.role, Role::Primary(_))
    }

    /// Returns true if this node is primary and its lease is valid at `now`, which may be later than the last step.
    pub fn holds_primary_lease(&self, now: Instant) -> bool {
        self.is_primary() && self.core.primary_lease.is_valid(&self.core.context, now)
    }

    /// Returns true if this node recently had contact with a majority, as primary or through the primary. If so, the
    /// state that it publishes is not older than [`crate::Timings::max_staleness`].
    pub fn has_quorum_contact(&self, now: Instant) -> bool {
        let core = &self.core;
        if self.role.is_primary_or_renewal() {
            core.primary_lease.is_valid(&core.context, now)
        } else {
            core.context.is_within_lease(core.learner.contact_confirmed_at(), now)
        }
    }

    /// The members of the highest configuration that this node has seen, decided or not; empty before it has seen one.
    pub fn members(&self) -> &[Member] {
        self.core.epoch.config().map_or(&[], |config| &config.members)
    }

    /// The newest committed state that this node knows.
    pub fn committed_state(&self) -> Option<&ControlState> {
        self.core.learner.committed()
    }

    /// The term of this node if it is primary, else of the primary that it follows, else of the highest configuration
    /// that it has seen. The number of a primary's term is its fencing token.
    pub fn term(&self) -> Term {
        match (&self.role, self.core.failure_detector.primary()) {
            (Role::Primary(primary), _) => primary.term(),
            (_, Some(primary)) => primary.term(),
            _ => self.core.epoch.term(),
        }
    }

    /// The configuration of the highest epoch that this node has seen, decided or not.
    pub fn epoch_config(&self) -> Option<&EpochConfig> {
        self.core.epoch.config()
    }

    /// The plan of a forced recovery ([`crate::Input::FoundAnew`]) by this node, if an operator requested it now.
    ///
    /// # Errors
    ///
    /// The recovery is not possible, or not needed.
    pub fn founding(&self) -> Result<Founding, FoundingError> {
        if !self.role.is_follower() {
            return Err(FoundingError::HasPrimary);
        }
        plan_founding(&self.core)
    }

    /// The health of the group; `None` unless this node is primary and its lease is valid at `now`.
    pub fn group_health(&self, now: Instant) -> Option<GroupHealth> {
        match &self.role {
            Role::Primary(primary) if self.holds_primary_lease(now) => {
                Some(primary.group_health(&self.core, now))
            }
            _ => None,
        }
    }

    /// Returns true if the disk accepts writes and this node is not shutting down.
    pub fn is_healthy(&self) -> bool {
        self.core.is_healthy()
    }

    /// One record that can replace the whole log; `None` while writes are pending or before the identity of the disk is
    /// durable.
    pub fn snapshot(&self) -> Option<Vec<u8>> {
        let storage = &self.core.storage;
        (storage.is_idle() && storage.is_open())
            .then(|| storage.snapshot_record(self.core.acceptor.promised()))
    }

    /// Returns true if the process may end after [`crate::Input::ShutDown`]: the other members need nothing more of this
    /// node, or it has waited for its removal for [`SHUTDOWN_TIMEOUT`]. To be checked after each step.
    pub fn may_shut_down(&self) -> bool {
        let Some(age) = self.core.removal.shutdown_age(self.core.now()) else { return false };
        if age >= SHUTDOWN_TIMEOUT {
            return true;
        }
        if !self.role.is_follower() {
            return false;
        }
        if self.core.has_fault(InjectedFault::ShutDownWithoutRemoval) {
            return age >= INJECTED_SHUTDOWN;
        }
        self.core.epoch.config().is_none_or(|config| self.is_dispensable_to(config))
    }

    /// Returns true if the configuration needs neither the vote nor the state of this node.
    fn is_dispensable_to(&self, config: &EpochConfig) -> bool {
        let local = self.core.local();
        let is_granted = self.core.removal.is_granted(self.core.acceptor.promised(), config.term);
        // Only the primary of a decided configuration sends heartbeats.
        let known_primary = self.core.failure_detector.primary();
        let is_decided = known_primary.is_some_and(|primary| primary.term() == config.term);
        let has_no_vote = is_decided && !config.has_voter(local.id);
        let is_only_voter = config.voters().iter().all(|member| member.address == local.address);
        is_granted || has_no_vote || is_only_voter
    }

    /// The address that clients are redirected to.
    pub(super) fn redirect_address(&self) -> Option<SocketAddrV4> {
        let successor = self.core.leadership_transfer.likely_primary(&self.core.context);
        let other = || self.primary().filter(|primary| primary.id != self.core.local().id);
        successor.or_else(|| other().map(|primary| primary.address))
    }
}
