use rand_core::RngCore;

use crate::change::StateChange;
use crate::log::{Effect, LogRecord, Pending};
use crate::message::Message;
use crate::node::{Node, Role};
use crate::settings::InjectedFault;
use crate::transfer::StatePurpose;
use crate::types::{Ballot, Member, Record, State, Version};

impl<R: RngCore> Node<R> {
    pub(crate) fn is_founder(&self) -> bool {
        self.founders().is_some()
    }

    pub(crate) fn founders(&self) -> Option<&[core::net::SocketAddrV4]> {
        if self.settings.has(InjectedFault::AnyFounder) && self.settings.seeds.contains(&self.me.address) {
            return Some(&self.settings.seeds);
        }
        self.identity.founders.as_deref()
    }

    /// Whether a ballot may be taken. One that is refused is told what was promised.
    pub(crate) fn admit(&mut self, from: Member, ballot: Ballot) -> bool {
        self.highest = self.highest.max(ballot.round);
        if ballot < self.promised {
            self.send(from.address, Message::Reject { ballot, promised: self.promised });
        }
        // Danger: a ballot belongs to one disk; a write of another under it would be taken for its own.
        ballot >= self.promised && ballot.member == from.id && !self.writes.is_full()
    }

    fn raise_promise(&mut self, ballot: Ballot) {
        if ballot > self.promised {
            self.promised = ballot;
            self.outranked(ballot);
        }
    }

    pub(crate) fn on_prepare(&mut self, from: Member, ballot: Ballot) {
        if !self.admit(from, ballot) {
            return;
        }
        if ballot > self.promised {
            // From here on nothing lower is taken, also before the promise is on disk.
            self.raise_promise(ballot);
            self.election.quiet_until = self.now + self.settings.timings.suspect / 2;
            self.write(Effect::Promise(ballot), Some(from));
        } else if self.stable.promised == ballot {
            self.promise(from, ballot);
        }
    }

    fn promise(&mut self, to: Member, ballot: Ballot) {
        let promise = Message::Promise {
            ballot,
            founder: self.is_founder(),
            fit: self.is_fit(),
            record: self.view.clone(),
            version: self.stable.version(),
        };
        self.send(to.address, promise);
    }

    pub(crate) fn on_fetch(&mut self, from: Member, ballot: Ballot, version: Version) {
        let held = [self.stable.state.as_ref(), self.committed.as_ref()];
        let found = held.into_iter().flatten().find(|s| s.version().same_body(&version));
        if let Some(state) = found.map(|s| s.stamped(version.stamp)) {
            self.send_state(from, StatePurpose::Fetched { ballot }, state);
        }
    }

    pub(crate) fn on_replicate(&mut self, from: Member, state: State) {
        if !self.takes_state(from, &state.version()) {
            return;
        }
        self.write_replica(from, None, state);
    }

    /// Whether a state is to be written.
    fn takes_state(&mut self, from: Member, version: &Version) -> bool {
        let forgets = self.settings.has(InjectedFault::ForgetPromise) && version.stamp.member == from.id;
        (forgets || self.admit(from, version.stamp)) && !self.is_known(from, version)
    }

    pub(crate) fn on_replicate_change(&mut self, from: Member, change: StateChange) {
        let version = change.version();
        if !self.takes_state(from, &version) {
            return;
        }
        let pending = self.writes.queue.iter().rev().find_map(|w| w.effect.state());
        let state =
            pending.or(self.stable.state.as_ref()).and_then(|previous| self.changed(previous, &change));
        match state {
            Some(state) => self.write_replica(from, Some(change), state),
            None => self.send(from.address, Message::LacksBody { version }),
        }
    }

    fn changed(&self, previous: &State, change: &StateChange) -> Option<State> {
        match self.settings.has(InjectedFault::ChangeOnAnyState) {
            true => change.apply_to_any(previous),
            false => change.apply(previous),
        }
    }

    pub(crate) fn on_committed_changes(&mut self, changes: Vec<StateChange>) {
        if self.settings.has(InjectedFault::ChangeOnAnyState) {
            let last = changes
                .last()
                .filter(|c| self.committed.as_ref().is_some_and(|s| s.revision < c.call.revision));
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

    fn write_replica(&mut self, from: Member, change: Option<StateChange>, state: State) {
        if self.settings.has(InjectedFault::ShowUncommitted) {
            self.show(state.clone());
        }
        self.raise_promise(state.ballot);
        self.write_state(change, state, from);
    }

    /// Writes a state: only what changed where the state before it stands in the log for certain.
    pub(crate) fn write_state(&mut self, change: Option<StateChange>, state: State, to: Member) {
        let in_log =
            |change: &StateChange| self.stable.version().is_some_and(|v| v.same_body(&change.previous));
        let certain = self.may_refer() || self.settings.has(InjectedFault::ChangeOnUnsureState);
        let change = change.filter(|change| certain && in_log(change));
        let effect = match change {
            Some(change) => Effect::Change(change, state),
            None => Effect::State(state),
        };
        self.write(effect, Some(to));
    }

    /// Danger: whether a record may refer to the state on disk. One that is being written, or that failed and may
    /// stand in the log all the same, would come between.
    pub(crate) fn may_refer(&self) -> bool {
        !self.writes.body_unsure && !self.writes.has_state()
    }

    /// Answers what is on disk already; says whether it is, or is about to be, or an even newer one.
    pub(crate) fn is_known(&mut self, from: Member, version: &Version) -> bool {
        let pending = self.writes.queue.iter().any(|w| match &w.effect {
            Effect::State(state) | Effect::Change(_, state) => state.version() >= *version,
            Effect::Restamp(pending) => pending >= version,
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

    pub(crate) fn on_restamp(&mut self, from: Member, version: Version) {
        if !self.admit(from, version.stamp) || self.is_known(from, &version) {
            return;
        }
        let held = self.stable.state.as_ref().filter(|s| s.version().same_body(&version)).cloned();
        let shown = self.committed.as_ref().filter(|s| s.version().same_body(&version)).cloned();
        match (held, shown) {
            // What the record refers to has to stand before it in the log, for certain.
            (Some(_), _) if self.may_refer() => {
                self.raise_promise(version.stamp);
                self.write(Effect::Restamp(version), Some(from));
            }
            (Some(state), _) | (None, Some(state)) => {
                self.raise_promise(version.stamp);
                self.write(Effect::State(state.stamped(version.stamp)), Some(from));
            }
            (None, None) => self.send(from.address, Message::LacksBody { version }),
        }
    }

    pub(crate) fn on_accept(&mut self, from: Member, record: Record) {
        if record.primary != from.id || !self.admit(from, record.ballot) {
            return;
        }
        let ballot = record.ballot;
        self.note_record(&record);
        if self.stable.accepted_ballot() == ballot {
            self.accepted(from, ballot);
        } else if !self
            .writes
            .queue
            .iter()
            .any(|w| matches!(&w.effect, Effect::Accept(r) if r.ballot == ballot))
        {
            self.raise_promise(ballot);
            self.write(Effect::Accept(record), Some(from));
        }
    }

    fn accepted(&mut self, to: Member, ballot: Ballot) {
        let founder = self.is_founder();
        self.send(to.address, Message::Accepted { ballot, founder });
    }

    /// A write is on disk.
    pub(crate) fn written(&mut self, pending: Pending) {
        let record = match &pending.effect {
            // It was made when the change was queued.
            Effect::Change(_, state) => Some(LogRecord::State(state.clone())),
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
        if matches!(pending.effect, Effect::State(_)) {
            self.writes.body_unsure = false;
        }
        let Some(to) = pending.to else { return };
        if to.id == self.me.id {
            return self.own_written(pending.effect);
        }
        match pending.effect {
            // Promised higher meanwhile: the answer would be of no use.
            Effect::Promise(ballot) if self.promised == ballot => self.promise(to, ballot),
            Effect::Accept(record) => self.accepted(to, record.ballot),
            Effect::State(state) | Effect::Change(_, state) => {
                self.send(to.address, Message::Replicated { version: state.version() })
            }
            Effect::Restamp(version) => self.send(to.address, Message::Replicated { version }),
            _ => {}
        }
    }

    fn own_written(&mut self, effect: Effect) {
        match effect {
            Effect::Promise(ballot) => self.own_promise_written(ballot),
            Effect::State(state) | Effect::Change(_, state) => self.own_state_written(state.version()),
            Effect::Restamp(version) => self.own_state_written(version),
            Effect::Accept(record) => self.own_record_written(record.ballot),
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
