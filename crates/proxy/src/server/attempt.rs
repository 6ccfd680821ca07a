//! One attempt or probe at a server, from its start to its outcome.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mosshead_decide::interface::{LoadReport, Outcome};
use mosshead_http_links::CloseReason;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout_at};

use super::exchange::{AttemptProgress, ExchangeContext, exchange};
use super::response::ExchangeResult;
use crate::body::{OutboundConnection, OutgoingBody};
use crate::load_report::parse_load_report;
use crate::messages::{AttemptGuard, AttemptKey, ForwardedRequest, ProbeGuard, RequestBody, ServerMessage};

/// An attempt is aborted if the server accepts no more of its body for this long.
const MAX_UPLOAD_STALL: Duration = Duration::from_secs(6);
/// How often to check whether the last byte of a body has arrived.
const UPLOAD_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The timeout of a probe, as a multiple of the connect timeout.
const PROBE_TIMEOUT_FACTOR: f64 = 2.0;

/// Sends a request and reports whichever comes first: the response, a cancellation or the timeout.
pub(super) async fn run_attempt(
    mut context: ExchangeContext,
    mut guard: AttemptGuard,
    forwarded: Rc<ForwardedRequest>,
    deadline: Instant,
    cancelled: oneshot::Receiver<()>,
) {
    let progress = AttemptProgress::default();
    // Whichever ends first drops the exchange, which closes its connection.
    let result = tokio::select! {
        biased;
        _ = cancelled => {
            progress.abandon();
            ExchangeResult::without_response(Outcome::Cancelled)
        }
        result = exchange(&mut context, &forwarded, deadline, &progress) => result,
        () = attempt_timeout(&forwarded, deadline) => {
            let may_have_run = progress.abandon();
            let outcome = if may_have_run { Outcome::TimedOut } else { Outcome::ConnectFailed };
            ExchangeResult::without_response(outcome)
        }
    };
    if let Some(completed_at) = forwarded.body.upload().and_then(|upload| upload.completed_at()) {
        guard.set_earliest_start(completed_at);
    }
    let attempt = guard.key();
    let connection = report_outcome(&context, guard, result);
    return_connection(&context, Some(attempt), connection).await;
}

/// Reports the result of an attempt. Returns its connection, unless a large response is still arriving on it.
fn report_outcome(
    context: &ExchangeContext,
    mut guard: AttemptGuard,
    result: ExchangeResult,
) -> Option<OutboundConnection> {
    let ExchangeResult { outcome, report, body, connection, rest_of_body, head_received_at } = result;
    guard.set_responded_at(head_received_at);
    let (body, connection) = match (rest_of_body, connection) {
        (Some(rest), Some(connection)) => {
            let context = context.without_connection();
            let on_connection_free = move |connection| {
                spawn_local(async move { return_connection(&context, None, Some(connection)).await });
            };
            (OutgoingBody::download(body, rest, connection, on_connection_free), None)
        }
        (_, connection) => (OutgoingBody::from(body), connection),
    };
    guard.finish(outcome, report, body);
    connection
}

/// Completes when an attempt is to be aborted. While the request's body is still arriving, that is when the server
/// stops accepting it; afterwards the client's timeout counts from the last byte.
async fn attempt_timeout(forwarded: &ForwardedRequest, deadline: Instant) {
    let Some(upload) = forwarded.body.upload() else { return sleep_until(deadline.into()).await };
    let time_left = deadline.saturating_duration_since(Instant::now());
    loop {
        let abort_at = match upload.completed_at() {
            Some(completed_at) => completed_at + time_left,
            None => upload.last_progress() + MAX_UPLOAD_STALL,
        };
        if abort_at <= Instant::now() {
            return;
        }
        // The last byte may have arrived meanwhile.
        sleep_until(abort_at.min(Instant::now() + UPLOAD_POLL_INTERVAL).into()).await;
    }
}

/// Asks a server for its load and reports the outcome.
pub(super) async fn run_probe(mut context: ExchangeContext, guard: ProbeGuard) {
    let progress = AttemptProgress::default();
    let request = ForwardedRequest {
        method: "GET".to_owned(),
        target: "/_load".to_owned(),
        id: String::new(),
        idempotency_key: None,
        body: RequestBody::Buffered(Bytes::new()),
    };
    let deadline = Instant::now() + context.connect_timeout().mul_f64(PROBE_TIMEOUT_FACTOR);
    let result = timeout_at(deadline.into(), exchange(&mut context, &request, deadline, &progress)).await;
    let mut result = result.unwrap_or_else(|_| {
        progress.abandon();
        ExchangeResult::without_response(Outcome::TimedOut)
    });
    if result.report == LoadReport::default() && result.outcome == Outcome::Served {
        result.report = parse_load_report(&String::from_utf8_lossy(&result.body));
    }
    guard.finish(result.outcome, result.report);
    return_connection(&context, None, result.connection).await;
}

/// Notifies the actor that an attempt or probe has ended. Returns its connection to the actor once the whole response
/// has been read from it, so that it can carry a further request.
async fn return_connection(
    context: &ExchangeContext,
    attempt: Option<AttemptKey>,
    connection: Option<OutboundConnection>,
) {
    let connection = match connection {
        Some(mut connection) => {
            connection.record.set_default_close_reason(CloseReason::ClosedByPeer);
            connection.ready().await.then_some(connection)
        }
        None => None,
    };
    context.send_to_actor(ServerMessage::ConnectionFreed {
        attempt,
        connection,
        addr: context.chosen_status.addr,
    });
}
