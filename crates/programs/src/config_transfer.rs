//! The configuration on its way to a proxy: packed, and in pieces that the receiver asks for one after the other.
//!
//! A configuration that grows by thousands of routes is larger than a slow link carries within the deadline of one call.
//! Each piece has a deadline of its own, so a transfer ends only where the sender does. No I/O, no clock.

use std::collections::VecDeque;
use std::sync::Arc;

use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};

use crate::calls::ConfigUpdate;

/// The length of a piece, in bytes: 52 ms on a link of 10 Mbit/s.
pub const CHUNK_BYTES: usize = 64 * 1024;
/// The longest answer that is unpacked, in bytes.
pub const MAX_UNPACKED_BYTES: usize = 10 * 1024 * 1024;
/// The bytes before a packed answer that tell its length.
const LENGTH_BYTES: usize = 4;
/// Transfers that a sender keeps, and their length together in bytes.
const MAX_OUTGOING: usize = 16;
const MAX_OUTGOING_BYTES: usize = 8 * 1024 * 1024;

/// ClientRequests for a piece of the way from one configuration to a newer one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ChunkRequest {
    /// The revision that the receiver has; 0: nothing.
    #[n(0)]
    pub have: u64,
    /// The revision that the transfer leads to; 0: the newest, from the start.
    #[n(1)]
    pub target: u64,
    /// How many bytes of it the receiver has.
    #[n(2)]
    pub offset: u64,
}

/// A piece of a transfer.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ConfigChunk {
    /// The revision that the transfer leads to; 0: the sender offers none.
    #[n(0)]
    pub target: u64,
    /// The length of the whole transfer.
    #[n(1)]
    pub length: u64,
    /// Where the piece begins.
    #[n(2)]
    pub offset: u64,
    /// Its bytes.
    #[n(3)]
    pub bytes: ByteVec,
}

impl ConfigChunk {
    /// Says that nothing is offered.
    pub fn withheld() -> ConfigChunk {
        ConfigChunk { target: 0, length: 0, offset: 0, bytes: Vec::new().into() }
    }
}

struct Outgoing {
    have: u64,
    target: u64,
    packed: Arc<[u8]>,
}

/// What a sender keeps of the transfers under way: all receivers with the same configuration share one.
#[derive(Default)]
pub struct OutgoingTransfers {
    kept: VecDeque<Outgoing>,
}

impl OutgoingTransfers {
    /// Answers a request. `offer` makes the whole answer for what the receiver has, at the newest revision.
    pub fn piece(
        &mut self,
        request: ChunkRequest,
        newest: u64,
        offer: impl FnOnce() -> ConfigUpdate,
    ) -> ConfigChunk {
        if let Some(packed) = self.find(request.have, request.target) {
            return cut(request.target, &packed, request.offset);
        }
        if let Some(packed) = self.find(request.have, newest) {
            return cut(newest, &packed, 0);
        }
        let fetched = offer();
        let Some(packed) = pack(&fetched).filter(|_| fetched.revision > 0) else {
            return ConfigChunk::withheld();
        };
        let packed: Arc<[u8]> = packed.into();
        self.keep(Outgoing { have: request.have, target: fetched.revision, packed: packed.clone() });
        cut(fetched.revision, &packed, 0)
    }

    fn find(&self, have: u64, target: u64) -> Option<Arc<[u8]>> {
        let same = |outgoing: &&Outgoing| outgoing.have == have && outgoing.target == target;
        self.kept.iter().find(same).map(|outgoing| outgoing.packed.clone())
    }

    fn keep(&mut self, outgoing: Outgoing) {
        self.kept.push_back(outgoing);
        while self.kept.len() > MAX_OUTGOING || self.bytes() > MAX_OUTGOING_BYTES && self.kept.len() > 1 {
            self.kept.pop_front();
        }
    }

    fn bytes(&self) -> usize {
        self.kept.iter().map(|outgoing| outgoing.packed.len()).sum()
    }
}

fn cut(target: u64, packed: &[u8], offset: u64) -> ConfigChunk {
    let start = usize::try_from(offset).unwrap_or(usize::MAX).min(packed.len());
    let end = start.saturating_add(CHUNK_BYTES).min(packed.len());
    let bytes = packed.get(start..end).unwrap_or_default().to_vec();
    ConfigChunk { target, length: packed.len() as u64, offset: start as u64, bytes: bytes.into() }
}

fn pack(fetched: &ConfigUpdate) -> Option<Vec<u8>> {
    let encoded = minicbor::to_vec(fetched).ok()?;
    let fits = encoded.len() <= MAX_UNPACKED_BYTES;
    fits.then(|| lz4_flex::compress_prepend_size(&encoded))
}

fn unpack(packed: &[u8]) -> Option<ConfigUpdate> {
    let length = packed.get(..LENGTH_BYTES)?.try_into().map(u32::from_le_bytes).ok()?;
    // Danger: the length is the sender's word; room is made for it before a byte is unpacked.
    if length as usize > MAX_UNPACKED_BYTES {
        return None;
    }
    let encoded = lz4_flex::decompress_size_prepended(packed).ok()?;
    minicbor::decode(&encoded).ok()
}

/// What comes of a piece.
#[derive(Clone, Debug, PartialEq)]
pub enum TransferProgress {
    /// Ask for the next one.
    More,
    /// The whole answer is there.
    Complete(ConfigUpdate),
    /// The pieces don't make an answer.
    Broken,
}

/// A transfer as its receiver knows it.
#[derive(Clone, Debug)]
pub struct IncomingTransfer {
    have: u64,
    target: u64,
    length: usize,
    bytes: Vec<u8>,
}

impl IncomingTransfer {
    /// Nothing has come yet.
    pub fn new(have: u64) -> IncomingTransfer {
        IncomingTransfer { have, target: 0, length: 0, bytes: Vec::new() }
    }

    /// What to ask for next.
    pub fn request(&self) -> ChunkRequest {
        ChunkRequest { have: self.have, target: self.target, offset: self.bytes.len() as u64 }
    }

    /// Takes a piece in.
    pub fn take(&mut self, piece: &ConfigChunk) -> TransferProgress {
        if piece.target == 0 {
            let nothing = ConfigUpdate { revision: 0, patches: Vec::new(), whole: None };
            return TransferProgress::Complete(nothing);
        }
        if piece.target != self.target && !self.begin(piece) {
            return TransferProgress::Broken;
        }
        let fits = piece.offset == self.bytes.len() as u64
            && piece.length == self.length as u64
            && !piece.bytes.is_empty()
            && piece.bytes.len() <= self.length.saturating_sub(self.bytes.len());
        if !fits {
            return TransferProgress::Broken;
        }
        self.bytes.extend_from_slice(&piece.bytes);
        if self.bytes.len() < self.length {
            return TransferProgress::More;
        }
        let fetched = unpack(&self.bytes).filter(|fetched| fetched.revision == self.target);
        fetched.map_or(TransferProgress::Broken, TransferProgress::Complete)
    }

    /// The sender has no more of the transfer before, or this is the first one.
    fn begin(&mut self, piece: &ConfigChunk) -> bool {
        let length = usize::try_from(piece.length).unwrap_or(usize::MAX);
        self.target = piece.target;
        self.length = length;
        self.bytes.clear();
        length <= lz4_flex::block::get_maximum_output_size(MAX_UNPACKED_BYTES) + LENGTH_BYTES
    }
}
