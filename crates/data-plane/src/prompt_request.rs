//! Requests with a prompt: selects a pair of servers, has the prompt prefilled by one, and starts the stream at the
//! other.

use std::rc::Rc;

use hyper::Response;
use mosshead_http_links::CountGuard;
use mosshead_registry::OperState;
use mosshead_routing::{Prompt, ServerPair};
use mosshead_time::Instant;

use crate::client_request::ClientRequest;
use crate::data_plane::DataPlane;
use crate::decode::{DecodeFailure, DecodeOutcome};
use crate::load_guards::SelectionGuard;
use crate::prefill::{KvHandle, PrefillError};
use crate::response::ResponseBody;
use crate::retry::AttemptHistory;
use crate::server_request::Target;

/// The error if the retry budget of the service has no retry left.
struct RetryBudgetExhausted;

/// The next step of a request after the prefill of its prompt.
enum PrefillStep {
    /// The decode server fetches the handle's KV cache or, without a handle, prefills the prompt itself.
    Decode(Option<KvHandle>),
    /// The prefill failed: another pair of servers is selected.
    SelectAgain,
}

impl DataPlane {
    /// Makes attempts until a stream begins or no further attempt is allowed. `in_flight` is held until the stream
    /// ends.
    pub(crate) async fn forward_prompt(
        self: &Rc<Self>,
        request: ClientRequest,
        prompt: Prompt,
        in_flight: CountGuard,
    ) -> Response<ResponseBody> {
        let mut history = AttemptHistory::default();
        loop {
            if self.is_exhausted(&request, &history) {
                return self.give_up(&request);
            }
            self.refresh_prefill_loads(&request.service, &prompt).await;
            let now = self.now();
            let Some(pair) = self.select_pair(now, &request, &prompt, &history) else {
                return self.give_up(&request);
            };
            let decode_selection = SelectionGuard::new(self, &pair.decode);
            let prefill = self.prefill_for_pair(now, &request, &prompt, &pair, &mut history);
            let handle = match prefill.await {
                Ok(PrefillStep::Decode(handle)) => handle,
                Ok(PrefillStep::SelectAgain) => continue,
                Err(RetryBudgetExhausted) => return self.reject(&request),
            };
            decode_selection.disarm();
            let Some(target) = self.confirm_decode_target(&request, &pair, &history) else {
                history.record_undelivered(&pair.decode);
                continue;
            };
            let failure = match self.decode_or_prefill_locally(&request, &prompt, &target, handle).await {
                Ok(DecodeOutcome::Streaming(stream)) => {
                    let failover = history.failover_state(&request);
                    return self.clone().forward_stream(request, prompt, stream, failover, in_flight);
                }
                Ok(DecodeOutcome::Failed(failure)) => failure,
                Err(RetryBudgetExhausted) => return self.reject(&request),
            };
            if let Some(response) = self.final_response(&request, &target, failure, &mut history) {
                return response;
            }
        }
    }

    /// The response to a request whose attempt at a decode server failed; `None` if another attempt may follow.
    fn final_response(
        &self,
        request: &ClientRequest,
        target: &Target,
        failure: DecodeFailure,
        history: &mut AttemptHistory,
    ) -> Option<Response<ResponseBody>> {
        match failure {
            DecodeFailure::ErrorResponse(response) => {
                history.record_delivered(&target.id);
                let may_retry = request.is_repeatable() && !history.has_reached_retry_count(request);
                (!may_retry).then_some(response)
            }
            DecodeFailure::HandleUnavailable | DecodeFailure::Rejected => {
                history.record_delivered(&target.id);
                None
            }
            DecodeFailure::NotDelivered => {
                history.record_undelivered(&target.id);
                None
            }
            DecodeFailure::Broken => {
                history.record_delivered(&target.id);
                (!request.is_repeatable()).then(|| self.fail())
            }
        }
    }

    /// Selects the servers of the next attempt; `None` if no further attempt is allowed or no server is available.
    fn select_pair(
        &self,
        now: Instant,
        request: &ClientRequest,
        prompt: &Prompt,
        history: &AttemptHistory,
    ) -> Option<ServerPair> {
        let service = &request.service.name;
        let mut router = self.router.borrow_mut();
        let pair = router.select_pair(now, service, prompt, history.servers_to_avoid())?;
        if history.is_next_attempt_a_retry()
            && !router.try_withdraw_retry(now, service, request.route.priority)
        {
            pair.prefill.iter().chain([&pair.decode]).for_each(|id| router.record_inconclusive(id));
            return None;
        }
        Some(pair)
    }

    /// Has the prompt prefilled if the pair has a prefill server. A prefill takes a retry out of the budget if it is
    /// rejected, or if a server has taken up an earlier one (RULES.md, BUDGET). If no retry is left
    /// for a further prefill, or `retry_count` prefills after the first one have reached a server, the decode server
    /// prefills the prompt itself.
    ///
    /// # Errors
    ///
    /// The prefill was rejected, and the retry budget is exhausted.
    async fn prefill_for_pair(
        self: &Rc<Self>,
        now: Instant,
        request: &ClientRequest,
        prompt: &Prompt,
        pair: &ServerPair,
        history: &mut AttemptHistory,
    ) -> Result<PrefillStep, RetryBudgetExhausted> {
        let service = &request.service;
        let Some(target) = pair.prefill.as_ref().and_then(|id| self.target(service, id)) else {
            return Ok(PrefillStep::Decode(None));
        };
        let withdraw =
            || self.router.borrow_mut().try_withdraw_retry(now, &service.name, request.route.priority);
        let _selection = SelectionGuard::new(self, &target.id);
        let may_prefill_again = || !history.has_reached_prefill_limit(request) && withdraw();
        if history.is_next_prefill_a_retry() && !may_prefill_again() {
            return Ok(PrefillStep::Decode(None));
        }
        let error = match self.prefill_prompt(&target, request, prompt).await {
            Ok(handle) => {
                history.record_delivered_prefill(true);
                return Ok(PrefillStep::Decode(Some(handle)));
            }
            Err(error) => error,
        };
        if error != PrefillError::NotDelivered {
            history.record_delivered_prefill(error != PrefillError::Rejected);
        }
        if error == PrefillError::Rejected && !withdraw() {
            return Err(RetryBudgetExhausted);
        }
        history.record_undelivered(&target.id);
        Ok(PrefillStep::SelectAgain)
    }

    /// Confirms or replaces the decode server of the pair after the prefill, during which the servers may have changed.
    fn confirm_decode_target(
        &self,
        request: &ClientRequest,
        pair: &ServerPair,
        history: &AttemptHistory,
    ) -> Option<Target> {
        let (now, service) = (self.now(), &request.service);
        let id = self.router.borrow_mut().confirm_decode_server(
            now,
            &service.name,
            pair,
            history.servers_to_avoid(),
        )?;
        self.target(service, &id)
    }

    /// Sends the request to the decode server. If the server cannot fetch the KV cache, the request is sent to it once
    /// more without a handle, so that it prefills the prompt itself. This takes a retry out of the budget.
    ///
    /// # Errors
    ///
    /// The retry budget is exhausted.
    async fn decode_or_prefill_locally(
        self: &Rc<Self>,
        request: &ClientRequest,
        prompt: &Prompt,
        target: &Target,
        handle: Option<KvHandle>,
    ) -> Result<DecodeOutcome, RetryBudgetExhausted> {
        let prefill_server = handle.as_ref().map(|handle| handle.prefill_server_id().clone());
        let outcome = self.start_decode(request, prompt, target, handle, None).await;
        let may_send_again = !request.is_expired(self.now()) && self.accepts_requests(&target.id);
        let lacks_handle = matches!(outcome, DecodeOutcome::Failed(DecodeFailure::HandleUnavailable));
        if !lacks_handle || !may_send_again {
            return Ok(outcome);
        }
        if !self.try_withdraw_retry(request) {
            return Err(RetryBudgetExhausted);
        }
        let outcome = self.start_decode(request, prompt, target, None, None).await;
        if let (DecodeOutcome::Streaming(_), Some(prefill_server)) = (&outcome, &prefill_server) {
            // The server had capacity, so the first attempt failed because the KV cache could not be fetched.
            let now = self.now();
            self.router.borrow_mut().suspend_handovers(now, prefill_server);
        }
        Ok(outcome)
    }

    /// True if the server is up: a draining server must get no new requests (RULES.md, DRAIN).
    fn accepts_requests(&self, server_id: &str) -> bool {
        let router = self.router.borrow();
        router.endpoints().get(server_id).is_some_and(|endpoint| endpoint.server.state == OperState::Up)
    }
}
