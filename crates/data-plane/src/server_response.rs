//! Checks of servers' responses, and reading of their bodies.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::{CONTENT_ENCODING, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use mosshead_time::Duration;
use tokio::time::{Instant, timeout_at};

use crate::connection_pool::PooledConnection;
use crate::data_plane::DataPlane;
use crate::headers::{SERVER_SEAL, keep_alive_timeout};

/// The maximum length of a buffered response body.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// The maximum time for reading the rest of an unwanted response in order to reuse its connection.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(200);

/// A response that was matched to its request, with its body not read yet.
pub(crate) struct ServerResponse {
    pub(crate) head: Parts,
    pub(crate) body: Incoming,
    pub(crate) connection: PooledConnection,
}

/// True if a successful response has the server's seal; without it the server did not make the response (RULES.md,
/// MIXED).
pub(crate) fn is_sealed(head: &Parts) -> bool {
    head.headers.contains_key(SERVER_SEAL)
}

/// True if the end of the body can be told from a broken connection.
pub(crate) fn is_framed(head: &Parts) -> bool {
    head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING)
}

/// True if this status tells the client that the request has not run (PROTOCOL.md, Answers). If the response has
/// no `X-Not-Executed`, the request may have run nevertheless (RULES.md, REFUSED).
pub(crate) fn promises_not_executed(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Reads the complete body of a response; `None` if it is incomplete, too late or too long, or has a content encoding,
/// which no client requests.
pub(crate) async fn read_body(head: &Parts, body: Incoming, until: Instant) -> Option<Bytes> {
    let has_end = is_framed(head) || head.status == StatusCode::NO_CONTENT;
    if !has_end || head.headers.contains_key(CONTENT_ENCODING) {
        return None;
    }
    let body = timeout_at(until, Limited::new(body, MAX_BUFFERED_RESPONSE_BYTES).collect()).await;
    Some(body.ok()?.ok()?.to_bytes())
}

async fn read_to_end(mut body: Incoming) -> bool {
    while let Some(frame) = body.frame().await {
        if frame.is_err() {
            return false;
        }
    }
    true
}

impl DataPlane {
    /// Reads the complete body as [`read_body`] does, and returns the connection to the pool.
    pub(crate) async fn buffer_body(
        &self,
        server_id: &Rc<str>,
        head: &Parts,
        body: Incoming,
        connection: PooledConnection,
        until: Instant,
    ) -> Option<Bytes> {
        let body = read_body(head, body, until).await?;
        self.connections.put(server_id, connection, keep_alive_timeout(&head.headers), until).await;
        Some(body)
    }

    /// Reads the rest of an unwanted response in a separate task, and returns its connection to the pool.
    pub(crate) fn discard_response(self: &Rc<Self>, server_id: &Rc<str>, response: ServerResponse) {
        let (data_plane, server_id) = (self.clone(), server_id.clone());
        let ServerResponse { head, body, connection } = response;
        let until = Instant::now() + DISCARD_TIMEOUT;
        tokio::task::spawn_local(async move {
            if timeout_at(until, read_to_end(body)).await == Ok(true) {
                let keep_alive = keep_alive_timeout(&head.headers);
                data_plane.connections.put(&server_id, connection, keep_alive, until).await;
            }
        });
    }
}
