//! Counters of a proxy's requests since the start of the process.

use std::cell::Cell;

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
}
