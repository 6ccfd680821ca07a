//! A stream is split into the same complete events for any chunk sizes.

use mosshead_data_plane::EventSplitter;
use quickcheck::quickcheck;

fn stream(count: u64) -> Vec<u8> {
    (1..=count).flat_map(|id| format!("id: {id}\ndata: piece {id}\n\n").into_bytes()).collect()
}

quickcheck! {
    /// All events are returned in order, and no bytes remain.
    fn chunks_of_any_size_give_the_same_events(chunk_sizes: Vec<u8>, count: u8) -> bool {
        let bytes = stream(u64::from(count));
        let (mut splitter, mut events) = (EventSplitter::default(), Vec::new());
        let (mut start, mut chunk_sizes) = (0, chunk_sizes.into_iter().cycle());
        while start < bytes.len() {
            let size = 1 + usize::from(chunk_sizes.next().unwrap_or(9) % 40);
            let end = (start + size).min(bytes.len());
            events.extend(splitter.push(&bytes[start..end]).expect("short events"));
            start = end;
        }
        let ids_match = events.iter().filter_map(|event| event.id).eq(1..=u64::from(count));
        let joined: Vec<u8> = events.iter().flat_map(|event| event.bytes.to_vec()).collect();
        ids_match && joined == bytes && splitter.take_remainder().is_empty()
    }

    fn arbitrary_bytes_are_returned_unchanged(chunks: Vec<Vec<u8>>) -> bool {
        let (mut splitter, mut forwarded) = (EventSplitter::default(), Vec::new());
        for chunk in &chunks {
            let events = splitter.push(chunk).expect("short events");
            forwarded.extend(events.into_iter().flat_map(|event| event.bytes.to_vec()));
        }
        forwarded.extend(splitter.take_remainder());
        forwarded == chunks.concat()
    }
}

#[test]
fn an_incomplete_event_is_discarded() {
    let mut splitter = EventSplitter::default();
    let events = splitter.push(b"id: 4\r\ndata: a\r\n\r\nid: 5\r\ndata: half").expect("short events");
    assert_eq!(events.iter().map(|event| event.id).collect::<Vec<_>>(), [Some(4)]);
    splitter.mark_forwarded(Some(4));
    splitter.discard_partial_event();
    assert_eq!((splitter.last_forwarded_id(), splitter.take_remainder().len()), (Some(4), 0));
}

#[test]
fn an_event_above_the_maximum_length_is_rejected() {
    let mut splitter = EventSplitter::default();
    assert!((0..100).any(|_| splitter.push(&[b'x'; 8192]).is_err()));
}

/// Guards against complete events that are lost because one that is too long follows in the same chunk.
#[test]
fn events_before_one_that_is_too_long_are_returned() {
    let mut splitter = EventSplitter::default();
    let chunk = [b"id: 1\ndata: a\n\nid: 2\ndata: ".as_slice(), &vec![b'x'; 300 * 1024]].concat();
    let events = splitter.push(&chunk).expect("a complete event");
    assert_eq!(events.iter().map(|event| event.id).collect::<Vec<_>>(), [Some(1)]);
    assert!(splitter.push(b"x").is_err());
}
