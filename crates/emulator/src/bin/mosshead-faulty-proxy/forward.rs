//! A request, from its client to servers and back.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mosshead_emulator::http::{HttpConnection, Message, MessageKind, Received, encode_response};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::fault::InjectedFault;
use crate::server_list::ServerList;

/// Longer than the deduplication window of any keyed class on the days that are played with this proxy.
const DEDUPLICATION_WINDOW: Duration = Duration::from_millis(350);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The share of the time left that attempts may take.
const ATTEMPTS_SHARE: f64 = 0.9;
/// With [`InjectedFault::ExceedsAttempts`]: how many times the allowed attempts are made.
const EXCESS_FACTOR: usize = 3;
/// With a fault that strikes single requests: each one whose number is a multiple of this.
pub(crate) const STRUCK_REQUEST: u64 = 10;
/// With [`InjectedFault::SwapsResponses`]: each request whose number is a multiple of this.
const SWAPPED_REQUEST: u64 = 20;
/// Correlation ids have this length.
const CORRELATION_ID_LENGTH: usize = 16;

/// What forwards requests.
pub(crate) struct Forwarder {
    pub(crate) fault: InjectedFault,
    pub(crate) servers: Rc<ServerList>,
    /// How many attempts a request may have.
    pub(crate) max_attempts: usize,
    /// Counts the requests of clients.
    received: Cell<u64>,
    /// The body of the response before.
    last_body: RefCell<Vec<u8>>,
}

/// What came of an attempt.
enum AttemptOutcome {
    Served(Vec<u8>),
    NotExecuted,
    MayHaveExecuted,
}

/// A request on its way.
struct ForwardedRequest<'a> {
    message: &'a Message,
    id: &'a str,
    deadline: Instant,
}

impl ForwardedRequest<'_> {
    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn is_safe(&self) -> bool {
        self.message.method == "GET"
    }

    fn is_keyed(&self) -> bool {
        self.message.header("idempotency-key").is_some()
    }
}

/// The time that a client gives its request, in seconds.
pub(crate) fn time_left_s(message: &Message) -> Option<f64> {
    message.header("x-time-left").and_then(|time_left| time_left.parse().ok())
}

fn rejection() -> Vec<u8> {
    encode_response(503, "Retry-After: 0.2\r\n", b"")
}

fn failure() -> Vec<u8> {
    encode_response(502, "", b"")
}

impl Forwarder {
    pub(crate) fn new(fault: InjectedFault, servers: Rc<ServerList>, max_attempts: usize) -> Self {
        Self { fault, servers, max_attempts, received: Cell::new(0), last_body: RefCell::default() }
    }

    /// Counts a request, and gives its number, from 1.
    pub(crate) fn next_request(&self) -> u64 {
        self.received.set(self.received.get() + 1);
        self.received.get()
    }

    /// The response to a client's request.
    pub(crate) async fn forward(&self, message: &Message) -> Vec<u8> {
        let id = message.header("x-correlation-id").unwrap_or_default();
        let is_well_formed = id.len() == CORRELATION_ID_LENGTH
            && message.header("transfer-encoding").is_none()
            && message.header("x-account").is_some();
        let time_left = time_left_s(message).filter(|time_left| is_well_formed && *time_left > 0.0);
        let Some(time_left) = time_left else {
            return match self.fault {
                InjectedFault::ServesMalformedRequests => encode_response(200, "", b"as you like"),
                _ => encode_response(400, "Connection: close\r\n", b""),
            };
        };
        let deadline = Instant::now() + Duration::from_secs_f64(time_left * ATTEMPTS_SHARE);
        let request = ForwardedRequest { message, id, deadline };
        match self.fault {
            InjectedFault::Duplicates if request.is_safe() => self.send_twice_at_once(&request).await,
            InjectedFault::RepeatsKeyedLate if request.is_keyed() => self.repeat_late(&request).await,
            _ => self.send_with_retries(&request).await,
        }
    }

    async fn send_twice_at_once(&self, request: &ForwardedRequest<'_>) -> Vec<u8> {
        let (first, _second) = tokio::join!(self.attempt(request), self.attempt(request));
        match first {
            AttemptOutcome::Served(body) => encode_response(200, "", &body),
            _ => failure(),
        }
    }

    async fn repeat_late(&self, request: &ForwardedRequest<'_>) -> Vec<u8> {
        let Some(server) = self.servers.select_server() else { return rejection() };
        for _ in 0..2 {
            if let AttemptOutcome::Served(body) = self.attempt_at(server, request).await {
                return encode_response(200, "", &body);
            }
            sleep(DEDUPLICATION_WINDOW).await;
        }
        failure()
    }

    async fn send_with_retries(&self, request: &ForwardedRequest<'_>) -> Vec<u8> {
        let max_attempts = match self.fault {
            InjectedFault::ExceedsAttempts => EXCESS_FACTOR * self.max_attempts,
            _ => self.max_attempts,
        };
        let mut may_have_executed = false;
        for _ in 0..max_attempts {
            match self.attempt(request).await {
                AttemptOutcome::Served(body) => return self.served(body),
                AttemptOutcome::NotExecuted => {}
                AttemptOutcome::MayHaveExecuted => {
                    may_have_executed = true;
                    if !self.may_repeat(request) {
                        break;
                    }
                }
            }
            if Instant::now() >= request.deadline {
                break;
            }
        }
        if may_have_executed && self.fault != InjectedFault::ClaimsNotExecuted {
            failure()
        } else {
            rejection()
        }
    }

    /// Whether a request that may have been executed is sent again.
    fn may_repeat(&self, request: &ForwardedRequest<'_>) -> bool {
        request.is_safe()
            || (request.is_keyed() && self.fault == InjectedFault::RepeatsKeyedElsewhere)
            || self.fault == InjectedFault::RepeatsUnsafeRequests
    }

    fn served(&self, body: Vec<u8>) -> Vec<u8> {
        let former_body = self.last_body.replace(body.clone());
        let is_swapped = self.fault == InjectedFault::SwapsResponses
            && self.received.get().is_multiple_of(SWAPPED_REQUEST);
        encode_response(200, "", if is_swapped { &former_body } else { &body })
    }

    async fn attempt(&self, request: &ForwardedRequest<'_>) -> AttemptOutcome {
        match self.servers.select_server() {
            Some(server) => self.attempt_at(server, request).await,
            None => AttemptOutcome::NotExecuted,
        }
    }

    async fn attempt_at(&self, server: SocketAddr, request: &ForwardedRequest<'_>) -> AttemptOutcome {
        let connect_timeout = request.time_left().min(CONNECT_TIMEOUT);
        let Ok(Ok(stream)) = timeout(connect_timeout, TcpStream::connect(server)).await else {
            return AttemptOutcome::NotExecuted;
        };
        let mut connection = HttpConnection::new(stream);
        if connection.write_all(&self.encode_request(server, request)).await.is_err() {
            return AttemptOutcome::MayHaveExecuted;
        }
        let received = timeout(request.time_left(), connection.read_message(MessageKind::Response)).await;
        let Ok(Received::Message(response)) = received else { return AttemptOutcome::MayHaveExecuted };
        match response.status {
            200 => AttemptOutcome::Served(response.body),
            503 | 504 if response.header("x-unprocessed") == Some("1") => AttemptOutcome::NotExecuted,
            _ => AttemptOutcome::MayHaveExecuted,
        }
    }

    fn encode_request(&self, server: SocketAddr, request: &ForwardedRequest<'_>) -> Vec<u8> {
        let ForwardedRequest { message, id, .. } = request;
        let mut body = message.body.clone();
        if self.fault == InjectedFault::ChangesBody
            && let Some(first) = body.first_mut()
        {
            *first ^= 1;
        }
        let length =
            if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        let forwards_key = self.fault != InjectedFault::DropsIdempotencyKeys;
        let key = message.header("idempotency-key").filter(|_| forwards_key);
        let key = key.map(|key| format!("Idempotency-Key: {key}\r\n")).unwrap_or_default();
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: {server}\r\nX-Correlation-Id: {id}\r\n{key}{length}\r\n",
            message.method, message.target
        );
        [head.into_bytes(), body].concat()
    }
}
