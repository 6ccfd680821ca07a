//! Forwards the events of streams to clients as they arrive, and resumes a broken stream at another server if the route
//! allows it.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use mosshead_http_links::CountGuard;
use mosshead_routing::{Prompt, ServerFailure};
use tokio::time::{Instant, timeout_at};

use crate::client_request::ClientRequest;
use crate::data_plane::DataPlane;
use crate::decode::{DecodeOutcome, DecodeStream};
use crate::event_queue::{EventSender, ReceiverGone, event_queue};
use crate::event_splitter::EventSplitter;
use crate::headers::keep_alive_timeout;
use crate::response::{ResponseBody, forwarded_response};
use crate::retry::FailoverState;
use crate::server_request::Target;
use crate::server_response::is_framed;

/// How the relay of one server's stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayEnd {
    Complete,
    /// The connection broke or the server became unresponsive: the stream may be resumed at another server.
    Broken,
    ClientGone,
    DeadlinePassed,
}

/// The result of waiting for the next frame of a server's stream.
enum Received {
    Data(Bytes),
    /// A frame without data.
    Trailers,
    End,
    ConnectionBroken,
    Unresponsive,
    ClientGone,
    DeadlinePassed,
}

impl DataPlane {
    /// Returns the response with the stream. A separate task forwards the events, and resumes the stream if `failover`
    /// allows it.
    pub(crate) fn forward_stream(
        self: Rc<Self>,
        request: ClientRequest,
        prompt: Prompt,
        stream: DecodeStream,
        failover: FailoverState,
        in_flight: CountGuard,
    ) -> Response<ResponseBody> {
        let (client, receiver) = event_queue(&self.memory);
        let response = forwarded_response(&stream.head, ResponseBody::Streaming(receiver));
        tokio::task::spawn_local(async move {
            self.relay_with_resumes(request, prompt, stream, failover, client).await;
            drop(in_flight);
        });
        response
    }

    async fn relay_with_resumes(
        self: &Rc<Self>,
        request: ClientRequest,
        prompt: Prompt,
        stream: DecodeStream,
        mut failover: FailoverState,
        client: EventSender,
    ) {
        let mut splitter = EventSplitter::default();
        failover.avoid.push(stream.target.id.clone());
        let mut end = self.relay(&request, &prompt, stream, &mut splitter, &client, &failover).await;
        while end == RelayEnd::Broken && failover.remaining_attempts > 0 {
            if !request.route.resume || request.is_expired(self.now()) {
                break;
            }
            splitter.discard_partial_event();
            failover.remaining_attempts -= 1;
            let Some(target) = self.select_resume_target(&request, &prompt, &mut failover.avoid) else {
                break;
            };
            let last_event_id = splitter.last_forwarded_id();
            let outcome = self.start_decode(&request, &prompt, &target, None, last_event_id).await;
            if let DecodeOutcome::Streaming(stream) = outcome {
                self.counters.resumed.increment();
                end = self.relay(&request, &prompt, stream, &mut splitter, &client, &failover).await;
            }
        }
        self.end_response(client, end);
    }

    /// Ends the client's response. It is complete only if a server has sent a complete stream; otherwise it is aborted,
    /// since it would look complete without that (RULES.md, MIXED).
    fn end_response(&self, client: EventSender, end: RelayEnd) {
        match end {
            RelayEnd::Complete => {
                self.counters.completed.increment();
                client.complete();
            }
            RelayEnd::ClientGone => {}
            RelayEnd::Broken => self.counters.failed.increment(),
            RelayEnd::DeadlinePassed => {
                self.counters.failed.increment();
                client.abort();
            }
        }
    }

    /// Selects another decode server, which prefills the prompt itself. This takes a retry out of the budget.
    fn select_resume_target(
        &self,
        request: &ClientRequest,
        prompt: &Prompt,
        avoid: &mut Vec<Rc<str>>,
    ) -> Option<Target> {
        let (now, service) = (self.now(), &request.service);
        let mut router = self.router.borrow_mut();
        if !router.try_withdraw_retry(now, &service.name, request.route.priority) {
            return None;
        }
        let pair = router.select_pair(now, &service.name, prompt, avoid)?;
        // The prefill server of the pair gets no request.
        pair.prefill.iter().for_each(|id| router.record_inconclusive(id));
        drop(router);
        let target = self.target(service, &pair.decode)?;
        avoid.push(target.id.clone());
        Some(target)
    }

    /// Forwards the events of one server's stream until it ends or fails.
    async fn relay(
        self: &Rc<Self>,
        request: &ClientRequest,
        prompt: &Prompt,
        stream: DecodeStream,
        splitter: &mut EventSplitter,
        client: &EventSender,
        failover: &FailoverState,
    ) -> RelayEnd {
        let DecodeStream {
            head,
            mut body,
            connection,
            target,
            request_guard,
            mut prefill_guard,
            mut sent_at,
        } = stream;
        loop {
            match self.receive(request, &target, &mut body, client, failover).await {
                Received::Data(data) => {
                    let is_local = prefill_guard.take().is_some();
                    if let Some(sent_at) = sent_at.take() {
                        self.record_start_latency(request, prompt, is_local, sent_at);
                    }
                    match forward_events(&data, splitter, client, request.deadline.timer).await {
                        Ok(()) => {}
                        Err(RelayEnd::Broken) => break,
                        Err(end) => return end,
                    }
                }
                Received::Trailers => {}
                Received::End if is_framed(&head) => {
                    let remainder = splitter.take_remainder();
                    if let Err(end) = send_before(client, remainder, request.deadline.timer).await {
                        return end;
                    }
                    request_guard.record_success();
                    let keep_alive = keep_alive_timeout(&head.headers);
                    self.connections.put(&target.id, connection, keep_alive, request.deadline.timer).await;
                    return RelayEnd::Complete;
                }
                // Without a length or chunked encoding, the end of a broken stream looks like a regular one.
                Received::End | Received::ConnectionBroken => break,
                Received::Unresponsive => {
                    request_guard.record_failure(ServerFailure::Unreachable);
                    return RelayEnd::Broken;
                }
                Received::ClientGone => return RelayEnd::ClientGone,
                Received::DeadlinePassed => return RelayEnd::DeadlinePassed,
            }
        }
        request_guard.record_failure(ServerFailure::BrokenResponse);
        RelayEnd::Broken
    }

    /// Records the latency of a stream's first event. `is_local` is true if the decode server prefilled the prompt
    /// itself.
    fn record_start_latency(
        &self,
        request: &ClientRequest,
        prompt: &Prompt,
        is_local: bool,
        sent_at: Instant,
    ) {
        let (now, latency, service) = (self.now(), sent_at.elapsed(), &request.service.name);
        let mut router = self.router.borrow_mut();
        if is_local {
            router.record_local_prefill_latency(now, service, prompt, latency);
        } else {
            router.record_handover_latency(now, service, prompt, latency);
        }
    }

    /// Waits for the next frame of a stream.
    async fn receive(
        self: &Rc<Self>,
        request: &ClientRequest,
        target: &Target,
        body: &mut Incoming,
        client: &EventSender,
        failover: &FailoverState,
    ) -> Received {
        let frame = tokio::select! {
            biased;
            () = client.closed() => return Received::ClientGone,
            frame = timeout_at(request.deadline.timer, body.frame()) => frame,
            () = self.wait_until_resumable(request, target, failover), if request.route.resume => return Received::Unresponsive,
        };
        self.record_received(&target.id);
        match frame {
            Err(_) => Received::DeadlinePassed,
            Ok(None) => Received::End,
            Ok(Some(Err(_))) => Received::ConnectionBroken,
            Ok(Some(Ok(frame))) => frame.into_data().map_or(Received::Trailers, Received::Data),
        }
    }
}

/// Forwards the events that these bytes complete, except those that the client has already received.
///
/// # Errors
///
/// How the relay ends: the client is gone, the deadline has passed, or an event is too long.
async fn forward_events(
    data: &[u8],
    splitter: &mut EventSplitter,
    client: &EventSender,
    deadline: Instant,
) -> Result<(), RelayEnd> {
    let events = splitter.push(data).map_err(|_| RelayEnd::Broken)?;
    for event in events {
        let last_forwarded_id = splitter.last_forwarded_id();
        if event.id.is_some() && last_forwarded_id.is_some() && event.id <= last_forwarded_id {
            continue;
        }
        send_before(client, event.bytes, deadline).await?;
        splitter.mark_forwarded(event.id);
    }
    Ok(())
}

/// Sends an event to the client. A slow client makes this wait, and so the server, until the deadline.
///
/// # Errors
///
/// How the relay ends: the client is gone, or the deadline has passed.
async fn send_before(client: &EventSender, event: Bytes, deadline: Instant) -> Result<(), RelayEnd> {
    let Err(event) = client.try_send(event) else { return Ok(()) };
    match timeout_at(deadline, client.send(event)).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(ReceiverGone)) => Err(RelayEnd::ClientGone),
        Err(_) => Err(RelayEnd::DeadlinePassed),
    }
}
