//! Requests without a prompt. Their responses are buffered before they are forwarded, so that the request can be
//! retried after a broken response.

use std::rc::Rc;

use hyper::Response;
use mosshead_routing::ServerFailure;
use mosshead_time::Duration;

use crate::attempt::{AttemptOutcome, failure_of_rejection};
use crate::client_request::ClientRequest;
use crate::data_plane::DataPlane;
use crate::headers::PRIORITY;
use crate::load_guards::ServerRequestGuard;
use crate::load_report::SILENT_SERVER_TIMEOUT;
use crate::response::{ResponseBody, forwarded_response};
use crate::retry::AttemptHistory;
use crate::server_request::Target;
use crate::server_response::{BufferError, ServerResponse, is_sealed, promises_not_executed};

/// A server counts as unresponsive only after at least this time without a byte from it.
const MIN_SILENCE: Duration = Duration::from_millis(40);

/// A server's response after its body has been read.
enum BufferedResponse {
    /// A successful response with the server's seal.
    Success(Response<ResponseBody>),
    /// A complete response with an error status.
    Error(Response<ResponseBody>),
    /// An incomplete response, or a successful one without a seal.
    Invalid,
    /// The proxy has no memory for the response.
    NoMemory,
}

impl DataPlane {
    /// Makes attempts until one succeeds or no further attempt is allowed.
    pub(crate) async fn forward_buffered(self: &Rc<Self>, request: &ClientRequest) -> Response<ResponseBody> {
        let mut history = AttemptHistory::default();
        let mut last_error: Option<Response<ResponseBody>> = None;
        loop {
            let Some(target) = self.select_target(request, &history) else {
                return last_error.unwrap_or_else(|| self.give_up(request));
            };
            let guard = ServerRequestGuard::new(self, &target.id);
            match self.attempt_while_responsive(&target, request).await {
                AttemptOutcome::Responded(response) => {
                    history.record_delivered(&target.id);
                    match self.buffer_response(&target, request, response, &guard).await {
                        BufferedResponse::Success(response) => return response,
                        BufferedResponse::Error(response) => {
                            // A request that may run only once may have run now, so its client must not get a status
                            // that says it has not.
                            let is_forwardable =
                                request.is_repeatable() || !promises_not_executed(response.status());
                            last_error = is_forwardable.then_some(response);
                        }
                        BufferedResponse::Invalid => {}
                        // Another run would not help, and its response would need the same memory.
                        BufferedResponse::NoMemory => return self.fail(),
                    }
                    if !request.is_repeatable() {
                        return last_error.unwrap_or_else(|| self.fail());
                    }
                }
                AttemptOutcome::NotDelivered(failure) => {
                    guard.record_failure(failure);
                    history.record_undelivered(&target.id);
                }
                AttemptOutcome::Rejected(status) => {
                    guard.record_failure(failure_of_rejection(status));
                    history.record_delivered(&target.id);
                }
                AttemptOutcome::Broken | AttemptOutcome::TimedOut => {
                    guard.record_failure(ServerFailure::BrokenResponse);
                    history.record_delivered(&target.id);
                    if !request.is_repeatable() {
                        return self.fail();
                    }
                }
            }
        }
    }

    /// Selects the server of the next attempt; `None` if no further attempt is allowed or no server is available.
    fn select_target(&self, request: &ClientRequest, history: &AttemptHistory) -> Option<Target> {
        if self.is_exhausted(request, history) {
            return None;
        }
        let now = self.now();
        let service = &request.service;
        let id = self.router.borrow_mut().select_server(now, &service.name, history.servers_to_avoid())?;
        let target = self.target(service, &id)?;
        if history.is_next_attempt_a_retry() && !self.try_withdraw_retry(request) {
            self.router.borrow_mut().record_inconclusive(&id);
            return None;
        }
        Some(target)
    }

    /// Makes one attempt. If the request may run twice, the attempt is abandoned when the server is found unresponsive
    /// while the service has another server.
    async fn attempt_while_responsive(
        self: &Rc<Self>,
        target: &Target,
        request: &ClientRequest,
    ) -> AttemptOutcome {
        let half_target_millis = request.route.target_latency.as_millis() as u64 / 2;
        let max_silence = Duration::from_millis(half_target_millis).clamp(MIN_SILENCE, SILENT_SERVER_TIMEOUT);
        let extra_headers = [(PRIORITY, request.priority.clone())];
        tokio::select! {
            outcome = self.run_at(target, request, &extra_headers) => outcome,
            () = self.wait_until_abandonable(request, target, max_silence, max_silence),
                if request.is_repeatable() => {
                AttemptOutcome::TimedOut
            }
        }
    }

    /// Reads the complete response and records the result for the server.
    async fn buffer_response(
        &self,
        target: &Target,
        request: &ClientRequest,
        response: ServerResponse,
        guard: &ServerRequestGuard,
    ) -> BufferedResponse {
        let ServerResponse { head, body, connection } = response;
        let is_success = head.status.is_success();
        let body = if is_success && !is_sealed(&head) {
            Err(BufferError::Invalid)
        } else {
            self.buffer_body(&target.id, &head, body, connection, request.deadline.timer).await
        };
        let body = match body {
            Ok(body) => body,
            Err(BufferError::Invalid) => {
                guard.record_failure(ServerFailure::BrokenResponse);
                return BufferedResponse::Invalid;
            }
            Err(BufferError::NoMemory) => return BufferedResponse::NoMemory,
        };
        let response = forwarded_response(&head, ResponseBody::Buffered(body));
        if is_success {
            guard.record_success();
            self.counters.completed.increment();
            BufferedResponse::Success(response)
        } else {
            guard.record_failure(ServerFailure::ErrorResponse);
            BufferedResponse::Error(response)
        }
    }
}
