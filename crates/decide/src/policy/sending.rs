//! Attempts sent to the servers that were chosen for them.

use super::balancer::Balancer;
use crate::interface::{Action, EndpointId, Seconds, TimerToken};
use crate::state::Attempt;

/// A request is hedged at the earliest once this fraction of its latency target has passed.
const HEDGE_AFTER: f64 = 0.5;
/// After this multiple of the timer resolution a request without a candidate looks for one again.
const NO_CANDIDATE_TICKS: f64 = 4.0;

impl Balancer {
    /// Sends a request to its server, or delays it for a moment if it has none.
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
            wake_at = wake_at.min(now + NO_CANDIDATE_TICKS * tick);
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

    /// Counts a new connection where no free one can be assumed to work, and has idle ones that are too old closed.
    fn prepare_connection(&mut self, now: Seconds, id: EndpointId, actions: &mut Vec<Action>) {
        if self.has_free_connection(self.state.endpoint(id), now) {
            return;
        }
        let streams = f64::from(self.settings.limits.streams_per_connection);
        let endpoint = self.state.endpoint_mut(id);
        // Only for their age: where none is free, closing would hit connections that were counted too low.
        let is_aged = endpoint.connections * streams > endpoint.in_flight;
        actions.extend(is_aged.then_some(Action::CloseIdleConnections { endpoint: id }));
        endpoint.connections = (endpoint.in_flight / streams).ceil() + 1.0;
    }
}
