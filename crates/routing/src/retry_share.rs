//! A proxy's share of the extra retries, which all proxies of the fleet have together.

use std::collections::VecDeque;

use mosshead_time::{Duration, Instant};

/// A number of proxies that was reported.
#[derive(Clone, Copy, Debug)]
struct ReportedCount {
    proxies: usize,
    /// When another number was reported; `None` for the current one.
    replaced_at: Option<Instant>,
}

/// Determines how many proxies share the extra retries, and from when on this proxy has a share.
///
/// What a proxy has spent counts in the window even after it has left or has been restarted. So the share of a proxy
/// that leaves falls to the others only after a window, and a restarted proxy has no share during its first window.
#[derive(Debug)]
pub(crate) struct RetryShare {
    window: Duration,
    /// In falling order of the numbers; the front is the largest of the last window.
    counts: VecDeque<ReportedCount>,
    available_from: Instant,
}

impl RetryShare {
    /// The share of a single proxy.
    pub(crate) fn new(window: Duration) -> Self {
        Self {
            window,
            counts: VecDeque::from([ReportedCount { proxies: 1, replaced_at: None }]),
            available_from: Instant::ORIGIN,
        }
    }

    /// Leaves this proxy without a share for one window.
    pub(crate) fn withhold(&mut self, now: Instant) {
        self.available_from = now + self.window;
    }

    /// Records the current number of proxies.
    pub(crate) fn set_proxy_count(&mut self, now: Instant, proxies: usize) {
        if let Some(current) = self.counts.back_mut() {
            if current.proxies == proxies {
                return;
            }
            current.replaced_at = Some(now);
        }
        while self.counts.pop_back_if(|count| count.proxies <= proxies).is_some() {}
        self.counts.push_back(ReportedCount { proxies, replaced_at: None });
    }

    /// The part of the extra retries that this proxy may spend now.
    pub(crate) fn fraction(&mut self, now: Instant) -> f64 {
        if now < self.available_from {
            return 0.0;
        }
        let window = self.window;
        let has_expired = |count: &mut ReportedCount| count.replaced_at.is_some_and(|at| at + window <= now);
        while self.counts.pop_front_if(has_expired).is_some() {}
        let proxies = self.counts.front().map_or(1, |count| count.proxies.max(1));
        1.0 / proxies as f64
    }
}
