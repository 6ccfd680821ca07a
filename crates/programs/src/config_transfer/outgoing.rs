//! The sending side of transfers: packs offers, and cuts them into chunks.

use std::collections::VecDeque;
use std::sync::Arc;

use mosshead_consensus::checksum;

use super::chunk::{CHUNK_BYTES, ChunkRequest, ConfigChunk};
use super::offer_message::ConfigOfferMessage;

/// The maximum number of transfers that a sender keeps in memory.
const MAX_OUTGOING_TRANSFERS: usize = 16;
/// The maximum total length of these transfers, in bytes. The newest one is kept even if it is longer.
const MAX_OUTGOING_BYTES: usize = 8 * 1024 * 1024;

/// A transfer in progress, which may have several receivers.
struct OutgoingTransfer {
    /// The revision that the receivers have; 0 if they have none.
    base_revision: u64,
    /// The target revision, never 0.
    target_revision: u64,
    packed: PackedOffer,
}

/// A compressed offer.
#[derive(Clone)]
struct PackedOffer {
    bytes: Arc<[u8]>,
    checksum: u64,
}

/// The transfers in progress. All receivers with the same base and target revision share one.
#[derive(Default)]
pub struct OutgoingTransfers {
    /// In order of creation, oldest first.
    transfers: VecDeque<OutgoingTransfer>,
}

impl OutgoingTransfers {
    /// Returns the chunk for a request, where `newest_revision` is the revision of the newest configuration.
    ///
    /// If the requested transfer is still in memory, it continues to its own target; otherwise a transfer to the newest
    /// revision starts. `make_offer` makes the offer from the receiver's revision to the newest one.
    pub fn next_chunk(
        &mut self,
        request: ChunkRequest,
        newest_revision: u64,
        make_offer: impl FnOnce() -> ConfigOfferMessage,
    ) -> ConfigChunk {
        if let Some(packed) = self.find(request.base_revision, request.target_revision) {
            return cut_chunk(request.target_revision, &packed, request);
        }
        if let Some(packed) = self.find(request.base_revision, newest_revision) {
            return cut_chunk(newest_revision, &packed, request);
        }
        let offer = make_offer();
        let target_revision = offer.revision;
        let Some(packed) = offer.pack().filter(|_| target_revision > 0) else {
            return ConfigChunk::withheld();
        };
        let packed = PackedOffer { checksum: checksum(&packed), bytes: packed.into() };
        self.keep(OutgoingTransfer {
            base_revision: request.base_revision,
            target_revision,
            packed: packed.clone(),
        });
        cut_chunk(target_revision, &packed, request)
    }

    fn find(&self, base_revision: u64, target_revision: u64) -> Option<PackedOffer> {
        let is_wanted = |transfer: &&OutgoingTransfer| {
            transfer.base_revision == base_revision && transfer.target_revision == target_revision
        };
        self.transfers.iter().find(is_wanted).map(|transfer| transfer.packed.clone())
    }

    fn keep(&mut self, transfer: OutgoingTransfer) {
        self.transfers.push_back(transfer);
        while self.transfers.len() > MAX_OUTGOING_TRANSFERS
            || self.total_bytes() > MAX_OUTGOING_BYTES && self.transfers.len() > 1
        {
            self.transfers.pop_front();
        }
    }

    fn total_bytes(&self) -> usize {
        self.transfers.iter().map(|transfer| transfer.packed.bytes.len()).sum()
    }
}

/// The requested chunk, which is empty after the end of the transfer. If the receiver has bytes of a different
/// transfer, this is the first chunk.
fn cut_chunk(target_revision: u64, packed: &PackedOffer, request: ChunkRequest) -> ConfigChunk {
    let PackedOffer { bytes, checksum } = packed;
    let is_continued = request.target_revision == target_revision
        && request.checksum.is_none_or(|received| received == *checksum);
    let offset = if is_continued { request.offset } else { 0 };
    let start = usize::try_from(offset).unwrap_or(usize::MAX).min(bytes.len());
    let end = start.saturating_add(CHUNK_BYTES).min(bytes.len());
    ConfigChunk {
        target_revision,
        length: bytes.len() as u64,
        offset: start as u64,
        bytes: bytes.get(start..end).unwrap_or_default().to_vec().into(),
        checksum: Some(*checksum),
    }
}
