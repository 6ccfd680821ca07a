//! Outlier ejection: servers that fail this proxy's own attempts get no requests for a while.

use mosshead_time::{Duration, Instant};

/// A failure of an attempt that counts against its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerFailure {
    /// No connection could be established, or the machine did not acknowledge any data.
    Unreachable,
    /// The server reset the connection, broke off a response, or sent an invalid one.
    BrokenResponse,
    /// The server responded with an error of its own.
    ErrorResponse,
    /// The server rejected the request because it is full.
    Overloaded,
    /// Another instance responded at the server's address.
    WrongInstance,
}

/// The duration of the first ejection. Each further ejection lasts twice as long as the one before.
const BASE_EJECTION: Duration = Duration::from_millis(500);
/// Upper bound on the duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_millis(4000);
/// Upper bound on how often the duration is doubled.
const MAX_DOUBLINGS: u32 = 3;
/// How long an overloaded server gets no requests.
const OVERLOAD_PAUSE: Duration = Duration::from_millis(60);
/// The failure score at which a server is ejected.
const FAILURE_SCORE_LIMIT: f64 = 3.0;
/// How much a success reduces the failure score. A failure that may be random adds 1.
const SUCCESS_CREDIT: f64 = 0.5;

/// The failure history of one server.
///
/// A server whose ejection is over is on trial: it gets one request at a time, until one succeeds or a failure ejects
/// the server again. [`ServerFailure::Overloaded`] only pauses a server; such a pause alone is not followed by a trial.
#[derive(Clone, Debug, Default)]
pub struct OutlierRecord {
    /// The number of failures that may be random, minus the credit of successes; never negative.
    failure_score: f64,
    /// Ejections since the last success.
    consecutive_ejections: u32,
    /// The end of the last ejection or pause; [`Instant::ORIGIN`] after a success.
    ejected_until: Instant,
    /// True while the one request of a server on trial is in flight.
    is_trial_in_flight: bool,
}

impl OutlierRecord {
    /// True if the server may be selected: it is not ejected and has no trial request in flight.
    pub fn is_selectable(&self, now: Instant) -> bool {
        self.is_healthy(now) && !self.is_trial_in_flight
    }

    /// True if the server is not ejected, even while a trial request is in flight.
    pub fn is_healthy(&self, now: Instant) -> bool {
        now >= self.ejected_until
    }

    /// Records that the server was selected. After an ejection, this request is its trial.
    pub fn record_selection(&mut self) {
        self.is_trial_in_flight = self.consecutive_ejections > 0;
    }

    /// Records a successful attempt, which ends any ejection, pause or trial.
    pub fn record_success(&mut self) {
        self.failure_score = (self.failure_score - SUCCESS_CREDIT).max(0.0);
        self.consecutive_ejections = 0;
        self.is_trial_in_flight = false;
        self.ejected_until = Instant::ORIGIN;
    }

    /// Records a failed attempt.
    pub fn record_failure(&mut self, now: Instant, failure: ServerFailure) {
        self.is_trial_in_flight = false;
        match failure {
            ServerFailure::Overloaded => self.ejected_until = self.ejected_until.max(now + OVERLOAD_PAUSE),
            ServerFailure::Unreachable | ServerFailure::WrongInstance => self.eject(now),
            ServerFailure::BrokenResponse | ServerFailure::ErrorResponse => {
                self.failure_score += 1.0;
                if self.failure_score >= FAILURE_SCORE_LIMIT || self.consecutive_ejections > 0 {
                    self.eject(now);
                }
            }
        }
    }

    /// Records the end of an attempt that says nothing about the server.
    pub fn record_inconclusive(&mut self) {
        self.is_trial_in_flight = false;
    }

    /// Ejects the server. During an ejection or pause this does nothing, so that failures of requests that were already
    /// in flight don't prolong it.
    fn eject(&mut self, now: Instant) {
        if now < self.ejected_until {
            return;
        }
        let doubled = BASE_EJECTION * (1 << self.consecutive_ejections.min(MAX_DOUBLINGS));
        self.ejected_until = now + doubled.min(MAX_EJECTION);
        self.consecutive_ejections += 1;
    }
}
