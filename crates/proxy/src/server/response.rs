//! Reads a server's response: the outcome that it states, and whether it can be trusted.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Response, StatusCode, Version, body::Incoming};
use mosshead_decide::interface::{LoadReport, Outcome};
use mosshead_http_links::{BodyError, CloseReason, MAX_BUFFERED_BODY_BYTES, read_body};

use crate::body::{self, BodyStart, OutboundConnection};
use crate::load_report::parse_load_report;

/// How long a response without a stated length is buffered in case it is small.
const SMALL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(10);

/// The result of an exchange.
pub(super) struct ExchangeResult {
    pub(super) outcome: Outcome,
    pub(super) report: LoadReport,
    /// The body, or its start.
    pub(super) body: Bytes,
    /// The connection, if it can be reused.
    pub(super) connection: Option<OutboundConnection>,
    /// The rest of a body that is too large to be buffered.
    pub(super) rest_of_body: Option<Incoming>,
    /// When the head of a successful response arrived.
    pub(super) head_received_at: Option<Instant>,
}

impl ExchangeResult {
    pub(super) fn without_response(outcome: Outcome) -> Self {
        Self {
            outcome,
            report: LoadReport::default(),
            body: Bytes::new(),
            connection: None,
            rest_of_body: None,
            head_received_at: None,
        }
    }
}

/// Reads a response, or the start of a large one.
pub(super) async fn read_response(
    connection: OutboundConnection,
    response: Response<Incoming>,
) -> ExchangeResult {
    let head_received_at = Some(Instant::now());
    let report = header(&response, "x-backend-load").map(parse_load_report).unwrap_or_default();
    let outcome = classify(&response);
    let body = match (has_certain_length(&response), outcome) {
        (false, _) => Err(BodyError::InvalidLength),
        (true, Outcome::Served) => body::read_start(response.into_body(), Some(SMALL_RESPONSE_TIMEOUT)).await,
        (true, _) => read_body(response.into_body(), MAX_BUFFERED_BODY_BYTES).await.map(BodyStart::Complete),
    };
    let head_received_at = head_received_at.filter(|_| outcome == Outcome::Served);
    let head = ExchangeResult { report, head_received_at, ..ExchangeResult::without_response(outcome) };
    match body {
        Ok(BodyStart::Complete(body)) => {
            ExchangeResult { body, connection: reusable_if_written(connection), ..head }
        }
        Ok(BodyStart::Partial(body, rest)) => {
            ExchangeResult { body, connection: Some(connection), rest_of_body: Some(rest), ..head }
        }
        Err(error) => {
            if error != BodyError::Interrupted {
                connection.record.set_close_reason(CloseReason::InvalidResponse);
            }
            // A request with an invalid response counts as executed, whatever the head of the response claims.
            ExchangeResult { report, ..ExchangeResult::without_response(Outcome::Reset) }
        }
    }
}

fn header<'a>(response: &'a Response<Incoming>, name: &str) -> Option<&'a str> {
    response.headers().get(name).and_then(|value| value.to_str().ok())
}

fn classify(response: &Response<Incoming>) -> Outcome {
    let is_unprocessed = header(response, "x-unprocessed").is_some_and(|value| value.trim() == "1");
    match response.status() {
        StatusCode::OK => Outcome::Served,
        // Without that header the request may have been executed, whatever the status says.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_unprocessed => Outcome::Rejected,
        _ => Outcome::Errored,
    }
}

/// True if the end of the response can be determined. With two stated lengths it can't. With none, the response ends
/// with the connection, if the server has announced that it will close it.
fn has_certain_length(response: &Response<Incoming>) -> bool {
    let has = |name| response.headers().contains_key(name);
    match (has(CONTENT_LENGTH), has(TRANSFER_ENCODING)) {
        (true, true) => false,
        (false, false) => {
            let closes =
                header(response, "connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
            closes || response.version() == Version::HTTP_10
        }
        (true, false) | (false, true) => true,
    }
}

/// The connection, if it has carried the whole request. If the server responded before that, it can't carry another.
fn reusable_if_written(connection: OutboundConnection) -> Option<OutboundConnection> {
    Some(connection).filter(|connection| connection.write_progress.is_complete())
}
