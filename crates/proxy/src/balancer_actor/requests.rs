//! The requests that clients wait for: admission, attempts, and one final response for each.

use std::rc::Rc;
use std::time::Instant;

use mosshead_decide::interface::*;
use tokio::sync::oneshot;

use super::{BalancerActor, PendingRequest, ScheduledTask};
use crate::log::log_event;
use crate::messages::{AttemptGuard, AttemptKey, AttemptResult, ClientRequest, FinalResponse, ServerMessage};

/// The retry delay that a client is told if the proxy rejects its request before the balancer sees it, for lack of
/// space.
const OVERLOAD_RETRY_AFTER: Seconds = 0.5;

impl BalancerActor {
    /// The client's deadline has passed. The balancer normally responds earlier; this is the fallback if it did not.
    pub(super) fn expire_request(&mut self, request_id: RequestId) {
        if self.requests.get(&request_id).is_some_and(|pending| pending.reply.is_some()) {
            self.send_response(request_id, FinalResponse::Failed);
            self.dispatch_event(Event::RequestWithdrawn { request: request_id });
        }
    }

    /// The client has disconnected.
    pub(super) fn withdraw_request(&mut self, request_id: RequestId) {
        // If the response was already on its way, the balancer has ended the request.
        if let Some(pending) = self.requests.get_mut(&request_id)
            && pending.reply.take().is_some()
        {
            self.remove_if_finished(request_id);
            self.dispatch_event(Event::RequestWithdrawn { request: request_id });
        }
    }

    /// The last byte of a request's body has arrived: the client's deadline counts from now.
    pub(super) fn on_body_received(&mut self, request_id: RequestId) {
        let now = self.now();
        let Some(pending) = self.requests.get_mut(&request_id) else { return };
        pending.deadline = now + pending.time_left;
        let (deadline, time_left) = (pending.deadline, pending.time_left);
        self.schedule(deadline, ScheduledTask::RequestDeadline(request_id));
        self.dispatch_event(Event::BodyReceived { request: request_id, time_left });
    }

    pub(super) fn admit_request(
        &mut self,
        id: RequestId,
        client_request: ClientRequest,
        reply: oneshot::Sender<FinalResponse>,
    ) {
        let time_left = match self.check_admission(&client_request) {
            Ok(time_left) => time_left,
            Err(rejection) => {
                let _ = reply.send(rejection);
                return;
            }
        };
        let ClientRequest { id: client_id, class, tenant, forwarded, .. } = client_request;
        let upload = forwarded.body.upload().cloned();
        let deadline = self.now() + time_left;
        let pending = PendingRequest {
            client_id,
            class,
            max_attempts: self.limits.max_attempts,
            forwarded: Rc::new(forwarded),
            reply: Some(reply),
            deadline,
            time_left,
            attempts: Vec::new(),
            in_flight: 0,
        };
        self.requests.insert(id, pending);
        let request = Request { id, time_left, class, tenant };
        match upload {
            Some(upload) => {
                upload.notify_when_complete(self.handle.mailbox.clone(), id);
                self.dispatch_event(Event::HeadReceived(request));
            }
            None => {
                self.schedule(deadline, ScheduledTask::RequestDeadline(id));
                self.dispatch_event(Event::RequestReceived(request));
            }
        }
    }

    /// Checks a request before the balancer sees it, and reserves its id. Returns how long the client will still wait.
    fn check_admission(&mut self, request: &ClientRequest) -> Result<Seconds, FinalResponse> {
        let max_retry_after = self.limits.max_retry_after;
        if self.requests.len() >= self.limits.max_pending_requests {
            return Err(FinalResponse::RetryLater(OVERLOAD_RETRY_AFTER.min(max_retry_after)));
        }
        // After the process was suspended, everything that arrived meanwhile is read at once. Forwarding it all would
        // overload the servers, and most of its clients have stopped waiting. Since these requests are rejected
        // together, their retries must be spread out.
        let waited = request.arrived.elapsed().as_secs_f64();
        let time_left = request.time_left - waited - self.suspension.possible_wait().as_secs_f64();
        if time_left <= 0.0 {
            let spread = (request.id % 1024) as f64 / 1024.0;
            return Err(FinalResponse::RetryLater((spread * OVERLOAD_RETRY_AFTER).min(max_retry_after)));
        }
        if !self.ids.try_reserve(request.id, Instant::now()) {
            return Err(FinalResponse::IdInUse);
        }
        Ok(time_left)
    }

    pub(super) fn on_attempt_ended(&mut self, result: AttemptResult) {
        let AttemptResult { key: AttemptKey { request, attempt }, endpoint, outcome, rtt, report, body } =
            result;
        if let Some(pending) = self.requests.get_mut(&request) {
            pending.in_flight -= 1;
        }
        if outcome == Outcome::Served {
            self.send_response(request, FinalResponse::Served(body));
        }
        let settled = self.requests.get(&request).is_none_or(|pending| pending.reply.is_none());
        self.remove_if_finished(request);
        self.release_server(endpoint);
        self.dispatch_event(Event::AttemptEnded {
            request,
            attempt,
            endpoint,
            outcome,
            rtt,
            settled,
            report,
        });
    }

    /// Sends the response, unless one was sent already: the first one is final.
    pub(super) fn send_response(&mut self, request_id: RequestId, response: FinalResponse) {
        if let Some(reply) = self.requests.get_mut(&request_id).and_then(|pending| pending.reply.take()) {
            // Fails if the client has just disconnected.
            let _ = reply.send(response);
            self.remove_if_finished(request_id);
        }
    }

    /// Removes a request if its final response is sent and no attempt is in flight.
    fn remove_if_finished(&mut self, request_id: RequestId) {
        let is_finished = |pending: &PendingRequest| pending.reply.is_none() && pending.in_flight == 0;
        if self.requests.get(&request_id).is_some_and(is_finished)
            && let Some(PendingRequest { client_id, attempts, .. }) = self.requests.remove(&request_id)
        {
            self.ids.release(client_id, !attempts.is_empty(), Instant::now());
        }
    }

    pub(super) fn cancel_attempt(&mut self, key: AttemptKey) {
        let pending = self.requests.get(&key.request);
        let endpoint = pending.and_then(|pending| pending.attempts.get(key.attempt.0 as usize).copied());
        if let Some(endpoint) = endpoint {
            self.post_to_server(endpoint, ServerMessage::Cancel(key));
        }
    }

    /// Starts an attempt at a server. If `deadline` is 0, the attempt may last as long as the client waits.
    pub(super) fn send(
        &mut self,
        now: Seconds,
        request_id: RequestId,
        endpoint: EndpointId,
        deadline: Seconds,
    ) {
        let pending = self.requests.get_mut(&request_id).filter(|pending| pending.reply.is_some());
        let Some(pending) = pending.filter(|pending| pending.attempts.len() < pending.max_attempts as usize)
        else {
            return self.end_invalid_send(request_id, endpoint);
        };
        let attempt = AttemptNumber(pending.attempts.len() as u32);
        pending.attempts.push(endpoint);
        pending.in_flight += 1;
        let deadline = pending.attempt_deadline(now, deadline);
        let forwarded = pending.forwarded.clone();
        self.servers[endpoint.0 as usize].in_flight += 1;
        let key = AttemptKey { request: request_id, attempt };
        let guard = AttemptGuard::new(key, endpoint, self.handle.mailbox.clone());
        let deadline = self.instant(deadline.max(now));
        self.post_to_server(endpoint, ServerMessage::Attempt { guard, forwarded, deadline });
    }

    /// Handles a fault of the balancer: it sent a request that has ended or has used up its attempts. Reports an
    /// outcome, since the balancer waits for one.
    fn end_invalid_send(&mut self, request_id: RequestId, endpoint: EndpointId) {
        log_event!(request = request_id.0, "fault: the balancer sent a request that is over");
        self.pending_events.push_back(Event::AttemptEnded {
            request: request_id,
            attempt: AttemptNumber(u32::MAX),
            endpoint,
            outcome: Outcome::NotSent,
            rtt: 0.0,
            settled: true,
            report: LoadReport::default(),
        });
    }
}

impl PendingRequest {
    /// When an attempt times out, on the balancer's clock. The balancer sets a `deadline` of 0 for an attempt that may
    /// last as long as the client waits.
    fn attempt_deadline(&self, now: Seconds, deadline: Seconds) -> Seconds {
        if self.forwarded.body.is_incomplete() {
            // The client's time does not begin before the last byte.
            now + self.time_left
        } else if deadline > 0.0 {
            deadline.min(self.deadline)
        } else {
            self.deadline
        }
    }
}
