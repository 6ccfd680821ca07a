use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use mosshead_http_links::{RetryPolicy, SendError, SendErrorKind, SendProgress};
use tokio::time::Instant;

use crate::call::{MAX_BODY_BYTES, decode, encode};
use crate::connection_pool::{Connection, Pool, connect};
use crate::error::{CALL_ID_HEADER, RESULT_CODE_HEADER};
use crate::server::collect;
use crate::{Call, CallError, CallRejection, Transport};

/// In place of a time limit that no clock holds.
const FOREVER: Duration = Duration::from_secs(86_400);
/// After an answer a connection has to show within this that it can carry the next call.
const SETTLES: Duration = Duration::from_millis(2);

/// Calls over the network. Clones share their idle connections. Needs a `LocalSet`.
#[derive(Clone, Default)]
pub struct Caller {
    pool: Rc<Pool>,
    last_call_id: Rc<Cell<u64>>,
}

impl Caller {
    /// With no connections yet.
    pub fn new() -> Caller {
        Caller::default()
    }

    /// As [`Transport::call`].
    pub async fn call<C: Call>(
        &self,
        to: SocketAddrV4,
        call: &C,
        timeout: Duration,
    ) -> Result<C::Response, CallError> {
        let body = Bytes::from(encode(call)?);
        let now = Instant::now();
        let deadline = now.checked_add(timeout).unwrap_or(now + FOREVER);
        let message = Message { to, name: C::NAME, body, deadline };
        let exchange = self.exchange(&message, C::RETRY_POLICY);
        // Danger: the exchange holds its connection, so giving up on it closes the connection: an answer that
        // comes late must not be taken for that to the next call.
        let answer = tokio::time::timeout_at(deadline, exchange).await.map_err(|_| CallError::Timeout)??;
        decode(&answer).ok_or(CallError::Malformed)
    }

    async fn exchange(&self, message: &Message, retry: RetryPolicy) -> Result<Bytes, CallError> {
        if let Some(connection) = self.pool.take(message.to) {
            match self.send(connection, message).await {
                Ok(answer) => return self.finish(message, answer).await,
                Err(unanswered) if !unanswered.may_go_again(retry) => return Err(unanswered.fault),
                // It was dead, or died, or brought another's answer; so once more on a new one. The others are as old.
                Err(_) => self.pool.forget(message.to),
            }
        }
        let connection = connect(message.to, message.deadline).await?;
        let answer = self.send(connection, message).await.map_err(|unanswered| unanswered.fault)?;
        self.finish(message, answer).await
    }

    /// Sends the call once, and reads the head of its answer.
    async fn send(&self, mut connection: Connection, message: &Message) -> Result<Answer, Unanswered> {
        let nothing_sent = |fault| Unanswered { fault, progress: SendProgress::NotStarted };
        if !connection.ready().await {
            return Err(nothing_sent(CallError::ConnectionLost));
        }
        let call_id = self.next_call_id();
        let request = message.request(&call_id).map_err(nothing_sent)?;
        let response =
            connection.send_with_deadline(request, message.deadline).await.map_err(Unanswered::from)?;
        // Danger: an answer in excess to an earlier call may stand where this one's is due.
        if response.headers().get(CALL_ID_HEADER) != Some(&call_id) {
            return Err(Unanswered {
                fault: CallError::ResponseMismatch,
                progress: connection.write_progress.progress(),
            });
        }
        Ok(Answer { connection, response })
    }

    fn next_call_id(&self) -> HeaderValue {
        self.last_call_id.set(self.last_call_id.get().wrapping_add(1));
        HeaderValue::from(self.last_call_id.get())
    }

    async fn finish(&self, message: &Message, answer: Answer) -> Result<Bytes, CallError> {
        let Answer { mut connection, response } = answer;
        let (head, body) = response.into_parts();
        let body = collect(body, MAX_BODY_BYTES)
            .await
            .map_err(|too_long| if too_long { CallError::TooLong } else { CallError::ConnectionLost })?;
        // Danger: after a freeze the answer may have lain there for long; what it says is not fresh.
        if Instant::now() >= message.deadline {
            return Err(CallError::Timeout);
        }
        if connection.is_reusable(SETTLES).await {
            self.pool.put(message.to, connection);
        }
        if head.status == StatusCode::OK {
            return Ok(body);
        }
        let code = head.headers.get(RESULT_CODE_HEADER).and_then(|value| value.to_str().ok()?.parse().ok());
        Err(code.map_or(CallError::Malformed, |code| CallError::Rejected(CallRejection::from_code(code))))
    }
}

/// A call on its way.
struct Message {
    to: SocketAddrV4,
    name: &'static str,
    body: Bytes,
    deadline: Instant,
}

impl Message {
    fn request(&self, call_id: &HeaderValue) -> Result<Request<Full<Bytes>>, CallError> {
        Request::builder()
            .method(Method::POST)
            .uri(format!("/{}", self.name))
            .header(HOST, self.to.to_string())
            .header(CALL_ID_HEADER, call_id)
            .body(Full::new(self.body.clone()))
            .map_err(|_| CallError::Malformed)
    }
}

/// The head of the answer to a call, and the connection that the rest comes on.
struct Answer {
    connection: Connection,
    response: Response<Incoming>,
}

/// A send without an answer of its own.
struct Unanswered {
    fault: CallError,
    progress: SendProgress,
}

impl Unanswered {
    /// Whether another connection is worth a try, and does no harm.
    fn may_go_again(&self, retry: RetryPolicy) -> bool {
        matches!(self.fault, CallError::ConnectionLost | CallError::ResponseMismatch)
            && retry.allows(self.progress)
    }
}

impl From<SendError> for Unanswered {
    fn from(fault: SendError) -> Unanswered {
        let progress = fault.progress;
        let fault = match fault.cause {
            SendErrorKind::DeadlinePassed => CallError::Timeout,
            SendErrorKind::InvalidHttp => CallError::Malformed,
            SendErrorKind::ConnectionLost => CallError::ConnectionLost,
        };
        Unanswered { fault, progress }
    }
}

impl Transport for Caller {
    async fn call<C: Call>(
        &self,
        to: SocketAddrV4,
        call: &C,
        timeout: Duration,
    ) -> Result<C::Response, CallError> {
        Caller::call(self, to, call, timeout).await
    }
}
