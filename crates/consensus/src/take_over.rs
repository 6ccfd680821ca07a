use std::collections::BTreeMap;

use rand_core::RngCore;

use crate::control_state::{ControlState, EpochConfig, Member, MemberId, StateVersion, Term};
use crate::durable_state::Effect;
use crate::event::Output;
use crate::message::Message;
use crate::node::{Leader, Node, Role};
use crate::replication::{Lead, MOST_TRANSFER};
use crate::settings::InjectedFault;
use crate::snapshot_transfer::StatePurpose;
use crate::votes::Votes;

/// An attempt to lead.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct TakeOver {
    pub(crate) term: Term,
    /// The epoch that this node leads until now, known to be decided.
    decided: Option<Term>,
    /// The members that the primary wants.
    wish: Option<Vec<Member>>,
    phase: Phase,
    /// Since when the phase has made no progress.
    pub(crate) since: u64,
    /// When the phase began.
    entered: u64,
    sent: u64,
    tries: u8,
    promises: BTreeMap<MemberId, Promised>,
    /// The term of the record that the new one follows.
    base: Term,
    /// The members of the new record, before and after.
    target: (Vec<Member>, Vec<Member>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Promised {
    member: Member,
    is_bootstrap_voter: bool,
    is_healthy: bool,
    version: Option<StateVersion>,
    /// It has said that it has not the state that is to be stamped.
    lacks_body: bool,
    order: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// The own promise is on its way to the disk.
    OwnPromise,
    /// The others are asked for theirs.
    Prepare,
    /// The newest state is fetched.
    FetchState { version: StateVersion, order: Vec<MemberId> },
    /// The newest state gets this term's stamp, here and at the backups to be.
    Stamp { state: ControlState, order: Vec<MemberId>, asked: usize, done: Vec<MemberId>, own: bool },
    /// The record is proposed.
    Accept { record: EpochConfig, state: ControlState, votes: Votes, own: bool },
}

impl TakeOver {
    /// Whether a primary takes over from itself.
    pub(crate) fn is_renewal(&self) -> bool {
        self.decided.is_some()
    }

    fn votes(&self) -> Votes {
        let mut votes = Votes::default();
        for p in self.promises.values() {
            votes.add(p.member, p.is_bootstrap_voter);
        }
        votes
    }

    fn enter(&mut self, phase: Phase, now: u64) {
        self.phase = phase;
        self.since = now;
        self.entered = now;
        self.sent = now;
    }
}

impl<R: RngCore> Node<R> {
    pub(crate) fn take_over(&mut self) {
        self.start_take_over(None, None);
    }

    pub(crate) fn start_take_over(&mut self, decided: Option<Term>, wish: Option<Vec<Member>>) {
        let round = self.highest.max(self.promised.number).saturating_add(1);
        let term = Term { number: round, proposer: self.me.id };
        if term <= self.promised || self.writes.is_full() {
            return;
        }
        self.highest = round;
        self.promised = term;
        self.leader = self.leader.take().filter(|l| l.member.id != self.me.id);
        let take_over = TakeOver {
            term,
            decided,
            wish,
            phase: Phase::OwnPromise,
            since: self.now,
            entered: self.now,
            sent: self.now,
            tries: 0,
            promises: BTreeMap::new(),
            base: Term::default(),
            target: Default::default(),
        };
        self.role = Role::TakingOver(Box::new(take_over));
        self.renumber_client_requests();
        self.write(Effect::Promise(term), Some(self.me));
        if self.settings.has(InjectedFault::TermUnsynced) {
            self.own_promise_written(term);
        }
    }

    /// Danger: others hear of a term only when it is on the own disk, so that it isn't used twice after a loss of power.
    pub(crate) fn own_promise_written(&mut self, term: Term) {
        let Role::TakingOver(t) = &mut self.role else { return };
        if t.term != term || t.phase != Phase::OwnPromise {
            return;
        }
        t.enter(Phase::Prepare, self.now);
        self.ask_for_promises();
        let (is_bootstrap_voter, is_healthy, version) =
            (self.is_bootstrap_voter(), self.is_healthy(), self.stable.version());
        self.on_promise(self.me, term, is_bootstrap_voter, is_healthy, None, version);
    }

    fn ask_for_promises(&mut self) {
        let Role::TakingOver(t) = &self.role else { return };
        let term = t.term;
        let mut all = self.electorate();
        if self.view.is_none() {
            all.extend(self.fresh_joiners().iter().filter(|j| !j.is_bootstrap_voter).map(|j| j.member));
        }
        let promised = t.votes();
        for member in all.iter().filter(|m| !promised.covers(m)) {
            self.send(member.address, Message::Prepare { term });
        }
    }

    pub(crate) fn on_promise(
        &mut self,
        from: Member,
        term: Term,
        is_bootstrap_voter: bool,
        is_healthy: bool,
        record: Option<EpochConfig>,
        version: Option<StateVersion>,
    ) {
        if let Some(record) = record {
            self.note_record(&record);
        }
        let Role::TakingOver(t) = &mut self.role else { return };
        if t.term == term && t.promises.len() < 64 && !t.promises.contains_key(&from.id) {
            let order = t.promises.len();
            t.promises.insert(
                from.id,
                Promised { member: from, is_bootstrap_voter, is_healthy, version, lacks_body: false, order },
            );
            self.weigh_promises();
        }
    }

    pub(crate) fn on_reject(&mut self, term: Term, promised: Term) {
        self.highest = self.highest.max(promised.number);
        match &mut self.role {
            Role::TakingOver(t) if t.term == term && promised > term => {
                let (decided, wish, tries) = (t.decided, t.wish.clone(), t.tries + 1);
                if decided.is_none() || tries > 3 {
                    return self.step_down();
                }
                // The others hear this primary still: nobody else will come for a while.
                self.start_take_over(decided, wish);
                if let Role::TakingOver(t) = &mut self.role {
                    t.tries = tries;
                }
            }
            Role::Primary(lead) if lead.term == term && promised > term => {
                lead.outbid.get_or_insert(self.now);
            }
            _ => {}
        }
    }

    /// The members of the record to be: `(previous, members)`.
    fn next_members(&self, t: &TakeOver, base: Option<&EpochConfig>) -> (Vec<Member>, Vec<Member>) {
        let Some(base) = base else { return self.first_members(t) };
        // Danger: members change only from a record that is known to be decided; any other may have to be completed.
        if t.decided != Some(base.term) {
            return (base.outgoing_members.clone(), base.members.clone());
        }
        let wish = t.wish.clone().filter(|_| !base.is_joint());
        (base.members.clone(), wish.unwrap_or_else(|| base.members.clone()))
    }

    /// The bootstrap voters decide by their addresses on the first members, those bootstrap voters that have told their numbers first.
    fn first_members(&self, t: &TakeOver) -> (Vec<Member>, Vec<Member>) {
        let slots: Vec<Member> =
            self.bootstrap_voters().unwrap_or_default().iter().map(|a| Member::bootstrap_voter(*a)).collect();
        let mut members = vec![self.me];
        let mut known: Vec<(bool, Member)> =
            self.fresh_joiners().iter().map(|j| (j.is_bootstrap_voter, j.member)).collect();
        known.extend(t.promises.values().map(|p| (p.is_bootstrap_voter, p.member)));
        known.sort_by_key(|(is_bootstrap_voter, member)| (!is_bootstrap_voter, *member));
        for (_, member) in known {
            let new = members.iter().all(|m| m.id != member.id && m.address != member.address);
            if new && members.len() < 2 * self.settings.max_failures + 1 {
                members.push(member);
            }
        }
        (slots, members)
    }

    /// With promises enough, takes the newest state.
    fn weigh_promises(&mut self) {
        let Role::TakingOver(t) = &self.role else { return };
        if t.phase != Phase::Prepare {
            return;
        }
        let votes = t.votes();
        let new_only = self.settings.has(InjectedFault::NewMembersOnly);
        // The highest record seen is as good as one accepted: somebody has proposed it.
        let base = self.view.clone().filter(|r| r.term < t.term);
        if base.as_ref().is_some_and(|r| r.member(self.me.id).is_none()) {
            return self.step_down();
        }
        let enough = match &base {
            Some(base) => votes.decide(base, new_only) && votes.hold_state(base),
            None => votes.majority(&self.electorate()),
        };
        if !enough {
            return;
        }
        let target = self.next_members(t, base.as_ref());
        let Some(order) = self.choose_backups(t, &target.1) else { return };
        let key = |v: &StateVersion| match self.settings.has(InjectedFault::NewestByRevision) {
            true => (Term::default(), v.revision, v.write_term, v.first_write_term),
            false => (v.write_term, v.revision, v.first_write_term, v.first_write_term),
        };
        let newest = t.promises.values().filter_map(|p| p.version).max_by_key(key);
        let own = [self.stable.state.as_ref(), self.committed.as_ref()];
        let state = match newest {
            // Only bootstrap voters start from nothing.
            None => base.is_none().then(ControlState::default),
            Some(newest) => own.into_iter().flatten().find(|s| s.version().same_body(&newest)).cloned(),
        };
        let now = self.now;
        let Role::TakingOver(t) = &mut self.role else { return };
        t.base = base.map(|b| b.term).unwrap_or_default();
        t.target = target;
        match (state, newest) {
            (Some(state), _) => self.stamp(state, order),
            (None, Some(version)) => {
                t.enter(Phase::FetchState { version, order }, now);
                self.fetch();
            }
            (None, None) => self.step_down(),
        }
    }

    /// Those that may be backups, best first; none if others are worth waiting for.
    fn choose_backups(&self, t: &TakeOver, members: &[Member]) -> Option<Vec<MemberId>> {
        let wanted = self.settings.max_failures;
        let own = self.stable.version();
        let mut able: Vec<(&MemberId, &Promised)> = t.promises.iter().collect();
        able.retain(|(id, _)| **id != self.me.id && members.iter().any(|m| m.id == **id));
        able.sort_by_key(|(_, p)| (!p.is_healthy, p.version.is_none() || p.version != own, p.order));
        let is_healthy = able.iter().filter(|(_, p)| p.is_healthy).count();
        let waited = self.now.saturating_sub(t.since) >= 200;
        let enough = is_healthy >= wanted || able.len() >= wanted && waited;
        enough.then(|| able.into_iter().map(|(id, _)| *id).collect())
    }

    fn fetch(&mut self) {
        if self.is_fetching() {
            return;
        }
        let Role::TakingOver(t) = &self.role else { return };
        let Phase::FetchState { version, .. } = t.phase else { return };
        let (term, now) = (t.term, self.now);
        let holders = t.promises.values().filter(|p| p.version.is_some_and(|v| v.same_body(&version)));
        let addresses: Vec<_> = holders.map(|p| p.member.address).collect();
        // One after the other: a state may be big.
        let turn = (now.saturating_sub(t.since) / self.settings.timings.state_resend_interval) as usize;
        if let Some(address) = addresses.get(turn % addresses.len().max(1)) {
            self.send(*address, Message::FetchState { term, version });
        }
    }

    /// Whether a state is the one that a take-over looks for.
    pub(crate) fn fetches(&self, term: Term, wanted: &StateVersion) -> bool {
        let Role::TakingOver(t) = &self.role else { return false };
        let Phase::FetchState { version, .. } = &t.phase else { return false };
        t.term == term && version.same_body(wanted)
    }

    /// A piece of the state that this take-over waits for has come or was asked for.
    pub(crate) fn take_over_progressed(&mut self, progressed: StateVersion) {
        let now = self.now;
        let Role::TakingOver(t) = &mut self.role else { return };
        let waits = match &t.phase {
            Phase::FetchState { version, .. } => version.same_body(&progressed),
            Phase::Stamp { state, .. } => state.version() == progressed,
            _ => false,
        };
        let bound = if self.settings.has(InjectedFault::IgnoreTransferProgress) { 0 } else { MOST_TRANSFER };
        if waits && now.saturating_sub(t.entered) < bound {
            t.since = now;
        }
    }

    pub(crate) fn on_fetched(&mut self, term: Term, state: ControlState) {
        let Role::TakingOver(t) = &self.role else { return };
        let Phase::FetchState { version, order } = &t.phase else { return };
        if t.term == term && state.version().same_body(version) {
            let order = order.clone();
            self.stamp(state, order);
        }
    }

    fn stamp(&mut self, state: ControlState, order: Vec<MemberId>) {
        let now = self.now;
        let skip = self.settings.has(InjectedFault::SkipRewriteUnderNewTerm);
        let wanted = self.settings.max_failures;
        let Role::TakingOver(t) = &mut self.role else { return };
        let state = state.stamped(t.term);
        let done = if skip { order.iter().take(wanted).copied().collect() } else { Vec::new() };
        let asked = wanted.min(order.len());
        t.enter(Phase::Stamp { state: state.clone(), order, asked, done, own: false }, now);
        let held = self.stable.version().is_some_and(|v| v.same_body(&state.version()));
        let effect = match held && self.may_refer() {
            true => Effect::RewriteUnderNewTerm(state.version()),
            false => Effect::ControlState(state),
        };
        self.write(effect, Some(self.me));
        if !skip {
            self.send_stamps(0);
        }
    }

    /// Sends the state to those that have not written it, from the given one on.
    fn send_stamps(&mut self, from: usize) {
        let Role::TakingOver(t) = &self.role else { return };
        let Phase::Stamp { state, order, asked, done, .. } = &t.phase else { return };
        let (state, version) = (state.clone(), state.version());
        // One that has not written the state may know it all the same: worth a question where it is large.
        let ask_first = state.body.len() > self.settings.chunk_sizes.large_state_bytes
            && !self.settings.has(InjectedFault::WholeStates);
        let mut targets = Vec::new();
        for id in order.iter().take(*asked).skip(from).filter(|id| !done.contains(id)) {
            let Some(p) = t.promises.get(id) else { continue };
            let holds = p.version.is_some_and(|v| v.same_body(&version));
            targets.push((p.member, !p.lacks_body && (holds || ask_first)));
        }
        for (member, restamp) in targets {
            match restamp {
                true => self.send(member.address, Message::RewriteUnderNewTerm { version }),
                false => self.send_state(member, StatePurpose::ReplicateState, state.clone()),
            }
        }
    }

    pub(crate) fn stamp_lacks_body(&mut self, from: Member, version: StateVersion) {
        let Role::TakingOver(t) = &mut self.role else { return };
        let Phase::Stamp { state, .. } = &t.phase else { return };
        if state.version() == version
            && let Some(p) = t.promises.get_mut(&from.id)
            && !std::mem::replace(&mut p.lacks_body, true)
        {
            let state = state.clone();
            self.send_state(from, StatePurpose::ReplicateState, state);
        }
    }

    /// A state with this term's stamp is on a disk.
    pub(crate) fn stamped_at(&mut self, id: MemberId, version: StateVersion) {
        let (me, wanted) = (self.me.id, self.settings.max_failures);
        let Role::TakingOver(t) = &mut self.role else { return };
        let Phase::Stamp { state, order, done, own, .. } = &mut t.phase else { return };
        if state.version() != version {
            return;
        }
        if id == me {
            *own = true;
        } else if order.contains(&id) && !done.contains(&id) {
            done.push(id);
        }
        if !*own || done.len() < wanted {
            return;
        }
        let (state, backups) = (state.clone(), done.iter().take(wanted).copied().collect());
        let (previous, members) = t.target.clone();
        let record = EpochConfig { term: t.term, outgoing_members: previous, members, primary: me, backups };
        self.note_record(&record);
        let now = self.now;
        let Role::TakingOver(t) = &mut self.role else { return };
        t.enter(Phase::Accept { record: record.clone(), state, votes: Votes::default(), own: false }, now);
        self.write(Effect::Accept(record), Some(self.me));
        self.send_accepts();
    }

    fn send_accepts(&mut self) {
        let Role::TakingOver(t) = &self.role else { return };
        let Phase::Accept { record, votes, .. } = &t.phase else { return };
        let record = record.clone();
        let missing: Vec<Member> = record.voters().into_iter().filter(|m| !votes.covers(m)).collect();
        for member in missing {
            self.send(member.address, Message::Accept { config: record.clone() });
        }
    }

    pub(crate) fn own_record_written(&mut self, term: Term) {
        if let Role::TakingOver(t) = &mut self.role
            && t.term == term
            && let Phase::Accept { own, .. } = &mut t.phase
        {
            *own = true;
            let is_bootstrap_voter = self.is_bootstrap_voter();
            self.on_accepted(self.me, term, is_bootstrap_voter);
        }
    }

    pub(crate) fn on_accepted(&mut self, from: Member, term: Term, is_bootstrap_voter: bool) {
        let new_only = self.settings.has(InjectedFault::NewMembersOnly);
        let Role::TakingOver(t) = &mut self.role else { return };
        let Phase::Accept { record, state, votes, own } = &mut t.phase else { return };
        if t.term != term {
            return;
        }
        votes.add(from, is_bootstrap_voter);
        if !*own || !votes.decide(record, new_only) {
            return;
        }
        let (record, state, since) = (record.clone(), state.clone(), t.since);
        let votes = votes.clone();
        let (renewal, continued) = (t.is_renewal(), t.decided == Some(t.base));
        self.settle_peers(&record, &votes, since, renewal);
        self.leader = Some(Leader::new(self.me, term, self.now));
        self.role = Role::Primary(Box::new(Lead::new(term, record, state.clone(), self.now)));
        self.touched = Some(since);
        self.handing = None;
        self.show(state);
        self.out.push(Output::BecamePrimary { term, continued });
        if !continued {
            self.refuse_unconfirmed();
        }
        self.settle_pending_write();
        self.send_heartbeats(true);
    }

    pub(crate) fn take_over_resend(&mut self, resend: u64, resend_state: u64) {
        let now = self.now;
        let Role::TakingOver(t) = &mut self.role else { return };
        let big = matches!(t.phase, Phase::FetchState { .. } | Phase::Stamp { .. });
        let pause = if big { resend_state } else { resend };
        let due = now.saturating_sub(t.sent) >= pause;
        if due {
            t.sent = now;
        }
        let waited = now.saturating_sub(t.since);
        match &mut t.phase {
            Phase::OwnPromise => {}
            Phase::Prepare => {
                if due {
                    self.ask_for_promises();
                }
                self.weigh_promises();
            }
            Phase::FetchState { .. } if due => self.fetch(),
            Phase::Stamp { order, asked, .. } => {
                // A backup that is slow gets company.
                let more = (self.settings.max_failures + (waited / 150) as usize).min(order.len());
                let first_new = *asked;
                if more > first_new {
                    *asked = more;
                    self.send_stamps(first_new);
                } else if due {
                    self.send_stamps(0);
                }
            }
            Phase::Accept { .. } if due => self.send_accepts(),
            _ => {}
        }
    }
}
