//! Streams are cut into whole events, however they come in pieces.

use mosshead_data_plane::EventSplitter;
use quickcheck::quickcheck;

fn stream(count: u64) -> Vec<u8> {
    (1..=count).flat_map(|id| format!("id: {id}\ndata: piece {id}\n\n").into_bytes()).collect()
}

quickcheck! {
    /// However the bytes are cut, the same events come out, in order, and nothing is left over.
    fn pieces_make_the_same_events(cuts: Vec<u8>, count: u8) -> bool {
        let (bytes, mut splitter, mut seen) = (stream(u64::from(count)), EventSplitter::default(), Vec::new());
        let (mut at, mut cuts) = (0, cuts.into_iter().cycle());
        while at < bytes.len() {
            let next = (at + 1 + usize::from(cuts.next().unwrap_or(9) % 40)).min(bytes.len());
            seen.extend(splitter.push(&bytes[at..next]).expect("short events"));
            at = next;
        }
        let ids = seen.iter().filter_map(|event| event.id).eq(1..=u64::from(count));
        let whole: Vec<u8> = seen.iter().flat_map(|event| event.bytes.to_vec()).collect();
        ids && whole == bytes && splitter.take_remainder().is_empty()
    }

    fn any_bytes_do_no_harm(pieces: Vec<Vec<u8>>) -> bool {
        let (mut splitter, mut through) = (EventSplitter::default(), Vec::new());
        for piece in &pieces {
            through.extend(splitter.push(piece).expect("short").into_iter().flat_map(|event| event.bytes.to_vec()));
        }
        through.extend(splitter.take_remainder());
        through == pieces.concat()
    }
}

#[test]
fn an_event_that_never_becomes_whole_is_let_go_of() {
    let mut splitter = EventSplitter::default();
    let events = splitter.push(b"id: 4\r\ndata: a\r\n\r\nid: 5\r\ndata: half").expect("short");
    assert_eq!(events.iter().map(|event| event.id).collect::<Vec<_>>(), [Some(4)]);
    splitter.mark_forwarded(Some(4));
    splitter.discard_partial_event();
    assert_eq!((splitter.last_forwarded_id(), splitter.take_remainder().len()), (Some(4), 0));
}

#[test]
fn an_event_without_end_is_not_held_for_ever() {
    let mut splitter = EventSplitter::default();
    assert!((0..100).any(|_| splitter.push(&[b'x'; 8192]).is_err()));
}
