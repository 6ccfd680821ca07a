//! Splits a stream of server-sent events that arrives in chunks of any size into complete events.

use std::fmt;

use bytes::{Bytes, BytesMut};

/// The maximum length of the incomplete event that is buffered. A longer event is accepted only if the chunk that ends
/// it arrives before the limit is exceeded.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// The number in its `id:` line, if it has one.
    pub id: Option<u64>,
    /// The unchanged bytes of the event, including the empty line that ends it.
    pub bytes: Bytes,
}

/// The error for an event that is longer than the maximum of 256 KiB.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

impl fmt::Display for EventTooLong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an event of the stream is longer than {MAX_EVENT_BYTES} bytes")
    }
}

impl std::error::Error for EventTooLong {}

/// Splits a stream into complete events, and remembers the id of the last one that was forwarded.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// The received part of an incomplete event.
    partial: BytesMut,
    last_forwarded_id: Option<u64>,
}

impl EventSplitter {
    /// Adds a chunk and returns the events that it completes.
    ///
    /// # Errors
    ///
    /// The chunk completes no event, and the incomplete one is longer than 256 KiB.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Vec<StreamEvent>, EventTooLong> {
        self.partial.extend_from_slice(chunk);
        let mut events = Vec::new();
        while let Some(end) = end_of_event(&self.partial) {
            let bytes = self.partial.split_to(end).freeze();
            events.push(StreamEvent { id: id_of_event(&bytes), bytes });
        }
        let is_too_long = events.is_empty() && self.partial.len() > MAX_EVENT_BYTES;
        if is_too_long { Err(EventTooLong) } else { Ok(events) }
    }

    /// Records that an event with this id was forwarded.
    pub fn mark_forwarded(&mut self, id: Option<u64>) {
        self.last_forwarded_id = id.or(self.last_forwarded_id);
    }

    /// The id of the last event that was forwarded.
    pub fn last_forwarded_id(&self) -> Option<u64> {
        self.last_forwarded_id
    }

    /// Drops an incomplete event. The server that resumes the stream sends this event again from its beginning.
    pub fn discard_partial_event(&mut self) {
        self.partial.clear();
    }

    /// Takes the bytes after the last complete event.
    pub fn take_remainder(&mut self) -> Bytes {
        self.partial.split().freeze()
    }
}

/// The length of the first event with its terminating empty line, with or without carriage returns; `None` if it is
/// incomplete.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let mut start = 0;
    while let Some(line_end) = bytes.get(start..)?.iter().position(|byte| *byte == b'\n') {
        let next_line = start + line_end + 1;
        match bytes.get(next_line..) {
            Some([b'\n', ..]) => return Some(next_line + 1),
            Some([b'\r', b'\n', ..]) => return Some(next_line + 2),
            _ => start = next_line,
        }
    }
    None
}

fn id_of_event(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
