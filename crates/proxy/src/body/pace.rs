//! The minimum rate at which a sender must deliver its body.

use std::time::{Duration, Instant};

/// The maximum pause of a sender.
const MAX_SENDER_PAUSE: Duration = Duration::from_millis(2000);
/// The bytes that a sender must deliver per second of waiting, after an initial [`MAX_SENDER_PAUSE`].
const MIN_BYTES_PER_SECOND: f64 = 16.0 * 1024.0;

/// How long this proxy has waited for the sender. Times in which the receiver accepts nothing don't count.
#[derive(Debug)]
pub(super) struct SenderPace {
    waited: Duration,
    /// When the current wait for the sender began; none if there is no wait.
    waiting_since: Option<Instant>,
    bytes: u64,
}

impl SenderPace {
    pub(super) fn new() -> Self {
        Self { waited: Duration::ZERO, waiting_since: None, bytes: 0 }
    }

    /// Starts a wait for the sender unless one is in progress. Returns the instant at which the sender counts as too
    /// slow.
    pub(super) fn wait_deadline(&mut self) -> Instant {
        let since = *self.waiting_since.get_or_insert_with(Instant::now);
        let allowed = MAX_SENDER_PAUSE + Duration::from_secs_f64(self.bytes as f64 / MIN_BYTES_PER_SECOND);
        since + MAX_SENDER_PAUSE.min(allowed.saturating_sub(self.waited))
    }

    /// Records bytes that the sender has delivered, which ends the wait.
    pub(super) fn record_received(&mut self, bytes: usize) {
        self.waited += self.waiting_since.take().map_or(Duration::ZERO, |since| since.elapsed());
        self.add_buffered(bytes);
    }

    /// Counts bytes that were read earlier and so don't end a wait.
    pub(super) fn add_buffered(&mut self, bytes: usize) {
        self.bytes += bytes as u64;
    }

    /// The total number of bytes so far.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }
}
