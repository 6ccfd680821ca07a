//! The retry budget: one for all proxies, of which each may spend its share by the number of proxies (RULES.md, BUDGET).

use std::collections::VecDeque;

use mosshead_time::{Duration, Instant, whole_millis};

/// What the deployment allows for one service, all proxies together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// Retries for each request in a window.
    pub retry_ratio: f64,
    /// Retries in a window beyond that.
    pub extra_retries: f64,
    /// The length of the sliding window.
    pub window: Duration,
}

/// The window slides in this many steps, each of which is one slice.
const SLICES_PER_WINDOW: u64 = 20;
/// The share of the allowed retries that may be spent. It is below 1, since the rule's windows may begin at any instant, and
/// proxies come and go.
const SPENDABLE_SHARE: f64 = 0.8;

/// What was counted in one step of the window.
#[derive(Debug)]
struct WindowSlice {
    start: Instant,
    requests: f64,
    retries: f64,
}

/// This proxy's requests and retries of one service in the present window.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    slice_length: Duration,
    /// Slices in order of their start; the sums below are those over all of them.
    slices: VecDeque<WindowSlice>,
    requests: f64,
    retries: f64,
}

impl RetryBudget {
    /// An empty window.
    pub fn new(limits: RetryBudgetLimits) -> Self {
        let slice_millis = (whole_millis(limits.window) / SLICES_PER_WINDOW).max(1);
        let slice_length = Duration::from_millis(slice_millis);
        Self { limits, slice_length, slices: VecDeque::new(), requests: 0.0, retries: 0.0 }
    }

    /// Drops the slices that have left the window, and returns the one that `now` falls into.
    fn current_slice(&mut self, now: Instant) -> &mut WindowSlice {
        let retention = self.limits.window + self.slice_length;
        while let Some(slice) = self.slices.pop_front_if(|slice| slice.start + retention <= now) {
            self.requests -= slice.requests;
            self.retries -= slice.retries;
        }
        if self.slices.back().is_none_or(|slice| slice.start + self.slice_length <= now) {
            self.slices.push_back(WindowSlice { start: now, requests: 0.0, retries: 0.0 });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }

    /// Counts a client's request for the service.
    pub fn record_request(&mut self, now: Instant) {
        self.current_slice(now).requests += 1.0;
        self.requests += 1.0;
    }

    /// Whether a retry is left. `proxy_count` proxies share the extra retries.
    pub fn has_retry(&mut self, now: Instant, proxy_count: usize) -> bool {
        self.current_slice(now);
        let share_of_extra = self.limits.extra_retries / proxy_count.max(1) as f64;
        let allowed = self.limits.retry_ratio * self.requests + share_of_extra;
        // Every proxy may spend its share in full at the same time, and their sum must still keep the rule.
        self.retries + 1.0 <= SPENDABLE_SHARE * allowed
    }

    /// Takes one retry out of the budget; false if none is left. `proxy_count` proxies share the extra retries.
    pub fn try_withdraw(&mut self, now: Instant, proxy_count: usize) -> bool {
        if !self.has_retry(now, proxy_count) {
            return false;
        }
        self.current_slice(now).retries += 1.0;
        self.retries += 1.0;
        true
    }
}
