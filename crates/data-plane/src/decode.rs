//! Starts the stream of a request at a decode server.

use std::rc::Rc;

use hyper::body::Incoming;
use hyper::header::{CONTENT_ENCODING, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use mosshead_routing::{Prompt, ServerFailure};
use tokio::time::Instant;

use crate::attempt::{AttemptOutcome, failure_of_rejection};
use crate::client_request::ClientRequest;
use crate::connection_pool::PooledConnection;
use crate::data_plane::DataPlane;
use crate::headers::{KV_FROM, LAST_EVENT_ID, PRIORITY};
use crate::load_guards::{PrefillGuard, ServerRequestGuard};
use crate::load_report::{LOAD_REPORT_TIMEOUT, SILENT_SERVER_TIMEOUT};
use crate::prefill::KvHandle;
use crate::response::{ResponseBody, forwarded_response};
use crate::server_request::Target;
use crate::server_response::{ServerResponse, is_sealed, promises_not_executed};

/// The weight of a token that a decode server prefills itself: it takes twice as long as at a prefill server.
const LOCAL_PREFILL_WEIGHT: f64 = 2.0;

/// A stream whose head has arrived.
pub(crate) struct DecodeStream {
    pub(crate) head: Parts,
    pub(crate) body: Incoming,
    pub(crate) connection: PooledConnection,
    pub(crate) target: Target,
    pub(crate) request_guard: ServerRequestGuard,
    /// Present until the first event if the decode server prefills the prompt itself.
    pub(crate) prefill_guard: Option<PrefillGuard>,
    /// When the request was sent; `None` once its first event has arrived, and for a resumed stream, whose latency is
    /// not recorded.
    pub(crate) sent_at: Option<Instant>,
}

/// The outcome of an attempt at a decode server.
pub(crate) enum DecodeOutcome {
    /// The stream begins.
    Streaming(DecodeStream),
    /// The stream did not begin.
    Failed(DecodeFailure),
}

/// Why a stream did not begin.
pub(crate) enum DecodeFailure {
    /// The server sent a complete error response; the request may have run.
    ErrorResponse(Response<ResponseBody>),
    /// The KV cache could not be fetched, or the server is full; the request did not run.
    HandleUnavailable,
    /// The server rejected the request; it did not run.
    Rejected,
    /// The request did not reach the server.
    NotDelivered,
    /// The request may have run.
    Broken,
}

impl From<DecodeFailure> for DecodeOutcome {
    fn from(failure: DecodeFailure) -> Self {
        Self::Failed(failure)
    }
}

impl DataPlane {
    /// Sends the request to a decode server. Without a handle, the server prefills the prompt itself. `last_event_id`
    /// is given to resume a stream after that event.
    pub(crate) async fn start_decode(
        self: &Rc<Self>,
        request: &ClientRequest,
        prompt: &Prompt,
        target: &Target,
        handle: Option<KvHandle>,
        last_event_id: Option<u64>,
    ) -> DecodeOutcome {
        let request_guard = ServerRequestGuard::new(self, &target.id);
        let local_prefill_tokens = LOCAL_PREFILL_WEIGHT * prompt.unshared_tokens();
        let prefill_guard =
            handle.is_none().then(|| PrefillGuard::new(self, &target.id, local_prefill_tokens));
        let sent_at = Instant::now();
        let extra_headers = decode_headers(request, handle.as_ref(), last_event_id);
        let outcome = tokio::select! {
            outcome = self.run_at(target, request, &extra_headers) => outcome,
            () = self.wait_until_abandonable(request, target, SILENT_SERVER_TIMEOUT, LOAD_REPORT_TIMEOUT), if request.is_repeatable() => AttemptOutcome::TimedOut,
        };
        match outcome {
            AttemptOutcome::Responded(response) => {
                handle.iter().for_each(KvHandle::mark_consumed);
                let accepted = self.accept_response(request, target, response, request_guard, prefill_guard);
                let mut outcome = accepted.await;
                if let DecodeOutcome::Streaming(stream) = &mut outcome {
                    stream.sent_at = last_event_id.is_none().then_some(sent_at);
                }
                outcome
            }
            // Servers use this status both if the KV cache can't be fetched and if they are full.
            AttemptOutcome::Rejected(StatusCode::SERVICE_UNAVAILABLE) if handle.is_some() => {
                DecodeFailure::HandleUnavailable.into()
            }
            AttemptOutcome::Rejected(status) => {
                request_guard.record_failure(failure_of_rejection(status));
                DecodeFailure::Rejected.into()
            }
            AttemptOutcome::NotDelivered(failure) => {
                request_guard.record_failure(failure);
                DecodeFailure::NotDelivered.into()
            }
            AttemptOutcome::Broken | AttemptOutcome::TimedOut => {
                handle.iter().for_each(KvHandle::mark_consumed);
                request_guard.record_failure(ServerFailure::BrokenResponse);
                DecodeFailure::Broken.into()
            }
        }
    }

    async fn accept_response(
        &self,
        request: &ClientRequest,
        target: &Target,
        response: ServerResponse,
        request_guard: ServerRequestGuard,
        prefill_guard: Option<PrefillGuard>,
    ) -> DecodeOutcome {
        let ServerResponse { head, body, connection } = response;
        if !head.status.is_success() {
            request_guard.record_failure(ServerFailure::ErrorResponse);
            let until = request.deadline.timer;
            let body = self.buffer_body(&target.id, &head, body, connection, until).await;
            return match body {
                Ok(body) if !promises_not_executed(head.status) => {
                    let response = forwarded_response(&head, ResponseBody::Buffered(body));
                    DecodeFailure::ErrorResponse(response).into()
                }
                _ => DecodeFailure::Broken.into(),
            };
        }
        if !is_sealed(&head) || head.headers.contains_key(CONTENT_ENCODING) {
            request_guard.record_failure(ServerFailure::BrokenResponse);
            return DecodeFailure::Broken.into();
        }
        let target = target.clone();
        DecodeOutcome::Streaming(DecodeStream {
            head,
            body,
            connection,
            target,
            request_guard,
            prefill_guard,
            sent_at: None,
        })
    }
}

fn decode_headers(
    request: &ClientRequest,
    handle: Option<&KvHandle>,
    last_event_id: Option<u64>,
) -> Vec<(HeaderName, HeaderValue)> {
    let mut headers = vec![(PRIORITY, request.priority.clone())];
    headers.extend(handle.and_then(KvHandle::location).map(|location| (KV_FROM, location)));
    headers.extend(last_event_id.map(|id| (LAST_EVENT_ID, HeaderValue::from(id))));
    headers
}
