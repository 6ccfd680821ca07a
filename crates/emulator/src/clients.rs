//! The well-behaved clients, who send the world's requests.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use mosshead_world::events::ClientResponse;
use mosshead_world::scenario::RepeatEffect;
use mosshead_world::{Input, Request, RequestId, Time};
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::timeout;

use crate::harness::Harness;
use crate::http::{HttpConnection, IdleState, Message, MessageKind, Received};

/// A proxy to which no connection is established within this is unreachable.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Mixed into the seed for the idempotency keys, so that they differ from the correlation ids.
const KEY_SEED_MASK: u64 = 0xb;

/// A connection to a proxy that waits for its next request.
struct IdleConnection {
    connection: HttpConnection,
    /// The last request on it: what is received unexpectedly is a second response to that.
    last_request: RequestId,
}

/// What a client has sent, to be compared with what arrives at a server.
struct SentRequest {
    request: RequestId,
    proxy: usize,
    method: &'static str,
    target: String,
    body: String,
    idempotency_key: Option<String>,
}

/// A request that a proxy has forwarded.
pub(crate) struct ForwardedRequest {
    pub(crate) request: RequestId,
    /// Whether it arrived as its client sent it.
    pub(crate) is_intact: bool,
}

/// All well-behaved clients.
pub(crate) struct Clients {
    /// By proxy.
    idle: RefCell<Vec<Vec<IdleConnection>>>,
    /// By correlation id.
    sent: RefCell<HashMap<String, SentRequest>>,
    waiting: RefCell<BTreeMap<RequestId, AbortHandle>>,
}

impl Clients {
    pub(crate) fn new(proxies: usize) -> Self {
        let idle = RefCell::new((0..proxies).map(|_| Vec::new()).collect());
        Self { idle, sent: RefCell::default(), waiting: RefCell::default() }
    }

    /// A client's own timeout has passed: it closes its connection.
    pub(crate) fn abandon(&self, request: RequestId) {
        if let Some(task) = self.waiting.borrow_mut().remove(&request) {
            task.abort();
        }
    }

    /// A proxy's process has ended, and the connections to it.
    pub(crate) fn drop_idle_connections(&self, proxy: usize) {
        self.idle.borrow_mut()[proxy].clear();
    }

    /// Finds which request a proxy has forwarded; `None` where no client of that proxy has sent this id.
    pub(crate) fn find_sent(&self, proxy: usize, id: &str, message: &Message) -> Option<ForwardedRequest> {
        let sent = self.sent.borrow();
        let sent = sent.get(id).filter(|sent| sent.proxy == proxy)?;
        let is_intact = message.method == sent.method
            && message.target == sent.target
            && message.body == sent.body.as_bytes()
            && message.header("idempotency-key") == sent.idempotency_key.as_deref();
        Some(ForwardedRequest { request: sent.request, is_intact })
    }
}

fn mix_seed(seed: u64, request: RequestId) -> u64 {
    let mut mixed = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(request.0);
    for shift in [30, 27, 31] {
        mixed = (mixed ^ (mixed >> shift)).wrapping_mul(0xbf58_476d_1ce4_e5b9 | 1);
    }
    mixed
}

/// The correlation id of a request. A proxy can't tell from it which request it is.
fn correlation_id(seed: u64, request: RequestId) -> String {
    format!("{:016x}", mix_seed(seed, request))
}

/// The body of a server's response to a request. A proxy can't make it up.
pub(crate) fn response_body(seed: u64, request: RequestId) -> Vec<u8> {
    format!("done {:016x} for {}", mix_seed(!seed, request), request.0).into_bytes()
}

/// Sends a request of the world, on a task of its own.
pub(crate) fn send_request(harness: &Rc<Harness>, request: Request) {
    let (bytes, id, sent) = encode_request(harness, request);
    harness.clients.sent.borrow_mut().insert(id, sent);
    let task = spawn_local(await_response(harness.clone(), request, bytes.into_bytes()));
    harness.clients.waiting.borrow_mut().insert(request.id, task.abort_handle());
}

/// The bytes of a request, its correlation id, and what is remembered of it.
fn encode_request(harness: &Harness, request: Request) -> (String, String, SentRequest) {
    let (class, tenant, effect) = harness.with_world(|world| {
        let scenario = world.scenario();
        let class = &scenario.classes[request.class];
        let tenant = request.tenant.map(|tenant| scenario.tenants[tenant].name.clone());
        (class.name.clone(), tenant, class.repeat_effect)
    });
    let (seed, number) = (harness.seed, request.id.0);
    let id = correlation_id(seed, request.id);
    let (method, body) = match effect {
        RepeatEffect::Safe => ("GET", String::new()),
        _ => ("POST", format!("{{\"lesson\":{},\"child\":\"{}\"}}", number % 97, &id[..6])),
    };
    let target = format!("/{class}/{number}?slot={}", number % 7);
    let time_left = request.time_left.as_seconds();
    let account = tenant.map(|tenant| format!("X-Account: {tenant}\r\n")).unwrap_or_default();
    let length = match effect {
        RepeatEffect::Safe => String::new(),
        _ => format!("Content-Length: {}\r\n", body.len()),
    };
    let idempotency_key = (effect == RepeatEffect::Keyed)
        .then(|| format!("{:016X}-{number}", mix_seed(seed ^ KEY_SEED_MASK, request.id)));
    let key_header =
        idempotency_key.as_ref().map(|key| format!("Idempotency-Key: {key}\r\n")).unwrap_or_default();
    let bytes = format!(
        "{method} {target} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {class}\r\n\
         {account}X-Time-Left: {time_left:.3}\r\n{key_header}{length}\r\n{body}"
    );
    let sent =
        SentRequest { request: request.id, proxy: request.proxy, method, target, body, idempotency_key };
    (bytes, id, sent)
}

async fn await_response(harness: Rc<Harness>, request: Request, bytes: Vec<u8>) {
    let (response, connection) = exchange(&harness, request, &bytes).await;
    harness.clients.waiting.borrow_mut().remove(&request.id);
    harness.apply(Input::ResponseSent { request: request.id, response });
    let Some(mut connection) = connection else { return };
    match connection.idle_state() {
        IdleState::Quiet if !request.uses_own_connection && !connection.closes_after_message() => {
            let idle = IdleConnection { connection, last_request: request.id };
            harness.clients.idle.borrow_mut()[request.proxy].push(idle);
        }
        IdleState::UnexpectedBytes => {
            harness.apply(Input::ResponseSent { request: request.id, response: ClientResponse::Failed });
        }
        IdleState::Quiet | IdleState::Closed => {}
    }
}

/// Takes an idle connection that can still be used. Bytes on one that should be quiet are a second response.
fn take_idle_connection(harness: &Rc<Harness>, proxy: usize) -> Option<HttpConnection> {
    loop {
        let idle = harness.clients.idle.borrow_mut()[proxy].pop()?;
        let IdleConnection { mut connection, last_request } = idle;
        match connection.idle_state() {
            IdleState::Quiet => return Some(connection),
            IdleState::UnexpectedBytes => {
                harness
                    .apply(Input::ResponseSent { request: last_request, response: ClientResponse::Failed });
            }
            IdleState::Closed => {}
        }
    }
}

/// Sends a request and reads its response; the connection comes back if it may be used again.
async fn exchange(
    harness: &Rc<Harness>,
    request: Request,
    bytes: &[u8],
) -> (ClientResponse, Option<HttpConnection>) {
    let idle = if request.uses_own_connection { None } else { take_idle_connection(harness, request.proxy) };
    if let Some(mut connection) = idle
        && connection.write_all(bytes).await.is_ok()
    {
        match connection.read_message(MessageKind::Response).await {
            Received::Message(message) => return (classify(harness, request, &message), Some(connection)),
            Received::Malformed => return (ClientResponse::Aborted, None),
            // The proxy closed the connection while the request was on its way: the request is sent once more, on a new one.
            Received::Closed => {}
        }
    }
    let address = harness.proxies.address(request.proxy);
    let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await else {
        return (ClientResponse::Aborted, None);
    };
    let mut connection = HttpConnection::new(stream);
    if connection.write_all(bytes).await.is_err() {
        return (ClientResponse::Aborted, None);
    }
    match connection.read_message(MessageKind::Response).await {
        Received::Message(message) => (classify(harness, request, &message), Some(connection)),
        Received::Closed | Received::Malformed => (ClientResponse::Aborted, None),
    }
}

/// What a response is to the client that receives it.
fn classify(harness: &Harness, request: Request, message: &Message) -> ClientResponse {
    match message.status {
        200 if message.body == response_body(harness.seed, request.id) => ClientResponse::Served,
        200 => ClientResponse::Forged,
        429 | 503 => {
            let seconds = message.header("retry-after").and_then(|seconds| seconds.trim().parse().ok());
            ClientResponse::Rejected(Time::from_seconds(seconds.unwrap_or(0.0)))
        }
        _ => ClientResponse::Failed,
    }
}
