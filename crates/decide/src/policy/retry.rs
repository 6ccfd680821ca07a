//! Further attempts of a request: retries, and hedged requests beside an attempt that is still in flight.

use super::balancer::Balancer;
use super::tuning::{CROWDED_QUEUE, STALL_FACTOR};
use crate::interface::{Action, EndpointId, Outcome, Seconds, TimerToken};
use crate::state::PendingRequest;

impl Balancer {
    /// The timer of a request: it is given up, sent again or hedged.
    pub(super) fn on_timer(&mut self, now: Seconds, token: u64, actions: &mut Vec<Action>) {
        let Some(request) = self.state.requests.get(&token) else { return };
        if request.response_started || (request.body_pending && !request.attempts.is_empty()) {
            return;
        }
        if self.is_due(now, self.useful_until(request)) {
            let (class, queue_per_slot) = (request.class, request.queue_per_slot());
            self.adjust_price(class, queue_per_slot);
            self.give_up(token, queue_per_slot, actions);
        } else if request.in_flight().next().is_none() {
            self.try_again(now, token, actions);
        } else {
            self.hedge(now, token, actions);
        }
    }

    /// Sends a second attempt beside the one in flight if that one is late at an ejected server, else waits on.
    fn hedge(&mut self, now: Seconds, token: u64, actions: &mut Vec<Action>) {
        let request = &self.state.requests[&token];
        if self.may_hedge(now, request) {
            let chosen = self.choose_for_retry(now, token);
            let has_short_queue =
                |id: EndpointId| self.queue_per_slot(self.state.endpoint(id), now) < CROWDED_QUEUE;
            if chosen.is_some_and(has_short_queue) {
                return self.send(now, token, chosen, actions);
            }
        }
        let tick = self.settings.timer_resolution;
        let give_up_at = self.useful_until(&self.state.requests[&token]) - tick;
        actions.push(Action::SetTimer { delay: (give_up_at - now).max(tick), token: TimerToken(token) });
    }

    /// A second copy of what merely queues makes all queues longer, until servers are overloaded, and a cancelled attempt
    /// goes on running. So only a server that is considered unhealthy and has not responded is worth the work twice.
    fn may_hedge(&self, now: Seconds, request: &PendingRequest) -> bool {
        let is_silent = |endpoint: EndpointId, sent_at: Seconds| {
            let endpoint = self.state.endpoint(endpoint);
            endpoint.last_contact_at <= sent_at && endpoint.ejection.is_some()
        };
        let is_late = request.in_flight().all(|(_, attempt)| {
            now - attempt.sent_at >= STALL_FACTOR * attempt.expected_time
                && is_silent(attempt.endpoint, attempt.sent_at)
        });
        let has_single_attempt = request.in_flight().count() < 2;
        self.settings.limits.can_hedge && self.may_repeat(request.class) && has_single_attempt && is_late
    }

    /// What follows for the request from the end of one of its attempts.
    pub(super) fn continue_request(
        &mut self,
        now: Seconds,
        token: u64,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let request = &self.state.requests[&token];
        if outcome == Outcome::NotSent || self.is_due(now, self.useful_until(request)) {
            return self.give_up(token, request.queue_per_slot(), actions);
        }
        if request.in_flight().next().is_none() {
            self.try_again(now, token, actions);
        }
    }

    /// Sends a request that has no attempt in flight, or gives it up.
    fn try_again(&mut self, now: Seconds, token: u64, actions: &mut Vec<Action>) {
        if self.state.requests[&token].attempts.is_empty() {
            return self.decide_first_attempt(now, token, actions);
        }
        match self.choose_for_retry(now, token) {
            None => self.give_up(token, self.state.requests[&token].queue_per_slot(), actions),
            chosen => self.send(now, token, chosen, actions),
        }
    }

    /// A server for another attempt, if the limits and the retry budget allow one.
    fn choose_for_retry(&mut self, now: Seconds, token: u64) -> Option<EndpointId> {
        let request = self.state.requests[&token].clone();
        // When everything fails, retries without a budget multiply the load that made it fail.
        let is_allowed =
            (request.attempts.len() as u32) < request.max_attempts && self.state.retry_budget >= 1.0;
        if is_allowed { self.choose_endpoint(now, &request).endpoint } else { None }
    }
}
