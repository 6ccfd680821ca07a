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
    /// The checksum of the transfer that these bytes are of; none at its start, and from a receiver of an earlier release.
    #[n(3)]
    pub checksum: Option<u64>,
}

impl ChunkRequest {
    /// The request of a receiver that has nothing of the transfer yet. `base_revision` is what it has in force; 0: nothing.
    pub fn first(base_revision: u64) -> ChunkRequest {
        ChunkRequest { base_revision, target_revision: 0, offset: 0, checksum: None }
    }
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
    /// The checksum of the complete transfer: transfers of several senders with the same one continue each other. None from
    /// a sender of an earlier release.
    #[n(4)]
    pub checksum: Option<u64>,
}

impl ConfigChunk {
    /// The sender has no configuration that it may hand out.
    pub fn withheld() -> ConfigChunk {
        ConfigChunk { target_revision: 0, length: 0, offset: 0, bytes: Vec::new().into(), checksum: None }
    }
}
