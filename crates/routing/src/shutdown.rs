//! The graceful shutdown of a proxy: which requests it still accepts, and when it exits.

use mosshead_time::{Duration, Instant};

/// For this long after the start of the shutdown every request is accepted. The exit may cut off a stream that was
/// sent up to 3 s after SIGTERM (RULES.md, LOST); the rest is for the delays of the signal and of the process.
const UNCONDITIONAL_ACCEPT_PERIOD: Duration = Duration::from_millis(2800);
/// The process exits this long before it would be killed, or earlier by [`KILL_MARGIN_DIVISOR`].
const MAX_KILL_MARGIN: Duration = Duration::from_millis(400);
/// The margin before the kill is at most the grace period divided by this number.
const KILL_MARGIN_DIVISOR: u32 = 12;
/// Responses are due this long before the exit, or earlier by [`RESPONSE_MARGIN_DIVISOR`], so that they reach their
/// clients.
const MAX_RESPONSE_MARGIN: Duration = Duration::from_millis(150);
/// The margin between responses and exit is at most the grace period divided by this number.
const RESPONSE_MARGIN_DIVISOR: u32 = 32;
/// A longer grace period is not used.
const MAX_GRACE: Duration = Duration::from_secs(3600);

/// The schedule of a graceful shutdown.
///
/// A request that is accepted must get a complete response before the process exits. Early in the shutdown every
/// request is accepted; later only those that are certain to end in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    accepts_all_until: Instant,
    responses_due_at: Instant,
    exits_at: Instant,
}

impl ShutdownSchedule {
    /// The schedule of a shutdown that begins now, with `grace` until the process would be killed.
    pub fn new(now: Instant, grace: Duration) -> Self {
        let grace = grace.min(MAX_GRACE);
        let kill_margin = MAX_KILL_MARGIN.min(grace / KILL_MARGIN_DIVISOR);
        let response_margin = MAX_RESPONSE_MARGIN.min(grace / RESPONSE_MARGIN_DIVISOR);
        let exits_at = now + grace - kill_margin;
        Self {
            accepts_all_until: now + UNCONDITIONAL_ACCEPT_PERIOD,
            responses_due_at: exits_at - response_margin,
            exits_at,
        }
    }

    /// True if a request that has been read completely at `now` is accepted. `max_duration` is the time after which
    /// the request has certainly ended, or after which a response of the proxy may replace that of the server.
    pub fn accepts(&self, now: Instant, max_duration: Duration) -> bool {
        now <= self.accepts_all_until || now + max_duration <= self.responses_due_at
    }

    /// When every request must have a response that has at least begun.
    pub fn responses_due_at(&self) -> Instant {
        self.responses_due_at
    }

    /// When the process exits at the latest.
    pub fn exits_at(&self) -> Instant {
        self.exits_at
    }
}
