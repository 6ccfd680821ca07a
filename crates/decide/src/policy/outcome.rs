//! What is learned from the outcome of an attempt.

use super::balancer::Balancer;
use super::tuning::{OVERLOAD_DECAY, STALL_FACTOR};
use crate::interface::{AttemptNumber, ClassId, EndpointId, Outcome, Seconds};
use crate::state::{Attempt, EjectionCause};

/// The overload is the fraction of the latency target that responses take. This is what a missing response counts.
const OVERLOAD_MISS: f64 = 2.0;
/// An attempt that was given up after this fraction of the shortest latency target counts as a missing response.
const OVERLOAD_MISS_AFTER: f64 = 0.9;
/// The weight of a response in the overload. Learned over more responses, a proxy with little traffic would know of an
/// overload only when it is over.
const OVERLOAD_GAIN: f64 = 1.0 / 32.0;

/// How an attempt ended, and what of the server was known before.
struct Ending {
    endpoint: EndpointId,
    outcome: Outcome,
    /// How long the attempt was in flight.
    rtt: Seconds,
    /// It was given up without a response.
    is_given_up: bool,
    /// The server has not responded to anything since the attempt was sent.
    is_silent: bool,
    /// It was in flight for much longer than expected.
    is_overdue: bool,
}

impl Balancer {
    /// Takes the outcome of an attempt; `attempt` is the timer token of its request, if that is still pending, with its
    /// number.
    pub(super) fn on_attempt_ended(
        &mut self,
        now: Seconds,
        attempt: Option<(u64, AttemptNumber)>,
        id: EndpointId,
        outcome: Outcome,
        rtt: Seconds,
    ) {
        let ending = self.release_endpoint(now, id, outcome, rtt);
        if ending.is_given_up
            && ending.is_silent
            && rtt >= STALL_FACTOR * self.state.endpoint(id).expected_time
        {
            self.record_unanswered(now, id, rtt);
        }
        let attempt = attempt.and_then(|(token, number)| self.finish_attempt(token, number, outcome));
        if matches!(outcome, Outcome::Served | Outcome::Errored | Outcome::Rejected) {
            self.record_contact(now, id, attempt.as_ref().map(|(_, attempt)| attempt));
        }
        self.update_health(now, &ending, attempt.as_ref());
        if let Some((class, attempt)) = &attempt {
            self.update_overload(now, *class, &ending);
            self.update_price(*class, attempt, &ending);
        }
    }

    /// Takes the attempt off the server's counts.
    fn release_endpoint(&mut self, now: Seconds, id: EndpointId, outcome: Outcome, rtt: Seconds) -> Ending {
        let tick = self.settings.timer_resolution;
        let service_time = self.state.mean_service.value;
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
        Ending {
            endpoint: id,
            outcome,
            rtt,
            is_given_up,
            is_silent: now - rtt + tick >= endpoint.last_contact_at,
            is_overdue: rtt >= 2.0 * STALL_FACTOR * endpoint.expected_time,
        }
    }

    /// Records the outcome with the request; returns the attempt with its class.
    fn finish_attempt(
        &mut self,
        token: u64,
        number: AttemptNumber,
        outcome: Outcome,
    ) -> Option<(ClassId, Attempt)> {
        let request = self.state.requests.get_mut(&token)?;
        let attempt = request.attempts.get_mut(number.0 as usize)?;
        attempt.outcome = Some(outcome);
        // A server that also rejects work which it has begun may have run what it rejects.
        attempt.never_ran = self.settings.rules.never_ran(outcome);
        Some((request.class, attempt.clone()))
    }

    fn record_contact(&mut self, now: Seconds, id: EndpointId, attempt: Option<&Attempt>) {
        let pool = self.load_pool(&self.state.endpoint(id).entry);
        self.state.zones[pool].last_contact_at = now;
        let endpoint = self.state.endpoint_mut(id);
        (endpoint.last_contact_at, endpoint.connection_used_at) = (now, now);
        if let Some(attempt) = attempt {
            endpoint.expected_time = attempt.expected_time;
        }
    }

    /// Counts the outcome for or against the server.
    fn update_health(&mut self, now: Seconds, ending: &Ending, attempt: Option<&(ClassId, Attempt)>) {
        let id = ending.endpoint;
        let endpoint = self.state.endpoint(id);
        match ending.outcome {
            // An old connection that has gone says nothing of the server.
            Outcome::ConnectFailed if endpoint.connections > endpoint.in_flight => {}
            Outcome::Served => {
                self.update_failure_odds(id, false);
                self.record_success(id);
                if let Some((class, attempt)) = attempt {
                    self.record_response(id, *class, attempt, ending.rtt);
                }
            }
            // A server that fails at once has a low load and would be chosen again and again.
            Outcome::Errored => self.record_failure(now, id, EjectionCause::Errors),
            Outcome::ConnectFailed | Outcome::Reset => {
                self.record_failure(now, id, EjectionCause::NoResponse);
            }
            Outcome::Rejected => {
                // A full server whose report is old looks idle.
                let slots = self.state.slots(endpoint);
                let endpoint = self.state.endpoint_mut(id);
                endpoint.load_of_others += slots;
                endpoint.reported_at = now;
            }
            Outcome::TimedOut if ending.is_silent => self.record_failure(now, id, EjectionCause::NoResponse),
            // The attempts at a hung server are cancelled in the end, or for a hedged one; then it looks idle.
            Outcome::Cancelled if ending.is_silent && ending.is_overdue => {
                self.record_failure(now, id, EjectionCause::NoResponse);
            }
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    fn update_overload(&mut self, now: Seconds, class: ClassId, ending: &Ending) {
        let miss_after = OVERLOAD_MISS_AFTER * self.state.shortest_target;
        let is_missed = ending.is_given_up && ending.rtt + self.settings.timer_resolution >= miss_after;
        if !is_missed && ending.outcome != Outcome::Served {
            return;
        }
        let share = (ending.rtt / self.settings.classes[class.0].latency_target).min(1.0);
        let sample = if is_missed { OVERLOAD_MISS } else { share };
        let time_constant = OVERLOAD_DECAY * self.state.mean_deadline;
        self.state.overload.add(now, time_constant, sample, OVERLOAD_GAIN);
    }

    /// Full servers reject whatever comes next; the value of requests has to decide before them.
    fn update_price(&mut self, class: ClassId, attempt: &Attempt, ending: &Ending) {
        let tells_of_queue = match ending.outcome {
            Outcome::Served | Outcome::Rejected => true,
            Outcome::TimedOut => !ending.is_silent,
            _ => false,
        };
        if tells_of_queue {
            let target = self.settings.classes[class.0].latency_target;
            let is_missed = ending.outcome != Outcome::Served || ending.rtt > target;
            self.adjust_price(class, if is_missed { attempt.queue_factor - 1.0 } else { 0.0 });
        }
    }
}
