//! The messages by which a large control state is transferred in chunks.
//!
//! Not to be confused with the snapshot that replaces the log of a disk ([`crate::Node::snapshot`]), which also
//! contains the promise and the configurations, and is never sent to another node.

use std::sync::Arc;

use minicbor::{Decode, Encode};

use crate::control_state::StateVersion;
use crate::shared_bytes::{decode_bytes, encode_bytes};
use crate::term::Term;

/// What a state is sent for, in increasing order of urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum StatePurpose {
    /// The state is committed: the receiver publishes it.
    #[n(0)]
    CommittedState,
    /// The receiver writes the state and responds with [`crate::Message::Replicated`].
    #[n(1)]
    ReplicateState,
    /// The receiver has requested the state for its take-over.
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

/// The offer of a state that the receiver can fetch in chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct SnapshotOffer {
    /// What the state is sent for.
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
    /// The offset of the chunk within the encoded state, in bytes.
    #[n(1)]
    pub offset: u64,
    /// The content; not empty, and at most [`ChunkSizes::chunk_bytes`] of the sender.
    #[cbor(n(2), encode_with = "encode_bytes", decode_with = "decode_bytes")]
    pub bytes: Arc<[u8]>,
}

/// The size above which states are sent in chunks, and the size of a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ChunkSizes {
    /// Bodies and deltas of more bytes than this are large: a state with a large body is sent in chunks, and a large
    /// delta is replaced by the complete state.
    pub large_state_bytes: usize,
    /// The maximum length of a chunk, in bytes.
    pub chunk_bytes: usize,
}

impl Default for ChunkSizes {
    fn default() -> ChunkSizes {
        ChunkSizes { large_state_bytes: 256 << 10, chunk_bytes: 256 << 10 }
    }
}

/// The 64-bit FNV-1a hash (<http://www.isthe.com/chongo/tech/comp/fnv/>). Detects a state that was assembled
/// incorrectly.
pub fn checksum(bytes: &[u8]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    bytes.iter().fold(OFFSET_BASIS, |sum, byte| (sum ^ u64::from(*byte)).wrapping_mul(PRIME))
}
