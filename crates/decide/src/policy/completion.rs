//! The final answer to a request.

use super::balancer::Balancer;
use crate::interface::{Action, AttemptNumber, Outcome, RequestId};

impl Balancer {
    /// A streamed response has started: its attempt belongs to the client, and the others are cancelled.
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

    /// Answers a request that no server serves: it is rejected where a retry provably does no harm, else it has failed.
    ///
    /// The client is asked to wait for what is queued, spread at random: clients that were rejected together must not come
    /// back together.
    pub(super) fn give_up(&mut self, token: u64, queue_per_slot: f64, actions: &mut Vec<Action>) {
        let wait = queue_per_slot * self.state.mean_service.value * self.random_unit();
        let retry_after = wait.min(self.settings.limits.max_retry_after);
        let pending = &self.state.requests[&token];
        let request = pending.id;
        let answer = if pending.may_have_run().is_some() {
            Action::Fail { request }
        } else {
            Action::Reject { request, retry_after }
        };
        self.end_request(token, Some(answer), actions);
    }

    /// Forgets a request, and cancels its attempts: work that nobody waits for any more keeps a server busy.
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
