//! A change of the state as its difference to the state before, and the latest of them.

use std::collections::VecDeque;

use minicbor::{Decode, Encode};

use crate::body_delta::BodyDelta;
use crate::control_state::{AppliedRequest, ControlState, StateVersion, Term};

/// A change of the state, for those that have the state before it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct StateDelta {
    /// The state before; its stamp does not matter.
    #[n(0)]
    pub previous: StateVersion,
    /// The term under which the change was written first.
    #[n(1)]
    pub term: Term,
    /// The call that made it.
    #[n(2)]
    pub request: AppliedRequest,
    /// What makes the new body of the one before.
    #[n(3)]
    pub delta: BodyDelta,
}

impl StateDelta {
    /// The change from one state to the one right after it; none where the whole state is no longer, or where the
    /// second is not the first after one call.
    pub fn between(previous: &ControlState, next: &ControlState) -> Option<StateDelta> {
        let call = *next.applied_requests.last()?;
        let followed = previous.with_request_applied(next.write_term, call, next.body.clone()) == *next;
        let delta = BodyDelta::between(&previous.body, &next.body).filter(|_| followed)?;
        Some(StateDelta { previous: previous.version(), term: next.write_term, request: call, delta })
    }

    /// Which state it makes.
    pub fn version(&self) -> StateVersion {
        StateVersion { write_term: self.term, revision: self.request.revision, first_write_term: self.term }
    }

    /// The state after the change, if this is the state before it.
    pub fn apply(&self, previous: &ControlState) -> Option<ControlState> {
        let follows =
            previous.version().same_body(&self.previous) && self.request.revision > previous.revision;
        if follows { self.apply_to_any(previous) } else { None }
    }

    /// As [`StateDelta::apply`], but trusts that this is the state before it.
    pub(crate) fn apply_to_any(&self, previous: &ControlState) -> Option<ControlState> {
        let body = self.delta.apply(&previous.body)?;
        Some(previous.with_request_applied(self.term, self.request, body.into()))
    }

    pub(crate) fn bytes(&self) -> usize {
        self.delta.len() + FIXED_BYTES
    }
}

/// What a change has beside its delta, about.
const FIXED_BYTES: usize = 100;
/// So many changes are kept at most.
pub(crate) const MOST_CHANGES: usize = 256;
/// So many bytes of changes are kept at most.
const MOST_BYTES: usize = 1 << 20;

/// The latest committed changes, one after the other without a gap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct RecentChanges {
    /// With the time at which each was committed.
    changes: VecDeque<(u64, StateDelta)>,
    bytes: usize,
}

impl RecentChanges {
    pub(crate) fn clear(&mut self) {
        self.changes.clear();
        self.bytes = 0;
    }

    /// Adds one; what it does not follow is forgotten.
    pub(crate) fn push(&mut self, now: u64, change: StateDelta) {
        let follows = self.changes.back().is_none_or(|(_, last)| change.previous.same_body(&last.version()));
        if !follows || change.bytes() > MOST_BYTES {
            self.clear();
        }
        self.bytes += change.bytes();
        self.changes.push_back((now, change));
        while self.changes.len() > MOST_CHANGES || self.bytes > MOST_BYTES {
            let Some((_, oldest)) = self.changes.pop_front() else { break };
            self.bytes = self.bytes.saturating_sub(oldest.bytes());
        }
    }

    /// The changes from a committed revision to the present state, oldest first; none if some are gone.
    pub(crate) fn since(&self, revision: u64, present: &ControlState) -> Option<Vec<StateDelta>> {
        self.changes.back().filter(|(_, last)| last.version().same_body(&present.version()))?;
        let first = self.changes.iter().position(|(_, change)| change.previous.revision == revision)?;
        Some(self.changes.iter().skip(first).map(|(_, change)| change.clone()).collect())
    }

    /// The revision that was committed at that time, given the present one.
    pub(crate) fn revision_at(&self, time: u64, present: u64) -> u64 {
        let later = self.changes.iter().find(|(at, _)| *at > time);
        later.map_or(present, |(_, change)| change.previous.revision)
    }
}

/// Committed changes whose previous state is not there yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct EarlyChanges {
    changes: VecDeque<StateDelta>,
    bytes: usize,
}

impl EarlyChanges {
    /// Keeps a change until its previous state comes; the oldest give way.
    pub(crate) fn push(&mut self, change: StateDelta) {
        if self.changes.iter().any(|known| known.version().same_body(&change.version())) {
            return;
        }
        self.bytes += change.bytes();
        self.changes.push_back(change);
        while self.changes.len() > MOST_CHANGES || self.bytes > MOST_BYTES {
            let Some(oldest) = self.changes.pop_front() else { break };
            self.bytes = self.bytes.saturating_sub(oldest.bytes());
        }
    }

    /// The newest state that the kept changes make of this one.
    pub(crate) fn advance(&self, mut state: ControlState) -> ControlState {
        while let Some(next) = self.changes.iter().find_map(|change| change.apply(&state)) {
            state = next;
        }
        state
    }

    /// Forgets what leads to a state that is known.
    pub(crate) fn forget_up_to(&mut self, revision: u64) {
        self.changes.retain(|change| change.request.revision > revision);
        self.bytes = self.changes.iter().map(StateDelta::bytes).sum();
    }
}
