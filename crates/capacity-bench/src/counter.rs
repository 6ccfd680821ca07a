//! What is counted: messages, their bytes, and processor time.

use std::time::Duration;

use minicbor::Encode;
use rustix::time::{ClockId, clock_gettime};

/// What IPv4 and UDP add to each datagram.
pub const DATAGRAM_HEADERS: u64 = 28;

/// Sums over a span of virtual time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counter {
    /// Messages sent.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Processor time.
    pub busy: Duration,
}

impl Counter {
    /// One message more.
    pub fn count(&mut self, bytes: u64) {
        self.messages = self.messages.saturating_add(1);
        self.bytes = self.bytes.saturating_add(bytes);
    }

    /// Does something and adds the time that it took.
    pub fn time<T>(&mut self, work: impl FnOnce() -> T) -> T {
        let start = processor_time();
        let result = work();
        self.busy = self.busy.saturating_add(processor_time().saturating_sub(start));
        result
    }

    /// Adds another's sums.
    pub fn add(&mut self, other: &Counter) {
        self.messages = self.messages.saturating_add(other.messages);
        self.bytes = self.bytes.saturating_add(other.bytes);
        self.busy = self.busy.saturating_add(other.busy);
    }

    /// Per second of virtual time and for each of `processes`.
    pub fn rates(&self, span_ms: u64, processes: usize) -> Rates {
        let scale = 1000.0 / (span_ms.max(1) as f64 * processes.max(1) as f64);
        Rates {
            messages: self.messages as f64 * scale,
            bytes: self.bytes as f64 * scale,
            share: self.busy.as_secs_f64() * scale,
        }
    }
}

/// What this thread has run. Others of a busy machine don't count, as they would by a clock on the wall.
pub fn processor_time() -> Duration {
    Duration::try_from(clock_gettime(ClockId::ThreadCPUTime)).unwrap_or_default()
}

/// Sums divided.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rates {
    /// Messages a second.
    pub messages: f64,
    /// Bytes a second.
    pub bytes: f64,
    /// Seconds of one processor core a second.
    pub share: f64,
}

/// The length of a message as it is sent between processes.
pub fn encoded<T: Encode<()>>(message: &T) -> Vec<u8> {
    minicbor::to_vec(message).unwrap_or_default()
}
