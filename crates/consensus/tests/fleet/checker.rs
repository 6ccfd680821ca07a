//! Records what was requested, replied and published, and checks it against the rules.

use std::collections::{BTreeMap, BTreeSet};

use mosshead_consensus::{
    ClientReply, ControlState, DEDUPLICATION_WINDOW, MAX_BODY_BYTES, MemberId, RequestDigest, Term,
};
use mosshead_time::{Duration, Instant};
use mosshead_virtual_fleet::{ProcessId, millis};

/// A digest that is unique to the number.
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
pub(crate) enum RequestKind {
    Read,
    Change(Change),
}

#[derive(Clone, Debug)]
pub(crate) struct SentRequest {
    pub(crate) process: ProcessId,
    pub(crate) sent_at: Instant,
    pub(crate) kind: RequestKind,
    /// The highest revision that was acknowledged when the request was sent.
    acknowledged: u64,
}

/// The primary of a term: a member, which is a disk, and its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Primary {
    member: MemberId,
    process: ProcessId,
}

#[derive(Default)]
pub(crate) struct Checker {
    requests: BTreeMap<u64, SentRequest>,
    open: BTreeSet<u64>,
    replies: BTreeMap<u64, ClientReply>,
    changes: BTreeMap<RequestDigest, Change>,
    /// The changes that were rejected as stale, each with the revision that was current.
    stale: BTreeMap<RequestDigest, u64>,
    /// The change that was accepted on each base, and the one that was committed on it.
    accepted_on: BTreeMap<u64, RequestDigest>,
    committed_on: BTreeMap<u64, RequestDigest>,
    committed: BTreeMap<u64, RequestDigest>,
    /// The newest revision that each process has published.
    published: BTreeMap<ProcessId, u64>,
    primaries: BTreeMap<Term, Primary>,
    /// The highest revision that was acknowledged.
    pub(crate) acknowledged: u64,
    /// When each revision became the highest that was acknowledged.
    acknowledgements: Vec<(Instant, u64)>,
    /// The time of the event that is being recorded.
    pub(crate) now: Instant,
    newest: Option<Change>,
    /// How often a change was acknowledged, repeats included.
    pub(crate) accepted_count: u64,
    pub(crate) violations: Vec<String>,
}

impl Checker {
    pub(crate) fn report_violation(&mut self, rule: &str, description: String) {
        self.violations.push(format!("{rule}: {description}"));
    }

    pub(crate) fn record_request(
        &mut self,
        id: u64,
        process: ProcessId,
        sent_at: Instant,
        kind: RequestKind,
    ) {
        if let RequestKind::Change(change) = &kind {
            self.changes.entry(change.digest).or_insert_with(|| change.clone());
        }
        self.open.insert(id);
        let acknowledged = self.acknowledged;
        self.requests.insert(id, SentRequest { process, sent_at, kind, acknowledged });
    }

    pub(crate) fn open_requests(&self) -> impl Iterator<Item = (&u64, &SentRequest)> {
        self.open.iter().filter_map(|id| self.requests.get_key_value(id))
    }

    /// Returns true if a request to the process that runs on the machine has no reply yet.
    pub(crate) fn is_open_at(&self, id: u64, machine: usize) -> bool {
        self.open.contains(&id)
            && self.requests.get(&id).is_some_and(|request| request.process.machine == machine)
    }

    pub(crate) fn reply(&self, id: u64) -> Option<&ClientReply> {
        self.replies.get(&id)
    }

    /// Closes the requests to a process that has ended; they get no reply.
    pub(crate) fn record_process_end(&mut self, process: ProcessId) {
        let requests = &self.requests;
        self.open.retain(|id| requests.get(id).is_some_and(|request| request.process != process));
    }

    pub(crate) fn record_reply(&mut self, id: u64, process: ProcessId, reply: ClientReply) {
        let Some(request) = self.requests.get(&id).cloned() else {
            return self
                .report_violation("single reply", format!("request {id} was never sent to {process:?}"));
        };
        if request.process != process || self.replies.contains_key(&id) {
            self.report_violation(
                "single reply",
                format!("request {id} has another reply from {process:?}: {reply:?}"),
            );
        }
        match &request.kind {
            RequestKind::Change(change) => self.check_change_reply(change, &reply),
            RequestKind::Read => self.check_read_reply(request.acknowledged, &reply),
        }
        self.open.remove(&id);
        self.replies.insert(id, reply);
    }

    fn check_change_reply(&mut self, change: &Change, reply: &ClientReply) {
        match reply {
            ClientReply::ChangeCommitted { revision } => {
                if *revision != change.revision {
                    self.report_violation("accepted", format!("{change:?} as {revision}"));
                }
                self.record_accepted(change);
            }
            ClientReply::Stale { current_revision } => {
                if self.committed.get(&change.revision) == Some(&change.digest) {
                    self.report_violation(
                        "rejected",
                        format!("{change:?} is committed, and is rejected by {current_revision}"),
                    );
                }
                self.stale.insert(change.digest, *current_revision);
            }
            ClientReply::Expired => {
                // A change may expire only after a full deduplication window of later ones.
                let later_count = self.committed.range(change.revision..).count();
                if later_count < DEDUPLICATION_WINDOW {
                    self.report_violation("expired", format!("{change:?} has {later_count} after it"));
                }
            }
            // Never accepted: like a stale one it must not be committed later.
            ClientReply::TooLarge if change.body.len() > MAX_BODY_BYTES => {
                self.stale.insert(change.digest, 0);
            }
            ClientReply::NotPrimary { .. } | ClientReply::Unavailable => {}
            reply => self.report_violation("single reply", format!("{change:?} got {reply:?}")),
        }
    }

    fn check_read_reply(&mut self, acknowledged: u64, reply: &ClientReply) {
        match reply {
            ClientReply::CurrentState { state } => {
                if state.revision < acknowledged {
                    self.report_violation(
                        "lost change",
                        format!("read {} though {acknowledged} was acknowledged before", state.revision),
                    );
                }
                self.check_committed_state(state);
            }
            ClientReply::NotPrimary { .. } | ClientReply::Unavailable => {}
            reply => self.report_violation("single reply", format!("a read got {reply:?}")),
        }
    }

    fn record_accepted(&mut self, change: &Change) {
        if self.stale.contains_key(&change.digest) {
            self.report_violation("rejected", format!("{change:?} was rejected, and is accepted"));
        }
        let first = *self.accepted_on.entry(change.base).or_insert(change.digest);
        if first != change.digest {
            self.report_violation(
                "conflict",
                format!("two changes are accepted on {}: {first:?} and {:?}", change.base, change.digest),
            );
        }
        if self.committed.get(&change.revision) != Some(&change.digest) {
            self.report_violation("accepted", format!("{change:?} is not committed"));
        }
        if change.revision >= self.acknowledged {
            self.acknowledged = change.revision;
            self.acknowledgements.push((self.now, change.revision));
            self.newest = Some(change.clone());
        }
        self.accepted_count += 1;
    }

    /// Checks a committed state, whichever node it comes from.
    fn check_committed_state(&mut self, state: &ControlState) {
        if state.revision == 0 {
            if !state.body.is_empty() || !state.applied_requests.is_empty() {
                self.report_violation("committed state", format!("{state:?}"));
            }
            return;
        }
        let mut requests = state.applied_requests.iter().rev();
        let Some(last) = requests.next() else {
            return self.report_violation("committed state", format!("{state:?} without its request"));
        };
        let Some(change) = self.changes.get(&last.digest).cloned() else {
            return self.report_violation("committed state", format!("{state:?}, which nobody requested"));
        };
        let base = requests.next().map_or(0, |request| request.revision);
        if change.revision != state.revision || change.body[..] != state.body[..] || change.base != base {
            self.report_violation("committed state", format!("{change:?} became {state:?}"));
        }
        self.check_no_change_is_lost(state);
        self.record_committed(&change);
    }

    fn check_no_change_is_lost(&mut self, state: &ControlState) {
        let Some(newest) = self.newest.as_ref().filter(|newest| newest.revision <= state.revision) else {
            return;
        };
        if state.applied_requests.iter().all(|request| request.digest != newest.digest) {
            let description = format!("{newest:?} was accepted, and {} is without it", state.revision);
            self.report_violation("lost change", description);
        }
    }

    fn record_committed(&mut self, change: &Change) {
        let first = *self.committed_on.entry(change.base).or_insert(change.digest);
        if first != change.digest {
            self.report_violation(
                "conflict",
                format!("two changes are committed on {}: {first:?} and {:?}", change.base, change.digest),
            );
        }
        if self.stale.contains_key(&change.digest) {
            self.report_violation("rejected", format!("{change:?} was rejected, and is committed"));
        }
        let first = *self.committed.entry(change.revision).or_insert(change.digest);
        if first != change.digest {
            self.report_violation(
                "conflict",
                format!("revision {} is {first:?} and {:?}", change.revision, change.digest),
            );
        }
    }

    /// The highest revision that was acknowledged up to an instant.
    fn acknowledged_by(&self, at: Instant) -> u64 {
        let count = self.acknowledgements.partition_point(|(when, _)| *when <= at);
        count.checked_sub(1).map_or(0, |last| self.acknowledgements[last].1)
    }

    /// Checks a process that reports contact with a quorum: the state that it shows must include all changes that were
    /// acknowledged longer ago than the bound.
    pub(crate) fn check_claimed_contact(&mut self, process: ProcessId, shown: u64, bound: Duration) {
        let wanted = self.acknowledged_by(self.now - (bound + millis(1)));
        if shown < wanted {
            self.report_violation(
                "quorum contact",
                format!("{process:?} has contact and shows {shown}; {wanted} is older than {bound:?}"),
            );
        }
    }

    pub(crate) fn record_published_state(&mut self, process: ProcessId, state: &ControlState) {
        self.check_committed_state(state);
        let last = self.published.insert(process, state.revision);
        if last.is_some_and(|last| last >= state.revision) {
            self.report_violation(
                "regression",
                format!("{process:?} published {last:?}, then {}", state.revision),
            );
        }
    }

    /// Returns true if a node has been primary under the term.
    pub(crate) fn had_primary(&self, term: Term) -> bool {
        self.primaries.contains_key(&term)
    }

    pub(crate) fn record_primary(
        &mut self,
        member: MemberId,
        process: ProcessId,
        term: Term,
        continued: bool,
    ) {
        if let Some(other) = self.primaries.get(&term) {
            let description = format!("{other:?} and {process:?} are primary under {term:?}");
            self.report_violation("term", description);
        }
        let below = self.primaries.range(..term).next_back().map(|(_, primary)| *primary);
        if continued && below != Some(Primary { member, process }) {
            self.report_violation("term", format!("{process:?} continued at {term:?} after {below:?}"));
        }
        if self.primaries.range(term..).any(|(_, other)| other.member == member) {
            self.report_violation("term", format!("{member:?} went back to {term:?}"));
        }
        self.primaries.insert(term, Primary { member, process });
    }
}
