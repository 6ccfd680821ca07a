//! Transfers of configurations in chunks: the receiver gets the complete offer or nothing.

use minicbor::to_vec;
use mosshead_programs::config_transfer::{
    CHUNK_BYTES, ChunkRequest, ConfigChunk, ConfigOfferMessage, IncomingTransfer, OutgoingTransfers,
    TransferProgress,
};
use quickcheck::quickcheck;

/// Text that does not compress well.
fn noise(length: usize, seed: u64) -> String {
    let mut state = seed | 1;
    let mut next = || {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        char::from(b'!' + (state >> 40) as u8 % 90)
    };
    (0..length).map(|_| next()).collect()
}

fn full_text_offer(revision: u64, length: usize) -> ConfigOfferMessage {
    ConfigOfferMessage { revision, patches: Vec::new(), full_text: Some(noise(length, revision)) }
}

/// Runs a transfer to its end, where `newest` is the sender's newest offer at each chunk. Returns the final progress
/// and the number of chunks sent.
fn fetch(newest: impl Fn(usize) -> ConfigOfferMessage) -> (TransferProgress, usize) {
    let (mut outgoing, mut incoming) = (OutgoingTransfers::default(), IncomingTransfer::new(4));
    for chunks in 0..1_000 {
        let update = newest(chunks);
        let chunk = outgoing.next_chunk(incoming.next_request(), update.revision, || update);
        match incoming.on_chunk(&chunk) {
            TransferProgress::Incomplete => {}
            end => return (end, chunks + 1),
        }
    }
    (TransferProgress::Incomplete, 1_000)
}

#[test]
fn a_large_update_arrives_in_chunks() {
    let (end, chunks) = fetch(|_| full_text_offer(6, 10 * CHUNK_BYTES));
    assert_eq!(end, TransferProgress::Complete(full_text_offer(6, 10 * CHUNK_BYTES)));
    assert!((8..=11).contains(&chunks), "{chunks}");
}

#[test]
fn a_transfer_continues_while_newer_configurations_are_committed() {
    let (end, chunks) = fetch(|chunk| full_text_offer(6 + chunk as u64, 10 * CHUNK_BYTES));
    assert_eq!(end, TransferProgress::Complete(full_text_offer(6, 10 * CHUNK_BYTES)));
    assert!(chunks <= 11, "{chunks}");
}

#[test]
fn similar_routes_compress_to_a_fraction() {
    let route = |number: usize| {
        format!("{{\"name\":\"r-{number}\",\"path_prefix\":\"/p{number}/\",\"timeout_ms\":2500}},")
    };
    let text: String = (0..6_000).map(route).collect();
    let update = ConfigOfferMessage { revision: 6, patches: vec![text.clone()], full_text: None };
    let request = ChunkRequest::first(4);
    let chunk = OutgoingTransfers::default().next_chunk(request, 6, || update);
    assert!(chunk.length * 3 < text.len() as u64, "{} of {}", chunk.length, text.len());
}

#[test]
fn a_transfer_that_the_sender_has_dropped_restarts() {
    let (mut outgoing, mut incoming) = (OutgoingTransfers::default(), IncomingTransfer::new(4));
    let first = outgoing.next_chunk(incoming.next_request(), 6, || full_text_offer(6, 3 * CHUNK_BYTES));
    assert_eq!(incoming.on_chunk(&first), TransferProgress::Incomplete);
    let mut other = OutgoingTransfers::default();
    let restart = other.next_chunk(incoming.next_request(), 8, || full_text_offer(8, 100));
    assert_eq!((restart.target_revision, restart.offset), (8, 0));
    assert_eq!(incoming.on_chunk(&restart), TransferProgress::Complete(full_text_offer(8, 100)));
}

/// The control node fails during the transfer; another one with the same history continues it after the last chunk.
#[test]
fn another_sender_continues_an_interrupted_transfer() {
    let update = full_text_offer(6, 5 * CHUNK_BYTES);
    let (mut lost, mut next) = (OutgoingTransfers::default(), OutgoingTransfers::default());
    let mut incoming = IncomingTransfer::new(4);
    for _ in 0..2 {
        let chunk = lost.next_chunk(incoming.next_request(), 6, || update.clone());
        assert_eq!(incoming.on_chunk(&chunk), TransferProgress::Incomplete);
    }
    assert!(incoming.may_continue_elsewhere());
    let received = incoming.next_request().offset;
    let chunk = next.next_chunk(incoming.next_request(), 6, || update.clone());
    assert_eq!(chunk.offset, received);
    let mut progress = incoming.on_chunk(&chunk);
    while progress == TransferProgress::Incomplete {
        let chunk = next.next_chunk(incoming.next_request(), 6, || unreachable!("the transfer is kept"));
        progress = incoming.on_chunk(&chunk);
    }
    assert_eq!(progress, TransferProgress::Complete(update));
}

/// Another control node may reach the same revision by different patches. The chunks of the two must not be mixed.
#[test]
fn a_sender_with_another_history_starts_the_transfer_anew() {
    let (one, other) = (full_text_offer(6, 3 * CHUNK_BYTES), full_text_offer(6, 3 * CHUNK_BYTES + 1));
    let (mut lost, mut next) = (OutgoingTransfers::default(), OutgoingTransfers::default());
    let mut incoming = IncomingTransfer::new(4);
    let chunk = lost.next_chunk(incoming.next_request(), 6, || one);
    assert_eq!(incoming.on_chunk(&chunk), TransferProgress::Incomplete);
    let chunk = next.next_chunk(incoming.next_request(), 6, || other.clone());
    assert_eq!(chunk.offset, 0);
    let mut progress = incoming.on_chunk(&chunk);
    while progress == TransferProgress::Incomplete {
        let chunk = next.next_chunk(incoming.next_request(), 6, || unreachable!("the transfer is kept"));
        progress = incoming.on_chunk(&chunk);
    }
    assert_eq!(progress, TransferProgress::Complete(other));
}

/// A sender of an earlier release gives no checksum, so only this sender can continue its transfer.
#[test]
fn chunks_without_a_checksum_are_not_continued_elsewhere() {
    let mut outgoing = OutgoingTransfers::default();
    let mut incoming = IncomingTransfer::new(4);
    let update = full_text_offer(6, 3 * CHUNK_BYTES);
    let mut progress = TransferProgress::Incomplete;
    while progress == TransferProgress::Incomplete {
        let chunk = outgoing.next_chunk(incoming.next_request(), 6, || update.clone());
        progress = incoming.on_chunk(&ConfigChunk { checksum: None, ..chunk });
        assert!(!incoming.may_continue_elsewhere());
    }
    assert_eq!(progress, TransferProgress::Complete(update));
}

#[test]
fn receivers_with_the_same_configuration_share_a_transfer() {
    let mut outgoing = OutgoingTransfers::default();
    let request = ChunkRequest::first(4);
    let first = outgoing.next_chunk(request, 6, || full_text_offer(6, 1_000));
    let second = outgoing.next_chunk(request, 6, || unreachable!("the transfer is kept"));
    assert_eq!(first, second);
}

#[test]
fn a_withheld_configuration_completes_the_transfer() {
    let mut incoming = IncomingTransfer::new(4);
    let withheld = ConfigOfferMessage { revision: 0, patches: Vec::new(), full_text: None };
    assert_eq!(incoming.on_chunk(&ConfigChunk::withheld()), TransferProgress::Complete(withheld));
}

#[test]
fn a_wrong_length_allocates_nothing() {
    let mut incoming = IncomingTransfer::new(4);
    let bytes = [u32::MAX.to_le_bytes().as_slice(), &[0; 8]].concat();
    let chunk = ConfigChunk {
        target_revision: 6,
        length: bytes.len() as u64,
        offset: 0,
        bytes: bytes.into(),
        checksum: None,
    };
    assert_eq!(incoming.on_chunk(&chunk), TransferProgress::Corrupt);
    let endless = ConfigChunk {
        target_revision: 7,
        length: u64::MAX,
        offset: 0,
        bytes: vec![1].into(),
        checksum: None,
    };
    assert_eq!(IncomingTransfer::new(4).on_chunk(&endless), TransferProgress::Corrupt);
}

quickcheck! {
    fn arbitrary_chunks_never_panic(chunks: Vec<(u64, u64, u64, Vec<u8>)>) -> bool {
        let mut incoming = IncomingTransfer::new(4);
        for (target, length, offset, bytes) in chunks {
            let chunk = ConfigChunk { target_revision: target % 3, length: length % 40, offset: offset % 20, bytes: bytes.into(), checksum: (length % 3 > 0).then_some(length % 2) };
            let _ = incoming.on_chunk(&chunk);
        }
        to_vec(incoming.next_request()).is_ok()
    }

    fn an_update_arrives_unchanged(revision: u64, patches: Vec<String>, text: Option<String>) -> bool {
        let update = ConfigOfferMessage { revision: revision.max(1), patches, full_text: text };
        fetch(|_| update.clone()).0 == TransferProgress::Complete(update.clone())
    }
}
