//! Updates health, load, overload and price from the outcome of an attempt.

use super::balancer::Balancer;
use super::tuning::{OVERLOAD_DECAY_DEADLINES, STALL_FACTOR};
use crate::interface::{AttemptNumber, ClassId, EndpointId, Outcome, Seconds};
use crate::state::{Attempt, EjectionCause};

/// The overload that a missing response counts as. A response counts as the fraction of the latency target that it
/// took.
const MISSED_RESPONSE_OVERLOAD: f64 = 2.0;
/// An attempt counts as a missing response if it was given up after this fraction of the shortest latency target.
const MISSED_RESPONSE_AFTER: f64 = 0.9;
/// Weight of a new response in the overload. With a lower one a proxy with little traffic would notice an overload only
/// after its end.
const OVERLOAD_GAIN: f64 = 1.0 / 32.0;

/// An attempt that has ended, compared with what was known of its server before.
struct EndedAttempt {
    endpoint: EndpointId,
    outcome: Outcome,
    /// How long the attempt was in flight.
    rtt: Seconds,
    /// The attempt timed out or was cancelled before a response.
    is_given_up: bool,
    /// The server has not responded to any request since the attempt was sent.
    is_silent: bool,
    /// The attempt was in flight for much longer than expected.
    is_overdue: bool,
}

impl Balancer {
    /// Handles the end of an attempt. `attempt` is the timer token of its request and the attempt's number, or `None`
    /// if the request is no longer pending.
    pub(super) fn on_attempt_ended(
        &mut self,
        now: Seconds,
        attempt: Option<(u64, AttemptNumber)>,
        id: EndpointId,
        outcome: Outcome,
        rtt: Seconds,
    ) {
        let ended = self.release_endpoint(now, id, outcome, rtt);
        if ended.is_given_up && ended.is_silent && rtt >= STALL_FACTOR * self.state.endpoint(id).expected_time
        {
            self.record_unanswered(now, id, rtt);
        }
        let attempt = attempt.and_then(|(token, number)| self.finish_attempt(token, number, outcome));
        if matches!(outcome, Outcome::Served | Outcome::Errored | Outcome::Rejected) {
            self.record_contact(now, id, attempt.as_ref().map(|(_, attempt)| attempt));
        }
        self.update_health(now, &ended, attempt.as_ref());
        if let Some((class, attempt)) = &attempt {
            self.update_overload(now, *class, &ended);
            self.update_price(*class, attempt, &ended);
        }
    }

    /// Updates the server's attempts in flight, concurrency limit and connections.
    fn release_endpoint(
        &mut self,
        now: Seconds,
        id: EndpointId,
        outcome: Outcome,
        rtt: Seconds,
    ) -> EndedAttempt {
        let tick = self.settings.timer_resolution;
        let service_time = self.state.mean_service_time.value;
        let is_late = rtt + tick >= self.state.shortest_target;
        let is_given_up = matches!(outcome, Outcome::TimedOut | Outcome::Cancelled);
        let has_lost_connection = outcome == Outcome::ConnectFailed
            || (self.settings.limits.streams_per_connection == 1 && is_given_up);
        let endpoint = self.state.endpoint_mut(id);
        endpoint.in_flight = (endpoint.in_flight - 1.0).max(0.0);
        if outcome != Outcome::NotSent {
            let (in_flight, is_served) = (endpoint.in_flight + 1.0, outcome == Outcome::Served);
            endpoint.concurrency.on_attempt_ended(now, in_flight, is_late, is_served, service_time);
        }
        if has_lost_connection {
            endpoint.connections = (endpoint.connections - 1.0).max(endpoint.in_flight);
        }
        EndedAttempt {
            endpoint: id,
            outcome,
            rtt,
            is_given_up,
            is_silent: now - rtt + tick >= endpoint.last_contact_at,
            is_overdue: rtt >= 2.0 * STALL_FACTOR * endpoint.expected_time,
        }
    }

    /// Records the outcome in the request, and returns the request's class and the attempt.
    fn finish_attempt(
        &mut self,
        token: u64,
        number: AttemptNumber,
        outcome: Outcome,
    ) -> Option<(ClassId, Attempt)> {
        let request = self.state.requests.get_mut(&token)?;
        let attempt = request.attempts.get_mut(number.0 as usize)?;
        attempt.outcome = Some(outcome);
        // A server that may reject requests after it has started them may have run this one.
        attempt.never_ran = self.settings.rules.never_ran(outcome);
        Some((request.class, attempt.clone()))
    }

    fn record_contact(&mut self, now: Seconds, id: EndpointId, attempt: Option<&Attempt>) {
        let zone_index = self.zone_stats_index(&self.state.endpoint(id).entry);
        self.state.zones[zone_index].last_contact_at = now;
        let endpoint = self.state.endpoint_mut(id);
        (endpoint.last_contact_at, endpoint.connection_used_at) = (now, now);
        if let Some(attempt) = attempt {
            endpoint.expected_time = attempt.expected_time;
        }
    }

    /// Updates the server's health from the outcome.
    fn update_health(&mut self, now: Seconds, ended: &EndedAttempt, attempt: Option<&(ClassId, Attempt)>) {
        let id = ended.endpoint;
        let endpoint = self.state.endpoint(id);
        match ended.outcome {
            // A failure of an old connection says nothing about the server's health.
            Outcome::ConnectFailed if endpoint.connections > endpoint.in_flight => {}
            Outcome::Served => {
                self.update_failure_odds(id, false);
                self.record_success(id);
                if let Some((class, attempt)) = attempt {
                    self.record_response(id, *class, attempt, ended.rtt);
                }
            }
            // A server that fails fast has a low load, so without an ejection it would be selected again and again.
            Outcome::Errored => self.record_failure(now, id, EjectionCause::Errors),
            Outcome::ConnectFailed | Outcome::Reset => {
                self.record_failure(now, id, EjectionCause::NoResponse);
            }
            Outcome::Rejected => {
                // The last report may be old and show a full server as idle.
                let slots = self.state.slots(endpoint);
                let endpoint = self.state.endpoint_mut(id);
                endpoint.external_load += slots;
                endpoint.reported_at = now;
            }
            Outcome::TimedOut if ended.is_silent => self.record_failure(now, id, EjectionCause::NoResponse),
            // Attempts at a hung server are cancelled at the deadline or after a hedge has won; the server would then
            // look idle.
            Outcome::Cancelled if ended.is_silent && ended.is_overdue => {
                self.record_failure(now, id, EjectionCause::NoResponse);
            }
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    fn update_overload(&mut self, now: Seconds, class: ClassId, ended: &EndedAttempt) {
        let miss_after = MISSED_RESPONSE_AFTER * self.state.shortest_target;
        let is_missed = ended.is_given_up && ended.rtt + self.settings.timer_resolution >= miss_after;
        if !is_missed && ended.outcome != Outcome::Served {
            return;
        }
        let share = (ended.rtt / self.settings.classes[class.0].latency_target).min(1.0);
        let sample = if is_missed { MISSED_RESPONSE_OVERLOAD } else { share };
        let time_constant = OVERLOAD_DECAY_DEADLINES * self.state.mean_deadline;
        self.state.overload.add(now, time_constant, sample, OVERLOAD_GAIN);
    }

    /// Adjusts the price of work. Rejections raise it too: full servers reject requests of any value, so the price has
    /// to select the valuable ones before they are sent.
    fn update_price(&mut self, class: ClassId, attempt: &Attempt, ended: &EndedAttempt) {
        let reflects_queueing = match ended.outcome {
            Outcome::Served | Outcome::Rejected => true,
            Outcome::TimedOut => !ended.is_silent,
            _ => false,
        };
        if reflects_queueing {
            let target = self.settings.classes[class.0].latency_target;
            let is_missed = ended.outcome != Outcome::Served || ended.rtt > target;
            self.adjust_price(class, if is_missed { attempt.queue_factor - 1.0 } else { 0.0 });
        }
    }
}
