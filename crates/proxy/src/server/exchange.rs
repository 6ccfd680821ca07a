//! One request and its response on a connection to the server.

use super::ServerState;
use crate::body::OutboundConnection;
use crate::body::{self, BodyStart, OutgoingBody};
use crate::connection_log::EXECUTE_NODE;
use crate::load_report;
use crate::messages::{EndpointStatus, ForwardedRequest, RequestBody, ServerMessage};
use bytes::Bytes;
use hyper::header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode, Version, body::Incoming};
use mosshead_decide::interface::*;
use mosshead_http_links::{
    BodyError, CloseReason, ConnectionRecord, IDEMPOTENCY_KEY_HEADER, MAX_BUFFERED_BODY_BYTES, WriteProgress,
    read_body,
};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::timeout_at;

/// An answer whose length is not stated is held for so long, should it prove to be small.
pub(super) const SMALL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(10);

/// What one message to the server needs.
pub(super) struct ExchangeContext {
    pub(super) shared: Rc<ServerState>,
    /// What was told of the server when the balancer chose it.
    pub(super) chosen_status: EndpointStatus,
    pub(super) home: UnboundedSender<ServerMessage>,
    pub(super) link: Option<OutboundConnection>,
}

/// What came of writing a call to the server.
pub(super) struct ExchangeResult {
    pub(super) outcome: Outcome,
    pub(super) report: LoadReport,
    pub(super) body: Bytes,
    pub(super) link: Option<OutboundConnection>,
    /// More of the answer than can be held.
    pub(super) rest_of_body: Option<Incoming>,
    /// When the head of a good answer came.
    pub(super) head_received_at: Option<Instant>,
}

impl ExchangeResult {
    pub(super) fn without_response(outcome: Outcome) -> Self {
        Self {
            outcome,
            report: LoadReport::default(),
            body: Bytes::new(),
            link: None,
            rest_of_body: None,
            head_received_at: None,
        }
    }
}

/// How far an attempt has come, seen from outside: that it never ran can be proved until its last byte.
#[derive(Default)]
pub(super) struct AttemptProgress(RefCell<Option<(Rc<WriteProgress>, Rc<ConnectionRecord>)>>);

impl AttemptProgress {
    pub(super) fn started(&self, link: &OutboundConnection) {
        *self.0.borrow_mut() = Some((link.write_progress.clone(), link.record.clone()));
    }

    /// Its connection is about to be closed. Says whether it may have run.
    pub(super) fn abandon(&self) -> bool {
        self.0.borrow().as_ref().is_some_and(|(written, record)| {
            record.set_close_reason(CloseReason::Abandoned);
            written.is_complete()
        })
    }
}

pub(super) async fn exchange(
    context: &mut ExchangeContext,
    forwarded: &ForwardedRequest,
    deadline: Instant,
    progress: &AttemptProgress,
) -> ExchangeResult {
    let (shared, chosen_status) = (context.shared.clone(), context.chosen_status);
    // What can't be sent once more is not; the connection stays for others.
    if forwarded.body.upload().is_some_and(|upload| upload.is_spent()) {
        let unused = context.link.take();
        return ExchangeResult { link: unused, ..ExchangeResult::without_response(Outcome::NotSent) };
    }
    loop {
        let kept = match context.link.take() {
            Some(mut link) => link.ready().await.then_some(link),
            None => None,
        };
        let again = kept.is_some();
        let mut link = match kept {
            Some(link) => link,
            None => match connect(&shared, chosen_status.addr).await {
                Ok(link) => link,
                Err(outcome) => return ExchangeResult::without_response(outcome),
            },
        };
        // A drain counts from the first byte, and a connection may take long to come up. A server that
        // has started anew meanwhile is cold: the balancer chose it warm.
        let status = shared.status.get();
        if status.readiness != Readiness::Ready
            || status.started_ms != chosen_status.started_ms
            || status.addr != chosen_status.addr
        {
            link.record.set_close_reason(CloseReason::EndpointChanged);
            return ExchangeResult::without_response(Outcome::NotSent);
        }
        let (body, length) = match &forwarded.body {
            RequestBody::Buffered(body) => (Some(OutgoingBody::from(body.clone())), body.len()),
            RequestBody::Streaming(upload) => {
                let length = upload.length().map_or(usize::MAX, |length| length as usize);
                (upload.stream_to(link.write_progress.clone()), length)
            }
        };
        let Some(request) = body.and_then(|body| build_request(forwarded, status.addr, deadline, body))
        else {
            link.record.set_close_reason(CloseReason::Abandoned);
            return ExchangeResult::without_response(Outcome::NotSent);
        };
        link.record.set_default_close_reason(CloseReason::ConnectionBroken);
        progress.started(&link);
        match link.send(request, length).await {
            Ok(response) => return read_response(link, response).await,
            Err(_) if link.write_progress.is_complete() => {
                return ExchangeResult::without_response(Outcome::Reset);
            }
            // It ended, or brought what belongs to no answer, while it was idle: nothing was written to it.
            Err(_) if again && !link.write_progress.has_started() => {
                link.record.set_close_reason(CloseReason::Stale);
            }
            Err(_) => return ExchangeResult::without_response(Outcome::ConnectFailed),
        }
    }
}

/// A new connection; where this machine has no descriptor left for it, the server is not to blame.
pub(super) async fn connect(
    shared: &ServerState,
    addr: SocketAddr,
) -> std::result::Result<OutboundConnection, Outcome> {
    let latest = Instant::now() + shared.connect_timeout.get();
    let permit = timeout_at(latest.into(), shared.budget.acquire()).await.map_err(|_| Outcome::NotSent)?;
    let within = latest.saturating_duration_since(Instant::now());
    OutboundConnection::open(EXECUTE_NODE, addr, within, permit).await.ok_or(Outcome::ConnectFailed)
}

pub(super) fn build_request(
    forwarded: &ForwardedRequest,
    addr: SocketAddr,
    deadline: Instant,
    body: OutgoingBody,
) -> Option<Request<OutgoingBody>> {
    let left = deadline.saturating_duration_since(Instant::now()).as_secs_f64();
    let mut request = Request::builder().method(forwarded.method.as_str()).uri(forwarded.target.as_str());
    request = request.header("host", addr.to_string()).header("x-time-left", format!("{left:.3}"));
    if !forwarded.id.is_empty() {
        request = request.header("x-correlation-id", forwarded.id.as_str());
    }
    if let Some(key) = &forwarded.idempotency_key {
        request = request.header(IDEMPOTENCY_KEY_HEADER, HeaderValue::from_maybe_shared(key.clone()).ok()?);
    }
    request.body(body).ok()
}

/// A connection that carried all of the request; answered before that, it is of no further use.
pub(super) fn reusable_after_full_request(link: OutboundConnection) -> Option<OutboundConnection> {
    Some(link).filter(|link| link.write_progress.is_complete())
}

pub(super) async fn read_response(link: OutboundConnection, response: Response<Incoming>) -> ExchangeResult {
    let head_received_at = Some(Instant::now());
    let header = |name| response.headers().get(name).and_then(|value| value.to_str().ok());
    let report = header("x-backend-load").map(load_report::load_report).unwrap_or_default();
    let unprocessed = header("x-unprocessed").is_some_and(|value| value.trim() == "1");
    let outcome = match response.status() {
        StatusCode::OK => Outcome::Served,
        // Without the mark it may have run, whatever the code says.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unprocessed => Outcome::Rejected,
        _ => Outcome::Errored,
    };
    // With two lengths nobody can tell whether an answer is whole. Where none is stated its end is the
    // connection's, if the server says that it will close it.
    let has = |name| response.headers().contains_key(name);
    let framed = match (has(CONTENT_LENGTH), has(TRANSFER_ENCODING)) {
        (true, true) => false,
        (false, false) => {
            let close = header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
            close || response.version() == Version::HTTP_10
        }
        _ => true,
    };
    let fault = match framed {
        true if outcome == Outcome::Served => {
            match body::read_start(response.into_body(), Some(SMALL_RESPONSE_TIMEOUT)).await {
                Ok(BodyStart::Complete(body)) => {
                    return ExchangeResult {
                        report,
                        body,
                        link: reusable_after_full_request(link),
                        head_received_at,
                        ..ExchangeResult::without_response(outcome)
                    };
                }
                Ok(BodyStart::Partial(body, rest)) => {
                    let (link, rest_of_body) = (Some(link), Some(rest));
                    return ExchangeResult {
                        report,
                        body,
                        link,
                        rest_of_body,
                        head_received_at,
                        ..ExchangeResult::without_response(outcome)
                    };
                }
                Err(fault) => fault,
            }
        }
        true => match read_body(response.into_body(), MAX_BUFFERED_BODY_BYTES).await {
            Ok(body) => {
                return ExchangeResult {
                    report,
                    body,
                    link: reusable_after_full_request(link),
                    ..ExchangeResult::without_response(outcome)
                };
            }
            Err(fault) => fault,
        },
        false => BodyError::InvalidLength,
    };
    if fault != BodyError::Interrupted {
        link.record.set_close_reason(CloseReason::InvalidResponse);
    }
    // A broken answer has run, whatever its head claims.
    ExchangeResult { report, ..ExchangeResult::without_response(Outcome::Reset) }
}
