//! What servers and the operator call: heartbeats and the configuration, HTTP/1.1 with JSON.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue, LOCATION, RETRY_AFTER};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use mosshead_consensus::CallDigest;
use mosshead_control_plane::admission::{
    Admission, ChangeAnswer, ChangeKind, ChangeRequest, Leader, ReadAnswer, Step, answer_read,
};
use mosshead_registry::{Model, OperState, Server, Stage};
use sha2::{Digest, Sha256};
use tinyjson::JsonValue;
use tokio::net::TcpListener;
use tokio::time::{Duration, sleep, timeout};

use crate::control_node::ControlNode;
use crate::limits::MAX_REQUEST_BYTES;

/// Connections at once.
const MOST: usize = 3000;

type Answer = Response<Full<Bytes>>;

fn answer(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

fn unclear(code: &str) -> Answer {
    let mut answer = answer(StatusCode::SERVICE_UNAVAILABLE, format!("{{\"code\":\"{code}\"}}"));
    answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("0.2"));
    answer
}

fn later() -> Answer {
    unclear("C01")
}

/// The call can't be told from one that was taken long ago, so it is neither acknowledged nor refused.
fn forgotten() -> Answer {
    unclear("C11")
}

/// Takes connections for as long as it is polled.
pub async fn serve(core: Rc<ControlNode>, listener: TcpListener) {
    let open = Rc::new(std::cell::Cell::new(0_usize));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) if open.get() < MOST => stream,
            Ok(_) => continue,
            Err(_) => {
                sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        open.set(open.get() + 1);
        let (core, open) = (core.clone(), open.clone());
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let core = core.clone();
                async move { Ok::<_, Infallible>(handle(core, request).await) }
            });
            let connection = Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_secs(20))
                .serve_connection(TokioIo::new(stream), service);
            let _ = connection.await;
            open.set(open.get().saturating_sub(1));
        });
    }
}

async fn handle(core: Rc<ControlNode>, request: Request<Incoming>) -> Answer {
    let (head, body) = request.into_parts();
    let path = head.uri.path().to_owned();
    let body = match timeout(Duration::from_secs(10), Limited::new(body, MAX_REQUEST_BYTES).collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) => return answer(StatusCode::PAYLOAD_TOO_LARGE, "{\"code\":\"C02\"}"),
        Err(_) => return answer(StatusCode::REQUEST_TIMEOUT, "{\"code\":\"C03\"}"),
    };
    if let Some(id) = path.strip_prefix("/Instances.Keepalive/") {
        return match beat(id, &body) {
            Some(server) => taken(core.beat(server).await),
            None => answer(StatusCode::BAD_REQUEST, "{\"code\":\"C04\"}"),
        };
    }
    if let Some(id) = path.strip_prefix("/Instances.Deregister/") {
        return taken(core.deregister(id).await);
    }
    match (&head.method, path.as_str()) {
        (&Method::POST, "/Configuration.Replace" | "/Configuration.Modify") => {
            let whole = path == "/Configuration.Replace";
            let kind = if whole { ChangeKind::Replace } else { ChangeKind::Modify };
            let base = head
                .headers
                .get("x-base-revision")
                .and_then(|value| value.to_str().ok()?.trim().parse().ok());
            let digest = digest(&path, base.unwrap_or(0), &body);
            change(&core, ChangeRequest { kind, base, body, digest }, &path).await
        }
        (&Method::GET, "/Configuration.Show") => show(&core, &path).await,
        (&Method::GET, "/Status" | "/status") => answer(StatusCode::OK, core.status()),
        _ => answer(StatusCode::NOT_FOUND, "{\"code\":\"C05\"}"),
    }
}

fn taken(handed: bool) -> Answer {
    if handed { answer(StatusCode::OK, "{}") } else { later() }
}

/// The one that decides on the configuration, as far as it is known here.
fn elsewhere(core: &ControlNode, leader: SocketAddrV4, path: &str) -> Answer {
    if leader == core.settings.internal() {
        return later();
    }
    let Some(own) = core.settings.control_plane else { return later() };
    let mut answer = answer(StatusCode::TEMPORARY_REDIRECT, "{\"code\":\"C06\"}");
    if let Ok(to) = HeaderValue::from_str(&format!("http://{}:{}{path}", leader.ip(), own.port())) {
        answer.headers_mut().insert(LOCATION, to);
    }
    answer
}

async fn change(core: &Rc<ControlNode>, request: ChangeRequest<Bytes>, path: &str) -> Answer {
    let (state, config) = (core.committed_state(), core.config());
    let (mut admission, mut step) = Admission::begin(request, core.leader(), state.as_ref(), config, None);
    loop {
        step = match step {
            Step::Answer(result) => return change_answer(core, result, path),
            Step::Confirm => admission.confirmed(core.read().await),
            Step::Submit(submission) => {
                let verdict = core.change(submission).await;
                Step::Answer(admission.submitted(verdict))
            }
        };
    }
}

fn change_answer(core: &ControlNode, result: ChangeAnswer, path: &str) -> Answer {
    match result {
        ChangeAnswer::Accepted { revision } => answer(StatusCode::OK, format!("{{\"revision\":{revision}}}")),
        ChangeAnswer::Stale { current } => {
            let body = format!("{{\"code\":\"C08\",\"revision\":{current}}}");
            answer(StatusCode::PRECONDITION_FAILED, body)
        }
        ChangeAnswer::Invalid { fault } => {
            answer(StatusCode::BAD_REQUEST, format!("{{\"fault\":{}}}", quoted(&fault)))
        }
        ChangeAnswer::TooLarge => answer(StatusCode::PAYLOAD_TOO_LARGE, "{\"code\":\"C10\"}"),
        ChangeAnswer::Redirect { leader } => elsewhere(core, leader, path),
        ChangeAnswer::Forgotten => forgotten(),
        ChangeAnswer::Unavailable => later(),
    }
}

async fn show(core: &Rc<ControlNode>, path: &str) -> Answer {
    let read = match core.leader() {
        Leader::Here => answer_read(core.read().await),
        Leader::Elsewhere(leader) => ReadAnswer::Redirect { leader },
        Leader::Unknown => ReadAnswer::Unavailable,
    };
    match read {
        ReadAnswer::Current(state) => answer(StatusCode::OK, state.body.to_vec()),
        ReadAnswer::Empty => answer(StatusCode::NOT_FOUND, "{\"code\":\"C09\"}"),
        ReadAnswer::Redirect { leader } => elsewhere(core, leader, path),
        ReadAnswer::Unavailable => later(),
    }
}

/// Text as a JSON string.
fn quoted(text: &str) -> String {
    JsonValue::from(text.to_owned()).stringify().unwrap_or_else(|_| "\"\"".into())
}

/// What tells a repeat of a call from another one. The parts are hashed with their lengths, so that no byte can be taken
/// for one of another part.
pub fn digest(path: &str, base: u64, body: &[u8]) -> CallDigest {
    let mut hash = Sha256::new();
    for part in [path.as_bytes(), &base.to_be_bytes(), body] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    CallDigest(hash.finalize().into())
}

type Fields = HashMap<String, JsonValue>;

fn text(fields: &Fields, name: &str) -> Option<String> {
    fields.get(name)?.get::<String>().cloned()
}

fn whole(fields: &Fields, name: &str) -> Option<u64> {
    let value = *fields.get(name)?.get::<f64>()?;
    // Danger: beyond this not every whole number is told from its neighbours, and the highest one means the end.
    (0.0..=9_007_199_254_740_992.0).contains(&value).then_some(value as u64)
}

/// A server's heartbeat, read by hand.
pub fn beat(id: &str, body: &[u8]) -> Option<Server> {
    if id.is_empty() || id.len() > 200 || body.len() > 256 * 1024 {
        return None;
    }
    let value = mosshead_config::parse_json(body)?;
    let fields: &Fields = value.get()?;
    let state = match text(fields, "oper_state").as_deref() {
        Some("draining") => OperState::Draining,
        _ => OperState::Up,
    };
    let stage = match text(fields, "stage").as_deref() {
        Some("prefill") => Some(Stage::Prefill),
        Some("decode") => Some(Stage::Decode),
        _ => None,
    };
    let listed = fields.get("model_list").and_then(|list| list.get::<Vec<JsonValue>>());
    let mut models = Vec::new();
    for model in listed.map(Vec::as_slice).unwrap_or_default().iter().take(256) {
        let Some(model) = model.get::<Fields>() else { continue };
        let adapters = model.get("adapter_list").and_then(|list| list.get::<Vec<JsonValue>>());
        let adapters = adapters.map(Vec::as_slice).unwrap_or_default().iter();
        let adapters = adapters.filter_map(|adapter| adapter.get::<String>().cloned()).take(4096).collect();
        let name = text(model, "name").unwrap_or_default();
        models.push(Model { name, revision: whole(model, "revision").unwrap_or(0), adapters });
    }
    Some(Server {
        id: id.to_owned(),
        service: text(fields, "backend_service")?,
        address: text(fields, "address")?.parse().ok()?,
        zone: text(fields, "zone").unwrap_or_default(),
        software_revision: text(fields, "revision").unwrap_or_default(),
        slots: whole(fields, "slots").unwrap_or(1).min(u64::from(u32::MAX)) as u32,
        state,
        is_suspected: false,
        warmup_left_ms: whole(fields, "warmup_left_ms").unwrap_or(0),
        stage,
        models,
        sequence: whole(fields, "sequence").unwrap_or(0),
    })
}
