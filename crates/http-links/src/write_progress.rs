//! Tracks how much of an HTTP/1 message was written to its connection.

use std::cell::Cell;
use std::io::IoSlice;

use tokio::time::Instant;

use crate::retry::SendProgress;

/// The bytes that end the head of a message.
const END_OF_HEAD: &[u8] = b"\r\n\r\n";

/// How much of the current message on a connection the kernel has accepted.
///
/// A message counts as complete at the latest when its last byte is accepted; it may count as complete too early. So a
/// message that does not count as complete can't have been executed. If the length of the body is unknown, this holds
/// only if the sender calls [`WriteProgress::mark_complete`] in time.
#[derive(Debug, Default)]
pub struct WriteProgress {
    has_started: Cell<bool>,
    /// The number of bytes of [`END_OF_HEAD`] that the written part of the head ends with. It equals the length of
    /// [`END_OF_HEAD`] when the head is complete.
    matched_end_bytes: Cell<usize>,
    /// The number of bytes of the body that the kernel has not accepted yet. It starts at `usize::MAX` if the length is
    /// not known.
    remaining_body_bytes: Cell<usize>,
    is_complete: Cell<bool>,
    /// The deadline for the first byte; `None` if there is no deadline.
    start_deadline: Cell<Option<Instant>>,
}

impl WriteProgress {
    /// Starts a new message with a body of this length in bytes; `usize::MAX` if the length is not known.
    pub fn start_message(&self, body_length: usize) {
        self.has_started.set(false);
        self.matched_end_bytes.set(0);
        self.remaining_body_bytes.set(body_length);
        self.is_complete.set(false);
        self.start_deadline.set(None);
    }

    /// Sets the deadline after which the first byte of the message must not be written.
    pub fn set_start_deadline(&self, deadline: Instant) {
        self.start_deadline.set(Some(deadline));
    }

    /// True if no byte was written and the deadline for the first one has passed.
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

    /// True if the kernel has accepted any byte of the message.
    pub fn has_started(&self) -> bool {
        self.has_started.get()
    }

    /// True if the kernel may have accepted the last byte, so that the peer may execute the message.
    pub fn is_complete(&self) -> bool {
        self.is_complete.get()
    }

    /// Marks a message whose body has an unknown length as complete. Must be called before the end of the body is
    /// written, which can't be recognized here.
    pub fn mark_complete(&self) {
        self.is_complete.set(true);
    }

    /// Records that the kernel has accepted the first `count` bytes of these buffers.
    pub fn record_vectored_write(&self, buffers: &[IoSlice], mut count: usize) {
        for buffer in buffers {
            let bytes = buffer.get(..count).unwrap_or(buffer);
            self.record_write(bytes);
            count = count.saturating_sub(bytes.len());
        }
    }

    /// Records that the kernel has accepted these bytes.
    pub fn record_write(&self, bytes: &[u8]) {
        self.has_started.set(self.has_started.get() || !bytes.is_empty());
        let head_bytes = self.match_end_of_head(bytes);
        if self.matched_end_bytes.get() == END_OF_HEAD.len() {
            let body_bytes = bytes.len() - head_bytes;
            self.remaining_body_bytes.set(self.remaining_body_bytes.get().saturating_sub(body_bytes));
            self.is_complete.set(self.is_complete.get() || self.remaining_body_bytes.get() == 0);
        }
    }

    /// Searches these bytes for the end of the head. Returns the number of them that belong to the head.
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
