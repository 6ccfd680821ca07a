use rand_core::RngCore;

use crate::control_state::{ControlState, EpochConfig, Member, StateVersion, Term};
use crate::durable_state::{Effect, LogRecord, Pending};
use crate::message::Message;
use crate::node::{Node, Role};
use crate::settings::InjectedFault;
use crate::snapshot_transfer::StatePurpose;
use crate::state_delta::StateDelta;

impl<R: RngCore> Node<R> {
    pub(crate) fn is_bootstrap_voter(&self) -> bool {
        self.bootstrap_voters().is_some()
    }

    pub(crate) fn bootstrap_voters(&self) -> Option<&[core::net::SocketAddrV4]> {
        if self.settings.has(InjectedFault::AnyBootstrapVoter)
            && self.settings.seeds.contains(&self.me.address)
        {
            return Some(&self.settings.seeds);
        }
        self.identity.bootstrap_voters.as_deref()
    }

    /// Whether a term may be taken. One that is refused is told what was promised.
    pub(crate) fn admit(&mut self, from: Member, term: Term) -> bool {
        self.highest = self.highest.max(term.number);
        if term < self.promised {
            self.send(from.address, Message::Reject { term, promised: self.promised });
        }
        // Danger: a term belongs to one disk; a write of another under it would be taken for its own.
        term >= self.promised && term.proposer == from.id && !self.writes.is_full()
    }

    fn raise_promise(&mut self, term: Term) {
        if term > self.promised {
            self.promised = term;
            self.outranked(term);
        }
    }

    pub(crate) fn on_prepare(&mut self, from: Member, term: Term) {
        if !self.admit(from, term) {
            return;
        }
        if term > self.promised {
            // From here on nothing lower is taken, also before the promise is on disk.
            self.raise_promise(term);
            self.election.quiet_until = self.now + self.settings.timings.suspicion_timeout / 2;
            self.write(Effect::Promise(term), Some(from));
        } else if self.stable.promised == term {
            self.promise(from, term);
        }
    }

    fn promise(&mut self, to: Member, term: Term) {
        let promise = Message::Promise {
            term,
            is_bootstrap_voter: self.is_bootstrap_voter(),
            is_healthy: self.is_healthy(),
            config: self.view.clone(),
            version: self.stable.version(),
        };
        self.send(to.address, promise);
    }

    pub(crate) fn on_fetch(&mut self, from: Member, term: Term, version: StateVersion) {
        let held = [self.stable.state.as_ref(), self.committed.as_ref()];
        let found = held.into_iter().flatten().find(|s| s.version().same_body(&version));
        if let Some(state) = found.map(|s| s.stamped(version.write_term)) {
            self.send_state(from, StatePurpose::FetchedState { term }, state);
        }
    }

    pub(crate) fn on_replicate(&mut self, from: Member, state: ControlState) {
        if !self.takes_state(from, &state.version()) {
            return;
        }
        self.write_replica(from, None, state);
    }

    /// Whether a state is to be written.
    fn takes_state(&mut self, from: Member, version: &StateVersion) -> bool {
        let forgets =
            self.settings.has(InjectedFault::ForgetPromise) && version.write_term.proposer == from.id;
        (forgets || self.admit(from, version.write_term)) && !self.is_known(from, version)
    }

    pub(crate) fn on_replicate_change(&mut self, from: Member, change: StateDelta) {
        let version = change.version();
        if !self.takes_state(from, &version) {
            return;
        }
        let pending = self.writes.queue.iter().rev().find_map(|w| w.effect.state());
        let state =
            pending.or(self.stable.state.as_ref()).and_then(|previous| self.changed(previous, &change));
        match state {
            Some(state) => self.write_replica(from, Some(change), state),
            None => self.send(from.address, Message::MissingBody { version }),
        }
    }

    fn changed(&self, previous: &ControlState, change: &StateDelta) -> Option<ControlState> {
        match self.settings.has(InjectedFault::ApplyDeltaToAnyState) {
            true => change.apply_to_any(previous),
            false => change.apply(previous),
        }
    }

    pub(crate) fn on_committed_changes(&mut self, changes: Vec<StateDelta>) {
        if self.settings.has(InjectedFault::ApplyDeltaToAnyState) {
            let last = changes
                .last()
                .filter(|c| self.committed.as_ref().is_some_and(|s| s.revision < c.request.revision));
            let state = last.and_then(|change| change.apply_to_any(self.committed.as_ref()?));
            return state.into_iter().for_each(|state| self.show(state));
        }
        for change in changes {
            self.early_changes.push(change);
        }
        // The state before a committed one was committed, too.
        let held = [self.stable.state.as_ref(), self.committed.as_ref()].into_iter().flatten();
        let advanced = held.map(|state| (state.revision, self.early_changes.advance(state.clone())));
        let newest = advanced.filter(|(held, state)| state.revision > *held).map(|(_, state)| state);
        if let Some(state) = newest.max_by_key(|state| state.revision) {
            self.show(state);
        }
    }

    fn write_replica(&mut self, from: Member, change: Option<StateDelta>, state: ControlState) {
        if self.settings.has(InjectedFault::PublishUncommitted) {
            self.show(state.clone());
        }
        self.raise_promise(state.write_term);
        self.write_state(change, state, from);
    }

    /// Writes a state: only what changed where the state before it stands in the log for certain.
    pub(crate) fn write_state(&mut self, change: Option<StateDelta>, state: ControlState, to: Member) {
        let in_log =
            |change: &StateDelta| self.stable.version().is_some_and(|v| v.same_body(&change.previous));
        let certain = self.may_refer() || self.settings.has(InjectedFault::WriteDeltaOnUncertainState);
        let change = change.filter(|change| certain && in_log(change));
        let effect = match change {
            Some(change) => Effect::Change(change, state),
            None => Effect::ControlState(state),
        };
        self.write(effect, Some(to));
    }

    /// Danger: whether a record may refer to the state on disk. One that is being written, or that failed and may
    /// stand in the log all the same, would come between.
    pub(crate) fn may_refer(&self) -> bool {
        !self.writes.body_unsure && !self.writes.has_state()
    }

    /// Answers what is on disk already; says whether it is, or is about to be, or an even newer one.
    pub(crate) fn is_known(&mut self, from: Member, version: &StateVersion) -> bool {
        let pending = self.writes.queue.iter().any(|w| match &w.effect {
            Effect::ControlState(state) | Effect::Change(_, state) => state.version() >= *version,
            Effect::RewriteUnderNewTerm(pending) => pending >= version,
            _ => false,
        });
        match self.stable.version() {
            Some(held) if held == *version => {
                self.send(from.address, Message::Replicated { version: *version });
                true
            }
            held => pending || held.is_some_and(|h| h > *version),
        }
    }

    pub(crate) fn on_restamp(&mut self, from: Member, version: StateVersion) {
        if !self.admit(from, version.write_term) || self.is_known(from, &version) {
            return;
        }
        let held = self.stable.state.as_ref().filter(|s| s.version().same_body(&version)).cloned();
        let shown = self.committed.as_ref().filter(|s| s.version().same_body(&version)).cloned();
        match (held, shown) {
            // What the record refers to has to stand before it in the log, for certain.
            (Some(_), _) if self.may_refer() => {
                self.raise_promise(version.write_term);
                self.write(Effect::RewriteUnderNewTerm(version), Some(from));
            }
            (Some(state), _) | (None, Some(state)) => {
                self.raise_promise(version.write_term);
                self.write(Effect::ControlState(state.stamped(version.write_term)), Some(from));
            }
            (None, None) => self.send(from.address, Message::MissingBody { version }),
        }
    }

    pub(crate) fn on_accept(&mut self, from: Member, record: EpochConfig) {
        if record.primary != from.id || !self.admit(from, record.term) {
            return;
        }
        let term = record.term;
        self.note_record(&record);
        if self.stable.accepted_ballot() == term {
            self.accepted(from, term);
        } else if !self.writes.queue.iter().any(|w| matches!(&w.effect, Effect::Accept(r) if r.term == term))
        {
            self.raise_promise(term);
            self.write(Effect::Accept(record), Some(from));
        }
    }

    fn accepted(&mut self, to: Member, term: Term) {
        let is_bootstrap_voter = self.is_bootstrap_voter();
        self.send(to.address, Message::Accepted { term, is_bootstrap_voter });
    }

    /// A write is on disk.
    pub(crate) fn written(&mut self, pending: Pending) {
        let record = match &pending.effect {
            // It was made when the change was queued.
            Effect::Change(_, state) => Some(LogRecord::ControlState(state.clone())),
            effect => effect.record(),
        };
        match record {
            Some(record) => {
                self.stable.apply(record);
            }
            None => {
                self.writes.log_bytes = self.writes.snapshot_bytes;
                self.writes.rebuilt_bytes = 0;
                self.writes.body_unsure = false;
            }
        }
        if matches!(pending.effect, Effect::ControlState(_)) {
            self.writes.body_unsure = false;
        }
        let Some(to) = pending.to else { return };
        if to.id == self.me.id {
            return self.own_written(pending.effect);
        }
        match pending.effect {
            // Promised higher meanwhile: the answer would be of no use.
            Effect::Promise(term) if self.promised == term => self.promise(to, term),
            Effect::Accept(record) => self.accepted(to, record.term),
            Effect::ControlState(state) | Effect::Change(_, state) => {
                self.send(to.address, Message::Replicated { version: state.version() })
            }
            Effect::RewriteUnderNewTerm(version) => self.send(to.address, Message::Replicated { version }),
            _ => {}
        }
    }

    fn own_written(&mut self, effect: Effect) {
        match effect {
            Effect::Promise(term) => self.own_promise_written(term),
            Effect::ControlState(state) | Effect::Change(_, state) => self.own_state_written(state.version()),
            Effect::RewriteUnderNewTerm(version) => self.own_state_written(version),
            Effect::Accept(record) => self.own_record_written(record.term),
            _ => {}
        }
    }

    /// A write was refused: it is on disk or not.
    pub(crate) fn write_failed(&mut self, pending: Pending) {
        self.writes.failed = Some(self.now);
        if pending.effect.state().is_some() {
            self.writes.body_unsure = true;
        }
        if pending.to.is_some_and(|to| to.id == self.me.id) {
            match self.role {
                Role::Primary(_) => self.resign(),
                _ => self.step_down(),
            }
        }
    }
}
