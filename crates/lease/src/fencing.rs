//! Fencing tokens and permits: they identify the holder of a role to the receivers of its acts, and limit how
//! long it may act.

use crate::instant::Instant;

/// Orders the holders of a role. Each act of a holder carries its token, and the receiver rejects an act
/// whose token is lower than the highest one it has seen.
///
/// Epochs are compared first, so that a store that has lost its state, or was restored from an older copy,
/// can be given a higher one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken {
    /// The epoch that operators have assigned to the store; 0 if they have not assigned one.
    pub epoch: u64,
    /// The store's revision, which increases with each of its changes.
    pub revision: u64,
}

/// The permission of the holder to act until an instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeasePermit {
    /// The token that must be sent with each act.
    pub token: FencingToken,
    /// The holder may begin an act only if it is certain that the act begins before this instant.
    pub valid_until: Instant,
}
