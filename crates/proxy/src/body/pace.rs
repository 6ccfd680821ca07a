//! The least pace at which a sender has to bring its body.

use std::time::{Duration, Instant};

/// The longest pause of a sender.
const MAX_SENDER_PAUSE: Duration = Duration::from_millis(2000);
/// The bytes that a sender has to bring for each second that it is waited for, after a first [`MAX_SENDER_PAUSE`].
const MIN_BYTES_PER_SECOND: f64 = 16.0 * 1024.0;

/// How long a sender has been waited for. Times in which the other side takes nothing do not count.
#[derive(Debug)]
pub(super) struct SenderPace {
    waited: Duration,
    /// Since when the sender is being waited for, if it is.
    waiting_since: Option<Instant>,
    bytes: u64,
}

impl SenderPace {
    pub(super) fn new() -> Self {
        Self { waited: Duration::ZERO, waiting_since: None, bytes: 0 }
    }

    /// Starts to wait for the sender, unless it is being waited for. Returns when it will have been too slow.
    pub(super) fn wait_deadline(&mut self) -> Instant {
        let since = *self.waiting_since.get_or_insert_with(Instant::now);
        let allowed = MAX_SENDER_PAUSE + Duration::from_secs_f64(self.bytes as f64 / MIN_BYTES_PER_SECOND);
        since + MAX_SENDER_PAUSE.min(allowed.saturating_sub(self.waited))
    }

    /// Records bytes that the sender has brought, which ends the wait for it.
    pub(super) fn record_received(&mut self, bytes: usize) {
        self.waited += self.waiting_since.take().map_or(Duration::ZERO, |since| since.elapsed());
        self.add_buffered(bytes);
    }

    /// Counts bytes that had been read before: they say nothing of a wait.
    pub(super) fn add_buffered(&mut self, bytes: usize) {
        self.bytes += bytes as u64;
    }

    /// All bytes so far.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }
}
