//! Backoff of calls to discovery after failed calls.
//!
//! A discovery server that handles calls in order also handles those whose callers have given up. If a fleet retries
//! failed calls too soon, these keep the server busy, and hardly any call is answered in time.

/// Mean delay per caller in the fleet, as a share of the time allowed between calls, so that callers that failed
/// together call again one after another. The capacity of discovery is unknown; the share assumes a low one of 50 calls
/// in the time allowed between calls.
const DELAY_SHARE_PER_CALLER: f64 = 0.02;
/// Fleet size up to which all instances may make their first call at the same time.
const MAX_SIMULTANEOUS_CALLERS: f64 = 20.0;
/// Lower bound on the mean delay after a first failure, as a share of the time allowed between calls.
const MIN_DELAY_SHARE: f64 = 0.05;
/// Upper bound on the same mean, and on the spread of first calls.
const MAX_DELAY_SHARE: f64 = 0.4;
/// Upper bound on how often consecutive failures double the delay. An instance must not go without a call for four
/// times the time allowed between calls, because its list would then be outdated.
const MAX_DOUBLINGS: u32 = 2;

/// Exponential backoff with jitter for one caller of discovery. The delays grow with the size of the fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct DiscoveryBackoff {
    /// Failed calls since the last answered call.
    consecutive_failures: u32,
}

impl DiscoveryBackoff {
    /// The time span in seconds over which instances spread their first calls if they can serve with a stored list
    /// until then; zero in a small fleet. `call_interval` is the time allowed between calls in seconds, `fleet_size`
    /// the number of callers.
    pub fn first_call_spread(&self, call_interval: f64, fleet_size: f64) -> f64 {
        let share = DELAY_SHARE_PER_CALLER * (fleet_size - MAX_SIMULTANEOUS_CALLERS);
        call_interval * share.clamp(0.0, MAX_DELAY_SHARE)
    }

    /// Resets the backoff, because a call was answered.
    pub fn on_answer(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records a failed call and returns the delay before the next call in seconds. `call_interval` is the time allowed
    /// between calls in seconds, `fleet_size` the presumed number of callers, `random` a random number from 0 to 1.
    pub fn on_failure(&mut self, call_interval: f64, fleet_size: f64, random: f64) -> f64 {
        let factor = f64::from(1_u32 << self.consecutive_failures.min(MAX_DOUBLINGS));
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let share = (DELAY_SHARE_PER_CALLER * fleet_size).clamp(MIN_DELAY_SHARE, MAX_DELAY_SHARE);
        // Jitter: the delay is between 0.5 and 1.5 times its mean.
        call_interval * share * factor * (0.5 + random)
    }
}

/// Decides whether a watch that ended without an answer is reopened immediately.
///
/// A failure response shows that discovery is down or overloaded, so the caller has to back off. If there is no
/// response at all long after discovery would have sent a failure, only the connection of the watch is known to be
/// broken. Updates count as delivered half a second after they were made, so a delay would withhold from this instance
/// what all others already know.
#[derive(Clone, Copy, Debug, Default)]
pub struct WatchReopening {
    /// True if the watch was reopened since the last answer.
    has_reopened: bool,
}

impl WatchReopening {
    /// Allows one immediate reopening again, because a call was answered.
    pub fn on_answer(&mut self) {
        self.has_reopened = false;
    }

    /// Records that a watch was given up without an answer, and returns true if it should be reopened immediately. A
    /// second one in a row counts as a failure, after which the caller has to back off.
    pub fn should_reopen(&mut self) -> bool {
        !std::mem::replace(&mut self.has_reopened, true)
    }
}
