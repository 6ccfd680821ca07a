//! How much of a message was written to its connection.

use std::cell::Cell;
use std::io::IoSlice;

use tokio::time::Instant;

use crate::retry::SendProgress;

/// What ends the head of a message.
const END_OF_HEAD: &[u8] = b"\r\n\r\n";

/// How much of the current message on a connection the system has taken.
///
/// A message counts as complete as soon as its last byte was taken, or earlier, but never later. So a message that does not
/// count as complete can't have been executed.
#[derive(Debug, Default)]
pub struct WriteProgress {
    has_started: Cell<bool>,
    /// How many bytes of [`END_OF_HEAD`] the part of the head that was written ends with; its length once the head is
    /// complete.
    matched_end_bytes: Cell<usize>,
    /// Bytes of the body that the system has not taken yet; `usize::MAX` less those taken if the length is not known.
    remaining_body_bytes: Cell<usize>,
    is_complete: Cell<bool>,
    /// The first byte must be written before; `None`: at any time.
    start_deadline: Cell<Option<Instant>>,
}

impl WriteProgress {
    /// A new message follows, with a body of this length in bytes; `usize::MAX` if it is not known.
    pub fn start_message(&self, body_length: usize) {
        self.has_started.set(false);
        self.matched_end_bytes.set(0);
        self.remaining_body_bytes.set(body_length);
        self.is_complete.set(false);
        self.start_deadline.set(None);
    }

    /// The first byte of the message must not be written after this.
    pub fn set_start_deadline(&self, deadline: Instant) {
        self.start_deadline.set(Some(deadline));
    }

    /// Whether it is too late to write the first byte.
    pub fn is_overdue(&self) -> bool {
        !self.has_started() && self.start_deadline.get().is_some_and(|deadline| Instant::now() >= deadline)
    }

    /// How much of the message was written.
    pub fn progress(&self) -> SendProgress {
        match (self.has_started(), self.is_complete()) {
            (_, true) => SendProgress::Complete,
            (true, false) => SendProgress::Partial,
            (false, false) => SendProgress::NotStarted,
        }
    }

    /// Whether the system has taken any byte of the message.
    pub fn has_started(&self) -> bool {
        self.has_started.get()
    }

    /// Whether the system has taken the last byte: from then on the request may be executed.
    pub fn is_complete(&self) -> bool {
        self.is_complete.get()
    }

    /// To be called before the end of a body is written whose length was not known: it can't be counted.
    pub fn mark_complete(&self) {
        self.is_complete.set(true);
    }

    /// The system has taken the first `count` bytes of these buffers, in their order.
    pub fn record_vectored_write(&self, buffers: &[IoSlice], mut count: usize) {
        for buffer in buffers {
            let bytes = buffer.get(..count).unwrap_or(buffer);
            self.record_write(bytes);
            count = count.saturating_sub(bytes.len());
        }
    }

    /// The system has taken these bytes.
    pub fn record_write(&self, bytes: &[u8]) {
        self.has_started.set(self.has_started.get() || !bytes.is_empty());
        let head_bytes = self.match_end_of_head(bytes);
        if self.matched_end_bytes.get() == END_OF_HEAD.len() {
            let body_bytes = bytes.len() - head_bytes;
            self.remaining_body_bytes.set(self.remaining_body_bytes.get().saturating_sub(body_bytes));
            self.is_complete.set(self.is_complete.get() || self.remaining_body_bytes.get() == 0);
        }
    }

    /// Follows the head through these bytes. Returns how many of them belong to it.
    fn match_end_of_head(&self, bytes: &[u8]) -> usize {
        let mut position = 0;
        while position < bytes.len() && self.matched_end_bytes.get() < END_OF_HEAD.len() {
            let matched = self.matched_end_bytes.get();
            let is_match = bytes[position] == END_OF_HEAD[matched];
            self.matched_end_bytes.set(if is_match {
                matched + 1
            } else {
                usize::from(bytes[position] == END_OF_HEAD[0])
            });
            position += 1;
        }
        position
    }
}
