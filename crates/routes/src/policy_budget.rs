//! What the limits of a policy have left: retries, and requests in flight.

use mosshead_site::Limits;
use mosshead_units::Time;

/// The time constant of the exponential decay of counted first attempts and retries: what is older by so much counts 1/e.
const DECAY_TIME: Time = Time::from_millis(10_000);
/// A retry is granted up to this many recent ones whatever the share: at a low rate, a share of the attempts would be below
/// one retry.
const MIN_RETRIES: f64 = 3.0;

/// A request in flight under a policy; given back by [`PolicyBudget::release`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a permit that is never released counts as a request in flight for good"]
pub struct RequestPermit(());

/// The limits of one policy, with what was counted against them.
#[derive(Clone, Debug)]
pub struct PolicyBudget {
    limits: Limits,
    in_flight: u32,
    /// Recent first attempts, decayed until `updated_at`.
    first_attempts: f64,
    /// Recent retries, decayed until `updated_at`.
    retries: f64,
    updated_at: Time,
}

impl PolicyBudget {
    /// The full budget, without requests.
    pub fn new(limits: Limits) -> Self {
        Self { limits, in_flight: 0, first_attempts: 0.0, retries: 0.0, updated_at: Time::ZERO }
    }

    /// Changes the limits; what is in flight stays counted.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Reduces what was counted by the time since the last update.
    fn decay(&mut self, now: Time) {
        let time_constants = (now - self.updated_at).as_seconds() / DECAY_TIME.as_seconds();
        let remaining = (-time_constants).exp();
        self.first_attempts *= remaining;
        self.retries *= remaining;
        self.updated_at = self.updated_at.max(now);
    }

    /// Admits a request and counts its first attempt; none if as many are in flight as the policy allows.
    pub fn try_admit(&mut self, now: Time) -> Option<RequestPermit> {
        if self.limits.concurrency.is_some_and(|max| self.in_flight >= max) {
            return None;
        }
        self.decay(now);
        self.first_attempts += 1.0;
        self.in_flight += 1;
        Some(RequestPermit(()))
    }

    /// Ends a request.
    pub fn release(&mut self, permit: RequestPermit) {
        let RequestPermit(()) = permit;
        debug_assert!(self.in_flight > 0, "more permits were released than issued");
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Whether a request that has had so many attempts may have another; if so, the retry is counted.
    pub fn try_retry(&mut self, now: Time, attempts: u32) -> bool {
        if self.limits.attempts.is_some_and(|max| attempts >= max) {
            return false;
        }
        self.decay(now);
        let is_granted = self
            .limits
            .retry_budget
            .is_none_or(|share| self.retries + 1.0 <= MIN_RETRIES.max(share.0 * self.first_attempts));
        if is_granted {
            self.retries += 1.0;
        }
        is_granted
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }
}
