//! The clients' side: usual ones, who send the world's requests, and rude ones.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use mosshead_world::events::ClientResponse;
use mosshead_world::scenario::RepeatEffect;
use mosshead_world::{Input, Request, RequestId, Time};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};

use crate::harness::Stage;
use crate::http::{Came, Leftover, Message, Wire};

/// A rude client is owed an error or a close within this.
const OWED: Duration = Duration::from_millis(3000);
/// A proxy that cannot be connected to within this is unreachable.
const CONNECT: Duration = Duration::from_millis(1000);

/// A connection to a proxy, and the last job on it.
struct Idle {
    wire: Wire,
    last: RequestId,
}

/// What a client sent, to be compared with what comes out on the other side.
struct Sent {
    job: RequestId,
    method: &'static str,
    target: String,
    body: String,
    key: Option<String>,
}

/// All clients.
pub(crate) struct Clients {
    idle: RefCell<Vec<Vec<Idle>>>,
    sent: RefCell<HashMap<String, (usize, Sent)>>,
    waiting: RefCell<BTreeMap<RequestId, AbortHandle>>,
}

impl Clients {
    pub(crate) fn new(proxies: usize) -> Self {
        let idle = RefCell::new((0..proxies).map(|_| Vec::new()).collect());
        Self { idle, sent: RefCell::default(), waiting: RefCell::default() }
    }

    /// A client's time is up: it leaves.
    pub(crate) fn leave(&self, job: RequestId) {
        if let Some(task) = self.waiting.borrow_mut().remove(&job) {
            task.abort();
        }
    }

    /// A proxy has gone, and its connections with it.
    pub(crate) fn forget(&self, proxy: usize) {
        self.idle.borrow_mut()[proxy].clear();
    }

    /// Which request an id belongs to, and whether a message is the one that its client sent.
    pub(crate) fn sent(&self, proxy: usize, id: &str, message: &Message) -> Option<(RequestId, bool)> {
        let sent = self.sent.borrow();
        let (at, sent) = sent.get(id)?;
        let same = message.method == sent.method
            && message.target == sent.target
            && message.body == sent.body.as_bytes()
            && message.header("idempotency-key") == sent.key.as_deref();
        (*at == proxy).then_some((sent.job, same))
    }
}

fn mixed(seed: u64, job: RequestId) -> u64 {
    let mut mixed = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(job.0);
    for shift in [30, 27, 31] {
        mixed = (mixed ^ (mixed >> shift)).wrapping_mul(0xbf58_476d_1ce4_e5b9 | 1);
    }
    mixed
}

/// The id that a request carries: it says nothing.
fn id(seed: u64, job: RequestId) -> String {
    format!("{:016x}", mixed(seed, job))
}

/// What a booking server answers to a request: nobody can make it up.
pub(crate) fn answer_body(seed: u64, job: RequestId) -> Vec<u8> {
    format!("done {:016x} for {}", mixed(!seed, job), job.0).into_bytes()
}

/// A usual client sends a request.
pub(crate) fn send(stage: &Rc<Stage>, job: Request) {
    let (class, tenant, effect) = stage.world(|world| {
        let scenario = world.scenario();
        let class = &scenario.classes[job.class];
        let tenant = job.tenant.map(|tenant| scenario.tenants[tenant].name.clone());
        (class.name.clone(), tenant, class.repeat_effect)
    });
    let safe = effect == RepeatEffect::Safe;
    let id = id(stage.seed, job.id);
    let (method, body) = match safe {
        true => ("GET", String::new()),
        false => ("POST", format!("{{\"lesson\":{},\"child\":\"{}\"}}", job.id.0 % 97, &id[..6])),
    };
    let target = format!("/{class}/{}?slot={}", job.id.0, job.id.0 % 7);
    let left = job.time_left.as_seconds();
    let account = tenant.map(|tenant| format!("X-Account: {tenant}\r\n")).unwrap_or_default();
    let length = if safe { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let key = (effect == RepeatEffect::Keyed)
        .then(|| format!("{:016X}-{}", mixed(stage.seed ^ 0xb, job.id), job.id.0));
    let keyed = key.as_ref().map(|key| format!("Idempotency-Key: {key}\r\n")).unwrap_or_default();
    let bytes = format!(
        "{method} {target} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {class}\r\n\
         {account}X-Time-Left: {left:.3}\r\n{keyed}{length}\r\n{body}"
    );
    let sent = Sent { job: job.id, method, target, body, key };
    stage.clients.sent.borrow_mut().insert(id, (job.proxy, sent));
    let task = spawn_local(ask(stage.clone(), job, bytes.into_bytes()));
    stage.clients.waiting.borrow_mut().insert(job.id, task.abort_handle());
}

async fn ask(stage: Rc<Stage>, job: Request, bytes: Vec<u8>) {
    let (answer, kept) = exchange(&stage, job, &bytes).await;
    stage.clients.waiting.borrow_mut().remove(&job.id);
    stage.input(Input::ResponseSent { request: job.id, response: answer });
    if let Some(mut wire) = kept {
        match wire.leftover() {
            Leftover::Nothing if !job.uses_own_connection && !wire.closes => {
                stage.clients.idle.borrow_mut()[job.proxy].push(Idle { wire, last: job.id });
            }
            Leftover::Bytes => {
                stage.input(Input::ResponseSent { request: job.id, response: ClientResponse::Failed });
            }
            Leftover::Nothing | Leftover::End => {}
        }
    }
}

/// An idle connection that is still good. What has come on one that should be quiet is a second answer.
fn idle(stage: &Rc<Stage>, proxy: usize) -> Option<Wire> {
    loop {
        let Idle { mut wire, last } = stage.clients.idle.borrow_mut()[proxy].pop()?;
        match wire.leftover() {
            Leftover::Nothing => return Some(wire),
            Leftover::Bytes => {
                stage.input(Input::ResponseSent { request: last, response: ClientResponse::Failed });
            }
            Leftover::End => {}
        }
    }
}

async fn exchange(stage: &Rc<Stage>, job: Request, bytes: &[u8]) -> (ClientResponse, Option<Wire>) {
    let kept = if job.uses_own_connection { None } else { idle(stage, job.proxy) };
    if let Some(mut wire) = kept
        && wire.write(bytes).await.is_ok()
    {
        match wire.read(true).await {
            Came::Message(message) => return (judge(stage, job, &message), Some(wire)),
            Came::Broken => return (ClientResponse::Aborted, None),
            // The close crossed the request: it is sent once more on a connection of its own.
            Came::Closed => {}
        }
    }
    let place = stage.programs.place(job.proxy);
    let Ok(Ok(stream)) = timeout(CONNECT, TcpStream::connect(place)).await else {
        return (ClientResponse::Aborted, None);
    };
    let mut wire = Wire::new(stream);
    if wire.write(bytes).await.is_err() {
        return (ClientResponse::Aborted, None);
    }
    match wire.read(true).await {
        Came::Message(message) => (judge(stage, job, &message), Some(wire)),
        Came::Closed | Came::Broken => (ClientResponse::Aborted, None),
    }
}

fn judge(stage: &Stage, job: Request, message: &Message) -> ClientResponse {
    match message.status {
        200 if message.body == answer_body(stage.seed, job.id) => ClientResponse::Served,
        200 => ClientResponse::Forged,
        429 | 503 => {
            let wait = message.header("retry-after").and_then(|wait| wait.trim().parse().ok());
            ClientResponse::Rejected(Time::from_seconds(wait.unwrap_or(0.0)))
        }
        _ => ClientResponse::Failed,
    }
}

/// The ways of rude clients: what they send, and whether they then end their side.
fn rudeness(stage: &Stage, how: u64) -> (String, bool) {
    let class = stage.world(|world| {
        let class = world.scenario().classes.first();
        class.map(|class| class.name.clone()).unwrap_or_default()
    });
    let id = format!("{how:016x}");
    let head = |lines: &str| format!("GET /{class}/1 HTTP/1.1\r\nHost: app.svc\r\n{lines}");
    match how % 9 {
        0 => ("\x16\x03\x01\x02nothing that can be read\r\n\r\n".to_owned(), false),
        1 => (head("X-Time-Left: 2\r\n\r\n"), false),
        2 => (head(&format!("X-Correlation-Id: {id}\r\nX-Time-Left: soon\r\n\r\n")), false),
        3 => {
            let lines = format!("X-Correlation-Id: {id}\r\nX-Time-Left: 2\r\nX-Service-Class: dance\r\n\r\n");
            (head(&lines), false)
        }
        4 => {
            (head(&format!("X-Correlation-Id: {id}\r\nX-Time-Left: 2\r\nContent-Length: -7\r\n\r\n")), false)
        }
        5 => (head(&"X-Filler: and so on and so on and so on\r\n".repeat(900)), false),
        6 => {
            let lines = "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
            (
                format!("POST /{class}/1 HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Time-Left: 2\r\n{lines}"),
                false,
            )
        }
        7 => (head("X-Correlation-Id: 12"), true),
        _ => (String::new(), false),
    }
}

/// A rude client: it is owed an error or a close in time, and must not be served.
pub(crate) fn rude(stage: &Rc<Stage>, proxy: usize, how: u64) {
    let stage = stage.clone();
    spawn_local(async move {
        let (text, ends) = rudeness(&stage, how);
        let Ok(Ok(stream)) = timeout(CONNECT, TcpStream::connect(stage.programs.place(proxy))).await else {
            return;
        };
        let mut wire = Wire::new(stream);
        // One that closes early has given its answer.
        let _ = wire.write(text.as_bytes()).await;
        if ends {
            let _ = wire.stream.shutdown().await;
        }
        tokio::select! {
            came = wire.read(true) => if let Came::Message(message) = came && message.status == 200 {
                stage.fault(proxy, "a rude client was served");
            },
            () = sleep(OWED) => {
                if stage.programs.up(proxy) {
                    stage.fault(proxy, "a rude client got neither an error nor a close within 3 s");
                }
            }
        }
    });
}
