//! Counters of a proxy's requests since the start of the process.

use std::cell::Cell;

use crate::ingress::BodyError;

/// A monotonic counter.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// The count since the start of the process.
    pub fn get(&self) -> u64 {
        self.0.get()
    }

    pub(crate) fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }
}

/// Counters of a proxy's requests since the start of the process.
#[derive(Debug, Default)]
pub struct Counters {
    /// Clients' requests that were read completely.
    pub requests: Counter,
    /// Successful responses of servers that were buffered completely or, for streams, forwarded completely.
    pub completed: Counter,
    /// Requests with a route and a service that were rejected without having run at any server.
    pub rejected: Counter,
    /// Requests that failed after a server may have run them.
    pub failed: Counter,
    /// Streams that were resumed at another server.
    pub resumed: Counter,
    /// Prompts that a prefill server prefilled for a decode server.
    pub handed_over: Counter,
    /// KV cache handles that were freed because no server fetched them.
    pub freed_handles: Counter,
    /// Heads that were longer than the configuration allows, and got 431.
    pub oversized_heads: Counter,
    /// Heads that took longer than the configuration allows, and got 408.
    pub late_heads: Counter,
    /// Bodies that were longer than the configuration allows, and got 413.
    pub oversized_bodies: Counter,
    /// Bodies that took longer than the configuration allows, and got 408.
    pub late_bodies: Counter,
    /// Bodies for which there was no memory, and that got 503.
    pub bodies_without_memory: Counter,
}

impl Counters {
    /// Counts a request whose body could not be read.
    pub(crate) fn count_rejected_body(&self, error: BodyError) {
        match error {
            BodyError::TooLong => self.oversized_bodies.increment(),
            BodyError::TimedOut => self.late_bodies.increment(),
            BodyError::NoMemory => self.bodies_without_memory.increment(),
            BodyError::ClientGone => {}
        }
    }
}
