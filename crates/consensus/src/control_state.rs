//! The replicated control state, its versions, and the deduplication of operators' requests.

use core::fmt;
use std::sync::Arc;

use minicbor::encode::{Error as EncodeError, Write};
use minicbor::{Decode, Encode, Encoder};

use crate::shared_bytes::encode_bytes;
use crate::term::Term;

/// The number of most recently applied requests that a state remembers.
pub const DEDUPLICATION_WINDOW: usize = 256;

/// Identifies a state. Of two states, the one with the higher version is the valid one; versions are compared by their
/// `write_term` first.
///
/// States with equal `revision` and `first_write_term` have the same body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct StateVersion {
    /// The term under which the state was last written; disks with the same body may have different ones.
    #[n(0)]
    pub write_term: Term,
    /// The number that the operator has assigned to the body; increases with each change.
    #[n(1)]
    pub revision: u64,
    /// The term under which this revision was written first.
    #[n(2)]
    pub first_write_term: Term,
}

impl StateVersion {
    /// Returns true if both versions have the same body; they may have been written under different terms.
    pub(crate) fn has_same_body(&self, other: &StateVersion) -> bool {
        self.revision == other.revision && self.first_write_term == other.first_write_term
    }
}

/// The SHA-256 of the complete content of an operator's request, which identifies the request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct RequestDigest(#[cbor(n(0), with = "minicbor::bytes")] pub [u8; 32]);

impl fmt::Debug for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// An operator's request that was applied, as remembered for deduplication.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct AppliedRequest {
    /// The revision of the resulting state.
    #[n(0)]
    pub revision: u64,
    /// The digest of the request.
    #[n(1)]
    pub digest: RequestDigest,
}

/// The status of an operator's request with respect to one state, before anything is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStatus {
    /// The same request has been applied.
    AlreadyApplied,
    /// The request builds on the current revision, and its own revision is higher.
    Acceptable,
    /// The request has not been applied and never will be.
    Stale,
    /// The request may have been applied, and its entry may have left the deduplication window since: the outcome is
    /// unknown.
    Expired,
}

/// The control state. Cheap to clone, since the body and the applied requests are shared.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Encode)]
pub struct ControlState {
    /// The term under which the state was last written.
    #[n(0)]
    pub write_term: Term,
    /// The term under which this revision was written first.
    #[n(1)]
    pub first_write_term: Term,
    /// The number that the operator has assigned to the body; increases with each change, zero before the first one.
    #[n(2)]
    pub revision: u64,
    /// The operator's configuration, opaque to this crate.
    #[cbor(n(3), encode_with = "encode_bytes")]
    pub body: Arc<[u8]>,
    /// The most recently applied requests, oldest first; at most [`DEDUPLICATION_WINDOW`].
    #[cbor(n(4), encode_with = "encode_applied_requests")]
    pub applied_requests: Arc<[AppliedRequest]>,
    /// The highest revision of an applied request that has left the deduplication window; zero if none has.
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

    /// The status of a request that builds on `base_revision`, provided that this is the newest state.
    pub fn classify_request(&self, base_revision: u64, request: AppliedRequest) -> RequestStatus {
        if self.has_applied(request) {
            RequestStatus::AlreadyApplied
        } else if base_revision == self.revision {
            // Not applied: otherwise the current revision would be higher than the base.
            if request.revision > base_revision { RequestStatus::Acceptable } else { RequestStatus::Stale }
        } else if request.revision <= base_revision || request.revision > self.highest_expired_revision {
            // Not applied: the revision of an applied request is higher than its base, and all applied requests above
            // `highest_expired_revision` are remembered.
            RequestStatus::Stale
        } else {
            RequestStatus::Expired
        }
    }

    /// The state that results from a request that replaces the body.
    pub fn with_request_applied(&self, term: Term, request: AppliedRequest, body: Arc<[u8]>) -> ControlState {
        let expired_count = (self.applied_requests.len() + 1).saturating_sub(DEDUPLICATION_WINDOW);
        let expired_revisions = self.applied_requests.iter().take(expired_count).map(|r| r.revision);
        let highest_expired_revision = expired_revisions.fold(self.highest_expired_revision, u64::max);
        let remembered = self.applied_requests.iter().skip(expired_count).copied();
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
    encoder: &mut Encoder<W>,
    context: &mut C,
) -> Result<(), EncodeError<W::Error>> {
    encoder.array(requests.len() as u64)?;
    for request in requests.iter() {
        request.encode(encoder, context)?;
    }
    Ok(())
}
