//! What was asked, answered and shown, and whether that breaks a rule.

use std::collections::{BTreeMap, BTreeSet};

use mosshead_consensus::{
    ClientReply, ControlState, DEDUPLICATION_WINDOW, MAX_BODY_BYTES, MemberId, RequestDigest, Term,
};

/// A machine and the life of its process.
pub(crate) type Incarnation = (usize, u64);

/// A digest that no other number has.
pub(crate) fn digest(number: u64) -> RequestDigest {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&number.to_le_bytes());
    RequestDigest(bytes)
}

#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub(crate) base: u64,
    pub(crate) revision: u64,
    pub(crate) digest: RequestDigest,
    pub(crate) body: Vec<u8>,
}

#[derive(Clone, Debug)]
pub(crate) enum Kind {
    Read,
    Change(Change),
}

#[derive(Clone, Debug)]
pub(crate) struct SentRequest {
    pub(crate) incarnation: Incarnation,
    pub(crate) at: u64,
    pub(crate) kind: Kind,
    acknowledged: u64,
}

#[derive(Default)]
pub(crate) struct Checker {
    pub(crate) requests: BTreeMap<u64, SentRequest>,
    open: BTreeSet<u64>,
    answered: BTreeMap<u64, ClientReply>,
    changes: BTreeMap<RequestDigest, Change>,
    stale: BTreeMap<RequestDigest, u64>,
    taken_on: BTreeMap<u64, RequestDigest>,
    committed: BTreeMap<u64, RequestDigest>,
    committed_on: BTreeMap<u64, RequestDigest>,
    shown: BTreeMap<Incarnation, u64>,
    primaries: BTreeMap<Term, (MemberId, Incarnation)>,
    /// The highest revision that was acknowledged.
    pub(crate) acknowledged: u64,
    /// When each revision became the highest that was acknowledged.
    acknowledgements: Vec<(u64, u64)>,
    /// The time of what is being written down.
    pub(crate) now: u64,
    newest: Option<Change>,
    pub(crate) taken: u64,
    pub(crate) violations: Vec<String>,
}

impl Checker {
    pub(crate) fn report_violation(&mut self, rule: &str, what: String) {
        self.violations.push(format!("{rule}: {what}"));
    }

    pub(crate) fn asked(&mut self, id: u64, incarnation: Incarnation, at: u64, kind: Kind) {
        if let Kind::Change(change) = &kind {
            self.changes.entry(change.digest).or_insert_with(|| change.clone());
        }
        self.open.insert(id);
        self.requests.insert(id, SentRequest { incarnation, at, kind, acknowledged: self.acknowledged });
    }

    pub(crate) fn open(&self) -> impl Iterator<Item = (&u64, &SentRequest)> {
        self.open.iter().filter_map(|id| self.requests.get_key_value(id))
    }

    /// Whether an ask to the process that a machine runs has no answer yet.
    pub(crate) fn is_open_at(&self, id: u64, machine: usize) -> bool {
        self.open.contains(&id) && self.requests.get(&id).is_some_and(|a| a.incarnation.0 == machine)
    }

    pub(crate) fn reply(&self, id: u64) -> Option<&ClientReply> {
        self.answered.get(&id)
    }

    /// The asks of a process that is gone get no answer.
    pub(crate) fn died(&mut self, incarnation: Incarnation) {
        let requests = &self.requests;
        self.open.retain(|id| requests.get(id).is_some_and(|a| a.incarnation != incarnation));
    }

    pub(crate) fn answer(&mut self, id: u64, incarnation: Incarnation, reply: ClientReply) {
        let Some(request) = self.requests.get(&id).cloned() else {
            return self
                .report_violation("one answer", format!("ask {id} was never asked at {incarnation:?}"));
        };
        if request.incarnation != incarnation || self.answered.contains_key(&id) {
            self.report_violation(
                "one answer",
                format!("ask {id} was answered again by {incarnation:?}: {reply:?}"),
            );
        }
        match (&request.kind, &reply) {
            (Kind::Change(change), ClientReply::ChangeCommitted { revision }) => {
                if *revision != change.revision {
                    self.report_violation("taken", format!("{change:?} as {revision}"));
                }
                self.taken(change);
            }
            (Kind::Change(change), ClientReply::Stale { current_revision: current }) => {
                if self.committed.get(&change.revision) == Some(&change.digest) {
                    self.report_violation(
                        "stale",
                        format!("{change:?} is committed, got stale by {current}"),
                    );
                }
                self.stale.insert(change.digest, *current);
            }
            (Kind::Change(change), ClientReply::Expired) => {
                // Only what so many others came after is forgotten.
                let later = self.committed.range(change.revision..).count();
                if later < DEDUPLICATION_WINDOW {
                    self.report_violation("forgotten", format!("{change:?} has {later} after it"));
                }
            }
            (Kind::Read, ClientReply::CurrentState { state }) => {
                if state.revision < request.acknowledged {
                    let acknowledged = request.acknowledged;
                    self.report_violation(
                        "lost",
                        format!("read {} though {acknowledged} was taken before", state.revision),
                    );
                }
                self.seen(state);
            }
            // Never taken: as a stale one it may not be committed later.
            (Kind::Change(change), ClientReply::TooLarge) if change.body.len() > MAX_BODY_BYTES => {
                self.stale.insert(change.digest, 0);
            }
            (_, ClientReply::NotPrimary { .. } | ClientReply::Unavailable) => {}
            (kind, reply) => self.report_violation("one answer", format!("{kind:?} got {reply:?}")),
        }
        self.open.remove(&id);
        self.answered.insert(id, reply);
    }

    fn taken(&mut self, change: &Change) {
        if self.stale.contains_key(&change.digest) {
            self.report_violation("stale", format!("{change:?} was stale and is taken"));
        }
        let first = *self.taken_on.entry(change.base).or_insert(change.digest);
        if first != change.digest {
            self.report_violation(
                "race",
                format!("two changes on {}: {first:?} and {:?}", change.base, change.digest),
            );
        }
        if self.committed.get(&change.revision) != Some(&change.digest) {
            self.report_violation("taken", format!("{change:?} is not committed"));
        }
        if change.revision >= self.acknowledged {
            self.acknowledged = change.revision;
            self.acknowledgements.push((self.now, change.revision));
            self.newest = Some(change.clone());
        }
        self.taken += 1;
    }

    /// A committed state, from wherever.
    fn seen(&mut self, state: &ControlState) {
        if state.revision == 0 {
            if !state.body.is_empty() || !state.applied_requests.is_empty() {
                self.report_violation("committed", format!("{state:?}"));
            }
            return;
        }
        let mut calls = state.applied_requests.iter().rev();
        let Some(last) = calls.next() else {
            return self.report_violation("committed", format!("{state:?} without its call"));
        };
        let Some(change) = self.changes.get(&last.digest).cloned() else {
            return self.report_violation("committed", format!("{state:?}, which nobody asked for"));
        };
        let base = calls.next().map_or(0, |c| c.revision);
        if change.revision != state.revision || change.body[..] != state.body[..] || change.base != base {
            self.report_violation("committed", format!("{change:?} became {state:?}"));
        }
        let first = *self.committed_on.entry(change.base).or_insert(change.digest);
        if first != change.digest {
            self.report_violation(
                "race",
                format!("two changes on {} committed: {first:?} and {:?}", change.base, change.digest),
            );
        }
        let newest = self.newest.clone().filter(|n| n.revision <= state.revision);
        if let Some(newest) = newest.filter(|n| state.applied_requests.iter().all(|c| c.digest != n.digest)) {
            self.report_violation(
                "lost",
                format!("{newest:?} was taken, and {} came without it", state.revision),
            );
        }
        if self.stale.contains_key(&change.digest) {
            self.report_violation("stale", format!("{change:?} was stale and is committed"));
        }
        let first = *self.committed.entry(change.revision).or_insert(change.digest);
        if first != change.digest {
            self.report_violation(
                "race",
                format!("revision {} is {first:?} and {:?}", change.revision, change.digest),
            );
        }
    }

    /// The highest revision that was acknowledged up to a time.
    fn acknowledged_by(&self, at: u64) -> u64 {
        let count = self.acknowledgements.partition_point(|(when, _)| *when <= at);
        count.checked_sub(1).map_or(0, |last| self.acknowledgements[last].1)
    }

    /// A process says that it is in touch: what it shows has all that was acknowledged before the bound.
    pub(crate) fn claimed_contact(&mut self, incarnation: Incarnation, shown: u64, bound: u64) {
        let wanted = self.now.checked_sub(bound + 1).map_or(0, |at| self.acknowledged_by(at));
        if shown < wanted {
            self.report_violation(
                "contact",
                format!("{incarnation:?} is in touch and shows {shown}; {wanted} is older than {bound} ms"),
            );
        }
    }

    pub(crate) fn shown(&mut self, incarnation: Incarnation, state: &ControlState) {
        self.seen(state);
        let last = self.shown.insert(incarnation, state.revision);
        if last.is_some_and(|last| last >= state.revision) {
            self.report_violation(
                "back",
                format!("{incarnation:?} showed {last:?}, then {}", state.revision),
            );
        }
    }

    /// Whether somebody has led under a ballot.
    pub(crate) fn was_led(&self, term: Term) -> bool {
        self.primaries.contains_key(&term)
    }

    pub(crate) fn primary(
        &mut self,
        member: MemberId,
        incarnation: Incarnation,
        term: Term,
        continued: bool,
    ) {
        if let Some(other) = self.primaries.get(&term) {
            let other = *other;
            self.report_violation("term", format!("{term:?} is led by {other:?} and {incarnation:?}"));
        }
        let below = self.primaries.range(..term).next_back().map(|(_, who)| *who);
        if continued && below != Some((member, incarnation)) {
            self.report_violation("term", format!("{incarnation:?} continued at {term:?} after {below:?}"));
        }
        if self.primaries.range(term..).any(|(_, who)| who.0 == member) {
            self.report_violation("term", format!("{member:?} went back to {term:?}"));
        }
        self.primaries.insert(term, (member, incarnation));
    }
}
