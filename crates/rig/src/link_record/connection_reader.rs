//! Reads the messages of a connection from the bytes that pass through its link.

use std::collections::VecDeque;

use mosshead_emulator::http::{Message, MessageKind, ParsedHead, parse_head};
use mosshead_world::Time;
use mosshead_world::scenario::LinkKind;
use serde_json::Value;

use super::{LinkEventKind, ReceivedEntry};

/// The longest message that is read, in bytes; a direction with a longer one is not read any further.
const MAX_MESSAGE_BYTES: usize = 1024 * 1024;

/// The messages of one connection, in both directions.
#[derive(Debug)]
pub struct ConnectionReader {
    kind: LinkKind,
    from_proxy: DirectionReader,
    to_proxy: DirectionReader,
    /// Requests without a response so far, by correlation id; `None` for one that has no id, as calls for the list.
    open_requests: VecDeque<Option<String>>,
}

impl ConnectionReader {
    /// Reads a connection on a link of this kind.
    pub fn new(kind: LinkKind) -> Self {
        Self {
            kind,
            from_proxy: DirectionReader::default(),
            to_proxy: DirectionReader::default(),
            open_requests: VecDeque::new(),
        }
    }

    /// Bytes have left the proxy: gives the messages that are complete with them.
    pub fn on_bytes_from_proxy(&mut self, at: Time, bytes: &[u8]) -> Vec<LinkEventKind> {
        self.from_proxy.add(bytes);
        let mut events = Vec::new();
        // Operators call the proxy: what leaves it there are responses.
        if self.kind == LinkKind::Admin {
            while let Some((message, _)) = self.from_proxy.next_message(at, MessageKind::Response) {
                events.push(stage_reported(&message));
            }
            return events;
        }
        while let Some((message, started_at)) = self.from_proxy.next_message(at, MessageKind::Request) {
            let id = message.header("x-correlation-id").map(str::to_owned);
            self.open_requests.push_back(id.clone());
            match (self.kind, id) {
                (LinkKind::Discovery, _) => events.push(list_requested(&message)),
                (_, Some(id)) => events.push(attempt_sent(&message, id, started_at)),
                (_, None) => {}
            }
        }
        events
    }

    /// Bytes have reached the proxy: gives the messages that are complete with them.
    pub fn on_bytes_to_proxy(&mut self, at: Time, bytes: &[u8]) -> Vec<LinkEventKind> {
        let mut events = Vec::new();
        if self.kind == LinkKind::Admin {
            return events;
        }
        self.to_proxy.add(bytes);
        while let Some((message, _)) = self.to_proxy.next_message(at, MessageKind::Response) {
            let id = self.open_requests.pop_front().flatten();
            match (self.kind, id) {
                (LinkKind::Discovery, _) => events.push(list_received(&message)),
                (_, Some(id)) => {
                    let not_executed = message.header("x-unprocessed") == Some("1");
                    let status = message.status;
                    events.push(LinkEventKind::ResponseReceived { id, status, not_executed });
                }
                (_, None) => {}
            }
        }
        events
    }
}

/// The bytes of one direction that do not make a complete message yet.
#[derive(Debug, Default)]
struct DirectionReader {
    bytes: Vec<u8>,
    /// When the first of them passed.
    started_at: Option<Time>,
    /// Something passed that is no message: the direction is not read any further.
    is_unreadable: bool,
}

impl DirectionReader {
    /// The next complete message, with the instant of its first byte.
    fn next_message(&mut self, at: Time, kind: MessageKind) -> Option<(Message, Time)> {
        if self.is_unreadable || self.bytes.is_empty() {
            return None;
        }
        let started_at = *self.started_at.get_or_insert(at);
        match parse_head(&self.bytes, kind) {
            Ok(Some(ParsedHead { mut message, body_length, head_length }))
                if self.bytes.len() >= head_length + body_length =>
            {
                message.body = self.bytes[head_length..head_length + body_length].to_vec();
                self.bytes.drain(..head_length + body_length);
                self.started_at = None;
                Some((message, started_at))
            }
            Ok(_) if self.bytes.len() <= MAX_MESSAGE_BYTES => None,
            Ok(_) | Err(_) => {
                self.is_unreadable = true;
                self.bytes = Vec::new();
                None
            }
        }
    }

    fn add(&mut self, bytes: &[u8]) {
        if !self.is_unreadable {
            self.bytes.extend_from_slice(bytes);
        }
    }
}

fn list_requested(message: &Message) -> LinkEventKind {
    let query = message.target.split_once('?').map(|(_, query)| query).unwrap_or_default();
    let from = query.split('&').find_map(|pair| pair.strip_prefix("from=")?.parse().ok());
    LinkEventKind::ListRequested { from }
}

fn attempt_sent(message: &Message, id: String, started_at: Time) -> LinkEventKind {
    let class = message.target.trim_start_matches('/').split('/').next().unwrap_or_default().to_owned();
    LinkEventKind::AttemptSent { id, class, started_at }
}

fn stage_reported(message: &Message) -> LinkEventKind {
    let stage = json_body(message)["stage"].as_str().unwrap_or_default().to_owned();
    LinkEventKind::StageReported { status: message.status, stage }
}

fn list_received(message: &Message) -> LinkEventKind {
    let list = json_body(message);
    let entry = |entry: &Value| {
        Some(ReceivedEntry {
            id: entry["id"].as_str()?.to_owned(),
            address: entry["addr"].as_str()?.parse().ok()?,
            is_serving: entry["state"] == "SERVING",
        })
    };
    LinkEventKind::ListReceived {
        status: message.status,
        version: list["version"].as_u64().unwrap_or_default(),
        is_full: list["full"].as_bool().unwrap_or_default(),
        entries: list["servers"].as_array().into_iter().flatten().filter_map(entry).collect(),
    }
}

/// The body of a message as JSON; `null` where it is none.
fn json_body(message: &Message) -> Value {
    serde_json::from_slice(&message.body).unwrap_or(Value::Null)
}
