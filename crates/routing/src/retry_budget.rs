//! The retry budget. All proxies share one budget per service, and each proxy enforces its own share of it, which
//! depends on the number of proxies (RULES.md, BUDGET).

use std::collections::VecDeque;

use mosshead_time::{Duration, Instant, whole_millis};

/// The retry limits of one service, for all proxies together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// Allowed retries per request in a window.
    pub retry_ratio: f64,
    /// Allowed retries in a window in addition to those.
    pub extra_retries: f64,
    /// The length of the sliding window.
    pub window: Duration,
}

/// The number of slices into which the sliding window is divided.
const SLICES_PER_WINDOW: u64 = 20;
/// The share of the allowed retries that may be spent. It is below 1 because the rule holds for windows that begin at
/// any instant, and because proxies come and go.
const SPENDABLE_SHARE: f64 = 0.8;

/// The share of the spendable retries that is left to a request while there are more urgent requests in the window. The
/// rest is reserved for the most urgent requests of the service.
const LESS_URGENT_SHARE: f64 = 0.75;
/// A priority number that is less urgent than that of any route.
const LEAST_URGENT: u8 = u8::MAX;

/// The counts of one slice of the window.
#[derive(Debug)]
struct WindowSlice {
    start: Instant,
    requests: f64,
    retries: f64,
    /// The lowest priority number of the requests; lower numbers are more urgent.
    most_urgent: u8,
}

/// This proxy's requests and retries of one service in the current window.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    slice_length: Duration,
    /// Slices in order of their start. `requests` and `retries` below are the sums over all slices.
    slices: VecDeque<WindowSlice>,
    requests: f64,
    retries: f64,
}

impl RetryBudget {
    /// Creates a budget with an empty window.
    pub fn new(limits: RetryBudgetLimits) -> Self {
        let slice_millis = (whole_millis(limits.window) / SLICES_PER_WINDOW).max(1);
        let slice_length = Duration::from_millis(slice_millis);
        Self { limits, slice_length, slices: VecDeque::new(), requests: 0.0, retries: 0.0 }
    }

    /// Drops the slices that have left the window, and returns the slice for `now`.
    fn current_slice(&mut self, now: Instant) -> &mut WindowSlice {
        let retention = self.limits.window + self.slice_length;
        while let Some(slice) = self.slices.pop_front_if(|slice| slice.start + retention <= now) {
            self.requests -= slice.requests;
            self.retries -= slice.retries;
        }
        if self.slices.back().is_none_or(|slice| slice.start + self.slice_length <= now) {
            self.slices.push_back(WindowSlice {
                start: now,
                requests: 0.0,
                retries: 0.0,
                most_urgent: LEAST_URGENT,
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }

    /// Counts a client's request for the service. `priority` is that of its route; 0 is the most urgent.
    pub fn record_request(&mut self, now: Instant, priority: u8) {
        let slice = self.current_slice(now);
        slice.requests += 1.0;
        slice.most_urgent = slice.most_urgent.min(priority);
        self.requests += 1.0;
    }

    /// True if the budget has a retry left for a request of this priority. `extra_share` is this proxy's share of the
    /// extra retries, from 0 to 1.
    pub fn has_retry(&mut self, now: Instant, extra_share: f64, priority: u8) -> bool {
        self.current_slice(now);
        let allowed = self.limits.retry_ratio * self.requests + self.limits.extra_retries * extra_share;
        // All proxies may spend their full shares at the same time, and the sum must still obey the rule.
        self.retries + 1.0 <= SPENDABLE_SHARE * self.share_for_priority(priority) * allowed
    }

    /// The share of the spendable retries that requests of this priority may spend.
    fn share_for_priority(&self, priority: u8) -> f64 {
        let most_urgent = self.slices.iter().map(|slice| slice.most_urgent).min().unwrap_or(LEAST_URGENT);
        if priority > most_urgent { LESS_URGENT_SHARE } else { 1.0 }
    }

    /// Takes one retry out of the budget. Returns false if none is left for a request of this priority. `extra_share` is
    /// as for [`RetryBudget::has_retry`].
    pub fn try_withdraw(&mut self, now: Instant, extra_share: f64, priority: u8) -> bool {
        if !self.has_retry(now, extra_share, priority) {
            return false;
        }
        self.current_slice(now).retries += 1.0;
        self.retries += 1.0;
        true
    }
}
