//! The calls that a model server answers.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::sync::mpsc;

use super::engine::PromptPart;
use super::event_body::EventBody;
use super::{ModelServer, ServerStage};

const ORDER_PATH: &str = "/order";
const REPORT_PATH: &str = "/report";
const HEALTH_PATH: &str = "/health";
const HANDLE_PREFIX: &str = "/kv-handle/";
/// The lengths of what a prompt's header names, if it can't be read.
const DEFAULT_OUTPUT_TOKENS: u64 = 1;

/// Answers a request.
pub(super) async fn respond(
    server: Rc<ModelServer>,
    request: Request<Incoming>,
) -> Result<Response<EventBody>, Infallible> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let path = head.uri.path().to_owned();
    Ok(match (&head.method, path.as_str()) {
        (&Method::GET, REPORT_PATH) => report(&server),
        (&Method::GET, HEALTH_PATH) => health(&server),
        (&Method::POST, ORDER_PATH) => order(&server, &head.headers, &body),
        (&Method::DELETE, handle) if handle.starts_with(HANDLE_PREFIX) => {
            server.handles.take(&server.handle_name(&handle[HANDLE_PREFIX.len()..]));
            json_response(StatusCode::OK, &json!({}))
        }
        _ => prompt(server, &head.headers).await,
    })
}

impl ModelServer {
    fn handle_name(&self, id: &str) -> String {
        format!("{}/{id}", self.address)
    }
}

fn report(server: &ModelServer) -> Response<EventBody> {
    let report = json!({
        "stage": server.stage.get().name(),
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
    if text(headers, "x-target-instance").is_some_and(|target| target != server.instance_id) {
        return not_executed(StatusCode::MISDIRECTED_REQUEST);
    }
    let order: Value = serde_json::from_slice(body).unwrap_or_default();
    let (Some(fence), Some(stage)) = (order["fence_token"].as_u64(), stage_of(&order["stage"])) else {
        return json_response(StatusCode::BAD_REQUEST, &json!({}));
    };
    if fence < server.fence.get() {
        return json_response(StatusCode::PRECONDITION_FAILED, &json!({}));
    }
    server.fence.set(fence);
    server.orders.set(server.orders.get() + 1);
    server.stage.set(stage);
    json_response(StatusCode::ACCEPTED, &json!({}))
}

fn stage_of(value: &Value) -> Option<ServerStage> {
    match value.as_str()? {
        "prefill" => Some(ServerStage::Prefill),
        "decode" => Some(ServerStage::Decode),
        _ => None,
    }
}

/// Prefills a prompt, or decodes it.
async fn prompt(server: Rc<ModelServer>, headers: &HeaderMap) -> Response<EventBody> {
    if text(headers, "x-target-instance").is_some_and(|target| target != server.instance_id) {
        return not_executed(StatusCode::MISDIRECTED_REQUEST);
    }
    let Some(attempt) = text(headers, "x-attempt-id").map(str::to_owned) else {
        return not_executed(StatusCode::BAD_REQUEST);
    };
    let wanted_stage = match text(headers, "x-serving-stage") {
        Some("prefill") => ServerStage::Prefill,
        _ => ServerStage::Decode,
    };
    if server.stage.get() != wanted_stage {
        return not_executed(StatusCode::MISDIRECTED_REQUEST);
    }
    let parts = prompt_parts(headers);
    match wanted_stage {
        ServerStage::Prefill => prefill(&server, &attempt, &parts).await,
        ServerStage::Decode => decode(server, headers, attempt, parts),
    }
}

async fn prefill(server: &ModelServer, attempt: &str, parts: &[PromptPart]) -> Response<EventBody> {
    server.engine.prefill(parts).await;
    let handle = format!("{attempt}-{}", server.instance_id);
    server.handles.insert(server.handle_name(&handle));
    let tokens: u64 = parts.iter().map(|part| part.tokens).sum();
    let body = json!({"prefill_handle": handle, "token_count": tokens, "revision": 1});
    with_attempt(json_response(StatusCode::OK, &body), attempt)
}

fn decode(
    server: Rc<ModelServer>,
    headers: &HeaderMap,
    attempt: String,
    parts: Vec<PromptPart>,
) -> Response<EventBody> {
    let handle = text(headers, "kv-from");
    if handle.is_some_and(|handle| !server.handles.take(handle)) {
        return not_executed(StatusCode::SERVICE_UNAVAILABLE);
    }
    let is_handed_over = handle.is_some();
    let first = text(headers, "last-event-id").and_then(|id| id.parse::<u64>().ok()).unwrap_or(0) + 1;
    let last = output_tokens(headers);
    let seal = format!("seal-{}", server.instance_id);
    let (sender, body) = EventBody::channel();
    tokio::task::spawn_local(async move {
        let _slot = server.engine.slot().await;
        if is_handed_over {
            server.engine.hand_over().await;
        } else {
            server.engine.prefill_locally(&parts).await;
        }
        send_events(&server, &sender, first, last).await;
    });
    let mut response = with_attempt(Response::new(body), &attempt);
    let headers = response.headers_mut();
    headers.insert("content-type", "text/event-stream".parse().expect("a header"));
    if let Ok(seal) = seal.parse() {
        headers.insert("x-server-seal", seal);
    }
    response
}

/// Sends an event for each token, until the client has left.
async fn send_events(server: &ModelServer, sender: &mpsc::Sender<Bytes>, first: u64, last: u64) {
    for id in first..=last {
        server.engine.next_token().await;
        let event = Bytes::from(format!("id: {id}\ndata: token {id}\n\n"));
        if sender.send(event).await.is_err() {
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
fn with_attempt(mut response: Response<EventBody>, attempt: &str) -> Response<EventBody> {
    if let Ok(attempt) = attempt.parse() {
        response.headers_mut().insert("x-attempt-id", attempt);
    }
    response
}
