//! The messages between the actors, and the guards that owe an outcome. This module knows no actor.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use mosshead_decide::interface::*;
use mosshead_settings::NamedSettings;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use crate::body::OutboundConnection;
use crate::body::{OutgoingBody, Upload};
use crate::class_table::AcceptedNames;
use crate::errors::ApplySettingsError;
use mosshead_snapshot::server_list::ServerList;

/// The parts of a request that are forwarded unchanged.
#[derive(Debug)]
pub struct ForwardedRequest {
    pub method: String,
    pub target: String,
    pub id: String,
    /// The idempotency key, byte for byte. Without it servers take a repeat for new work.
    pub idempotency_key: Option<Bytes>,
    pub body: RequestBody,
}

/// A request's body.
#[derive(Debug)]
pub enum RequestBody {
    Buffered(Bytes),
    Streaming(Rc<Upload>),
}

impl RequestBody {
    /// The body that still comes.
    pub fn upload(&self) -> Option<&Rc<Upload>> {
        match self {
            RequestBody::Buffered(_) => None,
            RequestBody::Streaming(upload) => Some(upload),
        }
    }
}

/// A request that was received and checked by the client connection.
#[derive(Debug)]
pub struct ClientRequest {
    /// The id that it carries, as a number.
    pub id: u64,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    /// How long the client waits, counted from `arrived`.
    pub time_left: Seconds,
    pub arrived: Instant,
    pub forwarded: ForwardedRequest,
}

/// The one final answer to a request.
#[derive(Debug)]
pub enum FinalResponse {
    /// A server's answer.
    Served(OutgoingBody),
    /// A retry-later response: trying again is harmless, best after this long.
    RetryLater(Seconds),
    /// Failed; it may have run.
    Failed,
    /// Not taken on: another request has its id.
    IdInUse,
}

/// A message to the balancer.
pub enum Message {
    Request(RequestId, ClientRequest, oneshot::Sender<FinalResponse>),
    Withdrawn(RequestId),
    AttemptEnded(AttemptResult),
    ProbeEnded {
        endpoint: EndpointId,
        outcome: Outcome,
        rtt: Seconds,
        report: LoadReport,
    },
    ListUpdate(Option<ServerList>),
    /// What is known of the list, for a successor.
    GetList(oneshot::Sender<ServerList>),
    /// The last byte of a request's body has come.
    BodyReceived(RequestId),
    /// Other settings, and whom to tell what clients may name from now on.
    ApplySettings(Box<NamedSettings>, oneshot::Sender<Result<AcceptedNames, ApplySettingsError>>),
}

/// The outcome of one attempt.
pub struct AttemptResult {
    pub request: RequestId,
    pub attempt: AttemptNumber,
    pub endpoint: EndpointId,
    pub outcome: Outcome,
    pub rtt: Seconds,
    pub report: LoadReport,
    pub body: OutgoingBody,
}

/// A message to the actor of a server.
pub enum ServerMessage {
    /// The endpoint list has news of it.
    StatusChanged(EndpointStatus),
    /// The endpoint list no longer has it.
    Removed,
    /// The actor is to end; no message follows.
    Shutdown,
    Attempt(AttemptGuard, Rc<ForwardedRequest>, Instant),
    Probe(ProbeGuard),
    Cancel(RequestId, AttemptNumber),
    /// The idle connections are to be closed.
    CloseIdle,
    /// The timeouts for connecting and for idle connections have changed.
    LimitsChanged(Seconds, Seconds),
    /// An attempt or probe is over; its connection may be of further use.
    ConnectionFreed(Option<(RequestId, AttemptNumber)>, Option<OutboundConnection>, SocketAddr),
}

/// What the endpoint list says of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointStatus {
    pub addr: SocketAddr,
    pub readiness: Readiness,
    pub started_ms: f64,
}

/// One attempt, which owes exactly one outcome: dropped without one, it was reset and may have run.
pub struct AttemptGuard {
    pub request: RequestId,
    pub attempt: AttemptNumber,
    endpoint: EndpointId,
    started: Instant,
    responded_at: Option<Instant>,
    outcomes: Option<UnboundedSender<Message>>,
}

impl AttemptGuard {
    pub fn new(
        request: RequestId,
        attempt: AttemptNumber,
        endpoint: EndpointId,
        outcomes: UnboundedSender<Message>,
    ) -> Self {
        Self {
            request,
            attempt,
            endpoint,
            started: Instant::now(),
            responded_at: None,
            outcomes: Some(outcomes),
        }
    }

    /// Sets when the head of the response came; the time after it is the transfer and not the server's work.
    pub fn set_responded_at(&mut self, head_received_at: Option<Instant>) {
        self.responded_at = head_received_at;
    }

    /// Counts the time of the attempt from `since` on, if that is later than its start.
    pub fn started_no_earlier_than(&mut self, since: Instant) {
        self.started = self.started.max(since);
    }

    pub fn finish(mut self, outcome: Outcome, report: LoadReport, body: OutgoingBody) {
        self.send_result(outcome, report, body);
    }

    fn send_result(&mut self, outcome: Outcome, report: LoadReport, body: OutgoingBody) {
        let Some(outcomes) = self.outcomes.take() else { return };
        let Self { request, attempt, endpoint, .. } = *self;
        let responded_at = self.responded_at.unwrap_or_else(Instant::now);
        let rtt = responded_at.saturating_duration_since(self.started).as_secs_f64();
        // Only a proxy that is about to exit has no balancer.
        let _ = outcomes.send(Message::AttemptEnded(AttemptResult {
            request,
            attempt,
            endpoint,
            outcome,
            rtt,
            report,
            body,
        }));
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.send_result(Outcome::Reset, LoadReport::default(), Bytes::new().into());
    }
}

/// One probe, which owes exactly one outcome.
pub struct ProbeGuard {
    endpoint: EndpointId,
    started: Instant,
    outcomes: Option<UnboundedSender<Message>>,
}

impl ProbeGuard {
    pub fn new(endpoint: EndpointId, outcomes: UnboundedSender<Message>) -> Self {
        Self { endpoint, started: Instant::now(), outcomes: Some(outcomes) }
    }

    pub fn finish(mut self, outcome: Outcome, report: LoadReport) {
        self.send_result(outcome, report);
    }

    fn send_result(&mut self, outcome: Outcome, report: LoadReport) {
        let Some(outcomes) = self.outcomes.take() else { return };
        let rtt = self.started.elapsed().as_secs_f64();
        let _ = outcomes.send(Message::ProbeEnded { endpoint: self.endpoint, outcome, rtt, report });
    }
}

impl Drop for ProbeGuard {
    fn drop(&mut self) {
        self.send_result(Outcome::Reset, LoadReport::default());
    }
}
