//! Outlier ejection: servers that fail are no candidates until trials have succeeded.

use super::balancer::Balancer;
use super::tuning::MEAN_GAIN;
use crate::interface::{ClassId, EndpointId, Seconds};
use crate::state::{Ejection, EjectionCause, PendingRequest};

/// How often the time of an ejection, at first a mean deadline, is doubled at most. Each failed trial doubles it.
const MAX_EJECTION_DOUBLINGS: u32 = 2;
/// The assumed failure rate of an unhealthy server.
const UNHEALTHY_FAILURE_RATE: f64 = 0.5;
/// The least failure rate that is assumed of a healthy server, which otherwise fails as often as all do.
const MIN_FAILURE_RATE: f64 = 0.01;
/// A server is ejected once the natural logarithm of the odds that it is unhealthy has reached this.
const EJECTION_LOG_ODDS: f64 = 5.0;
/// How many trials in a row must succeed before an ejected server is an ordinary candidate again.
const TRIALS_TO_RECOVER: u32 = 3;

impl Balancer {
    /// Whether the server looks healthy, or is due a trial that this request can serve as.
    pub(super) fn is_healthy(&self, now: Seconds, request: &PendingRequest, index: usize) -> bool {
        let endpoint = &self.state.endpoints[index];
        let Some(ejection) = endpoint.ejection else { return true };
        // A trial may fail, and a request that must not be repeated would be lost; others go first.
        let mut classes = (0..self.state.classes.len()).map(ClassId);
        let may_be_trial = self.may_repeat(request.class) || !classes.any(|class| self.may_repeat(class));
        now >= ejection.until && endpoint.in_flight == 0.0 && may_be_trial
    }

    /// Counts a failure, and ejects the server once it is likely unhealthy. Attempts fail now and then at any server;
    /// if each failure ejected one, most of a healthy fleet would be idle.
    pub(super) fn record_failure(&mut self, now: Seconds, id: EndpointId, cause: EjectionCause) {
        if self.update_failure_odds(id, true) >= EJECTION_LOG_ODDS
            || self.state.endpoint(id).ejection.is_some()
        {
            self.eject(now, id, cause);
        }
    }

    /// Updates how much likelier it is that the server is unhealthy than that it fails as often as all do; returns the
    /// natural logarithm of these odds.
    pub(super) fn update_failure_odds(&mut self, id: EndpointId, has_failed: bool) -> f64 {
        let common_rate = self.state.failure_rate.value.max(MIN_FAILURE_RATE);
        self.state.failure_rate.add(f64::from(has_failed), MEAN_GAIN);
        let odds = if has_failed {
            UNHEALTHY_FAILURE_RATE / common_rate
        } else {
            (1.0 - UNHEALTHY_FAILURE_RATE) / (1.0 - common_rate)
        };
        let log_odds = &mut self.state.endpoint_mut(id).failure_log_odds;
        *log_odds = (*log_odds + odds.ln()).clamp(0.0, EJECTION_LOG_ODDS);
        *log_odds
    }

    pub(super) fn eject(&mut self, now: Seconds, id: EndpointId, cause: EjectionCause) {
        let repetitions = match self.state.endpoint(id).ejection {
            Some(ejection) if now < ejection.until => ejection.repetitions,
            Some(ejection) => (ejection.repetitions + 1).min(MAX_EJECTION_DOUBLINGS),
            None => 0,
        };
        let until = now + self.state.mean_deadline * f64::from(1 << repetitions);
        let ejection = Ejection { cause, until, repetitions, successful_trials: 0 };
        self.state.endpoint_mut(id).ejection = Some(ejection);
    }

    /// Counts a successful trial, if the server is on trial.
    pub(super) fn record_success(&mut self, id: EndpointId) {
        self.state.endpoint_mut(id).ejection.take_if(|ejection| {
            ejection.successful_trials += 1;
            ejection.successful_trials >= TRIALS_TO_RECOVER
        });
    }
}
