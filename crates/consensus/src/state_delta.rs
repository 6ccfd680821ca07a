//! A change of the state as its difference to the state before.

use minicbor::{Decode, Encode};

use crate::body_delta::BodyDelta;
use crate::control_state::{AppliedRequest, ControlState, StateVersion};
use crate::term::Term;

/// About the length of a delta without the delta of the body, in bytes.
const FIXED_BYTES: usize = 100;

/// A change of the state, for those that have the state before it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct StateDelta {
    /// The state before; its `write_term` does not matter.
    #[n(0)]
    pub previous: StateVersion,
    /// The term under which the change was written first.
    #[n(1)]
    pub term: Term,
    /// The request that made it.
    #[n(2)]
    pub request: AppliedRequest,
    /// Makes the new body of the one before.
    #[n(3)]
    pub delta: BodyDelta,
}

impl StateDelta {
    /// The delta from one state to the one right after it; none where the complete state is hardly longer than its delta, or
    /// where `next` is not the result of exactly one request to `previous`.
    pub fn between(previous: &ControlState, next: &ControlState) -> Option<StateDelta> {
        let request = *next.applied_requests.last()?;
        let is_next = previous.with_request_applied(next.write_term, request, next.body.clone()) == *next;
        let delta = BodyDelta::between(&previous.body, &next.body).filter(|_| is_next)?;
        Some(StateDelta { previous: previous.version(), term: next.write_term, request, delta })
    }

    /// The version of the state that it makes.
    pub fn version(&self) -> StateVersion {
        StateVersion { write_term: self.term, revision: self.request.revision, first_write_term: self.term }
    }

    /// The state after the change, if `previous` is the state before it.
    pub fn apply(&self, previous: &ControlState) -> Option<ControlState> {
        let is_next =
            previous.version().has_same_body(&self.previous) && self.request.revision > previous.revision;
        if is_next { self.apply_unchecked(previous) } else { None }
    }

    /// As [`StateDelta::apply`], but trusts that `previous` is the state before it.
    pub(crate) fn apply_unchecked(&self, previous: &ControlState) -> Option<ControlState> {
        let body = self.delta.apply(&previous.body)?;
        Some(previous.with_request_applied(self.term, self.request, body.into()))
    }

    /// About how many bytes it takes in a message.
    pub(crate) fn estimated_bytes(&self) -> usize {
        self.delta.len() + FIXED_BYTES
    }
}
