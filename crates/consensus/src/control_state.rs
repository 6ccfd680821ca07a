//! The replicated control state, its versions, and the requests that it remembers.

use core::fmt;
use std::sync::Arc;

use minicbor::encode::{Error as EncodeError, Write};
use minicbor::{Decode, Encode, Encoder};

use crate::body_bytes::encode_body;
use crate::term::Term;

/// How many of the latest applied requests a state remembers.
pub const DEDUPLICATION_WINDOW: usize = 256;

/// Identifies a state. Of two states, the one with the higher version is in force.
///
/// Exactly one body belongs to each pair of `revision` and `first_write_term`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct StateVersion {
    /// The term under which it was written here last.
    #[n(0)]
    pub write_term: Term,
    /// The number that the operator has given to the body; rises with each change.
    #[n(1)]
    pub revision: u64,
    /// The term under which it was written first.
    #[n(2)]
    pub first_write_term: Term,
}

impl StateVersion {
    /// Whether both are versions of one change, maybe written under different terms.
    pub(crate) fn has_same_body(&self, other: &StateVersion) -> bool {
        self.revision == other.revision && self.first_write_term == other.first_write_term
    }
}

/// Distinguishes an operator's request from every other one: the SHA-256 of its complete content.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct RequestDigest(#[cbor(n(0), with = "minicbor::bytes")] pub [u8; 32]);

impl fmt::Debug for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// An operator's request that was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct AppliedRequest {
    /// The revision that it made.
    #[n(0)]
    pub revision: u64,
    /// The digest of the request.
    #[n(1)]
    pub digest: RequestDigest,
}

/// The status of an operator's request by one state, before anything is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStatus {
    /// Exactly this request was applied.
    AlreadyApplied,
    /// It builds on the current revision and its own revision is higher.
    Acceptable,
    /// It was never applied, and never will be.
    Stale,
    /// It is so old that it can't be distinguished from an applied request that left the deduplication window: it may have
    /// been applied or not.
    Expired,
}

/// The control state. Cheap to clone: the long parts are shared.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Encode)]
pub struct ControlState {
    /// The term under which it was written.
    #[n(0)]
    pub write_term: Term,
    /// The term under which this revision was written first.
    #[n(1)]
    pub first_write_term: Term,
    /// The number that the operator has given to the body; rises with each change, zero before the first one.
    #[n(2)]
    pub revision: u64,
    /// What the operator wrote, opaque here.
    #[cbor(n(3), encode_with = "encode_body")]
    pub body: Arc<[u8]>,
    /// The latest applied requests, oldest first; at most [`DEDUPLICATION_WINDOW`].
    #[cbor(n(4), encode_with = "encode_applied_requests")]
    pub applied_requests: Arc<[AppliedRequest]>,
    /// The highest revision whose request was applied and left the window; zero while all are remembered.
    #[n(5)]
    pub highest_expired_revision: u64,
}

impl ControlState {
    /// The version of this state.
    pub fn version(&self) -> StateVersion {
        StateVersion {
            write_term: self.write_term,
            revision: self.revision,
            first_write_term: self.first_write_term,
        }
    }

    /// The same state, written under another term.
    pub(crate) fn rewritten_under(&self, term: Term) -> ControlState {
        ControlState { write_term: term, ..self.clone() }
    }

    pub(crate) fn has_applied(&self, request: AppliedRequest) -> bool {
        self.applied_requests.contains(&request)
    }

    /// The status of a request that builds on `base_revision`, if this state is the newest one.
    pub fn classify_request(&self, base_revision: u64, request: AppliedRequest) -> RequestStatus {
        if self.has_applied(request) {
            RequestStatus::AlreadyApplied
        } else if base_revision == self.revision {
            // Had it been applied on this base, another revision would be current.
            if request.revision > base_revision { RequestStatus::Acceptable } else { RequestStatus::Stale }
        } else if request.revision <= base_revision || request.revision > self.highest_expired_revision {
            // The revision of an applied request is above its base, and all above the expired ones are remembered.
            RequestStatus::Stale
        } else {
            RequestStatus::Expired
        }
    }

    /// The state after a request that replaces the body.
    pub fn with_request_applied(&self, term: Term, request: AppliedRequest, body: Arc<[u8]>) -> ControlState {
        let dropped = (self.applied_requests.len() + 1).saturating_sub(DEDUPLICATION_WINDOW);
        let dropped_revisions = self.applied_requests.iter().take(dropped).map(|r| r.revision);
        let highest_expired_revision = dropped_revisions.fold(self.highest_expired_revision, u64::max);
        let remembered = self.applied_requests.iter().skip(dropped).copied();
        ControlState {
            write_term: term,
            first_write_term: term,
            revision: request.revision,
            body,
            applied_requests: remembered.chain([request]).collect(),
            highest_expired_revision,
        }
    }

    pub(crate) fn is_within_bounds(&self) -> bool {
        self.applied_requests.len() <= DEDUPLICATION_WINDOW
    }
}

fn encode_applied_requests<C, W: Write>(
    requests: &Arc<[AppliedRequest]>,
    e: &mut Encoder<W>,
    context: &mut C,
) -> Result<(), EncodeError<W::Error>> {
    e.array(requests.len() as u64)?;
    for request in requests.iter() {
        request.encode(e, context)?;
    }
    Ok(())
}
