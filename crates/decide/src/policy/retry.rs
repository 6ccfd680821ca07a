//! Retries, and hedges, which are sent while another attempt of the request is still in flight.

use super::balancer::Balancer;
use super::tuning::{CROWDED_QUEUE_PER_SLOT, STALL_FACTOR};
use crate::interface::{Action, EndpointId, Outcome, Seconds, TimerToken};
use crate::state::PendingRequest;

impl Balancer {
    /// Handles the timer of a request: gives it up, sends its first attempt or a retry, or hedges it.
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
            self.send_or_give_up(now, token, actions);
        } else {
            self.hedge(now, token, actions);
        }
    }

    /// Sends a second attempt if the one in flight is late at an ejected server; otherwise sets the timer again.
    fn hedge(&mut self, now: Seconds, token: u64, actions: &mut Vec<Action>) {
        let request = &self.state.requests[&token];
        if self.may_hedge(now, request) {
            let chosen = self.choose_for_retry(now, token);
            let has_short_queue =
                |id: EndpointId| self.queue_per_slot(self.state.endpoint(id), now) < CROWDED_QUEUE_PER_SLOT;
            if chosen.is_some_and(has_short_queue) {
                return self.send(now, token, chosen, actions);
            }
        }
        let tick = self.settings.timer_resolution;
        let give_up_at = self.useful_until(&self.state.requests[&token]) - tick;
        actions.push(Action::SetTimer { delay: (give_up_at - now).max(tick), token: TimerToken(token) });
    }

    /// Returns true if the request may be hedged now.
    ///
    /// Hedging a request that is merely queued lengthens all queues until servers are overloaded, and servers may go on
    /// running cancelled attempts. So a request is hedged only if its server is ejected and has not responded since.
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

    /// Continues a request after one of its attempts has ended without a final answer.
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
            self.send_or_give_up(now, token, actions);
        }
    }

    /// Sends an attempt of a request that has none in flight, or gives the request up.
    fn send_or_give_up(&mut self, now: Seconds, token: u64, actions: &mut Vec<Action>) {
        if self.state.requests[&token].attempts.is_empty() {
            return self.decide_first_attempt(now, token, actions);
        }
        match self.choose_for_retry(now, token) {
            None => self.give_up(token, self.state.requests[&token].queue_per_slot(), actions),
            chosen => self.send(now, token, chosen, actions),
        }
    }

    /// Selects a server for another attempt, if the limits and the retry budget allow one.
    fn choose_for_retry(&mut self, now: Seconds, token: u64) -> Option<EndpointId> {
        let request = self.state.requests[&token].clone();
        // Without a budget, retries during an overload would multiply the load that causes it.
        let is_allowed =
            (request.attempts.len() as u32) < request.max_attempts && self.state.retry_budget >= 1.0;
        if is_allowed { self.choose_endpoint(now, &request).endpoint } else { None }
    }
}
