//! States as they are read from disks and messages, also those that older versions have written.

use minicbor::bytes::ByteVec;
use minicbor::data::Type;
use minicbor::decode::Error;
use minicbor::{Decode, Decoder};

use crate::control_state::{AppliedRequest, ControlState, DEDUPLICATION_WINDOW, RequestDigest, Term};

/// A state as it is encoded. Fields that older versions did not write are optional.
#[derive(Decode)]
pub(crate) struct StoredState {
    #[n(0)]
    term: Term,
    #[n(1)]
    first_write_term: Term,
    #[n(2)]
    revision: u64,
    #[n(3)]
    body: ByteVec,
    #[n(4)]
    taken: Vec<StoredCall>,
    #[n(5)]
    highest_expired_revision: Option<u64>,
}

/// A call as it is encoded.
#[derive(Decode)]
struct StoredCall {
    #[n(0)]
    revision: u64,
    /// None where an older version wrote a digest of 64 bits: it tells nothing of calls that come now.
    #[cbor(n(1), decode_with = "decode_digest")]
    digest: Option<RequestDigest>,
}

fn decode_digest<C>(d: &mut Decoder<'_>, context: &mut C) -> Result<Option<RequestDigest>, Error> {
    if d.datatype()? == Type::Bytes {
        return RequestDigest::decode(d, context).map(Some);
    }
    d.u64()?;
    Ok(None)
}

impl From<StoredState> for ControlState {
    fn from(stored: StoredState) -> ControlState {
        let floor = stored.highest_expired_revision.unwrap_or_else(|| floor_of(&stored.taken));
        let without_digest = stored.taken.iter().filter(|call| call.digest.is_none());
        let highest_expired_revision = without_digest.map(|call| call.revision).fold(floor, u64::max);
        let call =
            |call: &StoredCall| call.digest.map(|digest| AppliedRequest { revision: call.revision, digest });
        ControlState {
            write_term: stored.term,
            first_write_term: stored.first_write_term,
            revision: stored.revision,
            body: Vec::from(stored.body).into(),
            applied_requests: stored.taken.iter().filter_map(call).collect(),
            highest_expired_revision,
        }
    }
}

/// What a state without the field may have forgotten at most. Safe: revisions rise, so every call that was dropped lies
/// below the oldest one that is remembered, and none was dropped before the list was full.
fn floor_of(taken: &[StoredCall]) -> u64 {
    match taken.first() {
        Some(oldest) if taken.len() >= DEDUPLICATION_WINDOW => oldest.revision.saturating_sub(1),
        _ => 0,
    }
}
