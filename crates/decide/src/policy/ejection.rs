//! Outlier ejection: servers that fail are excluded from the candidates until trial requests succeed.

use super::balancer::Balancer;
use super::tuning::MEAN_GAIN;
use crate::interface::{ClassId, EndpointId, Seconds};
use crate::state::{Ejection, EjectionCause, PendingRequest};

/// The maximum number of times that the duration of an ejection is doubled. The first duration is one mean deadline;
/// each failed trial doubles it.
const MAX_EJECTION_DOUBLINGS: u32 = 2;
/// The assumed failure rate of an unhealthy server.
const UNHEALTHY_FAILURE_RATE: f64 = 0.5;
/// The minimum of the assumed failure rate of a healthy server, which is otherwise the fleet's failure rate.
const MIN_FAILURE_RATE: f64 = 0.01;
/// A server is ejected once the natural logarithm of the odds that it is unhealthy reaches this value.
const EJECTION_LOG_ODDS: f64 = 5.0;
/// The number of trials in a row that must succeed to end an ejection.
const TRIALS_TO_RECOVER: u32 = 3;

impl Balancer {
    /// Returns true if the server is not ejected, or if it is due a trial and this request can be the trial.
    pub(super) fn is_healthy(&self, now: Seconds, request: &PendingRequest, index: usize) -> bool {
        let endpoint = &self.state.endpoints[index];
        let Some(ejection) = endpoint.ejection else { return true };
        // A trial may fail, so requests that must not be repeated are used only if no class may be repeated.
        let mut classes = (0..self.state.classes.len()).map(ClassId);
        let may_be_trial = self.may_repeat(request.class) || !classes.any(|class| self.may_repeat(class));
        now >= ejection.until && endpoint.in_flight == 0.0 && may_be_trial
    }

    /// Records a failure, and ejects the server if it is probably unhealthy. Occasional failures happen at any server:
    /// if each caused an ejection, most of a healthy fleet would be idle.
    pub(super) fn record_failure(&mut self, now: Seconds, id: EndpointId, cause: EjectionCause) {
        if self.update_failure_odds(id, true) >= EJECTION_LOG_ODDS
            || self.state.endpoint(id).ejection.is_some()
        {
            self.eject(now, id, cause);
        }
    }

    /// Updates the odds that the server is unhealthy rather than failing as often as the fleet does, and returns their
    /// natural logarithm.
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

    /// Counts a successful trial if the server is ejected, and ends the ejection after enough of them.
    pub(super) fn record_success(&mut self, id: EndpointId) {
        self.state.endpoint_mut(id).ejection.take_if(|ejection| {
            ejection.successful_trials += 1;
            ejection.successful_trials >= TRIALS_TO_RECOVER
        });
    }
}
