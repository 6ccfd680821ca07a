//! Events of a stream, as they come in pieces.

use bytes::{Bytes, BytesMut};

/// An event is at most this long.
const LONGEST: usize = 256 * 1024;

/// Cuts a stream into whole events and remembers the id of the last one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    held: BytesMut,
    last: Option<u64>,
}

impl EventSplitter {
    /// Takes what came; the whole events in it, with the id of each where it tells one. `None`: an event is too long.
    pub fn push(&mut self, data: &[u8]) -> Option<Vec<(Option<u64>, Bytes)>> {
        self.held.extend_from_slice(data);
        let mut events = Vec::new();
        while let Some(end) = end_of_event(&self.held) {
            let event = self.held.split_to(end).freeze();
            events.push((id_of(&event), event));
        }
        if self.held.len() > LONGEST { None } else { Some(events) }
    }

    /// An event has been passed on.
    pub fn mark_forwarded(&mut self, id: Option<u64>) {
        self.last = id.or(self.last);
    }

    /// The id of the last event that was passed on.
    pub fn last_forwarded_id(&self) -> Option<u64> {
        self.last
    }

    /// Lets go of an event that never became whole; the next run starts at its beginning.
    pub fn discard_partial_event(&mut self) {
        self.held.clear();
    }

    /// What follows the last whole event.
    pub fn take_remainder(&mut self) -> Bytes {
        self.held.split().freeze()
    }
}

fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let mut from = 0;
    while let Some(at) = bytes.get(from..)?.iter().position(|byte| *byte == b'\n') {
        let after = from + at + 1;
        match bytes.get(after..) {
            Some([b'\n', ..]) => return Some(after + 1),
            Some([b'\r', b'\n', ..]) => return Some(after + 2),
            _ => from = after,
        }
    }
    None
}

fn id_of(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
