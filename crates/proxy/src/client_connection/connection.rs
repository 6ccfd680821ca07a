//! The actor of one connection: it reads requests, passes them to the balancer, and closes the connection when that is
//! due.

use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, TRANSFER_ENCODING};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use mosshead_http_links::{BodyError, CloseReason, ConnectionRecord};
use tokio::time::sleep_until;

use super::head::{ID_IN_USE, INVALID_ID, RequestHead, RequestRejection};
use super::progress::{ClientStream, ConnectionProgress};
use super::response::{empty_response, encode_response, respond};
use super::{AcceptedConnection, ClientFrontend, StopStage};
use crate::body::{self, BodyStart, OutgoingBody, Upload};
use crate::log::{AdmittedLine, log_event};
use crate::messages::{ClientRequest, FinalResponse, ForwardedRequest, RequestBody};

/// The maximum length of a message head.
const MAX_HEAD_BYTES: usize = 16 * 1024;

impl ClientFrontend {
    /// Serves a connection until it is closed; its descriptor has been returned when this returns.
    pub(super) async fn serve_connection(self: Rc<Self>, accepted: AcceptedConnection) {
        let AcceptedConnection { stream, log_guard, permit: _permit } = accepted;
        let _ = stream.set_nodelay(true);
        let record = log_guard.record();
        let progress = Rc::new(ConnectionProgress::new());
        let service =
            service_fn(|request| self.clone().handle_message(request, record.clone(), progress.clone()));
        let mut stage = self.stage.subscribe();
        let mut release_requests = self.budget.subscribe_release_requests();
        let mut draining = self.lifecycle.subscribe_draining();
        progress.set_draining_since(*draining.borrow_and_update());
        // The subscription does not see earlier requests to release descriptors.
        progress.set_scarce(self.budget.is_tight());
        let stream = TokioIo::new(ClientStream { stream, progress: progress.clone() });
        let server = Builder::new().max_buf_size(MAX_HEAD_BYTES).serve_connection(stream, service);
        let (mut server, mut is_stopping) = (pin!(server), false);
        let end = loop {
            tokio::select! {
                biased;
                end = server.as_mut() => break end,
                _ = stage.wait_for(|stage| *stage == StopStage::Stopping), if !is_stopping => {
                    is_stopping = true;
                    record.set_default_close_reason(CloseReason::ShuttingDown);
                    progress.set_stopping();
                    // Without a byte so far the connection would be closed, although its request may be on its way.
                    if !progress.awaits_first_byte() {
                        server.as_mut().graceful_shutdown();
                    }
                }
                _ = release_requests.changed() => progress.set_scarce(true),
                Ok(()) = draining.changed() => progress.set_draining_since(*draining.borrow_and_update()),
                () = sleep_until(progress.next_close_check().into()) => {
                    if let Some(reason) = progress.due_close_reason(Instant::now()) {
                        return record.set_close_reason(reason);
                    }
                }
            }
        };
        if let Err(error) = end {
            record_failure(&record, &error);
        }
    }

    /// Responds to one message and records how the response ends.
    async fn handle_message(
        self: Rc<Self>,
        request: Request<Incoming>,
        record: Rc<ConnectionRecord>,
        progress: Rc<ConnectionProgress>,
    ) -> Result<Response<OutgoingBody>, Infallible> {
        let has_both_framings = progress.request_started();
        let mut response = self.respond_to(request, &record, has_both_framings).await;
        response.body_mut().on_end(move |is_complete| {
            progress.response_ended(is_complete);
            progress.set_scarce(self.budget.is_tight());
            if !is_complete {
                record.set_close_reason(CloseReason::ConnectionBroken);
            }
        });
        Ok(response)
    }

    async fn respond_to(
        &self,
        request: Request<Incoming>,
        record: &ConnectionRecord,
        has_both_framings: bool,
    ) -> Response<OutgoingBody> {
        record.count_message();
        let mut response = if request.uri().path() == "/_health" {
            self.respond_to_health_check()
        } else {
            match self.read_request(request, has_both_framings).await {
                Ok(request) => {
                    record.set_default_close_reason(CloseReason::ClientGone);
                    match self.balancer.submit(request).await {
                        FinalResponse::IdInUse => self.reject(record, ID_IN_USE),
                        response => encode_response(response),
                    }
                }
                Err(rejection) => self.reject(record, rejection),
            }
        };
        if self.is_last_response(record) {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn respond_to_health_check(&self) -> Response<OutgoingBody> {
        let is_healthy = self.lifecycle.is_ready() && !self.lifecycle.is_draining();
        empty_response(if is_healthy { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
    }

    /// True if the connection is to be closed after the response that is about to be sent; the reason is recorded. If
    /// the response closes the connection, the close can't race with a further request.
    fn is_last_response(&self, record: &ConnectionRecord) -> bool {
        let reason = match (*self.stage.borrow(), self.lifecycle.is_draining()) {
            (StopStage::Serving, false) => None,
            (StopStage::Serving, true) => Some(CloseReason::Draining),
            (StopStage::Closing | StopStage::Stopping, _) => Some(CloseReason::ShuttingDown),
        };
        record.set_default_close_reason(reason.unwrap_or(CloseReason::ClosedByPeer));
        // While descriptors are scarce, an idle connection would hold one.
        let is_scarce = self.budget.is_tight();
        if is_scarce {
            record.set_default_close_reason(CloseReason::DescriptorNeeded);
        }
        reason.is_some() || is_scarce
    }

    /// The response to an invalid message. It closes the connection, since the bytes that follow may be part of that
    /// message.
    fn reject(&self, record: &ConnectionRecord, rejection: RequestRejection) -> Response<OutgoingBody> {
        let RequestRejection { status, reason } = rejection;
        if let Some(AdmittedLine { left_out }) = self.rejection_log.admit() {
            log_event!(status = status.as_u16(), why = %reason, left_out, "turned-down");
        }
        record.set_close_reason(CloseReason::BadRequest);
        let mut response = respond(status, Bytes::from_static(reason.as_bytes()));
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        response
    }

    async fn read_request(
        &self,
        request: Request<Incoming>,
        has_both_framings: bool,
    ) -> Result<ClientRequest, RequestRejection> {
        let (head, body) = request.into_parts();
        // With both framings, a second message may be hidden in the body.
        if has_both_framings && head.headers.contains_key(TRANSFER_ENCODING) {
            return Err(RequestRejection::bad_request("the body is framed twice"));
        }
        let RequestHead { class, tenant, time_left, id, idempotency_key } = self.read_head(&head)?;
        let body = match body::read_start(body, None).await.map_err(reject_body)? {
            BodyStart::Complete(body) => RequestBody::Buffered(body),
            BodyStart::Partial(start, rest) => RequestBody::Streaming(Upload::new(start, rest)),
        };
        // The client's timeout counts from the last buffered byte.
        let arrived = Instant::now();
        let number = u64::from_str_radix(&id, 16).map_err(|_| INVALID_ID)?;
        let method = head.method.as_str().to_owned();
        let target = head.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
        let forwarded = ForwardedRequest { method, target, id, idempotency_key, body };
        Ok(ClientRequest { id: number, class, tenant, time_left, arrived, forwarded })
    }
}

fn reject_body(error: BodyError) -> RequestRejection {
    match error {
        BodyError::TooLong => {
            RequestRejection { status: StatusCode::PAYLOAD_TOO_LARGE, reason: "the body is too long" }
        }
        // A client that never ends its body would hold its descriptor forever.
        BodyError::Timeout => {
            RequestRejection { status: StatusCode::REQUEST_TIMEOUT, reason: "the body did not come in time" }
        }
        BodyError::Interrupted | BodyError::InvalidLength => {
            RequestRejection::bad_request("the body broke off")
        }
    }
}

/// Records why a connection has failed.
fn record_failure(record: &ConnectionRecord, error: &hyper::Error) {
    // A client that disconnects while its request is in flight is already recorded as the default reason.
    if record.close_reason() != CloseReason::ClientGone {
        let is_malformed = error.is_parse();
        record.set_close_reason(if is_malformed {
            CloseReason::BadRequest
        } else {
            CloseReason::ConnectionBroken
        });
    }
}
