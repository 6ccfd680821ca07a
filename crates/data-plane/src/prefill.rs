//! The reading of a prompt by one server for another: the handle, and that it is freed where nobody takes it.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;

use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Uri};
use mosshead_routing::{Prompt, PromptPart, ServerFailure};
use mosshead_time::Duration;
use tinyjson::JsonValue;
use tokio::time::{Instant, timeout_at};

use crate::attempt::{Message, Sent, Server, kept, whole_body};
use crate::data_plane::{DataPlane, Reading, add};
use crate::ingress::Job;

/// The parts of a prompt, as its request names them. `None`: it names none, or they make no sense.
pub(crate) fn ask(headers: &HeaderMap) -> Option<Prompt> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let mut counts = text("x-token-count")?.split(',').map(|count| count.trim().parse::<f64>());
    let tokens = counts.next()?.ok()?;
    let max_output_tokens =
        counts.next().and_then(Result::ok).filter(|answer| answer.is_finite()).unwrap_or(0.0);
    let mut parts = Vec::new();
    for part in text("x-prompt-prefix").unwrap_or_default().split(',').take(64) {
        if let Some((id, count)) = part.trim().split_once(':')
            && let (Ok(id), Ok(count)) = (u64::from_str_radix(id, 16), count.parse::<f64>())
            && count.is_finite()
        {
            parts.push(PromptPart { id, tokens: count.max(0.0) });
        }
    }
    let named: f64 = parts.iter().map(|part| part.tokens).sum();
    (tokens.is_finite() && tokens >= 0.0).then(|| Prompt {
        tokens: tokens.max(named),
        parts,
        max_output_tokens,
    })
}

/// What a server keeps of a prompt until another takes it. Let go of untaken, it is freed.
pub(crate) struct Handle {
    data_plane: Rc<DataPlane>,
    server: Server,
    handle: String,
    taken: Cell<bool>,
}

impl Handle {
    /// How the server that generates finds it.
    pub(crate) fn from(&self) -> Option<HeaderValue> {
        HeaderValue::from_str(&format!("{}/{}", self.server.address, self.handle)).ok()
    }

    pub(crate) fn reader(&self) -> &Rc<str> {
        &self.server.id
    }

    /// It has been taken, or has lapsed.
    pub(crate) fn gone(&self) {
        self.taken.set(true);
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        if self.taken.get() {
            return;
        }
        let (data_plane, server) = (self.data_plane.clone(), self.server.clone());
        let Ok(uri) = format!("/kv-handle/{}", self.handle).parse::<Uri>() else { return };
        add(&data_plane.counters.freed_handles);
        tokio::task::spawn_local(async move {
            let message = Message::of_proxy(Method::DELETE, uri);
            let until = Instant::now() + Duration::from_millis(500);
            let deadline = data_plane.now() + Duration::from_millis(500);
            if let Sent::Answer { head, body, link } =
                data_plane.send(&server, &message, deadline, until, &[]).await
            {
                data_plane.spare(&server.id, link, head, body);
            }
        });
    }
}

/// A server that works answers for its figure within so many milliseconds.
pub(crate) const REPORT: Duration = Duration::from_millis(300);
/// A server that has been mute for so many is asked whether it is there.
pub(crate) const MUTE: Duration = Duration::from_millis(250);
/// A figure is waited for so long.
const FIGURE: Duration = Duration::from_millis(12);

/// The requests that a server has, by its report.
fn figure(body: &[u8]) -> Option<f64> {
    if body.len() > 64 * 1024 {
        return None;
    }
    let value = mosshead_config::parse_json(body)?;
    let fields: &HashMap<String, JsonValue> = value.get()?;
    let count = |name: &str| fields.get(name).and_then(|value| value.get::<f64>().copied());
    let sum = count("queued")? + count("active")?;
    sum.is_finite().then_some(sum.max(0.0))
}

/// How a reading went wrong.
pub(crate) enum Unread {
    /// The server did not take it up.
    Refused,
    /// It never arrived.
    NotSent,
    /// No answer, or none that makes sense.
    Lost,
}

impl DataPlane {
    /// ClientRequests the readers that a prompt would be weighed between for their figures, where none is fresh.
    pub(crate) async fn ask_readers(self: &Rc<Self>, job: &Job, ask: &Prompt) {
        let ids = self.router.borrow_mut().prefill_servers_to_query(self.now(), &job.service.name, ask);
        let servers: Vec<Server> = ids.iter().filter_map(|id| self.server(job, id)).collect();
        let mut asked = Vec::new();
        for server in servers {
            // Danger: what asks must not stand in a request's way for longer than a figure is worth.
            let data_plane = self.clone();
            asked.push(tokio::task::spawn_local(async move { data_plane.ask_figure(&server, REPORT).await }));
        }
        let until = Instant::now() + FIGURE;
        for asked in asked {
            let _ = timeout_at(until, asked).await;
        }
    }

    /// ClientRequests a server for its figure.
    pub(crate) async fn ask_figure(self: &Rc<Self>, server: &Server, within: Duration) {
        let message = Message::of_proxy(Method::GET, Uri::from_static("/report"));
        let until = Instant::now() + within;
        let deadline = self.now() + within;
        match self.send(server, &message, deadline, until, &[]).await {
            Sent::Answer { head, body, link } if head.status.is_success() => {
                let body = whole_body(&head, body, until).await;
                // Danger: what is no report answers another call, so the report may come yet: the connection goes.
                if let Some(figure) = body.and_then(|body| figure(&body)) {
                    let now = self.now();
                    self.router.borrow_mut().record_load(now, &server.id, figure);
                    self.links.put(&server.id, link, kept(&head), until).await;
                }
            }
            Sent::Lost(fault) => self.fault(&server.id, fault),
            // It needs no slot for that.
            Sent::Late | Sent::Broken => self.fault(&server.id, ServerFailure::Unreachable),
            _ => {}
        }
    }

    /// Has the prompt read. It does not run by that, and may be asked for again.
    pub(crate) async fn read_prompt(
        self: &Rc<Self>,
        server: &Server,
        message: &Message,
        ask: &Prompt,
        deadline: mosshead_time::Instant,
        priority: &HeaderValue,
    ) -> Result<Handle, Unread> {
        let _reading = Reading::new(self, &server.id, ask.unshared_tokens());
        let until = self.at(deadline);
        let stage =
            [("x-serving-stage", HeaderValue::from_static("prefill")), ("priority", priority.clone())];
        let sent = tokio::select! {
            sent = self.send(server, message, deadline, until, &stage) => sent,
            () = self.dark(server, MUTE, REPORT) => return Err(Unread::Lost),
        };
        match sent {
            Sent::Answer { head, body, link } if head.status.is_success() => {
                let body = self.whole(&server.id, &head, body, link, until).await;
                let handle = body.and_then(|body| handle(&body)).ok_or_else(|| {
                    self.fault(&server.id, ServerFailure::BrokenResponse);
                    Unread::Lost
                })?;
                self.router.borrow_mut().record_success(&server.id);
                add(&self.counters.handed_over);
                let taken = Cell::new(false);
                Ok(Handle { data_plane: self.clone(), server: server.clone(), handle, taken })
            }
            Sent::Answer { head, body, link } => {
                self.spare(&server.id, link, head, body);
                self.fault(&server.id, ServerFailure::ErrorResponse);
                Err(Unread::Lost)
            }
            Sent::NeverRan(status) => {
                self.fault(&server.id, refusal(status));
                Err(Unread::Refused)
            }
            Sent::Lost(fault) => {
                self.fault(&server.id, fault);
                Err(Unread::NotSent)
            }
            Sent::Broken | Sent::Late => {
                self.fault(&server.id, ServerFailure::BrokenResponse);
                Err(Unread::Lost)
            }
        }
    }
}

/// What it says of a server that it turned a request away.
pub(crate) fn refusal(status: hyper::StatusCode) -> ServerFailure {
    if status == hyper::StatusCode::MISDIRECTED_REQUEST {
        ServerFailure::WrongInstance
    } else {
        ServerFailure::Overloaded
    }
}

fn handle(body: &[u8]) -> Option<String> {
    if body.len() > 4096 {
        return None;
    }
    let value = mosshead_config::parse_json(body)?;
    let fields: &HashMap<String, JsonValue> = value.get()?;
    let handle: &String = fields.get("prefill_handle")?.get()?;
    let plain = handle.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
    (plain && !handle.is_empty() && handle.len() <= 128).then(|| handle.clone())
}
