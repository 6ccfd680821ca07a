//! The delta between two consecutive control states.

use minicbor::{Decode, Encode};

use crate::body_delta::BodyDelta;
use crate::control_state::{AppliedRequest, ControlState, StateVersion};
use crate::term::Term;

/// The approximate length of an encoded delta without the delta of the body, in bytes.
const OVERHEAD_BYTES: usize = 100;

/// The delta from a state to the next one, for receivers that have the previous state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct StateDelta {
    /// The version of the previous state; its `write_term` is ignored.
    #[n(0)]
    pub previous: StateVersion,
    /// The term under which the next state was written first.
    #[n(1)]
    pub term: Term,
    /// The request that resulted in the next state.
    #[n(2)]
    pub request: AppliedRequest,
    /// The delta from the previous body to the next one.
    #[n(3)]
    pub delta: BodyDelta,
}

impl StateDelta {
    /// The delta from one state to the next. None if the delta would be little shorter than the complete body, or if
    /// `next` is not the result of applying exactly one request to `previous`.
    pub fn between(previous: &ControlState, next: &ControlState) -> Option<StateDelta> {
        let request = *next.applied_requests.last()?;
        let is_next = previous.with_request_applied(next.write_term, request, next.body.clone()) == *next;
        let delta = BodyDelta::between(&previous.body, &next.body).filter(|_| is_next)?;
        Some(StateDelta { previous: previous.version(), term: next.write_term, request, delta })
    }

    /// The version of the next state.
    pub fn version(&self) -> StateVersion {
        StateVersion { write_term: self.term, revision: self.request.revision, first_write_term: self.term }
    }

    /// Returns the next state; none if `previous` is not the state that the delta builds on.
    pub fn apply(&self, previous: &ControlState) -> Option<ControlState> {
        let is_next =
            previous.version().has_same_body(&self.previous) && self.request.revision > previous.revision;
        if is_next { self.apply_unchecked(previous) } else { None }
    }

    /// Like [`StateDelta::apply`], without checking that `previous` is the state that the delta builds on.
    pub(crate) fn apply_unchecked(&self, previous: &ControlState) -> Option<ControlState> {
        let body = self.delta.apply(&previous.body)?;
        Some(previous.with_request_applied(self.term, self.request, body.into()))
    }

    /// The approximate length in a message, in bytes.
    pub(crate) fn estimated_bytes(&self) -> usize {
        self.delta.len() + OVERHEAD_BYTES
    }
}
