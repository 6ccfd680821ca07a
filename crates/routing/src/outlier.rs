//! Outlier ejection: what this proxy's own attempts show of a server, and when the server gets requests again.

use mosshead_time::{Duration, Instant};

/// A failure of an attempt that is evidence about its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerFailure {
    /// No connection was established, or the machine acknowledged nothing.
    Unreachable,
    /// The server reset the connection, broke a response off or sent what is no valid response.
    BrokenResponse,
    /// The server answered with an error of its own.
    ErrorResponse,
    /// The server rejected the request because it is full.
    Overloaded,
    /// Another instance answers at the server's address.
    WrongInstance,
}

/// The first ejection lasts this long; each further one twice as long.
const BASE_EJECTION: Duration = Duration::from_millis(500);
/// No ejection lasts longer.
const MAX_EJECTION: Duration = Duration::from_millis(4000);
/// An ejection is doubled at most this often.
const MAX_DOUBLINGS: u32 = 3;
/// How long a full server gets no requests.
const OVERLOAD_PAUSE: Duration = Duration::from_millis(60);
/// Failures that may be chance eject a server once they outweigh its successes by this much.
const SUSPICION_LIMIT: f64 = 3.0;
/// What one success takes off the suspicion that one failure adds.
const SUCCESS_CREDIT: f64 = 0.5;

/// What is known of one server's failures.
///
/// A server that was ejected is on trial once its ejection is over: it gets one request at a time, until one succeeds or a
/// failure ejects it again. [`ServerFailure::Overloaded`] only pauses a server: no trial follows from that alone.
#[derive(Clone, Debug, Default)]
pub struct OutlierRecord {
    /// Failures that may be chance, less the credit of successes; never negative.
    suspicion: f64,
    /// Ejections since the last success.
    consecutive_ejections: u32,
    /// The end of the last ejection or pause; the origin of the clock after a success.
    ejected_until: Instant,
    /// Whether the one request of a server on trial is in flight.
    is_trial_in_flight: bool,
}

impl OutlierRecord {
    /// Whether the server may be selected: it is not ejected, and no trial request is in flight.
    pub fn is_selectable(&self, now: Instant) -> bool {
        self.is_healthy(now) && !self.is_trial_in_flight
    }

    /// Whether the server is not ejected; a trial in flight doesn't count against it.
    pub fn is_healthy(&self, now: Instant) -> bool {
        now >= self.ejected_until
    }

    /// The server was selected: after an ejection this request is its trial.
    pub fn record_selection(&mut self) {
        self.is_trial_in_flight = self.consecutive_ejections > 0;
    }

    /// A request there was answered as it should be.
    pub fn record_success(&mut self) {
        self.suspicion = (self.suspicion - SUCCESS_CREDIT).max(0.0);
        self.consecutive_ejections = 0;
        self.is_trial_in_flight = false;
        self.ejected_until = Instant::ORIGIN;
    }

    /// An attempt there failed.
    pub fn record_failure(&mut self, now: Instant, failure: ServerFailure) {
        self.is_trial_in_flight = false;
        match failure {
            ServerFailure::Overloaded => self.ejected_until = self.ejected_until.max(now + OVERLOAD_PAUSE),
            ServerFailure::Unreachable | ServerFailure::WrongInstance => self.eject(now),
            ServerFailure::BrokenResponse | ServerFailure::ErrorResponse => {
                self.suspicion += 1.0;
                if self.suspicion >= SUSPICION_LIMIT || self.consecutive_ejections > 0 {
                    self.eject(now);
                }
            }
        }
    }

    /// An attempt ended without showing anything of the server.
    pub fn record_inconclusive(&mut self) {
        self.is_trial_in_flight = false;
    }

    /// Does nothing during an ejection: failures of requests that were already in flight don't prolong it.
    fn eject(&mut self, now: Instant) {
        if now < self.ejected_until {
            return;
        }
        let doubled = BASE_EJECTION * (1 << self.consecutive_ejections.min(MAX_DOUBLINGS));
        self.ejected_until = now + doubled.min(MAX_EJECTION);
        self.consecutive_ejections += 1;
    }
}
