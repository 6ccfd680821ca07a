//! The wire format of the chunks of a transfer, and of the requests for them.

use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};

/// The length in bytes of every chunk except the last of a transfer. It takes 52 ms on a link of 10 Mbit/s.
pub const CHUNK_BYTES: usize = 64 * 1024;

/// A request for one chunk of the transfer that updates a base revision to a target revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ChunkRequest {
    /// The revision that the receiver has; 0 if it has none.
    #[n(0)]
    pub base_revision: u64,
    /// The target revision; 0 requests a new transfer to the newest revision.
    #[n(1)]
    pub target_revision: u64,
    /// The number of bytes that the receiver already has.
    #[n(2)]
    pub offset: u64,
    /// The checksum of the complete transfer, as the sender gave it; `None` at the start of a transfer, and from
    /// receivers of an earlier release.
    #[n(3)]
    pub checksum: Option<u64>,
}

impl ChunkRequest {
    /// The first request of a transfer. `base_revision` is the receiver's active revision; 0 if it has none.
    pub fn first(base_revision: u64) -> ChunkRequest {
        ChunkRequest { base_revision, target_revision: 0, offset: 0, checksum: None }
    }
}

/// The response to a [`ChunkRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ConfigChunk {
    /// The target revision; 0 if the sender offers no configuration.
    #[n(0)]
    pub target_revision: u64,
    /// The length of the complete transfer in bytes.
    #[n(1)]
    pub length: u64,
    /// The offset of the chunk in the transfer, in bytes.
    #[n(2)]
    pub offset: u64,
    /// A part of the compressed offer; empty if the sender offers none, or if `offset` is the end of the transfer.
    #[n(3)]
    pub bytes: ByteVec,
    /// The checksum of the complete transfer. A receiver may continue a transfer with another sender that has the same
    /// checksum. `None` from senders of an earlier release.
    #[n(4)]
    pub checksum: Option<u64>,
}

impl ConfigChunk {
    /// The response of a sender that may not offer a configuration.
    pub fn withheld() -> ConfigChunk {
        ConfigChunk { target_revision: 0, length: 0, offset: 0, bytes: Vec::new().into(), checksum: None }
    }
}
