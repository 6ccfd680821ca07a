//! Members and the terms that they propose.

use core::net::SocketAddrV4;

use minicbor::{Decode, Encode};

/// The random number that identifies a disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct MemberId(#[n(0)] pub u64);

impl MemberId {
    /// Stands for a bootstrap voter that is known by its address only.
    pub(crate) const UNKNOWN: MemberId = MemberId(0);
}

/// A disk and the internal address of its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Member {
    /// The disk.
    #[n(0)]
    pub id: MemberId,
    /// The internal address at which its process receives messages.
    #[n(1)]
    pub address: SocketAddrV4,
}

impl Member {
    /// A bootstrap voter whose disk is not known yet.
    pub(crate) fn bootstrap_voter(address: SocketAddrV4) -> Member {
        Member { id: MemberId::UNKNOWN, address }
    }
}

/// The number of an attempt to become primary; terms are ordered by number first.
///
/// A term belongs to one disk: no two members ever propose the same one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Term {
    /// Increases with every attempt.
    #[n(0)]
    pub number: u64,
    /// The member that attempts to become primary.
    #[n(1)]
    pub proposer: MemberId,
}

/// How many of the proposer's 64 bits are part of a fencing token; they are the highest ones.
const FENCING_PROPOSER_BITS: u32 = 20;
/// Higher term numbers are clamped to this one, so that a fencing token has no more than 52 bits.
const MAX_FENCING_NUMBER: u64 = (1 << 32) - 1;

impl Term {
    /// The fencing token of the primary of this term, by which others reject the orders of a former primary. It never
    /// decreases from one term to the next. No two primaries have the same one: a node promises a term only if its token
    /// is above that of the promised term. It is below 2^53, so that JSON numbers hold it exactly.
    pub fn fencing_token(&self) -> u64 {
        let proposer_bits = self.proposer.0 >> (u64::BITS - FENCING_PROPOSER_BITS);
        (self.number.min(MAX_FENCING_NUMBER) << FENCING_PROPOSER_BITS) | proposer_bits
    }
}
