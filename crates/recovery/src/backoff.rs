//! When discovery is called again after a call has failed.
//!
//! A discovery server that handles calls in turn also handles those whose callers have given up. A fleet whose failed calls
//! are retried too soon keeps it busy with these, and hardly any call is answered in time.

/// Callers that failed together call again one by one, each this share of the time allowed between calls after the other.
/// How many calls discovery can answer is not known; the share assumes few: 50 in the time allowed between calls.
const SHARE_PER_CALLER: f64 = 0.02;
/// The size of a fleet up to which all instances may make their first call at once.
const CALLERS_AT_ONCE: f64 = 20.0;
/// Lower bound of the mean delay after a first failure, as a share of the time allowed between calls.
const MIN_DELAY_SHARE: f64 = 0.05;
/// Upper bound of the same mean, and of the spread of first calls.
const MAX_DELAY_SHARE: f64 = 0.4;
/// The delay is doubled with each failure in a row, at most so many times: no instance may go without a call for four times
/// the time allowed between calls, after which its list would be outdated.
const MAX_DOUBLINGS: u32 = 2;

/// The backoff of one caller of discovery: exponential, with jitter, and longer in a larger fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct DiscoveryBackoff {
    /// Failed calls since the last one that was answered.
    failures_in_a_row: u32,
}

impl DiscoveryBackoff {
    /// The span in seconds over which instances that can serve by a stored list meanwhile spread their first calls; zero in a
    /// small fleet. `call_interval` is the time allowed between calls in seconds, `fleet_size` the number of callers.
    pub fn first_call_spread(&self, call_interval: f64, fleet_size: f64) -> f64 {
        let share = SHARE_PER_CALLER * (fleet_size - CALLERS_AT_ONCE);
        call_interval * share.clamp(0.0, MAX_DELAY_SHARE)
    }

    /// A call was answered.
    pub fn on_answer(&mut self) {
        self.failures_in_a_row = 0;
    }

    /// A call has failed. Returns the delay in seconds before the next one. `call_interval` is the time allowed between calls
    /// in seconds, `fleet_size` the number of callers as far as it is known, `random` a random number from 0 to 1.
    pub fn on_failure(&mut self, call_interval: f64, fleet_size: f64, random: f64) -> f64 {
        let factor = f64::from(1_u32 << self.failures_in_a_row.min(MAX_DOUBLINGS));
        self.failures_in_a_row = self.failures_in_a_row.saturating_add(1);
        let share = (SHARE_PER_CALLER * fleet_size).clamp(MIN_DELAY_SHARE, MAX_DELAY_SHARE);
        // Jitter: the delay is from a half to one and a half times its mean.
        call_interval * share * factor * (0.5 + random)
    }
}

/// Whether a watch that had no answer is opened again at once.
///
/// A call that was answered with a failure shows that discovery is down or overloaded, so the caller has to back off. One
/// without an answer, long after discovery would have failed it, shows only that the connection of the watch is broken.
/// Meanwhile an update counts as delivered half a second after it was made, so a delay would withhold from this instance what
/// all others know.
#[derive(Clone, Copy, Debug, Default)]
pub struct WatchReopening {
    /// Whether the watch was opened again since the last answer.
    has_reopened: bool,
}

impl WatchReopening {
    /// A call was answered.
    pub fn on_answer(&mut self) {
        self.has_reopened = false;
    }

    /// A watch was given up without an answer. Returns whether to open it again at once. A second one in a row counts as a
    /// failure, to be backed off from.
    pub fn should_reopen(&mut self) -> bool {
        !std::mem::replace(&mut self.has_reopened, true)
    }
}
