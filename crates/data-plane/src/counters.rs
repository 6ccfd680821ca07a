//! Counters of what a proxy has done since its start.

use std::cell::Cell;

/// A number that only rises.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// How often it was incremented since the start of the process.
    pub fn get(&self) -> u64 {
        self.0.get()
    }

    pub(crate) fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }
}

/// Counters of what a proxy has done since its start.
#[derive(Debug, Default)]
pub struct Counters {
    /// Clients' requests that were read to their end.
    pub requests: Counter,
    /// Responses of servers that were forwarded to their end.
    pub completed: Counter,
    /// Requests that were rejected: no server ran them.
    pub rejected: Counter,
    /// Requests that failed: a server may have run them.
    pub failed: Counter,
    /// Streams that were resumed at another server.
    pub resumed: Counter,
    /// Prompts that were prefilled for another server.
    pub handed_over: Counter,
    /// Handles that no server fetched and that were freed.
    pub freed_handles: Counter,
}
