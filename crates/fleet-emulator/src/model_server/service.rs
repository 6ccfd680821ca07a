//! The calls that a model server answers.

use std::ops::RangeInclusive;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Method, Request, Response, StatusCode};
use mosshead_fleet_rules::{AttemptId, Order, Run, RunOutcome};
use mosshead_time::Instant;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use super::engine::PromptPart;
use super::event_body::{BrokenOff, Chunk, EventBody};
use super::run_record::RunRecord;
use super::{ModelServer, ServerRole, ServerStage, plain_service};

const ORDER_PATH: &str = "/order";
const REPORT_PATH: &str = "/report";
const HEALTH_PATH: &str = "/health";
const HANDLE_PREFIX: &str = "/kv-handle/";
/// The lengths of what a prompt's header names, if it can't be read.
const DEFAULT_OUTPUT_TOKENS: u64 = 1;
/// The prefix of the names of control nodes, before their number.
const CONTROL_NODE_PREFIX: &str = "control-";

/// Answers a request.
///
/// # Errors
///
/// The server breaks off, or the request ended early.
pub(super) async fn respond(
    server: Rc<ModelServer>,
    request: Request<Incoming>,
) -> Result<Response<EventBody>, BrokenOff> {
    let arrived_at = server.environment.recorder.now();
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| BrokenOff)?.to_bytes();
    let path = head.uri.path().to_owned();
    Ok(match (&head.method, path.as_str()) {
        (&Method::GET, REPORT_PATH) => report(&server),
        (&Method::GET, HEALTH_PATH) => health(&server),
        (&Method::POST, ORDER_PATH) => order(&server, &head.headers, &body),
        (&Method::DELETE, handle) if handle.starts_with(HANDLE_PREFIX) => {
            server.environment.handles.take(&server.handle_name(&handle[HANDLE_PREFIX.len()..]));
            json_response(StatusCode::OK, &json!({}))
        }
        _ => run_request(server, &head.headers, arrived_at).await?,
    })
}

/// Runs a client's request, or rejects it.
async fn run_request(
    server: Rc<ModelServer>,
    headers: &HeaderMap,
    arrived_at: Instant,
) -> Result<Response<EventBody>, BrokenOff> {
    let Some(attempt) = text(headers, "x-attempt-id").map(|attempt| AttemptId(attempt.into())) else {
        return Ok(not_executed(StatusCode::BAD_REQUEST));
    };
    let is_target = text(headers, "x-target-instance").is_none_or(|target| *target == *server.instance_id.0);
    let result = match server.role {
        _ if !is_target => Err(StatusCode::MISDIRECTED_REQUEST),
        ServerRole::Prompts(_) => prompt(&server, headers, &attempt, arrived_at).await,
        ServerRole::Plain(_) => plain_service::run(&server, &attempt, arrived_at).await?,
    };
    Ok(result.unwrap_or_else(|status| {
        server.record_run(&attempt, arrived_at, RunOutcome::Rejected { status: status.as_u16() });
        not_executed(status)
    }))
}

impl ModelServer {
    fn handle_name(&self, id: &str) -> String {
        format!("{}/{id}", self.address)
    }

    /// Records a request that was not run.
    fn record_run(&self, attempt: &AttemptId, arrived_at: Instant, outcome: RunOutcome) {
        let (attempt, instance) = (attempt.clone(), self.instance_id.clone());
        self.environment
            .recorder
            .record(|history| history.runs.push(Run { attempt, instance, arrived_at, outcome }));
    }

    /// Begins the record of a run.
    pub(super) fn begin_run(&self, attempt: &AttemptId, arrived_at: Instant) -> RunRecord {
        let (attempt, instance) = (attempt.clone(), self.instance_id.clone());
        RunRecord::begin(&self.environment.recorder, attempt, instance, arrived_at, self.ended.subscribe())
    }
}

fn report(server: &ModelServer) -> Response<EventBody> {
    let report = json!({
        "stage": server.stage.get().map(ServerStage::name),
        "model_list": [],
        "busy": false,
        "sequence": server.orders.get(),
        "queued": server.engine.queued(),
        "active": server.engine.active(),
        "cache_used": 0,
        "cache_capacity": 200_000,
        "prefill_handles": 0,
    });
    json_response(StatusCode::OK, &report)
}

fn health(server: &ModelServer) -> Response<EventBody> {
    let status = if server.is_draining.get() { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK };
    json_response(status, &json!({}))
}

/// Changes the stage, if the order is meant for this server and its fence is not lower than one that was seen.
fn order(server: &ModelServer, headers: &HeaderMap, body: &[u8]) -> Response<EventBody> {
    if text(headers, "x-target-instance").is_some_and(|target| *target != *server.instance_id.0) {
        return not_executed(StatusCode::MISDIRECTED_REQUEST);
    }
    let order: Value = serde_json::from_slice(body).unwrap_or_default();
    let (Some(fence), Some(stage)) = (order["fence_token"].as_u64(), stage_of(&order["stage"])) else {
        return json_response(StatusCode::BAD_REQUEST, &json!({}));
    };
    record_order(server, order["owner"].as_str().unwrap_or_default(), fence);
    if fence < server.fence.get() {
        return json_response(StatusCode::PRECONDITION_FAILED, &json!({}));
    }
    server.fence.set(fence);
    server.orders.set(server.orders.get() + 1);
    server.stage.set(Some(stage));
    json_response(StatusCode::ACCEPTED, &json!({}))
}

fn record_order(server: &ModelServer, owner: &str, fence: u64) {
    let order = Order {
        instance: server.instance_id.clone(),
        at: server.environment.recorder.now(),
        owner: owner.into(),
        control_node: owner.strip_prefix(CONTROL_NODE_PREFIX).and_then(|number| number.parse().ok()),
        fence,
    };
    server.environment.recorder.record(|history| history.orders.push(order));
}

fn stage_of(value: &Value) -> Option<ServerStage> {
    match value.as_str()? {
        "prefill" => Some(ServerStage::Prefill),
        "decode" => Some(ServerStage::Decode),
        _ => None,
    }
}

/// Prefills a prompt, or decodes it.
///
/// # Errors
///
/// The status with which the server rejects it.
async fn prompt(
    server: &Rc<ModelServer>,
    headers: &HeaderMap,
    attempt: &AttemptId,
    arrived_at: Instant,
) -> Result<Response<EventBody>, StatusCode> {
    let wanted_stage = match text(headers, "x-serving-stage") {
        Some("prefill") => ServerStage::Prefill,
        _ => ServerStage::Decode,
    };
    if server.stage.get() != Some(wanted_stage) {
        return Err(StatusCode::MISDIRECTED_REQUEST);
    }
    let parts = prompt_parts(headers);
    match wanted_stage {
        ServerStage::Prefill => {
            server.record_run(attempt, arrived_at, RunOutcome::Prefilled);
            Ok(prefill(server, attempt, &parts).await)
        }
        ServerStage::Decode => decode(server.clone(), headers, attempt, arrived_at, parts),
    }
}

async fn prefill(server: &ModelServer, attempt: &AttemptId, parts: &[PromptPart]) -> Response<EventBody> {
    server.engine.prefill(parts).await;
    let handle = format!("{attempt}-{}", server.instance_id);
    server.environment.handles.insert(server.handle_name(&handle));
    let tokens: u64 = parts.iter().map(|part| part.tokens).sum();
    let body = json!({"prefill_handle": handle, "token_count": tokens, "revision": 1});
    with_attempt(json_response(StatusCode::OK, &body), attempt)
}

fn decode(
    server: Rc<ModelServer>,
    headers: &HeaderMap,
    attempt: &AttemptId,
    arrived_at: Instant,
    parts: Vec<PromptPart>,
) -> Result<Response<EventBody>, StatusCode> {
    let handle = text(headers, "kv-from");
    if handle.is_some_and(|handle| !server.environment.handles.take(handle)) {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let is_handed_over = handle.is_some();
    let first = text(headers, "last-event-id").and_then(|id| id.parse::<u64>().ok()).unwrap_or(0) + 1;
    let last = output_tokens(headers);
    let breaks_off_after =
        server.environment.has_failures.then(|| plain_service::broken_event(attempt, last)).flatten();
    let (sender, body) = EventBody::channel();
    let body = body.of_run(server.begin_run(attempt, arrived_at));
    let mut response = sealed(Response::new(body), &server, attempt);
    response.headers_mut().insert("content-type", "text/event-stream".parse().expect("a header"));
    tokio::task::spawn_local(async move {
        let _slot = server.engine.slot().await;
        if is_handed_over {
            server.engine.hand_over().await;
        } else {
            server.engine.prefill_locally(&parts).await;
        }
        send_events(&server, &sender, first..=last, breaks_off_after).await;
    });
    Ok(response)
}

/// Sends an event for each token, until the client has left. A first run may break off after an event.
async fn send_events(
    server: &ModelServer,
    sender: &mpsc::Sender<Chunk>,
    ids: RangeInclusive<u64>,
    breaks_off_after: Option<u64>,
) {
    let is_first_run = *ids.start() == 1;
    for id in ids {
        server.engine.next_token().await;
        let event = Bytes::from(format!("id: {id}\ndata: token {id} of {}\n\n", server.instance_id));
        if sender.send(Ok(event)).await.is_err() {
            return;
        }
        if is_first_run && breaks_off_after == Some(id) {
            let _ = sender.send(Err(BrokenOff)).await;
            return;
        }
    }
}

fn prompt_parts(headers: &HeaderMap) -> Vec<PromptPart> {
    let parts = text(headers, "x-prompt-prefix").unwrap_or_default().split(',');
    let part = |part: &str| {
        let (id, tokens) = part.split_once(':')?;
        Some(PromptPart { id: id.to_owned(), tokens: tokens.parse().ok()? })
    };
    parts.filter_map(part).collect()
}

fn output_tokens(headers: &HeaderMap) -> u64 {
    let counts = text(headers, "x-token-count").unwrap_or_default();
    counts.split(',').nth(1).and_then(|count| count.parse().ok()).unwrap_or(DEFAULT_OUTPUT_TOKENS)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn json_response(status: StatusCode, body: &Value) -> Response<EventBody> {
    let mut response = Response::new(EventBody::of(body.to_string()));
    *response.status_mut() = status;
    response.headers_mut().insert("content-type", "application/json".parse().expect("a header"));
    response
}

fn not_executed(status: StatusCode) -> Response<EventBody> {
    let mut response = json_response(status, &json!({}));
    response.headers_mut().insert("x-not-executed", "1".parse().expect("a header"));
    response
}

/// The echo by which the proxy knows that the response belongs to its request.
fn with_attempt(mut response: Response<EventBody>, attempt: &AttemptId) -> Response<EventBody> {
    if let Ok(attempt) = attempt.0.parse() {
        response.headers_mut().insert("x-attempt-id", attempt);
    }
    response
}

/// The response with the echo and with the server's seal, which names its instance.
pub(super) fn sealed(
    response: Response<EventBody>,
    server: &ModelServer,
    attempt: &AttemptId,
) -> Response<EventBody> {
    let mut response = with_attempt(response, attempt);
    if let Ok(seal) = server.instance_id.0.parse() {
        response.headers_mut().insert("x-server-seal", seal);
    }
    response
}
