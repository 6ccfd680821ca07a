//! The receiving side of a transfer: assembles chunks into an offer.

use mosshead_consensus::checksum;

use super::chunk::{ChunkRequest, ConfigChunk};
use super::offer_message::{ConfigOfferMessage, max_packed_bytes};

/// The state of a transfer after a chunk.
#[derive(Clone, Debug, PartialEq)]
pub enum TransferProgress {
    /// More chunks are needed. Request the next one.
    Incomplete,
    /// The complete offer; its revision is 0 if the sender offers none.
    Complete(ConfigOfferMessage),
    /// The chunk does not continue the transfer, or the bytes don't decode to an offer.
    Corrupt,
}

/// The receiver's state of a transfer.
#[derive(Clone, Debug)]
pub struct IncomingTransfer {
    base_revision: u64,
    /// 0 before the first chunk.
    target_revision: u64,
    /// The length of the complete transfer in bytes, as given by the sender.
    length: usize,
    /// The checksum of the complete transfer; `None` before the first chunk, and from senders of an earlier release.
    checksum: Option<u64>,
    /// The bytes received so far; never longer than `length`.
    bytes: Vec<u8>,
}

impl IncomingTransfer {
    /// Begins a transfer to a receiver with this revision; 0 if it has none.
    pub fn new(base_revision: u64) -> IncomingTransfer {
        IncomingTransfer { base_revision, target_revision: 0, length: 0, checksum: None, bytes: Vec::new() }
    }

    /// The receiver's revision at the start of the transfer.
    pub fn base_revision(&self) -> u64 {
        self.base_revision
    }

    /// True if another sender may continue the transfer: the checksum shows whether it has the same one.
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

    /// Begins a transfer to the target of this chunk, which is the first one or comes from a sender that has another
    /// transfer. Returns false if the new transfer is too long.
    fn restart(&mut self, chunk: &ConfigChunk) -> bool {
        self.target_revision = chunk.target_revision;
        self.length = usize::try_from(chunk.length).unwrap_or(usize::MAX);
        self.checksum = chunk.checksum;
        self.bytes.clear();
        self.length <= max_packed_bytes()
    }
}
