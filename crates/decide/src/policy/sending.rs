//! Sends attempts to the selected servers and sets the timers of their requests.

use super::balancer::Balancer;
use crate::interface::{Action, EndpointId, Seconds, TimerToken};
use crate::state::Attempt;

/// A request is hedged after this fraction of its latency target at the earliest.
const HEDGE_AFTER: f64 = 0.5;
/// A request without a candidate looks for one again after this multiple of the timer resolution.
const CANDIDATE_RECHECK_TICKS: f64 = 4.0;

impl Balancer {
    /// Sends a request to the selected server. Without one, only sets the timer to try again soon.
    pub(super) fn send(
        &mut self,
        now: Seconds,
        token: u64,
        chosen: Option<EndpointId>,
        actions: &mut Vec<Action>,
    ) {
        let tick = self.settings.timer_resolution;
        let Some(request) = self.state.requests.get(&token) else { return };
        let class = request.class;
        let mut wake_at = self.useful_until(request) - tick;
        let Some(id) = chosen else {
            wake_at = wake_at.min(now + CANDIDATE_RECHECK_TICKS * tick);
            actions.push(Action::SetTimer { delay: (wake_at - now).max(tick), token: TimerToken(token) });
            return;
        };
        let endpoint = self.state.endpoint(id);
        let queue_factor = 1.0 + self.queue_per_slot(endpoint, now);
        let expected_time = self.expected_time(endpoint, class, now);
        if self.may_repeat(class) {
            let hedge_after = HEDGE_AFTER * self.settings.classes[class.0].latency_target;
            wake_at = wake_at.min(now + hedge_after.max(2.0 * expected_time));
        }
        self.prepare_connection(now, id, actions);
        let endpoint = self.state.endpoint_mut(id);
        if endpoint.in_flight == 0.0 {
            endpoint.last_contact_at = endpoint.last_contact_at.max(now);
            endpoint.expected_time = expected_time;
        }
        endpoint.in_flight += 1.0;
        if let Some(request) = self.state.requests.get_mut(&token) {
            if !request.attempts.is_empty() {
                self.state.retry_budget -= 1.0;
            }
            actions.push(Action::Send { request: request.id, endpoint: id, deadline: request.deadline });
            request.attempts.push(Attempt::new(id, now, expected_time, queue_factor));
        }
        actions.push(Action::SetTimer { delay: (wake_at - now).max(tick), token: TimerToken(token) });
    }

    /// Counts a new connection if there is no free one that probably works, and closes idle ones that are too old.
    fn prepare_connection(&mut self, now: Seconds, id: EndpointId, actions: &mut Vec<Action>) {
        if self.has_free_connection(self.state.endpoint(id), now) {
            return;
        }
        let streams = f64::from(self.settings.limits.streams_per_connection);
        let endpoint = self.state.endpoint_mut(id);
        // Connections are closed only for their age. If none seems free, the count may be too low, and working
        // connections would be closed.
        let is_aged = endpoint.connections * streams > endpoint.in_flight;
        actions.extend(is_aged.then_some(Action::CloseIdleConnections { endpoint: id }));
        endpoint.connections = (endpoint.in_flight / streams).ceil() + 1.0;
    }
}
