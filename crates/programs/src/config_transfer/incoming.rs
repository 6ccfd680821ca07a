//! The receiver's side of a transfer.

use mosshead_consensus::checksum;

use super::chunk::{ChunkRequest, ConfigChunk};
use super::offer_message::{ConfigOfferMessage, max_packed_bytes};

/// The state of a transfer after a chunk.
#[derive(Clone, Debug, PartialEq)]
pub enum TransferProgress {
    /// More chunks are needed.
    Incomplete,
    /// The offer was received completely; its revision is 0 if the sender offers none.
    Complete(ConfigOfferMessage),
    /// The chunks don't continue each other, or don't decode to an offer.
    Corrupt,
}

/// A transfer as its receiver knows it.
#[derive(Clone, Debug)]
pub struct IncomingTransfer {
    base_revision: u64,
    /// 0 before the first chunk.
    target_revision: u64,
    /// The length of the complete transfer as the sender gave it, in bytes.
    length: usize,
    /// The checksum of the complete transfer; none before the first chunk, and from a sender of an earlier release.
    checksum: Option<u64>,
    /// What was received; never longer than `length`.
    bytes: Vec<u8>,
}

impl IncomingTransfer {
    /// Begins a transfer to a receiver that has a revision (0: none).
    pub fn new(base_revision: u64) -> IncomingTransfer {
        IncomingTransfer { base_revision, target_revision: 0, length: 0, checksum: None, bytes: Vec::new() }
    }

    /// The revision that the receiver has had at its start.
    pub fn base_revision(&self) -> u64 {
        self.base_revision
    }

    /// Whether another sender may continue the transfer: it would notice that it sends another one.
    pub fn may_continue_elsewhere(&self) -> bool {
        self.checksum.is_some()
    }

    /// The request for the next chunk.
    pub fn next_request(&self) -> ChunkRequest {
        ChunkRequest {
            base_revision: self.base_revision,
            target_revision: self.target_revision,
            offset: self.bytes.len() as u64,
            checksum: self.checksum,
        }
    }

    /// Processes the response to [`next_request`](IncomingTransfer::next_request).
    pub fn on_chunk(&mut self, chunk: &ConfigChunk) -> TransferProgress {
        if chunk.target_revision == 0 {
            return TransferProgress::Complete(ConfigOfferMessage::withheld());
        }
        let is_other = chunk.target_revision != self.target_revision || chunk.checksum != self.checksum;
        if is_other && !self.restart(chunk) {
            return TransferProgress::Corrupt;
        }
        if !self.is_next(chunk) {
            return TransferProgress::Corrupt;
        }
        self.bytes.extend_from_slice(&chunk.bytes);
        if self.bytes.len() < self.length {
            return TransferProgress::Incomplete;
        }
        if self.checksum.is_some_and(|expected| expected != checksum(&self.bytes)) {
            return TransferProgress::Corrupt;
        }
        let offer =
            ConfigOfferMessage::unpack(&self.bytes).filter(|offer| offer.revision == self.target_revision);
        offer.map_or(TransferProgress::Corrupt, TransferProgress::Complete)
    }

    fn is_next(&self, chunk: &ConfigChunk) -> bool {
        chunk.offset == self.bytes.len() as u64
            && chunk.length == self.length as u64
            && !chunk.bytes.is_empty()
            && chunk.bytes.len() <= self.length.saturating_sub(self.bytes.len())
    }

    /// Begins the transfer to another target: this is the first chunk, or the sender has dropped the former transfer.
    /// False if the new one is too long.
    fn restart(&mut self, chunk: &ConfigChunk) -> bool {
        self.target_revision = chunk.target_revision;
        self.length = usize::try_from(chunk.length).unwrap_or(usize::MAX);
        self.checksum = chunk.checksum;
        self.bytes.clear();
        self.length <= max_packed_bytes()
    }
}
