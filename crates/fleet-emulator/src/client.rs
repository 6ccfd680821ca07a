//! A client: one prompt, sent to a proxy and retried as the operators' clients do.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::time::{Instant, sleep, timeout_at};

use crate::http::{OpenResponse, send};
use crate::operator::{HOST, MODEL, PROMPT_PATH};
use crate::report::{RequestOutcome, Violation};

/// How long a client waits for its answer, all attempts together.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Attempts of one request, at most.
const MAX_ATTEMPTS: u32 = 4;
/// The pause before a retry that no response has asked for.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
const BODY: &[u8] = b"a prompt";

/// A prompt: parts that it shares with others, and one of its own.
#[derive(Clone, Debug)]
pub(crate) struct Prompt {
    pub(crate) id: u64,
    pub(crate) shared_part: u64,
    pub(crate) shared_tokens: u64,
    pub(crate) own_tokens: u64,
    pub(crate) output_tokens: u64,
}

/// A request from its first attempt to its outcome.
pub(crate) struct RequestResult {
    pub(crate) outcome: RequestOutcome,
    pub(crate) retries: u64,
    pub(crate) violation: Option<Violation>,
}

/// What one attempt came to.
enum AttemptOutcome {
    Completed {
        first_event: Instant,
    },
    Violated(Violation),
    /// It may be made again, after this pause.
    Retry(Duration),
}

/// Sends a prompt to one of the proxies after the other until an attempt succeeds.
pub(crate) async fn request(prompt: Prompt, proxies: Vec<SocketAddrV4>) -> RequestResult {
    let start = Instant::now();
    let deadline = start + CLIENT_TIMEOUT;
    let mut retries = 0;
    for attempt in 0..MAX_ATTEMPTS {
        let proxy = proxies[(prompt.id as usize + attempt as usize) % proxies.len().max(1)];
        match send_attempt(&prompt, attempt, proxy, deadline).await {
            AttemptOutcome::Completed { first_event } => {
                let outcome = RequestOutcome::Completed { first_event: first_event - start };
                return RequestResult { outcome, retries, violation: None };
            }
            AttemptOutcome::Violated(violation) => {
                return RequestResult {
                    outcome: RequestOutcome::Failed,
                    retries,
                    violation: Some(violation),
                };
            }
            AttemptOutcome::Retry(pause) if Instant::now() + pause < deadline => {
                retries += 1;
                sleep(pause).await;
            }
            AttemptOutcome::Retry(_) => break,
        }
    }
    RequestResult { outcome: RequestOutcome::Failed, retries, violation: None }
}

async fn send_attempt(
    prompt: &Prompt,
    attempt: u32,
    proxy: SocketAddrV4,
    deadline: Instant,
) -> AttemptOutcome {
    let id = format!("{:08x}-{attempt}", prompt.id);
    let time_left = deadline.saturating_duration_since(Instant::now());
    let Some(request) = attempt_request(prompt, &id, time_left) else {
        return AttemptOutcome::Retry(RETRY_PAUSE);
    };
    let Some(OpenResponse { response, connection: _connection }) =
        send(proxy, request, BODY.len(), time_left).await
    else {
        return AttemptOutcome::Retry(RETRY_PAUSE);
    };
    if response.status() != StatusCode::OK {
        return AttemptOutcome::Retry(retry_after(&response));
    }
    if !response.headers().contains_key("x-server-seal") {
        return AttemptOutcome::Violated(Violation::Unsealed { attempt: id });
    }
    read_stream(prompt, id, response, deadline).await
}

fn attempt_request(prompt: &Prompt, id: &str, time_left: Duration) -> Option<Request<Full<Bytes>>> {
    let Prompt { id: own, shared_part, shared_tokens, own_tokens, output_tokens } = prompt;
    Request::post(PROMPT_PATH)
        .header("host", HOST)
        .header("x-attempt-id", id)
        .header("x-model-name", MODEL)
        .header("x-token-count", format!("{},{output_tokens}", shared_tokens + own_tokens))
        .header("x-prompt-prefix", format!("{shared_part:08x}:{shared_tokens},{own:08x}:{own_tokens}"))
        .header("x-deadline-ms", time_left.as_millis().to_string())
        .header("content-length", BODY.len())
        .body(Full::new(Bytes::from_static(BODY)))
        .ok()
}

/// Reads the events of a stream to its end.
async fn read_stream(
    prompt: &Prompt,
    attempt: String,
    response: Response<Incoming>,
    deadline: Instant,
) -> AttemptOutcome {
    let mut body = response.into_body();
    let (mut text, mut first_event) = (String::new(), None);
    loop {
        match timeout_at(deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref() {
                    first_event.get_or_insert(Instant::now());
                    text.push_str(&String::from_utf8_lossy(data));
                }
            }
            Ok(None) => break,
            Ok(Some(Err(_))) | Err(_) => return AttemptOutcome::Retry(RETRY_PAUSE),
        }
    }
    let events: Vec<u64> =
        text.lines().filter_map(|line| line.strip_prefix("id: ")?.trim().parse().ok()).collect();
    let is_complete = events.iter().copied().eq(1..=prompt.output_tokens);
    match first_event.filter(|_| is_complete) {
        Some(first_event) => AttemptOutcome::Completed { first_event },
        None => AttemptOutcome::Violated(Violation::IncompleteStream { attempt, events }),
    }
}

fn retry_after(response: &Response<Incoming>) -> Duration {
    let header = response.headers().get("retry-after").and_then(|value| value.to_str().ok()?.parse().ok());
    header.map_or(RETRY_PAUSE, |seconds: f64| Duration::from_secs_f64(seconds.clamp(0.0, 5.0)))
}
