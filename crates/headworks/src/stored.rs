//! States as they are read from disks and messages, also those that older versions have written.

use minicbor::Decode;
use minicbor::bytes::ByteVec;

use crate::types::{Ballot, Call, REMEMBERED_CALLS, State};

/// A state as it is encoded. Fields that older versions did not write are optional.
#[derive(Decode)]
pub(crate) struct StoredState {
    #[n(0)]
    ballot: Ballot,
    #[n(1)]
    origin: Ballot,
    #[n(2)]
    revision: u64,
    #[n(3)]
    body: ByteVec,
    #[n(4)]
    taken: Vec<Call>,
    #[n(5)]
    forgotten: Option<u64>,
}

impl From<StoredState> for State {
    fn from(stored: StoredState) -> State {
        let forgotten = stored.forgotten.unwrap_or_else(|| floor_of(&stored.taken));
        State {
            ballot: stored.ballot,
            origin: stored.origin,
            revision: stored.revision,
            body: Vec::from(stored.body).into(),
            taken: stored.taken.into(),
            forgotten,
        }
    }
}

/// What a state without the field may have forgotten at most. Safe: revisions rise, so every call that was dropped lies
/// below the oldest one that is remembered, and none was dropped before the list was full.
fn floor_of(taken: &[Call]) -> u64 {
    match taken.first() {
        Some(oldest) if taken.len() >= REMEMBERED_CALLS => oldest.revision.saturating_sub(1),
        _ => 0,
    }
}
