//! Completes requests: final answers, and cancellation of attempts that are no longer needed.

use super::balancer::Balancer;
use crate::interface::{Action, AttemptNumber, Outcome, RequestId};

impl Balancer {
    /// Commits a request to the attempt whose streamed response has started, and cancels the others.
    pub(super) fn on_response_started(
        &mut self,
        id: RequestId,
        started: AttemptNumber,
        actions: &mut Vec<Action>,
    ) {
        let can_cancel = self.settings.limits.can_cancel;
        let Some(request) = self.state.request_mut(id) else { return };
        request.response_started = true;
        if can_cancel {
            let others = request.in_flight().filter(|&(number, _)| number != started.0 as usize);
            actions.extend(others.map(|(number, _)| request.cancel_action(number)));
        }
    }

    /// Ends a request that could not be served. It is rejected if no attempt may have run, so that a retry is safe, and
    /// has failed otherwise.
    ///
    /// The suggested wait is random, up to the queueing time: clients that are rejected together must not retry
    /// together.
    pub(super) fn give_up(&mut self, token: u64, queue_per_slot: f64, actions: &mut Vec<Action>) {
        let wait = queue_per_slot * self.state.mean_service_time.value * self.random_unit();
        let retry_after = wait.min(self.settings.limits.max_retry_after);
        let pending = &self.state.requests[&token];
        let request = pending.id;
        let answer = if pending.first_possible_execution().is_some() {
            Action::Fail { request }
        } else {
            Action::Reject { request, retry_after }
        };
        self.end_request(token, Some(answer), actions);
    }

    /// Removes a request and cancels its attempts in flight, which would only keep servers busy.
    pub(super) fn end_request(&mut self, token: u64, answer: Option<Action>, actions: &mut Vec<Action>) {
        let Some(request) = self.state.requests.remove(&token) else { return };
        self.state.tokens.remove(&request.id);
        let is_served = |outcome| outcome == Some(Outcome::Served);
        if !request.attempts.iter().any(|attempt| is_served(attempt.outcome)) {
            let deadline = self.settings.classes[request.class.0].deadline;
            self.state.classes[request.class.0].record_unserved(request.first_attempt_at, deadline);
        }
        if self.settings.limits.can_cancel && !request.response_started {
            actions.extend(request.in_flight().map(|(number, _)| request.cancel_action(number)));
        }
        actions.extend(answer);
    }
}
