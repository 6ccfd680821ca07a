//! Chunks of a transfer, and the requests for them.

use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};

/// The length of each chunk but the last of a transfer, in bytes: 52 ms on a link of 10 Mbit/s.
pub const CHUNK_BYTES: usize = 64 * 1024;

/// The request for a chunk of the transfer that leads from one configuration to a newer one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ChunkRequest {
    /// The revision that the receiver has; 0: none.
    #[n(0)]
    pub base_revision: u64,
    /// The revision that the transfer leads to; 0: the newest, from the start.
    #[n(1)]
    pub target_revision: u64,
    /// How many bytes of the transfer the receiver has.
    #[n(2)]
    pub offset: u64,
}

/// A chunk of a transfer.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ConfigChunk {
    /// The revision that the transfer leads to; 0: the sender offers none.
    #[n(0)]
    pub target_revision: u64,
    /// The length of the complete transfer in bytes.
    #[n(1)]
    pub length: u64,
    /// The offset of the chunk in the transfer, in bytes.
    #[n(2)]
    pub offset: u64,
    /// A part of the compressed offer; empty if the sender offers none, or `offset` is the end.
    #[n(3)]
    pub bytes: ByteVec,
}

impl ConfigChunk {
    /// The sender has no configuration that it may hand out.
    pub fn withheld() -> ConfigChunk {
        ConfigChunk { target_revision: 0, length: 0, offset: 0, bytes: Vec::new().into() }
    }
}
