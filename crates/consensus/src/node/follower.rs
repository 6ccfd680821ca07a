//! A node without a role: it follows a primary, and looks for a new one.

use rand_core::RngCore;

use super::Node;
use crate::control_state::StateVersion;
use crate::injected_fault::InjectedFault;
use crate::known_primary::KnownPrimary;
use crate::lease_stamp::LeaseStamp;
use crate::message::Message;
use crate::term::{Member, Term};
use crate::transition::TakeOverPlan;

impl<R: RngCore> Node<R> {
    /// Whether this node may become primary.
    pub(super) fn may_take_over(&self) -> bool {
        let is_eligible = match self.core.epoch.config() {
            Some(config) => config.has_member(self.core.local().id),
            None => self.core.may_bootstrap(),
        };
        is_eligible && self.core.is_healthy() && self.role.is_follower()
    }

    fn trusts_primary(&self) -> bool {
        self.core.election.trusts_primary(&self.core.context)
    }

    fn await_suspicion(&mut self) {
        let holds_state = self.core.epoch.holds_state(self.core.local().id);
        self.core.election.await_suspicion(&self.core.context, &mut self.rng, holds_state);
    }

    /// Asks for pre-votes when the primary is missed.
    pub(super) fn run_election_timers(&mut self) {
        let now = self.core.now();
        if !self.core.election.is_attempt_due(now) || !self.may_take_over() {
            return;
        }
        if self.trusts_primary() {
            return self.await_suspicion();
        }
        self.core.election.schedule_pre_vote_retry(now, &mut self.rng);
        for member in self.core.electorate() {
            self.core.send(member.address, Message::PreVote);
        }
        self.on_pre_vote_response(self.core.local(), true, self.core.is_bootstrap_voter());
    }

    pub(super) fn on_pre_vote(&mut self, from: Member) {
        let withholds = self.core.acceptor.withholds_pre_votes(self.core.now());
        let misses_primary = !self.trusts_primary() && !withholds;
        let always = self.core.has_fault(InjectedFault::AlwaysWilling);
        let response = Message::PreVoteResponse {
            granted: self.role.is_follower() && (always || misses_primary),
            is_bootstrap_voter: self.core.is_bootstrap_voter(),
            config: self.core.epoch.config().cloned(),
        };
        self.core.send(from.address, response);
    }

    pub(super) fn on_pre_vote_response(&mut self, from: Member, is_granted: bool, is_bootstrap_voter: bool) {
        if !is_granted || !self.may_take_over() || self.trusts_primary() {
            return;
        }
        let votes = self.core.election.add_pre_vote(self.core.context.now, from, is_bootstrap_voter);
        let is_enough = match self.core.epoch.config() {
            Some(config) => votes.decide(config, false),
            None => votes.are_majority_of(&self.core.electorate()),
        };
        if is_enough {
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
        let durable = self.core.storage.durable.state.as_ref();
        if let Some(state) = durable.filter(|state| state.version().has_same_body(committed)).cloned() {
            self.core.publish(state);
        }
        if self.core.election.accepts_heartbeat(term) && self.role.is_follower() {
            self.core.election.record_heartbeat(self.core.context.now, from, term);
            self.confirm_contact(echoed_stamp, committed.revision);
        }
    }

    /// The primary has sent this stamp back, and its committed state was of this revision.
    fn confirm_contact(&mut self, echoed_stamp: Option<LeaseStamp>, revision: u64) {
        let core = &mut self.core;
        if let Some(contact_at) = core.learner.proven_instant(&core.context, echoed_stamp) {
            core.election.confirm_primary_alive(contact_at);
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
            accepted_term: core.storage.durable.accepted_term(),
            known_term: core.epoch.term(),
            committed_revision: core.learner.revision(),
            is_healthy: core.is_healthy(),
            lease_stamp: core.learner.read_lease.stamp(core.context.now),
        };
        core.send(to.address, response);
    }

    /// Looks for the others where no primary is known, or this node is no member.
    pub(super) fn run_join_timers(&mut self) {
        if !self.role.is_follower() {
            return;
        }
        let core = &mut self.core;
        let is_member = core.epoch.has_member(core.context.local.id);
        let alive_at = core.election.known_primary.as_ref().map(KnownPrimary::alive_at);
        if !core.joins.take_due(&core.context, is_member, alive_at) {
            return;
        }
        let is_bootstrap_voter = core.is_bootstrap_voter();
        let join = Message::Join { is_bootstrap_voter, known_term: core.epoch.term() };
        for address in core.epoch.addresses() {
            core.context.send(*address, join.clone());
        }
    }
}
