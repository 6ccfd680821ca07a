//! One request and its response on a connection to the server.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::Request;
use hyper::header::HeaderValue;
use mosshead_decide::interface::{Outcome, Readiness};
use mosshead_http_links::{CloseReason, ConnectionRecord, IDEMPOTENCY_KEY_HEADER, WriteProgress};
use tokio::time::timeout_at;

use super::ServerState;
use super::response::{ExchangeResult, read_response};
use crate::body::{OutboundConnection, OutgoingBody};
use crate::connection_log::SERVER;
use crate::messages::{EndpointStatus, ForwardedRequest, RequestBody, ServerMessage};

/// The context of one exchange.
pub(super) struct ExchangeContext {
    pub(super) state: Rc<ServerState>,
    /// The list entry of the server when the balancer selected it.
    pub(super) chosen_status: EndpointStatus,
    /// An idle connection, if there was one.
    pub(super) connection: Option<OutboundConnection>,
}

impl ExchangeContext {
    /// The same context for what follows the exchange.
    pub(super) fn without_connection(&self) -> Self {
        Self { state: self.state.clone(), chosen_status: self.chosen_status, connection: None }
    }

    pub(super) fn connect_timeout(&self) -> Duration {
        self.state.connect_timeout.get()
    }

    pub(super) fn send_to_actor(&self, message: ServerMessage) {
        let _ = self.state.mailbox.send(message);
    }

    /// True if the server has changed since the balancer selected it; opening a connection may take long. A draining
    /// server must get no first byte of a new request, and a server that has restarted meanwhile is cold although the
    /// balancer selected a warm one.
    fn has_endpoint_changed(&self) -> bool {
        let status = self.state.status.get();
        status.readiness != Readiness::Ready
            || status.started_at != self.chosen_status.started_at
            || status.addr != self.chosen_status.addr
    }
}

/// The progress of an attempt, for code that aborts it: until its last byte is written, the request was provably not
/// executed.
#[derive(Default)]
pub(super) struct AttemptProgress(RefCell<Option<StartedWrite>>);

struct StartedWrite {
    progress: Rc<WriteProgress>,
    record: Rc<ConnectionRecord>,
}

impl AttemptProgress {
    fn write_started(&self, connection: &OutboundConnection) {
        self.0.replace(Some(StartedWrite {
            progress: connection.write_progress.clone(),
            record: connection.record.clone(),
        }));
    }

    /// Records that the connection is about to be closed. Returns true if the request may have been executed.
    pub(super) fn abandon(&self) -> bool {
        self.0.borrow().as_ref().is_some_and(|started| {
            started.record.set_close_reason(CloseReason::Abandoned);
            started.progress.is_complete()
        })
    }
}

/// Writes a request to the server and reads the start of its response.
///
/// If an idle connection proves broken before anything was written, a new one replaces it.
pub(super) async fn exchange(
    context: &mut ExchangeContext,
    forwarded: &ForwardedRequest,
    deadline: Instant,
    progress: &AttemptProgress,
) -> ExchangeResult {
    // The body can't be sent again; the connection stays available for other requests.
    if forwarded.body.upload().is_some_and(|upload| upload.is_consumed()) {
        let connection = context.connection.take();
        return ExchangeResult { connection, ..ExchangeResult::without_response(Outcome::NotSent) };
    }
    loop {
        let idle = match context.connection.take() {
            Some(mut connection) => connection.ready().await.then_some(connection),
            None => None,
        };
        let is_reused = idle.is_some();
        let mut connection = match idle {
            Some(connection) => connection,
            None => match connect(&context.state, context.chosen_status.addr).await {
                Ok(connection) => connection,
                Err(outcome) => return ExchangeResult::without_response(outcome),
            },
        };
        if context.has_endpoint_changed() {
            connection.record.set_close_reason(CloseReason::EndpointChanged);
            return ExchangeResult::without_response(Outcome::NotSent);
        }
        let addr = context.chosen_status.addr;
        let Some(SizedRequest { request, body_length }) =
            build_request(forwarded, addr, deadline, &connection)
        else {
            connection.record.set_close_reason(CloseReason::Abandoned);
            return ExchangeResult::without_response(Outcome::NotSent);
        };
        connection.record.set_default_close_reason(CloseReason::ConnectionBroken);
        progress.write_started(&connection);
        match connection.send(request, body_length).await {
            Ok(response) => return read_response(connection, response).await,
            Err(_) if connection.write_progress.is_complete() => {
                return ExchangeResult::without_response(Outcome::Reset);
            }
            // While idle it was closed or received bytes that belong to no response; nothing was written to it.
            Err(_) if is_reused && !connection.write_progress.has_started() => {
                connection.record.set_close_reason(CloseReason::Stale);
            }
            Err(_) => return ExchangeResult::without_response(Outcome::ConnectFailed),
        }
    }
}

/// Opens a connection. A lack of descriptors on this machine does not count against the server.
async fn connect(state: &ServerState, addr: SocketAddr) -> Result<OutboundConnection, Outcome> {
    let deadline = Instant::now() + state.connect_timeout.get();
    let permit = timeout_at(deadline.into(), state.budget.acquire()).await.map_err(|_| Outcome::NotSent)?;
    let time_left = deadline.saturating_duration_since(Instant::now());
    OutboundConnection::open(SERVER, addr, time_left, permit).await.ok_or(Outcome::ConnectFailed)
}

struct SizedRequest {
    request: Request<OutgoingBody>,
    /// [`usize::MAX`] if the length is not known.
    body_length: usize,
}

/// The request as it is written to a connection; none if its body can't be sent any more or a header is invalid.
fn build_request(
    forwarded: &ForwardedRequest,
    addr: SocketAddr,
    deadline: Instant,
    connection: &OutboundConnection,
) -> Option<SizedRequest> {
    let (body, body_length) = match &forwarded.body {
        RequestBody::Buffered(body) => (OutgoingBody::from(body.clone()), body.len()),
        RequestBody::Streaming(upload) => {
            let stream = upload.start_attempt(connection.write_progress.clone())?;
            let length = upload.length().map_or(usize::MAX, |length| length as usize);
            (OutgoingBody::Upload(Box::new(stream)), length)
        }
    };
    let time_left = deadline.saturating_duration_since(Instant::now()).as_secs_f64();
    let mut request = Request::builder().method(forwarded.method.as_str()).uri(forwarded.target.as_str());
    request = request.header("host", addr.to_string()).header("x-time-left", format!("{time_left:.3}"));
    if !forwarded.id.is_empty() {
        request = request.header("x-correlation-id", forwarded.id.as_str());
    }
    if let Some(key) = &forwarded.idempotency_key {
        request = request.header(IDEMPOTENCY_KEY_HEADER, HeaderValue::from_maybe_shared(key.clone()).ok()?);
    }
    Some(SizedRequest { request: request.body(body).ok()?, body_length })
}
