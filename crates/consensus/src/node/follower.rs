//! The follower role: follows the primary while it is alive, and attempts to become primary when it is suspected.

use mosshead_time::Instant;
use rand_core::RngCore;

use super::Node;
use crate::control_state::StateVersion;
use crate::injected_fault::InjectedFault;
use crate::lease_stamp::LeaseStamp;
use crate::message::Message;
use crate::term::{Member, Term};
use crate::transition::TakeOverPlan;
use crate::votes::QuorumRule;

impl<R: RngCore> Node<R> {
    /// Returns true if this node may attempt to become primary.
    fn may_take_over(&self) -> bool {
        let is_eligible = match self.core.epoch.config() {
            Some(config) => config.has_member(self.core.local().id),
            None => self.core.may_bootstrap(),
        };
        is_eligible && self.core.is_healthy() && self.role.is_follower()
    }

    fn trusts_primary(&self) -> bool {
        self.core.failure_detector.trusts_primary(&self.core.context)
    }

    /// Schedules the next attempt for the time at which the primary would be suspected.
    fn await_suspicion(&mut self) {
        self.schedule_attempt(self.core.failure_detector.trusted_until(&self.core.context));
    }

    /// Schedules the next attempt after the suspicion timeout, so that another node can become primary first.
    pub(super) fn await_primary(&mut self) {
        self.schedule_attempt(self.core.now() + self.core.context.timings().suspicion_timeout);
    }

    fn schedule_attempt(&mut self, suspected_at: Instant) {
        let core = &mut self.core;
        let holds_state = core.epoch.holds_state(core.context.local().id);
        core.election_timer.schedule_after_suspicion(suspected_at, &mut self.rng, holds_state);
        core.pre_votes.clear();
    }

    /// Requests pre-votes when the primary is suspected.
    pub(super) fn run_election_timers(&mut self) {
        let now = self.core.now();
        if !self.core.election_timer.is_due(now) || !self.may_take_over() {
            return;
        }
        if self.trusts_primary() {
            return self.await_suspicion();
        }
        self.core.election_timer.schedule_pre_vote_retry(now, &mut self.rng);
        for member in self.core.known_voters() {
            self.core.send(member.address, Message::PreVote);
        }
        self.on_pre_vote_granted(self.core.local(), self.core.is_bootstrap_voter());
    }

    pub(super) fn on_pre_vote(&mut self, from: Member) {
        let withholds = self.core.acceptor.withholds_pre_votes(self.core.now());
        let suspects_primary = !self.trusts_primary() && !withholds;
        let ignores_trust = self.core.has_fault(InjectedFault::AlwaysGrantPreVotes);
        let response = Message::PreVoteResponse {
            granted: self.role.is_follower() && (ignores_trust || suspects_primary),
            is_bootstrap_voter: self.core.is_bootstrap_voter(),
            config: self.core.epoch.config().cloned(),
        };
        self.core.send(from.address, response);
    }

    /// Records a pre-vote that a node, possibly this one, has granted. With enough of them the take-over starts.
    pub(super) fn on_pre_vote_granted(&mut self, from: Member, is_bootstrap_voter: bool) {
        if !self.may_take_over() || self.trusts_primary() {
            return;
        }
        let votes = self.core.pre_votes.add(self.core.context.now(), from, is_bootstrap_voter);
        let has_quorum = match self.core.epoch.config() {
            Some(config) => votes.are_quorum_of(config, QuorumRule::Joint),
            None => votes.are_majority_of(&self.core.known_voters()),
        };
        if has_quorum {
            self.start_take_over(TakeOverPlan::default());
        }
    }

    pub(super) fn on_transfer_leadership(&mut self, from: Member, term: Term) {
        let config = self.core.epoch.config();
        let is_primary = config.is_some_and(|c| c.term == term && c.primary == from.id);
        if is_primary && self.may_take_over() && self.core.acceptor.promised() <= term {
            self.start_take_over(TakeOverPlan::default());
        }
    }

    pub(super) fn on_heartbeat(
        &mut self,
        from: Member,
        term: Term,
        committed: &StateVersion,
        echoed_stamp: Option<LeaseStamp>,
    ) {
        self.core.epoch.observe_term(term);
        self.step_down_below(term);
        let durable = self.core.storage.state();
        if let Some(state) = durable.filter(|state| state.version().has_same_body(committed)).cloned() {
            self.core.publish(state);
        }
        if self.core.failure_detector.accepts_heartbeat(term) && self.role.is_follower() {
            self.core.failure_detector.record_heartbeat(self.core.context.now(), from, term);
            self.confirm_contact(echoed_stamp, committed.revision);
        }
    }

    /// Handles the stamp that a heartbeat returned. The committed state of the primary was of this revision.
    fn confirm_contact(&mut self, echoed_stamp: Option<LeaseStamp>, revision: u64) {
        let core = &mut self.core;
        if let Some(contact_at) = core.learner.proven_instant(&core.context, echoed_stamp) {
            core.failure_detector.confirm_primary_alive(contact_at);
            core.learner.confirm_contact(&core.context, contact_at, revision);
        }
        if self.trusts_primary() {
            self.await_suspicion();
        }
    }

    pub(super) fn send_heartbeat_response(&mut self, to: Member, term: Term, sequence: u64) {
        let core = &mut self.core;
        let response = Message::HeartbeatResponse {
            term,
            sequence,
            promised: core.acceptor.promised(),
            accepted_term: core.storage.accepted_term(),
            known_term: core.epoch.term(),
            committed_revision: core.learner.revision(),
            is_healthy: core.is_healthy(),
            lease_stamp: core.learner.lease_stamp(&core.context),
        };
        core.send(to.address, response);
    }
}
