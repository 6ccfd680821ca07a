//! The record: what crossed each link, and what was done to processes, on one time line.

use std::collections::VecDeque;
use std::net::SocketAddr;

use mosshead_emulator::http::{Message, parse};
use mosshead_emulator::{Place, Process};
use mosshead_world::Time;
use mosshead_world::events::{Event, EventKind};
use mosshead_world::scenario::LinkKind;
use serde_json::Value;

/// Bytes of one message that are kept to be read; what is longer is not read further.
const READ_MOST: usize = 1024 * 1024;

/// A line of discovery's list, as a proxy read it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// The server's id.
    pub id: String,
    /// Where this proxy finds it.
    pub address: SocketAddr,
    /// Whether something new may be sent there.
    pub serving: bool,
}

/// Something that crossed a link, or was done to a process.
#[derive(Clone, Debug, PartialEq)]
pub enum Crossed {
    /// A connection of a way has come up.
    Opened,
    /// It has ended.
    Ended,
    /// The last byte of a call for the list has left the proxy.
    Call {
        /// The version that it goes on from.
        from: Option<u64>,
    },
    /// The last byte of an answer to such a call has reached the proxy.
    Listed {
        /// Its status.
        status: u16,
        /// The version that it tells of.
        version: u64,
        /// It is the whole list.
        full: bool,
        /// Its lines.
        lines: Vec<Line>,
    },
    /// The last byte of an attempt has left the proxy.
    Sent {
        /// The request's id.
        id: String,
        /// The first part of its path.
        class: String,
        /// When the first byte left.
        began: Time,
    },
    /// The last byte of an answer to an attempt has reached the proxy.
    Answered {
        /// The request's id.
        id: String,
        /// The status.
        status: u16,
        /// It says that the request never ran.
        unprocessed: bool,
    },
    /// The last byte of an answer to operators has left the proxy.
    Said {
        /// Its status.
        status: u16,
        /// How far the proxy says that it has come.
        stage: String,
    },
    /// The proxy's process: started, ready, signalled, ended.
    Process(Process),
}

/// What happened, when, and where.
#[derive(Clone, Debug, PartialEq)]
pub struct Crossing {
    /// When; instants before the day's begin are zero.
    pub at: Time,
    /// Whose way, or process.
    pub proxy: usize,
    /// Which way; none for a process.
    pub place: Option<Place>,
    /// The connection, numbered over all links.
    pub conn: u64,
    /// What.
    pub what: Crossed,
}

/// All that a checker reads.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// What crossed the links, in order.
    pub crossings: Vec<Crossing>,
    /// What the world did: starts and ends of servers and proxies, troubles.
    pub facts: Vec<Event>,
}

impl Record {
    /// Takes a fact in, if checkers need it: what is about single requests they read from the links.
    pub fn fact(&mut self, fact: &Event) {
        let kept = matches!(
            fact.kind,
            EventKind::ServerStarted { .. }
                | EventKind::ServerEnded { .. }
                | EventKind::ServerCollapsed { .. }
                | EventKind::ServerCongested { .. }
                | EventKind::ProxyStarted { .. }
                | EventKind::ProxyStopped { .. }
                | EventKind::ProxyPaused { .. }
                | EventKind::ProxyResumed { .. }
                | EventKind::LinkFaultChanged { .. }
        );
        if kept {
            self.facts.push(*fact);
        }
    }

    /// Every crossing of a kind of way.
    pub fn of(&self, way: LinkKind) -> impl Iterator<Item = (&Crossing, Place)> {
        self.crossings
            .iter()
            .filter_map(move |crossing| Some((crossing, crossing.place.filter(|place| place.way == way)?)))
    }
}

/// Reads the messages of one connection as its bytes pass.
#[derive(Debug, Default)]
pub(crate) struct Tap {
    to: Side,
    back: Side,
    /// Requests whose answers have not come: the id, none for what is no attempt.
    open: VecDeque<Option<String>>,
}

#[derive(Debug, Default)]
struct Side {
    bytes: Vec<u8>,
    began: Option<Time>,
    unreadable: bool,
}

impl Side {
    /// The next whole message, with the instant of its first byte.
    fn next(&mut self, at: Time, answer: bool) -> Option<(Message, Time)> {
        if self.unreadable || self.bytes.is_empty() {
            return None;
        }
        let began = *self.began.get_or_insert(at);
        match parse(&self.bytes, answer) {
            Ok(Some(((mut message, length), head))) if self.bytes.len() >= head + length => {
                message.body = self.bytes[head..head + length].to_vec();
                self.bytes.drain(..head + length);
                self.began = None;
                Some((message, began))
            }
            Ok(_) if self.bytes.len() <= READ_MOST => None,
            _ => {
                self.unreadable = true;
                self.bytes = Vec::new();
                None
            }
        }
    }

    fn take(&mut self, bytes: &[u8]) {
        if !self.unreadable {
            self.bytes.extend_from_slice(bytes);
        }
    }
}

impl Tap {
    /// Bytes have left the proxy.
    pub(crate) fn to(&mut self, at: Time, way: LinkKind, bytes: &[u8]) -> Vec<Crossed> {
        self.to.take(bytes);
        let mut seen = Vec::new();
        // Operators call the proxy: what leaves it are answers.
        if way == LinkKind::Admin {
            while let Some((message, _)) = self.to.next(at, true) {
                let json: Value = serde_json::from_slice(&message.body).unwrap_or(Value::Null);
                let stage = json["stage"].as_str().unwrap_or_default().to_owned();
                seen.push(Crossed::Said { status: message.status, stage });
            }
            return seen;
        }
        while let Some((message, began)) = self.to.next(at, false) {
            let id = message.header("x-correlation-id").map(str::to_owned);
            self.open.push_back(id.clone());
            match (way, id) {
                (LinkKind::Discovery, _) => {
                    let query = message.target.split_once('?').map(|(_, query)| query).unwrap_or_default();
                    let from = query.split('&').find_map(|pair| pair.strip_prefix("from=")?.parse().ok());
                    seen.push(Crossed::Call { from });
                }
                (_, Some(id)) => {
                    let class = message.target.trim_start_matches('/').split('/').next().unwrap_or_default();
                    seen.push(Crossed::Sent { id, class: class.to_owned(), began });
                }
                (_, None) => {}
            }
        }
        seen
    }

    /// Bytes have reached the proxy.
    pub(crate) fn back(&mut self, at: Time, way: LinkKind, bytes: &[u8]) -> Vec<Crossed> {
        let mut seen = Vec::new();
        if way == LinkKind::Admin {
            return seen;
        }
        self.back.take(bytes);
        while let Some((message, _)) = self.back.next(at, true) {
            let open = self.open.pop_front().flatten();
            match (way, open) {
                (LinkKind::Discovery, _) => seen.push(listed(&message)),
                (_, Some(id)) => {
                    let unprocessed = message.header("x-unprocessed") == Some("1");
                    seen.push(Crossed::Answered { id, status: message.status, unprocessed });
                }
                (_, None) => {}
            }
        }
        seen
    }
}

fn listed(message: &Message) -> Crossed {
    let json: Value = serde_json::from_slice(&message.body).unwrap_or(Value::Null);
    let line = |line: &Value| {
        Some(Line {
            id: line["id"].as_str()?.to_owned(),
            address: line["addr"].as_str()?.parse().ok()?,
            serving: line["state"] == "SERVING",
        })
    };
    Crossed::Listed {
        status: message.status,
        version: json["version"].as_u64().unwrap_or_default(),
        full: json["full"].as_bool().unwrap_or_default(),
        lines: json["servers"]
            .as_array()
            .map(|all| all.iter().filter_map(line).collect())
            .unwrap_or_default(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards every checker: a message that comes in pieces is one crossing, at its last byte, begun at its first.
    #[test]
    fn messages_are_read_however_they_are_cut() {
        let request = b"POST /book-lesson/7?slot=1 HTTP/1.1\r\nX-Correlation-Id: 0123456789abcdef\r\nContent-Length: 4\r\n\r\nbody";
        let answer = b"HTTP/1.1 503 X\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
        for cut in 1..request.len() {
            let mut tap = Tap::default();
            let (one, two) = (Time::from_millis(1), Time::from_millis(2));
            assert_eq!(tap.to(one, LinkKind::Server, &request[..cut]), []);
            let (id, class) = ("0123456789abcdef".to_owned(), "book-lesson".to_owned());
            let sent = Crossed::Sent { id: id.clone(), class, began: one };
            assert_eq!(tap.to(two, LinkKind::Server, &request[cut..]), [sent]);
            let cut = cut.min(answer.len() - 1);
            assert_eq!(tap.back(two, LinkKind::Server, &answer[..cut]), []);
            let answered = Crossed::Answered { id, status: 503, unprocessed: true };
            assert_eq!(tap.back(two, LinkKind::Server, &answer[cut..]), [answered]);
        }
    }
}
