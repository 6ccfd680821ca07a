//! The RPC client: sends calls over pooled HTTP/1.1 connections.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use mosshead_http_links::{BodyError, RetryPolicy, SendError, SendErrorKind, SendProgress, read_body};
use tokio::time::Instant;

use crate::call::MAX_BODY_BYTES;
use crate::connection_pool::{Connection, ConnectionPool, connect};
use crate::error::{CALL_ID_HEADER, CallError, CallRejection, RESULT_CODE_HEADER};
use crate::transport::{OutgoingCall, Transport};

/// After a response, a connection that is not ready for the next call within this time is closed.
const REUSE_CHECK_TIMEOUT: Duration = Duration::from_millis(2);

/// Sends calls over the network. Clones share their idle connections. Requires a `tokio::task::LocalSet`.
#[derive(Clone, Default)]
pub struct Caller {
    pool: Rc<ConnectionPool>,
    last_call_id: Rc<Cell<u64>>,
}

impl Caller {
    /// Creates a caller without connections.
    pub fn new() -> Caller {
        Caller::default()
    }

    /// Sends the call once and reads the head of the response.
    async fn send(
        &self,
        mut connection: Connection,
        call: &OutgoingCall,
    ) -> Result<ResponseHead, FailedAttempt> {
        if !connection.ready().await {
            return Err(FailedAttempt::not_started(CallError::ConnectionLost));
        }
        let call_id = self.next_call_id();
        let request = http_request(call, &call_id).map_err(FailedAttempt::not_started)?;
        let response = connection.send_with_deadline(request, call.deadline).await?;
        // A duplicate response to an earlier call may arrive in place of this call's response.
        if response.headers().get(CALL_ID_HEADER) != Some(&call_id) {
            let progress = connection.write_progress.progress();
            return Err(FailedAttempt { error: CallError::ResponseMismatch, progress });
        }
        Ok(ResponseHead { connection, response })
    }

    fn next_call_id(&self) -> HeaderValue {
        self.last_call_id.set(self.last_call_id.get().wrapping_add(1));
        HeaderValue::from(self.last_call_id.get())
    }

    /// Reads the body of a response, and returns its connection to the pool.
    async fn receive(&self, call: &OutgoingCall, head: ResponseHead) -> Result<Bytes, CallError> {
        let ResponseHead { mut connection, response } = head;
        let (head, body) = response.into_parts();
        let body = read_body(body, MAX_BODY_BYTES).await.map_err(|error| match error {
            BodyError::TooLong => CallError::TooLong,
            _ => CallError::ConnectionLost,
        })?;
        // If the process was suspended, the response may have waited in the kernel's buffer, and may be outdated.
        if Instant::now() >= call.deadline {
            return Err(CallError::Timeout);
        }
        if connection.is_reusable(REUSE_CHECK_TIMEOUT).await {
            self.pool.put(call.to, connection);
        }
        if head.status == StatusCode::OK { Ok(body) } else { Err(rejection(&head.headers)) }
    }
}

impl Transport for Caller {
    async fn exchange(&self, call: &OutgoingCall) -> Result<Bytes, CallError> {
        if let Some(connection) = self.pool.take(call.to) {
            match self.send(connection, call).await {
                Ok(head) => return self.receive(call, head).await,
                Err(attempt) if !attempt.may_be_retried(call.retry_policy) => return Err(attempt.error),
                // The connection was closed or carried another call's response. The other idle connections to this
                // address have been idle for at least as long, so the retry uses a new connection.
                Err(_) => self.pool.close_all_to(call.to),
            }
        }
        let connection = connect(call.to, call.deadline).await?;
        let head = self.send(connection, call).await.map_err(|attempt| attempt.error)?;
        self.receive(call, head).await
    }
}

fn http_request(call: &OutgoingCall, call_id: &HeaderValue) -> Result<Request<Full<Bytes>>, CallError> {
    Request::builder()
        .method(Method::POST)
        .uri(format!("/{}", call.name))
        .header(HOST, call.to.to_string())
        .header(CALL_ID_HEADER, call_id)
        .body(Full::new(call.body.clone()))
        .map_err(|_| CallError::Malformed)
}

/// The error of a response whose status is not 200.
fn rejection(headers: &HeaderMap) -> CallError {
    let code = headers.get(RESULT_CODE_HEADER).and_then(|value| value.to_str().ok()?.parse().ok());
    code.map_or(CallError::Malformed, |code| CallError::Rejected(CallRejection::from_code(code)))
}

/// The head of a response, with the connection on which its body arrives.
struct ResponseHead {
    connection: Connection,
    response: Response<Incoming>,
}

/// An attempt to send a call that has failed without a matching response.
struct FailedAttempt {
    error: CallError,
    progress: SendProgress,
}

impl FailedAttempt {
    fn not_started(error: CallError) -> FailedAttempt {
        FailedAttempt { error, progress: SendProgress::NotStarted }
    }

    /// True if a retry on a new connection is safe and may succeed.
    fn may_be_retried(&self, policy: RetryPolicy) -> bool {
        matches!(self.error, CallError::ConnectionLost | CallError::ResponseMismatch)
            && policy.allows(self.progress)
    }
}

impl From<SendError> for FailedAttempt {
    fn from(error: SendError) -> FailedAttempt {
        let progress = error.progress;
        let error = match error.kind {
            SendErrorKind::DeadlinePassed => CallError::Timeout,
            SendErrorKind::InvalidHttp => CallError::Malformed,
            SendErrorKind::ConnectionLost => CallError::ConnectionLost,
        };
        FailedAttempt { error, progress }
    }
}
