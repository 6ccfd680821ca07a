//! The role of a node and its transitions.

use rand_core::RngCore;

use super::Node;
use crate::disk_writes::DurabilityEffect;
use crate::epoch_config::EpochConfig;
use crate::event::Output;
use crate::founding::{FOUNDING_TERM_STEP, plan_founding};
use crate::injected_fault::InjectedFault;
use crate::peers::NewEpoch;
use crate::primary::PrimaryState;
use crate::take_over::TakeOver;
use crate::term::{Member, MemberId, Term};
use crate::transition::{DecidedEpoch, TakeOverPlan, Transition};
use crate::votes::Votes;

/// The role of a node. Each node starts as a follower.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Role {
    /// Neither primary nor taking over.
    Follower,
    /// Attempts to become primary, or to remain so under another configuration.
    TakingOver(Box<TakeOver>),
    Primary(Box<PrimaryState>),
}

impl Role {
    pub(super) fn is_follower(&self) -> bool {
        matches!(self, Role::Follower)
    }

    /// The term of a take-over or of a primary; none for a follower.
    pub(super) fn term(&self) -> Option<Term> {
        match self {
            Role::Follower => None,
            Role::TakingOver(take_over) => Some(take_over.term()),
            Role::Primary(primary) => Some(primary.term()),
        }
    }

    /// Returns true for a primary, including one that is renewing its epoch.
    pub(super) fn is_primary_or_renewal(&self) -> bool {
        match self {
            Role::Follower => false,
            Role::TakingOver(take_over) => take_over.is_renewal(),
            Role::Primary(_) => true,
        }
    }
}

impl<R: RngCore> Node<R> {
    /// Carries out a transition that the role has requested.
    pub(super) fn apply(&mut self, transition: Transition) {
        match transition {
            Transition::Stay => {}
            Transition::StepDown => self.step_down(),
            Transition::TakeOver(plan) => self.start_take_over(plan),
            Transition::BecomePrimary(epoch) => self.become_primary(*epoch),
        }
    }

    /// Records a configuration that a node has proposed. A primary or a take-over under a lower term becomes a follower.
    pub(super) fn observe_config(&mut self, config: &EpochConfig) {
        if self.core.epoch.observe_config(config) {
            self.step_down_below(config.term);
        }
    }

    /// A primary or a take-over under a lower term becomes a follower.
    pub(super) fn step_down_below(&mut self, term: Term) {
        if self.role.term().is_some_and(|own| own < term) {
            self.step_down();
        }
    }

    /// Becomes a follower and answers the pending requests. Does nothing if this node already is a follower.
    pub(super) fn step_down(&mut self) {
        if self.role.is_follower() {
            return;
        }
        let was_primary = self.role.is_primary_or_renewal();
        self.role = Role::Follower;
        self.core.failure_detector.forget_primary(self.core.local().id);
        self.await_primary();
        if was_primary {
            self.core.context.output(Output::SteppedDown);
        } else {
            self.core.election_timer.schedule_take_over_retry(self.core.context.now(), &mut self.rng);
        }
        let primary = self.redirect_address();
        self.core.requests.drop_all(&mut self.core.context, primary);
    }

    /// Starts a take-over under a term higher than any seen. The role stays unchanged if there is no higher term or too
    /// many writes are pending.
    pub(super) fn start_take_over(&mut self, plan: TakeOverPlan) {
        let promised = self.core.acceptor.promised();
        let local = self.core.local();
        let step = if plan.founding_members.is_some() { FOUNDING_TERM_STEP } else { 0 };
        let number = self.core.epoch.next_term_number(promised).saturating_add(step);
        let term = Term { number, proposer: local.id };
        if term <= promised || self.core.storage.is_full() {
            if let Role::TakingOver(take_over) = &mut self.role {
                take_over.set_rejections(plan.rejections);
            }
            return;
        }
        self.core.epoch.observe_term(term);
        self.core.acceptor.raise_promise(term);
        self.core.failure_detector.forget_primary(local.id);
        self.role = Role::TakingOver(Box::new(TakeOver::new(term, plan, self.core.now())));
        self.core.requests.reset_heartbeats();
        self.core.write(DurabilityEffect::Promise(term), local);
        if self.core.has_fault(InjectedFault::UseUnsyncedTerm) {
            self.on_local_promise_written(term);
        }
    }

    /// Starts a forced recovery with the remaining nodes, if [`plan_founding`] allows it.
    pub(super) fn found_anew(&mut self) {
        if !self.role.is_follower() {
            return;
        }
        if let Ok(founding) = plan_founding(&self.core) {
            let founding_members = Some(founding.members);
            self.start_take_over(TakeOverPlan { founding_members, ..TakeOverPlan::default() });
        }
    }

    fn become_primary(&mut self, epoch: DecidedEpoch) {
        let DecidedEpoch { config, state, votes, proposed_at, is_renewal, is_continued } = epoch;
        let now = self.core.now();
        let silent_primary = self.silent_primary(&votes);
        let new_epoch = NewEpoch { config: &config, votes: &votes, proposed_at, is_renewal, silent_primary };
        let newcomers: Vec<Member> = self.core.joins.recent(now).map(|join| join.member).collect();
        self.core.peers.start_epoch(&self.core.context, &new_epoch, &newcomers);

        let term = config.term;
        self.core.failure_detector.start_epoch(now, self.core.context.local(), term);
        self.core.primary_lease.start_epoch(proposed_at);
        self.core.leadership_transfer.cancel();
        self.role = Role::Primary(Box::new(PrimaryState::new(config, state.clone(), now)));

        self.core.publish(state);
        self.core.context.output(Output::BecamePrimary { term, continued: is_continued });
        if !is_continued {
            let primary = self.redirect_address();
            self.core.requests.redirect_stale_replies(&mut self.core.context, primary);
        }
        if let Role::Primary(primary) = &mut self.role {
            self.core.requests.resolve_pending_write(&mut self.core.context, primary.state());
            primary.send_heartbeats_to_all(&mut self.core);
        }
    }

    /// The former primary, if it is suspected and did not accept the new configuration.
    fn silent_primary(&self, votes: &Votes) -> Option<MemberId> {
        let primary = self.core.failure_detector.primary()?;
        let is_suspected = primary.silence(self.core.now()) >= self.core.context.timings().suspicion_timeout;
        let is_silent = is_suspected && !votes.includes(&primary.member());
        (is_silent && !self.core.has_fault(InjectedFault::ForgetSilenceOfMembers))
            .then(|| primary.member().id)
    }
}
