//! The clients of a soak. Each keeps one connection to one proxy and uses it until it ends.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request as HttpRequest, Response};
use mosshead_fleet_rules::{
    AttemptId, BodyDigest, InstanceId, Request, RequestEnd, RequestKind, ResponseHead, StreamEvent,
};
use mosshead_http_links::{OutboundConnection, PeerKind, SendErrorKind};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use tokio::time::{Instant, sleep, timeout_at};

use super::configuration::{
    IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH, NOT_RESUMABLE_PATH, RESUMABLE_PATH, ROUTE_TIMEOUT_MILLIS,
    probe_path,
};
use super::operators::Operators;
use crate::operator::{HOST, MODEL};
use crate::recorder::Recorder;

const PEER: PeerKind = PeerKind::unlogged("soak");
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The pause after a connection that was not established.
const RECONNECT_MILLIS: std::ops::Range<u64> = 20..200;
/// How long a connection may take to be ready for the next request.
const REUSE_TIMEOUT: Duration = Duration::from_millis(200);
/// `X-Deadline-Ms`.
const DEADLINE_MILLIS: std::ops::Range<u64> = 1_500..5_500;
const BODY_BYTES: std::ops::Range<usize> = 8..2_000;
const EVENTS: std::ops::Range<u64> = 4..60;
const LONG_EVENTS: std::ops::Range<u64> = 200..500;
/// Of 100 clients' requests, so many are long streams, are read slowly, or are left by their client.
const LONG_PERCENT: u32 = 10;
const SLOW_READER_PERCENT: u32 = 4;
const LEAVE_PERCENT: u32 = 2;
/// The pause of a slow reader after each frame.
const SLOW_READ_PAUSE: Duration = Duration::from_millis(15);
/// Prompts share these parts.
const SHARED_PARTS: u64 = 8;

type Connection = OutboundConnection<Full<Bytes>>;

/// One client.
pub(super) struct Client {
    pub(super) number: usize,
    /// The number of the proxy, and its address.
    pub(super) proxy: usize,
    pub(super) front: SocketAddrV4,
    /// The mean pause between two requests.
    pub(super) pause: Duration,
    pub(super) operators: Operators,
    pub(super) recorder: Recorder,
    pub(super) random: Pcg64Mcg,
}

/// A request before it is sent.
struct PreparedRequest {
    attempt: AttemptId,
    kind: RequestKind,
    /// How long the client waits.
    time: Duration,
    http: HttpRequest<Full<Bytes>>,
}

/// What the client has read of a response.
struct ReadResponse {
    end: RequestEnd,
    body: Vec<u8>,
}

impl Client {
    /// Sends one request after the other until `end`.
    pub(super) async fn run(mut self, end: Instant) {
        let mut connection: Option<Connection> = None;
        let mut count = 0_u64;
        while Instant::now() < end {
            let Some(mut open) = self.reuse_or_connect(connection.take()).await else { continue };
            count += 1;
            let request = self.prepare(count);
            let is_complete = self.send(&mut open, request).await;
            connection = Some(open).filter(|_| is_complete);
            let pause = -self.pause.as_secs_f64() * (1.0 - self.random.random::<f64>()).ln();
            sleep(Duration::from_secs_f64(pause)).await;
        }
    }

    /// The connection, as long as it can carry another request, or a new one to the same proxy.
    async fn reuse_or_connect(&mut self, connection: Option<Connection>) -> Option<Connection> {
        if let Some(mut connection) = connection
            && connection.is_reusable(REUSE_TIMEOUT).await
        {
            return Some(connection);
        }
        let connection = Connection::open(PEER, self.front.into(), CONNECT_TIMEOUT, ()).await;
        if connection.is_none() {
            sleep(Duration::from_millis(self.random.random_range(RECONNECT_MILLIS))).await;
        }
        connection
    }

    fn prepare(&mut self, count: u64) -> PreparedRequest {
        let attempt = AttemptId(format!("{:06x}{count:010x}", self.number).into());
        let kind = self.draw_kind();
        let time = Duration::from_millis(self.random.random_range(DEADLINE_MILLIS));
        let body = vec![b'b'; self.random.random_range(BODY_BYTES)];
        let mut http = HttpRequest::post(path_of(kind))
            .header("host", HOST)
            .header("x-attempt-id", &*attempt.0)
            .header("x-deadline-ms", time.as_millis().to_string())
            .header("content-length", body.len());
        if let RequestKind::Stream { events, .. } = kind {
            let shared_part = self.random.random_range(0..SHARED_PARTS);
            http = http
                .header("x-model-name", MODEL)
                .header("x-token-count", format!("300,{events}"))
                .header("x-prompt-prefix", format!("a000000{shared_part}:200,{attempt}:100"));
        }
        let http = http.body(Full::new(body.into())).expect("a request of valid parts");
        PreparedRequest { attempt, kind, time, http }
    }

    fn draw_kind(&mut self) -> RequestKind {
        let is_long = self.random.random_range(0..100) < LONG_PERCENT;
        let events = self.random.random_range(if is_long { LONG_EVENTS } else { EVENTS });
        match self.random.random_range(0..10) {
            0 | 1 => RequestKind::Idempotent,
            2..=4 => RequestKind::NonIdempotent,
            5 | 6 => RequestKind::Stream { is_resumable: true, events },
            7 => RequestKind::Stream { is_resumable: false, events },
            _ => RequestKind::Probe { revision: self.draw_revision() },
        }
    }

    /// One of the newest revisions mostly, or any earlier one.
    fn draw_revision(&mut self) -> u64 {
        let sent = self.operators.sent_revisions();
        let back = match self.random.random_range(0..10) {
            0..=5 => 0,
            6 | 7 => 1,
            _ => self.random.random_range(0..sent.len().max(1)),
        };
        let index = sent.len().saturating_sub(1 + back);
        sent.get(index).copied().unwrap_or(0)
    }

    /// Sends a request and records it. True if its response is complete.
    async fn send(&mut self, connection: &mut Connection, request: PreparedRequest) -> bool {
        let PreparedRequest { attempt, kind, time, http } = request;
        let sent_at = Instant::now();
        let give_up_at = sent_at + time;
        let sent = connection.send_with_deadline(http, give_up_at).await;
        let (head, response) = match sent {
            Ok(response) => {
                let head = head_of(&response);
                (Some(head), self.read(response, give_up_at).await)
            }
            Err(error) => {
                let end = match error.kind {
                    _ if !error.progress.may_have_run() => RequestEnd::NotSent,
                    SendErrorKind::DeadlinePassed => RequestEnd::TimedOut,
                    SendErrorKind::InvalidHttp | SendErrorKind::ConnectionLost => RequestEnd::CutOff,
                };
                (None, ReadResponse { end, body: Vec::new() })
            }
        };
        let held = time.min(Duration::from_millis(ROUTE_TIMEOUT_MILLIS));
        let is_stream = matches!(kind, RequestKind::Stream { .. });
        let record = Request {
            attempt,
            kind,
            proxy: self.proxy,
            sent_at: self.recorder.at(sent_at),
            ended_at: self.recorder.now(),
            deadline: self.recorder.at(sent_at + held),
            head,
            body: BodyDigest::of(&response.body),
            events: if is_stream { events_of(&response.body) } else { Vec::new() },
            end: response.end,
        };
        self.recorder.record(|history| history.requests.push(record));
        response.end == RequestEnd::Complete
    }

    /// Reads a response to its end, slowly at times, or leaves.
    async fn read(&mut self, response: Response<Incoming>, give_up_at: Instant) -> ReadResponse {
        let is_slow = self.random.random_range(0..100) < SLOW_READER_PERCENT;
        let leaves = self.random.random_range(0..100) < LEAVE_PERCENT;
        let mut incoming = response.into_body();
        let mut body = Vec::new();
        let end = loop {
            match timeout_at(give_up_at, incoming.frame()).await {
                Ok(Some(Ok(frame))) => body.extend_from_slice(frame.data_ref().map_or(&[], |data| data)),
                Ok(None) => break RequestEnd::Complete,
                Ok(Some(Err(_))) => break RequestEnd::CutOff,
                Err(_) => break RequestEnd::TimedOut,
            }
            if leaves {
                break RequestEnd::Left;
            }
            if is_slow {
                sleep(SLOW_READ_PAUSE).await;
            }
        };
        ReadResponse { end, body }
    }
}

fn path_of(kind: RequestKind) -> String {
    match kind {
        RequestKind::Idempotent => IDEMPOTENT_PATH.to_owned(),
        RequestKind::NonIdempotent => NON_IDEMPOTENT_PATH.to_owned(),
        RequestKind::Stream { is_resumable: true, .. } => RESUMABLE_PATH.to_owned(),
        RequestKind::Stream { is_resumable: false, .. } => NOT_RESUMABLE_PATH.to_owned(),
        RequestKind::Probe { revision } => probe_path(revision),
    }
}

fn head_of(response: &Response<Incoming>) -> ResponseHead {
    let header = |name| response.headers().get(name).and_then(|value| value.to_str().ok());
    ResponseHead {
        status: response.status().as_u16(),
        attempt: header("x-attempt-id").map(|attempt| AttemptId(attempt.into())),
        seal: header("x-server-seal").map(|seal| InstanceId(seal.into())),
    }
}

/// The events that a body has whole: `id: 3`, `data: token 3 of i-1-1`, and an empty line.
fn events_of(body: &[u8]) -> Vec<StreamEvent> {
    let text = String::from_utf8_lossy(body);
    let events = text.split_inclusive("\n\n").filter(|event| event.ends_with("\n\n"));
    let parsed = events.filter_map(|event| {
        let id = event.lines().find_map(|line| line.strip_prefix("id: "))?.parse().ok()?;
        let data = event.lines().find_map(|line| line.strip_prefix("data: "))?;
        let instance = InstanceId(data.rsplit(' ').next()?.into());
        Some(StreamEvent { id, instance })
    });
    parsed.collect()
}
