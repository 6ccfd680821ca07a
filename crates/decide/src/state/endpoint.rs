//! The state of one server: its load, health, concurrency limit and connections.

use crate::interface::{ListEntry, LoadReport, Seconds};

/// A late response reduces the limit to this fraction of the attempts in flight, or of the limit if that is lower.
const LATE_RESPONSE_FACTOR: f64 = 0.7;

/// One server.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) entry: ListEntry,
    /// This proxy's own attempts in flight: an exact count, and a lower bound for every load report.
    pub(crate) in_flight: f64,
    /// The load of other clients by the last report, in requests.
    pub(crate) external_load: f64,
    pub(crate) report: LoadReport,
    pub(crate) reported_at: Seconds,
    /// The natural logarithm of the ratio of its response times to those of its kind of machine.
    pub(crate) log_slowness: f64,
    /// When it last responded, or when an attempt was sent while none was in flight.
    pub(crate) last_contact_at: Seconds,
    /// The expected time until the next response.
    pub(crate) expected_time: Seconds,
    /// Set while the server is ejected, or on trial.
    pub(crate) ejection: Option<Ejection>,
    /// The natural logarithm of the odds that it is unhealthy, judged by failures and successes; never negative.
    pub(crate) failure_log_odds: f64,
    pub(crate) concurrency: ConcurrencyLimit,
    /// The estimated number of this proxy's connections to it.
    pub(crate) connections: f64,
    /// When a connection to it was last known to work.
    pub(crate) connection_used_at: Seconds,
    /// A random number that sets its position in this proxy's own order of servers.
    pub(crate) preference: u32,
}

impl Endpoint {
    pub(super) fn new(now: Seconds, entry: ListEntry, initial_concurrency: f64) -> Self {
        Self {
            entry,
            in_flight: 0.0,
            external_load: 0.0,
            report: LoadReport::default(),
            reported_at: f64::NEG_INFINITY,
            log_slowness: 0.0,
            last_contact_at: now,
            expected_time: f64::INFINITY,
            ejection: None,
            failure_log_odds: 0.0,
            concurrency: ConcurrencyLimit { limit: initial_concurrency, late_ignored_until: now },
            connections: 0.0,
            connection_used_at: now,
            preference: 0,
        }
    }

    /// Returns true if the concurrency limit is reached.
    pub(crate) fn is_full(&self) -> bool {
        self.in_flight >= self.concurrency.limit.floor()
    }
}

/// Why a server is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EjectionCause {
    /// It responds with errors.
    Errors,
    /// It is unreachable or does not respond.
    NoResponse,
}

/// The ejection of a failing server, and its trial requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ejection {
    pub(crate) cause: EjectionCause,
    /// When the next trial is due.
    pub(crate) until: Seconds,
    /// How many trials have failed; each one doubles the duration of the ejection, up to a maximum.
    pub(crate) repetitions: u32,
    /// How many trials have succeeded in a row.
    pub(crate) successful_trials: u32,
}

/// Adaptive limit of this proxy's concurrent attempts at a server: reduced after late responses, raised slowly after
/// timely ones.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    /// Late responses before this time are ignored: they belong to the load before the last reduction.
    late_ignored_until: Seconds,
}

impl ConcurrencyLimit {
    /// Adapts the limit after an attempt has ended. `in_flight` counts the attempts including that one.
    pub(crate) fn on_attempt_ended(
        &mut self,
        now: Seconds,
        in_flight: f64,
        is_late: bool,
        is_served: bool,
        service_time: Seconds,
    ) {
        if is_late && now >= self.late_ignored_until {
            self.limit = (self.limit.min(in_flight) * LATE_RESPONSE_FACTOR).max(1.0);
            self.late_ignored_until = now + service_time;
        } else if is_served && !is_late && in_flight >= self.limit / 2.0 {
            self.limit += 1.0 / self.limit;
        }
    }
}
