//! Checks of servers' responses, and reading of their bodies.

use std::rc::Rc;

use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::{CONTENT_ENCODING, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use mosshead_time::Duration;
use quick_error::quick_error;
use tokio::time::{Instant, timeout_at};

use crate::body_reader::{ReadBodyError, discard_to_end, read_body};
use crate::connection_pool::PooledConnection;
use crate::data_plane::DataPlane;
use crate::headers::{SERVER_SEAL, keep_alive_timeout};
use crate::memory::BodyKind;
use crate::segmented_body::SegmentedBody;

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
    head.headers.contains_key(CONTENT_LENGTH) || is_chunked(head)
}

/// True if the last transfer encoding is `chunked`. With any other one, the body ends with the connection.
fn is_chunked(head: &Parts) -> bool {
    let encodings = head.headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let last = encodings.and_then(|encodings| encodings.to_str().ok()?.rsplit(',').next());
    last.is_some_and(|encoding| encoding.trim().eq_ignore_ascii_case("chunked"))
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

quick_error! {
    /// Why the body of a response was not buffered.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum BufferError {
        /// It is incomplete, too late or too long, or has a content encoding, which no client requests.
        Invalid {
            display("the response is incomplete or invalid")
        }
        /// The memory for bodies is used up.
        NoMemory {
            display("the bodies of other requests take up the memory")
        }
    }
}

impl From<ReadBodyError> for BufferError {
    fn from(error: ReadBodyError) -> Self {
        match error {
            ReadBodyError::NoMemory => Self::NoMemory,
            ReadBodyError::TooLong | ReadBodyError::Incomplete => Self::Invalid,
        }
    }
}

impl DataPlane {
    /// Reads the complete body of a response.
    ///
    /// # Errors
    ///
    /// The body is not valid or not complete, or there is no memory for it.
    pub(crate) async fn read_response_body(
        &self,
        head: &Parts,
        mut body: Incoming,
        until: Instant,
    ) -> Result<SegmentedBody, BufferError> {
        let has_end = is_framed(head) || head.status == StatusCode::NO_CONTENT;
        if !has_end || head.headers.contains_key(CONTENT_ENCODING) {
            return Err(BufferError::Invalid);
        }
        let read = read_body(&mut body, MAX_BUFFERED_RESPONSE_BYTES, &self.memory, BodyKind::Response);
        Ok(timeout_at(until, read).await.map_err(|_| BufferError::Invalid)??)
    }

    /// Reads the complete body as [`DataPlane::read_response_body`] does, and returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// As for [`DataPlane::read_response_body`].
    pub(crate) async fn buffer_body(
        &self,
        server_id: &Rc<str>,
        head: &Parts,
        body: Incoming,
        connection: PooledConnection,
        until: Instant,
    ) -> Result<SegmentedBody, BufferError> {
        let body = self.read_response_body(head, body, until).await?;
        self.connections.put(server_id, connection, keep_alive_timeout(&head.headers), until).await;
        Ok(body)
    }

    /// Reads the rest of an unwanted response in a separate task, and returns its connection to the pool.
    pub(crate) fn discard_response(self: &Rc<Self>, server_id: &Rc<str>, response: ServerResponse) {
        let (data_plane, server_id) = (self.clone(), server_id.clone());
        let ServerResponse { head, body, connection } = response;
        let until = Instant::now() + DISCARD_TIMEOUT;
        tokio::task::spawn_local(async move {
            if timeout_at(until, discard_to_end(body)).await == Ok(true) {
                let keep_alive = keep_alive_timeout(&head.headers);
                data_plane.connections.put(&server_id, connection, keep_alive, until).await;
            }
        });
    }
}
