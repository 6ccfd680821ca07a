//! Load reports: renewed at intervals, and shown late.

use std::collections::VecDeque;

use crate::Time;

/// What a server reports of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Responses in a second, over the last report period.
    pub requests_per_second: f64,
    /// Requests in execution and waiting.
    pub in_flight: f64,
    /// Requests waiting.
    pub queued: f64,
    /// The share of its cores that are busy, up to 1.
    pub utilization: f64,
    /// When it was taken. The same report is shown until the next one, with the same noise.
    pub taken_at: Time,
}

/// The reports of one server: the one that is shown, and newer ones that are not old enough.
#[derive(Clone, Debug)]
pub(super) struct ReportHistory {
    /// The oldest first; never empty.
    reports: VecDeque<LoadReport>,
    next_at: Time,
    /// The age at which a report is shown.
    delay: Time,
    /// What a fault adds to `delay`.
    extra_delay: Time,
    served: u64,
    served_before: u64,
}

/// The state that a report describes.
pub(super) struct LoadSample {
    pub(super) in_flight: usize,
    pub(super) queued: usize,
    pub(super) utilization: f64,
}

impl ReportHistory {
    pub(super) fn new(now: Time, period: Time, delay: Time) -> Self {
        Self {
            reports: VecDeque::from([LoadReport { taken_at: now, ..LoadReport::default() }]),
            next_at: now + period,
            delay,
            extra_delay: Time::ZERO,
            served: 0,
            served_before: 0,
        }
    }

    pub(super) fn next_at(&self) -> Time {
        self.next_at
    }

    pub(super) fn record_served(&mut self) {
        self.served += 1;
    }

    pub(super) fn set_extra_delay(&mut self, extra_delay: Time) {
        self.extra_delay = extra_delay;
    }

    /// Takes a report of the state at `now`.
    pub(super) fn take_report(&mut self, now: Time, period: Time, sample: LoadSample) {
        self.next_at = now + period;
        let requests_per_second = (self.served - self.served_before) as f64 / period.as_seconds();
        self.served_before = self.served;
        self.reports.push_back(LoadReport {
            requests_per_second,
            in_flight: sample.in_flight as f64,
            queued: sample.queued as f64,
            utilization: sample.utilization,
            taken_at: now,
        });
        // What is older than the shown report is never shown again.
        let shown = now - self.delay - self.extra_delay;
        while self.reports.len() > 1 && self.reports[1].taken_at <= shown {
            self.reports.pop_front();
        }
    }

    /// The newest report that is old enough to be shown at `now`; the oldest one where none is.
    pub(super) fn shown_report(&self, now: Time) -> LoadReport {
        let shown = now - self.delay - self.extra_delay;
        let old_enough = self.reports.iter().rev().find(|report| report.taken_at <= shown);
        old_enough.or(self.reports.front()).copied().unwrap_or_default()
    }
}
