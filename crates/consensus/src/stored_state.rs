//! Decoding of control states from disks and messages, including those written by older versions.

use minicbor::bytes::ByteVec;
use minicbor::data::Type;
use minicbor::decode::Error;
use minicbor::{Decode, Decoder};

use crate::control_state::{AppliedRequest, ControlState, DEDUPLICATION_WINDOW, RequestDigest};
use crate::term::Term;

/// The encoding of a state. Fields that older versions did not write are optional.
#[derive(Decode)]
struct StoredState {
    #[n(0)]
    write_term: Term,
    #[n(1)]
    first_write_term: Term,
    #[n(2)]
    revision: u64,
    #[n(3)]
    body: ByteVec,
    #[n(4)]
    applied_requests: Vec<StoredRequest>,
    #[n(5)]
    highest_expired_revision: Option<u64>,
}

/// The encoding of an applied request.
#[derive(Decode)]
struct StoredRequest {
    #[n(0)]
    revision: u64,
    /// None if an older version wrote a digest of 64 bits, which can't be compared with the present digests.
    #[cbor(n(1), decode_with = "decode_digest")]
    digest: Option<RequestDigest>,
}

fn decode_digest<C>(decoder: &mut Decoder<'_>, context: &mut C) -> Result<Option<RequestDigest>, Error> {
    if decoder.datatype()? == Type::Bytes {
        return RequestDigest::decode(decoder, context).map(Some);
    }
    decoder.u64()?;
    Ok(None)
}

impl From<StoredState> for ControlState {
    fn from(stored: StoredState) -> ControlState {
        let requests = &stored.applied_requests;
        let expired =
            stored.highest_expired_revision.unwrap_or_else(|| infer_highest_expired_revision(requests));
        let without_digest = requests.iter().filter(|request| request.digest.is_none());
        let highest_expired_revision = without_digest.map(|request| request.revision).fold(expired, u64::max);
        let with_digest = |request: &StoredRequest| {
            request.digest.map(|digest| AppliedRequest { revision: request.revision, digest })
        };
        ControlState {
            write_term: stored.write_term,
            first_write_term: stored.first_write_term,
            revision: stored.revision,
            applied_requests: requests.iter().filter_map(with_digest).collect(),
            body: Vec::from(stored.body).into(),
            highest_expired_revision,
        }
    }
}

/// The upper bound of `highest_expired_revision` for a state without this field. Revisions increase, so every expired
/// request has a lower revision than the oldest remembered one, and no request expires before the window is full.
fn infer_highest_expired_revision(requests: &[StoredRequest]) -> u64 {
    match requests.first() {
        Some(oldest) if requests.len() >= DEDUPLICATION_WINDOW => oldest.revision.saturating_sub(1),
        _ => 0,
    }
}

impl<'b, C> Decode<'b, C> for ControlState {
    fn decode(decoder: &mut Decoder<'b>, context: &mut C) -> Result<ControlState, Error> {
        StoredState::decode(decoder, context).map(ControlState::from)
    }
}
