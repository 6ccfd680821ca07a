use std::collections::BTreeMap;

use rand_core::RngCore;

use crate::control_state::{EpochConfig, Member, MemberId, Term};
use crate::message::Message;
use crate::node::{Leader, Node, Role};
use crate::read_lease::LeaseStamp;
use crate::settings::InjectedFault;
use crate::votes::Votes;

/// When to look for a primary, and who would promise.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Election {
    pub(crate) at: u64,
    /// Somebody was promised a term and is given time until then.
    pub(crate) quiet_until: u64,
    willing: BTreeMap<MemberId, Willing>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Willing {
    member: Member,
    is_bootstrap_voter: bool,
    at: u64,
}

impl<R: RngCore> Node<R> {
    /// Until when the primary is not suspected. What proves that it lives is older than its last heartbeat by one more.
    fn trusted_until(&self) -> u64 {
        let timings = &self.settings.timings;
        let until = |l: &Leader| {
            let echoed = l.echoed.map_or(0, |at| at + timings.suspicion_timeout + timings.heartbeat_interval);
            echoed.max(l.since + timings.suspicion_timeout)
        };
        self.leader.as_ref().map_or(0, until)
    }

    /// Whether the primary is known to have lived lately, or is new.
    pub(crate) fn hears_leader(&self) -> bool {
        self.now < self.trusted_until()
    }

    fn can_lead(&self) -> bool {
        let allowed = match &self.view {
            Some(record) => record.member(self.me.id).is_some(),
            None => self.knows_bootstrap_voters(),
        };
        allowed && self.is_healthy() && matches!(self.role, Role::Follower)
    }

    /// Those that keep the state look first.
    pub(crate) fn await_leader(&mut self) {
        self.await_leader_until(self.now + self.settings.timings.suspicion_timeout);
    }

    fn await_leader_until(&mut self, until: u64) {
        let keeps = self.view.as_ref().is_some_and(|r| r.holds_state(self.me.id));
        let spread = self.below(150) + if keeps { 0 } else { 150 };
        self.election.at = until + spread;
        self.election.willing.clear();
    }

    pub(crate) fn election_timers(&mut self) {
        if self.now < self.election.at || !self.can_lead() {
            return;
        }
        if self.hears_leader() {
            return self.await_leader_until(self.trusted_until());
        }
        self.election.at = self.now + 100 + self.below(80);
        for member in self.electorate() {
            self.send(member.address, Message::PreVote);
        }
        let (me, is_bootstrap_voter) = (self.me, self.is_bootstrap_voter());
        self.on_pre_vote_answer(me, true, is_bootstrap_voter, None);
    }

    /// Whom to ask for a promise.
    pub(crate) fn electorate(&self) -> Vec<Member> {
        match (&self.view, self.bootstrap_voters()) {
            (Some(record), _) => record.voters(),
            (None, Some(bootstrap_voters)) => {
                bootstrap_voters.iter().map(|a| Member::bootstrap_voter(*a)).collect()
            }
            (None, None) => Vec::new(),
        }
    }

    pub(crate) fn on_pre_vote(&mut self, from: Member) {
        let willing = match &self.role {
            Role::Follower if self.settings.has(InjectedFault::AlwaysWilling) => true,
            Role::Follower => !self.hears_leader() && self.now >= self.election.quiet_until,
            Role::TakingOver(_) | Role::Primary(_) => false,
        };
        let (is_bootstrap_voter, record) = (self.is_bootstrap_voter(), self.view.clone());
        self.send(
            from.address,
            Message::PreVoteResponse { granted: willing, is_bootstrap_voter, config: record },
        );
    }

    pub(crate) fn on_pre_vote_answer(
        &mut self,
        from: Member,
        willing: bool,
        is_bootstrap_voter: bool,
        record: Option<EpochConfig>,
    ) {
        if let Some(record) = record {
            self.note_record(&record);
        }
        if !willing || !self.can_lead() || self.hears_leader() {
            return;
        }
        let now = self.now;
        self.election.willing.retain(|_, w| now - w.at <= 300);
        if self.election.willing.len() < 64 {
            self.election.willing.insert(from.id, Willing { member: from, is_bootstrap_voter, at: now });
        }
        let mut votes = Votes::default();
        for w in self.election.willing.values() {
            votes.add(w.member, w.is_bootstrap_voter);
        }
        let enough = match &self.view {
            Some(record) => votes.decide(record, false),
            None => votes.majority(&self.electorate()),
        };
        if enough {
            self.take_over();
        }
    }

    /// Ends a take-over whose step is overdue before the answers count that came meanwhile, as after a freeze.
    pub(crate) fn end_overdue_take_over(&mut self) {
        let step = self.settings.timings.take_over_step_timeout;
        let Role::TakingOver(t) = &self.role else { return };
        if self.now.saturating_sub(t.since) > step && !self.settings.has(InjectedFault::LateTakeOver) {
            self.step_down();
        }
    }

    pub(crate) fn on_hand_over(&mut self, from: Member, term: Term) {
        let named = self.view.as_ref().is_some_and(|r| r.term == term && r.primary == from.id);
        if named && self.can_lead() && self.promised <= term {
            self.take_over();
        }
    }

    pub(crate) fn on_heartbeat(&mut self, from: Member, heartbeat: Message) {
        let Message::Heartbeat { term, sequence, committed, config: record, echoed_stamp: echo } = heartbeat
        else {
            return;
        };
        self.highest = self.highest.max(term.number);
        if let Some(record) = record {
            self.note_record(&record);
        }
        self.outranked(term);
        let held = self.stable.state.as_ref().filter(|s| s.version().same_body(&committed));
        if let Some(state) = held.cloned() {
            self.show(state);
        }
        if self.leader.as_ref().is_none_or(|l| l.term <= term) && matches!(self.role, Role::Follower) {
            self.note_leader(from, term);
            self.note_echo(echo, committed.revision);
        }
        let answer = Message::HeartbeatResponse {
            term,
            sequence,
            promised: self.promised,
            accepted_term: self.stable.accepted_ballot(),
            known_term: self.view.as_ref().map(|r| r.term).unwrap_or_default(),
            committed_revision: self.committed.as_ref().map(|s| s.revision),
            is_healthy: self.is_healthy(),
            lease_stamp: self.contact.stamp(self.now),
        };
        self.send(from.address, answer);
    }

    /// A heartbeat has arrived, whenever it was sent.
    fn note_leader(&mut self, member: Member, term: Term) {
        let now = self.now;
        match &mut self.leader {
            Some(leader) if leader.term == term => leader.heard = now,
            _ => self.leader = Some(Leader::new(member, term, now)),
        }
    }

    /// The primary has sent this after the own answer that bore the stamp, and its state was of this revision.
    fn note_echo(&mut self, echo: Option<LeaseStamp>, revision: u64) {
        if let Some(at) = self.proven_time(echo) {
            if let Some(leader) = &mut self.leader {
                leader.echoed = leader.echoed.max(Some(at));
            }
            let shown = self.shown_revision();
            self.contact.prove(at, revision, shown);
        }
        if self.hears_leader() {
            self.await_leader_until(self.trusted_until());
        }
    }

    /// The time since when a heartbeat with this stamp was sent, if it tells any.
    fn proven_time(&self, echo: Option<LeaseStamp>) -> Option<u64> {
        if self.settings.has(InjectedFault::ContactByArrival) {
            return Some(self.now);
        }
        let echo = echo?;
        if self.settings.has(InjectedFault::ContactOfOtherIncarnations) {
            return Some(echo.answered_at).filter(|at| *at <= self.now);
        }
        self.contact.time_of(echo, self.now)
    }

    fn shown_revision(&self) -> Option<u64> {
        if self.settings.has(InjectedFault::ContactByArrival)
            || self.settings.has(InjectedFault::ContactWithoutState)
        {
            return Some(u64::MAX);
        }
        self.committed.as_ref().map(|state| state.revision)
    }
}
