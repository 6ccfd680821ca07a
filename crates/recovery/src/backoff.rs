//! When discovery is called again after a call has failed.
//!
//! A directory that works through calls in turn also works through those whose callers have given up. A fleet whose failed
//! calls come again too soon keeps it busy with these, and hardly any call is answered in time.

/// Callers that failed together call again one by one, each this share of the time allowed between calls after the other:
/// nobody knows how many calls the directory answers, so few are assumed.
const SHARE_PER_CALLER: f64 = 0.02;
/// So many instances may make their first call at once.
const CALLERS_AT_ONCE: f64 = 20.0;
/// Bounds of the first delay's mean, as shares of the time allowed between calls.
const MIN_DELAY_SHARE: f64 = 0.05;
const MAX_DELAY_SHARE: f64 = 0.4;
/// The delay is doubled with each failure in a row, at most so many times: nobody may go without a call for four times the
/// time allowed between calls.
const MAX_DOUBLINGS: u32 = 2;

/// The backoff of one caller of discovery: exponential, with jitter, and longer in a larger fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct DiscoveryBackoff {
    failures_in_a_row: u32,
}

impl DiscoveryBackoff {
    /// The span in seconds over which the first calls of instances are spread that can serve by a stored list meanwhile. A
    /// few may call at once; more are spread like those that have failed.
    pub fn first_call_spread(&self, call_interval: f64, fleet_size: f64) -> f64 {
        let share = SHARE_PER_CALLER * (fleet_size - CALLERS_AT_ONCE);
        call_interval * share.clamp(0.0, MAX_DELAY_SHARE)
    }

    /// A call was answered.
    pub fn on_answer(&mut self) {
        self.failures_in_a_row = 0;
    }

    /// A call has failed: the delay in seconds before the next one. `call_interval` is the time allowed between calls,
    /// `fleet_size` the number of callers as far as it is known, `random` a random number from 0 to 1.
    pub fn on_failure(&mut self, call_interval: f64, fleet_size: f64, random: f64) -> f64 {
        let factor = f64::from(1_u32 << self.failures_in_a_row.min(MAX_DOUBLINGS));
        self.failures_in_a_row = self.failures_in_a_row.saturating_add(1);
        let share = (SHARE_PER_CALLER * fleet_size).clamp(MIN_DELAY_SHARE, MAX_DELAY_SHARE);
        call_interval * share * factor * (0.5 + random)
    }
}

/// Whether a watch that had no answer is opened again at once.
///
/// A call that was answered with a failure shows a directory that is down or overloaded, and has to be backed off from. One
/// without an answer, long after the directory would have failed it, shows only that the connection of the watch is broken:
/// what it misses counts as delivered within half a second, and a delay would withhold updates that all others have.
#[derive(Clone, Copy, Debug, Default)]
pub struct WatchReopening {
    has_reopened: bool,
}

impl WatchReopening {
    /// A call was answered.
    pub fn on_answer(&mut self) {
        self.has_reopened = false;
    }

    /// A watch was given up without an answer: whether to open it again at once. A second one in a row is a failure.
    pub fn should_reopen(&mut self) -> bool {
        !std::mem::replace(&mut self.has_reopened, true)
    }
}
