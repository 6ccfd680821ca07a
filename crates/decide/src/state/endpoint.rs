//! What is known of one server.

use crate::interface::{ListEntry, LoadReport, Seconds};

/// A late response reduces the limit to this fraction of the attempts in flight.
const LATE_RESPONSE_FACTOR: f64 = 0.7;

/// One server.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) entry: ListEntry,
    /// Own attempts in flight: known exactly, and a lower bound of every report.
    pub(crate) in_flight: f64,
    /// What others had there by the last report.
    pub(crate) load_of_others: f64,
    pub(crate) report: LoadReport,
    pub(crate) reported_at: Seconds,
    /// The natural logarithm of how its response times compare with those of its kind.
    pub(crate) log_slowness: f64,
    /// The last response, or the send that ended an idle time.
    pub(crate) last_contact_at: Seconds,
    /// How long the next response is expected to take.
    pub(crate) expected_time: Seconds,
    /// Set while the server is ejected, or on trial.
    pub(crate) ejection: Option<Ejection>,
    /// The natural logarithm of the odds that it is unhealthy, by its failures and successes; never negative.
    pub(crate) failure_log_odds: f64,
    pub(crate) concurrency: ConcurrencyLimit,
    /// Own connections to it.
    pub(crate) connections: f64,
    /// When a connection last worked.
    pub(crate) connection_used_at: Seconds,
    /// A random number that gives its position in this proxy's own order of the servers.
    pub(crate) preference: u32,
}

impl Endpoint {
    pub(super) fn new(now: Seconds, entry: ListEntry, initial_concurrency: f64) -> Self {
        Self {
            entry,
            in_flight: 0.0,
            load_of_others: 0.0,
            report: LoadReport::default(),
            reported_at: f64::NEG_INFINITY,
            log_slowness: 0.0,
            last_contact_at: now,
            expected_time: f64::INFINITY,
            ejection: None,
            failure_log_odds: 0.0,
            concurrency: ConcurrencyLimit { limit: initial_concurrency, reduced_until: now },
            connections: 0.0,
            connection_used_at: now,
            preference: 0,
        }
    }

    /// Whether it has as many own attempts as it may have.
    pub(crate) fn is_full(&self) -> bool {
        self.in_flight >= self.concurrency.limit.floor()
    }
}

/// Why a server is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EjectionCause {
    /// It responds with errors.
    Errors,
    /// It cannot be reached or does not respond.
    NoResponse,
}

/// The ejection of a server that failed, and its trials.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ejection {
    pub(crate) cause: EjectionCause,
    /// When it is due a trial.
    pub(crate) until: Seconds,
    /// How many trials have failed; each doubles the time of the ejection.
    pub(crate) repetitions: u32,
    /// How many trials have succeeded in a row.
    pub(crate) successful_trials: u32,
}

/// How many own attempts a server may have at once: fewer after late responses, slowly more after others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    /// Until then late responses belong to the load that has been reduced already.
    reduced_until: Seconds,
}

impl ConcurrencyLimit {
    /// Adapts the limit when an attempt has ended, of `in_flight` at that time.
    pub(crate) fn on_attempt_ended(
        &mut self,
        now: Seconds,
        in_flight: f64,
        is_late: bool,
        is_served: bool,
        service_time: Seconds,
    ) {
        if is_late && now >= self.reduced_until {
            self.limit = (self.limit.min(in_flight) * LATE_RESPONSE_FACTOR).max(1.0);
            self.reduced_until = now + service_time;
        } else if is_served && !is_late && in_flight >= self.limit / 2.0 {
            self.limit += 1.0 / self.limit;
        }
    }
}
