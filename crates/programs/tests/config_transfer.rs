//! The configuration in packed pieces: whatever the receiver has, it gets the whole answer or none.

use minicbor::to_vec;
use mosshead_programs::config_transfer::ConfigUpdate;
use mosshead_programs::config_transfer::{
    CHUNK_BYTES, ChunkRequest, ConfigChunk, IncomingTransfer, OutgoingTransfers, TransferProgress,
};
use quickcheck::quickcheck;

/// Text that does not pack well.
fn noise(length: usize, seed: u64) -> String {
    let mut state = seed | 1;
    let mut next = || {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        char::from(b'!' + (state >> 40) as u8 % 90)
    };
    (0..length).map(|_| next()).collect()
}

fn whole(revision: u64, length: usize) -> ConfigUpdate {
    ConfigUpdate { revision, patches: Vec::new(), full_text: Some(noise(length, revision)) }
}

/// Fetches to the end; `newest` says which configuration is there at each piece.
fn fetch(newest: impl Fn(usize) -> ConfigUpdate) -> (TransferProgress, usize) {
    let (mut outgoing, mut incoming) = (OutgoingTransfers::default(), IncomingTransfer::new(4));
    for pieces in 0..1_000 {
        let offer = newest(pieces);
        let piece = outgoing.next_chunk(incoming.next_request(), offer.revision, || offer);
        match incoming.on_chunk(&piece) {
            TransferProgress::Incomplete => {}
            end => return (end, pieces + 1),
        }
    }
    (TransferProgress::Incomplete, 1_000)
}

#[test]
fn a_large_one_comes_in_pieces() {
    let (end, pieces) = fetch(|_| whole(6, 10 * CHUNK_BYTES));
    assert_eq!(end, TransferProgress::Complete(whole(6, 10 * CHUNK_BYTES)));
    assert!((8..=11).contains(&pieces), "{pieces}");
}

#[test]
fn a_transfer_goes_on_while_newer_ones_are_committed() {
    let (end, pieces) = fetch(|piece| whole(6 + piece as u64, 10 * CHUNK_BYTES));
    assert_eq!(end, TransferProgress::Complete(whole(6, 10 * CHUNK_BYTES)));
    assert!(pieces <= 11, "{pieces}");
}

#[test]
fn routes_that_are_alike_pack_to_a_fraction() {
    let route =
        |at: usize| format!("{{\"name\":\"r-{at}\",\"path_prefix\":\"/p{at}/\",\"timeout_ms\":2500}},");
    let text: String = (0..6_000).map(route).collect();
    let fetched = ConfigUpdate { revision: 6, patches: vec![text.clone()], full_text: None };
    let request = ChunkRequest { base_revision: 4, target_revision: 0, offset: 0 };
    let piece = OutgoingTransfers::default().next_chunk(request, 6, || fetched);
    assert!(piece.length * 3 < text.len() as u64, "{} of {}", piece.length, text.len());
}

#[test]
fn what_a_sender_has_forgotten_begins_anew() {
    let (mut outgoing, mut incoming) = (OutgoingTransfers::default(), IncomingTransfer::new(4));
    let first = outgoing.next_chunk(incoming.next_request(), 6, || whole(6, 3 * CHUNK_BYTES));
    assert_eq!(incoming.on_chunk(&first), TransferProgress::Incomplete);
    let mut other = OutgoingTransfers::default();
    let restart = other.next_chunk(incoming.next_request(), 8, || whole(8, 100));
    assert_eq!((restart.target_revision, restart.offset), (8, 0));
    assert_eq!(incoming.on_chunk(&restart), TransferProgress::Complete(whole(8, 100)));
}

#[test]
fn receivers_of_the_same_share_one() {
    let mut outgoing = OutgoingTransfers::default();
    let request = ChunkRequest { base_revision: 4, target_revision: 0, offset: 0 };
    let first = outgoing.next_chunk(request, 6, || whole(6, 1_000));
    let second = outgoing.next_chunk(request, 6, || unreachable!("it is kept"));
    assert_eq!(first, second);
}

#[test]
fn nothing_offered_is_an_answer_too() {
    let mut incoming = IncomingTransfer::new(4);
    let nothing = ConfigUpdate { revision: 0, patches: Vec::new(), full_text: None };
    assert_eq!(incoming.on_chunk(&ConfigChunk::withheld()), TransferProgress::Complete(nothing));
}

#[test]
fn a_length_that_is_a_lie_makes_no_room() {
    let mut incoming = IncomingTransfer::new(4);
    let bytes = [u32::MAX.to_le_bytes().as_slice(), &[0; 8]].concat();
    let piece =
        ConfigChunk { target_revision: 6, length: bytes.len() as u64, offset: 0, bytes: bytes.into() };
    assert_eq!(incoming.on_chunk(&piece), TransferProgress::Corrupt);
    let endless = ConfigChunk { target_revision: 7, length: u64::MAX, offset: 0, bytes: vec![1].into() };
    assert_eq!(IncomingTransfer::new(4).on_chunk(&endless), TransferProgress::Corrupt);
}

quickcheck! {
    fn any_pieces_do_no_harm(pieces: Vec<(u64, u64, u64, Vec<u8>)>) -> bool {
        let mut incoming = IncomingTransfer::new(4);
        for (target, length, offset, bytes) in pieces {
            let piece = ConfigChunk { target_revision: target % 3, length: length % 40, offset: offset % 20, bytes: bytes.into() };
            let _ = incoming.on_chunk(&piece);
        }
        to_vec(incoming.next_request()).is_ok()
    }

    fn any_answer_comes_as_it_was(revision: u64, patches: Vec<String>, text: Option<String>) -> bool {
        let fetched = ConfigUpdate { revision: revision.max(1), patches, full_text: text };
        fetch(|_| fetched.clone()).0 == TransferProgress::Complete(fetched.clone())
    }
}
