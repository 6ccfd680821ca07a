//! What is counted: messages, their bytes, and processor time.

use std::hint::black_box;
use std::time::Duration;

use minicbor::Encode;
use rustix::time::{ClockId, clock_gettime};

/// What IPv4 and UDP add to each datagram, in bytes.
pub const DATAGRAM_HEADERS_LEN: u64 = 28;

/// Sums over a span of virtual time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counter {
    /// Messages sent or received.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Processor time of the state machines' calls; the only part that is not virtual.
    pub processor_time: Duration,
}

impl Counter {
    /// Counts one message of so many bytes.
    pub fn count_message(&mut self, bytes: u64) {
        self.messages = self.messages.saturating_add(1);
        self.bytes = self.bytes.saturating_add(bytes);
    }

    /// Calls a function and adds the processor time that it took.
    pub fn time<T>(&mut self, work: impl FnOnce() -> T) -> T {
        let start = thread_processor_time();
        let result = work();
        self.processor_time =
            self.processor_time.saturating_add(thread_processor_time().saturating_sub(start));
        result
    }

    /// Adds another's sums.
    pub fn add(&mut self, other: &Counter) {
        self.messages = self.messages.saturating_add(other.messages);
        self.bytes = self.bytes.saturating_add(other.bytes);
        self.processor_time = self.processor_time.saturating_add(other.processor_time);
    }

    /// The sums per second of virtual time for each of `processes` processes, over a span that is counted in whole
    /// milliseconds.
    pub fn rates(&self, span: Duration, processes: usize) -> Rates {
        let scale = 1000.0 / (span.as_millis().max(1) as f64 * processes.max(1) as f64);
        Rates {
            messages: self.messages as f64 * scale,
            bytes: self.bytes as f64 * scale,
            processor_share: self.processor_time.as_secs_f64() * scale,
        }
    }
}

/// Sums per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rates {
    /// Messages per second.
    pub messages: f64,
    /// Bytes per second.
    pub bytes: f64,
    /// Seconds of processor time per second: 1 is one core in full use.
    pub processor_share: f64,
}

/// The processor time that this thread has used. Unlike the time of a wall clock it does not grow while other threads have the
/// processor.
pub fn thread_processor_time() -> Duration {
    Duration::try_from(clock_gettime(ClockId::ThreadCPUTime)).unwrap_or_default()
}

/// The mean processor time of a call, in microseconds.
pub fn mean_micros<T>(calls: u32, mut work: impl FnMut() -> T) -> f64 {
    let start = thread_processor_time();
    for _ in 0..calls {
        black_box(work());
    }
    thread_processor_time().saturating_sub(start).as_secs_f64() * 1e6 / f64::from(calls.max(1))
}

/// A message as it is sent between processes.
pub fn encoded<T: Encode<()>>(message: &T) -> Vec<u8> {
    minicbor::to_vec(message).unwrap_or_default()
}
