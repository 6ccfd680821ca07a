//! The requests that clients wait for: admission, attempts, and the one final response of each.

use std::rc::Rc;
use std::time::Instant;

use mosshead_decide::interface::*;
use tokio::sync::oneshot;

use super::{BalancerActor, OVERLOAD_RETRY_AFTER, PendingRequest, ScheduledTask};
use crate::log::say;
use crate::messages::{AttemptGuard, AttemptResult, ClientRequest, FinalResponse, ServerMessage};

impl BalancerActor {
    /// The client stops waiting now. The balancer answers before that; should it not, this does.
    pub(super) fn expire_request(&mut self, request_id: RequestId) {
        if self.requests.get(&request_id).is_some_and(|pending| pending.reply.is_some()) {
            self.send_response(request_id, FinalResponse::Failed);
            self.dispatch_event(Event::RequestWithdrawn { request: request_id });
        }
    }

    /// The last byte of a request's body has come: its time counts from now on.
    pub(super) fn body_received(&mut self, id: RequestId) {
        let now = self.now();
        let Some(pending) = self.requests.get_mut(&id) else { return };
        pending.deadline = now + pending.time_left;
        let (deadline, time_left) = (pending.deadline, pending.time_left);
        self.schedule(deadline, ScheduledTask::RequestDeadline(id));
        self.dispatch_event(Event::BodyReceived { request: id, time_left });
    }

    pub(super) fn admit_request(
        &mut self,
        id: RequestId,
        client_request: ClientRequest,
        reply: oneshot::Sender<FinalResponse>,
    ) {
        if self.requests.len() >= self.limits.max_pending_requests {
            // Nothing was sent, so a retry does no harm.
            let _ =
                reply.send(FinalResponse::RetryLater(OVERLOAD_RETRY_AFTER.min(self.limits.max_retry_after)));
            return;
        }
        // All that came while the process stood still is read at once. Sent on together, it overloads the
        // servers, and most of it serves nobody any more. What was refused together must not come back together.
        let time_left =
            client_request.time_left - client_request.arrived.elapsed().as_secs_f64() - self.possible_wait();
        if time_left <= 0.0 {
            let spread = (client_request.id % 1024) as f64 / 1024.0;
            let _ = reply.send(FinalResponse::RetryLater(
                (spread * OVERLOAD_RETRY_AFTER).min(self.limits.max_retry_after),
            ));
            return;
        }
        if !self.ids.try_reserve(client_request.id, Instant::now()) {
            let _ = reply.send(FinalResponse::IdInUse);
            return;
        }
        let deadline = self.now() + time_left;
        let forwarded = Rc::new(client_request.forwarded);
        let upload = forwarded.body.upload().cloned();
        let (reply, sent, class, max_attempts) =
            (Some(reply), Vec::new(), client_request.class, self.limits.max_attempts);
        self.requests.insert(
            id,
            PendingRequest {
                id: client_request.id,
                class,
                max_attempts,
                forwarded,
                reply,
                deadline,
                time_left,
                sent,
                in_flight: 0,
            },
        );
        let request = Request { id, time_left, class: client_request.class, tenant: client_request.tenant };
        match upload {
            Some(upload) => {
                upload.notify(self.handle.mailbox.clone(), id);
                self.dispatch_event(Event::HeadReceived(request));
            }
            None => {
                self.schedule(deadline, ScheduledTask::RequestDeadline(id));
                self.dispatch_event(Event::RequestReceived(request));
            }
        }
    }

    pub(super) fn attempt_ended(&mut self, ended: AttemptResult) {
        let AttemptResult { request: request_id, attempt, endpoint, outcome, rtt, report, body } = ended;
        if let Some(pending) = self.requests.get_mut(&request_id) {
            pending.in_flight -= 1;
        }
        if outcome == Outcome::Served {
            self.send_response(request_id, FinalResponse::Served(body));
        }
        let settled = self.requests.get(&request_id).is_none_or(|pending| pending.reply.is_none());
        self.remove_if_finished(request_id);
        self.release_server(endpoint);
        self.dispatch_event(Event::AttemptEnded {
            request: request_id,
            attempt,
            endpoint,
            outcome,
            rtt,
            settled,
            report,
        });
    }

    /// Gives the answer, unless there was one: the first is final.
    pub(super) fn send_response(&mut self, request_id: RequestId, response: FinalResponse) {
        if let Some(reply) = self.requests.get_mut(&request_id).and_then(|pending| pending.reply.take()) {
            // A client that has just left is told nothing.
            let _ = reply.send(response);
            self.remove_if_finished(request_id);
        }
    }

    /// Lets go of a request that is over in every respect.
    pub(super) fn remove_if_finished(&mut self, request_id: RequestId) {
        let is_finished = |pending: &PendingRequest| pending.reply.is_none() && pending.in_flight == 0;
        if self.requests.get(&request_id).is_some_and(is_finished)
            && let Some(PendingRequest { id, sent, .. }) = self.requests.remove(&request_id)
        {
            self.ids.release(id, !sent.is_empty(), Instant::now());
        }
    }

    pub(super) fn send(&mut self, now: Seconds, request_id: RequestId, endpoint: EndpointId, until: Seconds) {
        let pending = self.requests.get_mut(&request_id).filter(|pending| pending.reply.is_some());
        let Some(pending) = pending.filter(|pending| pending.sent.len() < pending.max_attempts as usize)
        else {
            let (attempt, report) = (AttemptNumber(u32::MAX), LoadReport::default());
            say!(job = request_id.0, "fault: the module sent a job that is over");
            let outcome = Outcome::NotSent;
            let is_finished = Event::AttemptEnded {
                request: request_id,
                attempt,
                endpoint,
                outcome,
                rtt: 0.0,
                settled: true,
                report,
            };
            return self.events.push_back(is_finished);
        };
        let attempt = AttemptNumber(pending.sent.len() as u32);
        pending.sent.push(endpoint);
        pending.in_flight += 1;
        self.servers[endpoint.0 as usize].in_flight += 1;
        let until = if until > 0.0 { until.min(pending.deadline) } else { pending.deadline };
        // The whole of the wait is left while the body still comes.
        let until = if pending.forwarded.body.upload().is_some_and(|upload| upload.completed_at().is_none()) {
            now + pending.time_left
        } else {
            until
        };
        let forwarded = pending.forwarded.clone();
        let guard = AttemptGuard::new(request_id, attempt, endpoint, self.handle.mailbox.clone());
        let until = self.instant(until.max(now));
        self.post_to_server(endpoint, ServerMessage::Attempt(guard, forwarded, until));
    }
}
