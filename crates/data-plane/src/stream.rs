//! Streams: events are forwarded as they arrive. Where the route allows it, a broken stream is resumed at another
//! server.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use mosshead_http_links::CountGuard;
use mosshead_routing::{Prompt, ServerFailure};
use mosshead_time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout, timeout_at};

use crate::client_request::ClientRequest;
use crate::data_plane::DataPlane;
use crate::decode::{DecodeOutcome, DecodeStream};
use crate::event_splitter::EventSplitter;
use crate::headers::keep_alive_timeout;
use crate::response::{ResponseAborted, ResponseBody, forwarded_response};
use crate::retry::TakeOver;
use crate::server_request::Target;
use crate::server_response::is_framed;

/// How many events wait for a client that does not read.
const MAX_QUEUED_EVENTS: usize = 16;
/// For how long the abort of a response waits for a client that does not read.
const ABORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Where a client's response body takes its bytes from.
type EventSender = mpsc::Sender<Result<Bytes, ResponseAborted>>;

/// How the relay of one server's stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayEnd {
    Complete,
    /// The server broke off or became unresponsive: the stream may be resumed at another one.
    Broken,
    ClientGone,
    DeadlinePassed,
}

/// The next part of a server's stream.
enum Received {
    Data(Bytes),
    /// A frame that carries no data.
    Trailers,
    End,
    ConnectionBroken,
    Unresponsive,
    ClientGone,
    DeadlinePassed,
}

impl DataPlane {
    /// The response that carries the stream. A task of its own forwards the events, and resumes the stream
    /// where `take_over` allows it.
    pub(crate) fn forward_stream(
        self: Rc<Self>,
        request: ClientRequest,
        prompt: Prompt,
        stream: DecodeStream,
        take_over: TakeOver,
        in_flight: CountGuard,
    ) -> Response<ResponseBody> {
        let (client, receiver) = mpsc::channel(MAX_QUEUED_EVENTS);
        let response = forwarded_response(&stream.head, ResponseBody::Streaming(receiver));
        tokio::task::spawn_local(async move {
            self.relay_with_resumes(request, prompt, stream, take_over, client).await;
            drop(in_flight);
        });
        response
    }

    async fn relay_with_resumes(
        self: &Rc<Self>,
        request: ClientRequest,
        prompt: Prompt,
        stream: DecodeStream,
        mut take_over: TakeOver,
        client: EventSender,
    ) {
        let mut splitter = EventSplitter::default();
        take_over.avoid.push(stream.target.id.clone());
        let mut end = self.relay(&request, &prompt, stream, &mut splitter, &client, &take_over).await;
        while end == RelayEnd::Broken && take_over.remaining_attempts > 0 {
            if !request.route.resume || request.is_expired(self.now()) {
                break;
            }
            splitter.discard_partial_event();
            take_over.remaining_attempts -= 1;
            let Some(target) = self.select_resume_target(&request, &prompt, &mut take_over.avoid) else {
                break;
            };
            let last_event_id = splitter.last_forwarded_id();
            let outcome = self.start_decode(&request, &prompt, &target, None, last_event_id).await;
            if let DecodeOutcome::Streaming(stream) = outcome {
                self.counters.resumed.increment();
                end = self.relay(&request, &prompt, stream, &mut splitter, &client, &take_over).await;
            }
        }
        match end {
            RelayEnd::Complete => self.counters.completed.increment(),
            RelayEnd::ClientGone => {}
            RelayEnd::Broken | RelayEnd::DeadlinePassed => {
                self.counters.failed.increment();
                // Without the abort the response would look complete (RULES.md, MIXED).
                let _ = timeout(ABORT_TIMEOUT, client.send(Err(ResponseAborted))).await;
            }
        }
    }

    /// Another decode server that prefills the prompt itself, for one retry out of the budget.
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
        pair.prefill.iter().for_each(|id| router.record_inconclusive(id));
        drop(router);
        let target = self.target(service, &pair.decode)?;
        avoid.push(target.id.clone());
        Some(target)
    }

    /// Forwards the events of one server's stream.
    async fn relay(
        self: &Rc<Self>,
        request: &ClientRequest,
        prompt: &Prompt,
        stream: DecodeStream,
        splitter: &mut EventSplitter,
        client: &EventSender,
        take_over: &TakeOver,
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
            match self.receive(request, &target, &mut body, client, take_over).await {
                Received::Data(data) => {
                    let is_local = prefill_guard.take().is_some();
                    if let Some(sent_at) = sent_at.take() {
                        self.record_start_latency(request, prompt, is_local, sent_at);
                    }
                    match forward_events(&data, splitter, client).await {
                        Ok(()) => {}
                        Err(RelayEnd::Broken) => break,
                        Err(end) => return end,
                    }
                }
                Received::Trailers => {}
                Received::End if is_framed(&head) => {
                    let remainder = splitter.take_remainder();
                    if !remainder.is_empty() && client.send(Ok(remainder)).await.is_err() {
                        return RelayEnd::ClientGone;
                    }
                    request_guard.record_success();
                    let keep_alive = keep_alive_timeout(&head.headers);
                    self.connections.put(&target.id, connection, keep_alive, request.deadline.timer).await;
                    return RelayEnd::Complete;
                }
                // Without a length or chunks, a stream that broke off looks complete.
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

    /// The first event of a stream has arrived, whose prompt was prefilled at its decode server if `is_local`.
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
        take_over: &TakeOver,
    ) -> Received {
        let frame = tokio::select! {
            biased;
            () = client.closed() => return Received::ClientGone,
            frame = timeout_at(request.deadline.timer, body.frame()) => frame,
            () = self.wait_until_resumable(request, target, take_over), if request.route.resume => return Received::Unresponsive,
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

/// Forwards the events that these bytes complete, except those that the client already has from another server.
async fn forward_events(
    data: &[u8],
    splitter: &mut EventSplitter,
    client: &EventSender,
) -> Result<(), RelayEnd> {
    let events = splitter.push(data).map_err(|_| RelayEnd::Broken)?;
    for event in events {
        let last_forwarded_id = splitter.last_forwarded_id();
        if event.id.is_some() && last_forwarded_id.is_some() && event.id <= last_forwarded_id {
            continue;
        }
        client.send(Ok(event.bytes)).await.map_err(|_| RelayEnd::ClientGone)?;
        splitter.mark_forwarded(event.id);
    }
    Ok(())
}
