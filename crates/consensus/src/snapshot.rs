//! Large control states in chunks: what is offered, requested and sent. The snapshot that replaces the log of a disk
//! ([`crate::Node::snapshot`]) is another: it has the promise and the configurations besides, and never leaves its node.

use std::sync::Arc;

use minicbor::{Decode, Encode};

use crate::body_bytes::{decode_body, encode_body};
use crate::control_state::StateVersion;
use crate::term::Term;

/// What the receiver of a state is to do with it; the later ones are more urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum StatePurpose {
    /// It is committed: publish it.
    #[n(0)]
    CommittedState,
    /// Write it and respond by [`crate::Message::Replicated`].
    #[n(1)]
    ReplicateState,
    /// It was fetched for a take-over.
    #[n(2)]
    FetchedState {
        /// The term of the take-over.
        #[n(0)]
        term: Term,
    },
}

impl StatePurpose {
    pub(crate) fn is_committed(self) -> bool {
        self == StatePurpose::CommittedState
    }
}

/// A state that can be fetched in chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct SnapshotOffer {
    /// What the receiver is to do with the state.
    #[n(0)]
    pub purpose: StatePurpose,
    /// The version of the state.
    #[n(1)]
    pub version: StateVersion,
    /// The length of the encoded state, in bytes.
    #[n(2)]
    pub length: u64,
    /// The [`checksum`] of the encoded state.
    #[n(3)]
    pub checksum: u64,
}

/// A chunk of an encoded state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct SnapshotChunk {
    /// The version of the state.
    #[n(0)]
    pub version: StateVersion,
    /// The offset of its first byte within the encoded state.
    #[n(1)]
    pub offset: u64,
    /// Its bytes; at most [`ChunkSizes::chunk_bytes`] of the sender, never empty.
    #[cbor(n(2), encode_with = "encode_body", decode_with = "decode_body")]
    pub bytes: Arc<[u8]>,
}

/// From which length on states are sent in chunks, and how long those are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ChunkSizes {
    /// Bodies and deltas of more bytes than this are large.
    pub large_state_bytes: usize,
    /// The most bytes in a chunk.
    pub chunk_bytes: usize,
}

impl Default for ChunkSizes {
    fn default() -> ChunkSizes {
        ChunkSizes { large_state_bytes: 256 << 10, chunk_bytes: 256 << 10 }
    }
}

/// FNV-1a with 64 bits (<http://www.isthe.com/chongo/tech/comp/fnv/>): detects a state that was assembled wrongly.
pub fn checksum(bytes: &[u8]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    bytes.iter().fold(OFFSET_BASIS, |sum, byte| (sum ^ u64::from(*byte)).wrapping_mul(PRIME))
}
