//! A server's response: whether it proves what it claims, and how its body is read.

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

/// A response that is buffered is at most this long.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// For how long the rest of an unwanted response is read, to keep its connection.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(200);

/// The head of a response to the very request that was sent, and the source of its body.
pub(crate) struct ServerResponse {
    pub(crate) head: Parts,
    pub(crate) body: Incoming,
    pub(crate) connection: PooledConnection,
}

/// Whether a success bears the server's seal; without it a response is not the server's (RULES.md, MIXED).
pub(crate) fn is_sealed(head: &Parts) -> bool {
    head.headers.contains_key(SERVER_SEAL)
}

/// Whether the end of the body is distinguishable from a broken connection.
pub(crate) fn is_framed(head: &Parts) -> bool {
    head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING)
}

/// Whether a client takes this status for a promise that the request has not run (PROTOCOL.md, Answers). Without the
/// server's `X-Not-Executed` the promise would be false (RULES.md, REFUSED).
pub(crate) fn promises_not_executed(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// The complete body of a response; `None` where it broke off, was too late or too long, or has an encoding, which no
/// client requests.
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
    /// The complete body of a response, as `read_body`; its connection goes back to the pool.
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

    /// Reads the rest of an unwanted response in a task of its own, and puts its connection back into the pool.
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
