//! How much of a message has left.

use std::cell::Cell;
use std::io::IoSlice;

use tokio::time::Instant;

use crate::SendProgress;

/// How much of the message now on a connection has left for the kernel.
#[derive(Debug, Default)]
pub struct WriteProgress {
    begun: Cell<bool>,
    matched: Cell<usize>,
    body_left: Cell<usize>,
    whole: Cell<bool>,
    deadline: Cell<Option<Instant>>,
}

impl WriteProgress {
    /// A new message follows, whose body has this length; `usize::MAX` where that is not known.
    pub fn start_message(&self, body: usize) {
        self.begun.set(false);
        self.matched.set(0);
        self.body_left.set(body);
        self.whole.set(false);
        self.deadline.set(None);
    }

    /// The message must not be begun after this.
    pub fn set_start_deadline(&self, deadline: Instant) {
        self.deadline.set(Some(deadline));
    }

    /// Whether it is too late for its first byte.
    pub fn is_overdue(&self) -> bool {
        !self.has_started() && self.deadline.get().is_some_and(|deadline| Instant::now() >= deadline)
    }

    /// How far it has come.
    pub fn progress(&self) -> SendProgress {
        match (self.has_started(), self.is_complete()) {
            (_, true) => SendProgress::Complete,
            (true, false) => SendProgress::Partial,
            (false, false) => SendProgress::NotStarted,
        }
    }

    /// Whether any byte of it has been handed to the kernel.
    pub fn has_started(&self) -> bool {
        self.begun.get()
    }

    /// Whether the last byte has been handed to the kernel: from then on the request may run.
    pub fn is_complete(&self) -> bool {
        self.whole.get()
    }

    /// The last of a body whose length was not known is about to leave.
    pub fn mark_complete(&self) {
        self.whole.set(true);
    }

    /// The kernel has taken so many bytes of these parts, in their order.
    pub fn record_vectored_write(&self, parts: &[IoSlice], mut taken: usize) {
        for part in parts {
            let bytes = part.get(..taken).unwrap_or(part);
            self.record_write(bytes);
            taken = taken.saturating_sub(bytes.len());
        }
    }

    /// The kernel has taken these bytes.
    pub fn record_write(&self, bytes: &[u8]) {
        const END: &[u8] = b"\r\n\r\n";
        self.begun.set(self.begun.get() || !bytes.is_empty());
        let mut at = 0;
        while at < bytes.len() && self.matched.get() < END.len() {
            let expected = END[self.matched.get()];
            let next =
                if bytes[at] == expected { self.matched.get() + 1 } else { usize::from(bytes[at] == b'\r') };
            self.matched.set(next);
            at += 1;
        }
        if self.matched.get() == END.len() {
            self.body_left.set(self.body_left.get().saturating_sub(bytes.len() - at));
            self.whole.set(self.whole.get() || self.body_left.get() == 0);
        }
    }
}
