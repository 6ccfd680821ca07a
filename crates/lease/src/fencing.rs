//! Under which number a holder acts, and until when it may.

use crate::instant::Instant;

/// Orders the holders of a role. Each act of a holder carries its token, and the receiver rejects an act whose token is lower
/// than the highest that it has seen.
///
/// Epochs are compared first, so that a store which has lost its state, or was restored from an older copy, can be given a
/// higher one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken {
    /// The epoch that operators have given the store; 0 where they have given it none.
    pub epoch: u64,
    /// The store's revision, which grows with each of its changes.
    pub revision: u64,
}

/// The right of the holder to act until an instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeasePermit {
    /// Has to be sent along with each act.
    pub token: FencingToken,
    /// An act that can't be shown to begin before this must not begin.
    pub valid_until: Instant,
}
