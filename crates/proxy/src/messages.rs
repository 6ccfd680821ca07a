//! The messages between the actors, and the guards that report the outcome of an attempt or a probe.
//!
//! This module depends on no actor, so each actor can depend on it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mosshead_decide::interface::*;
use mosshead_settings::NamedSettings;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use crate::body::OutboundConnection;
use crate::body::{OutgoingBody, Upload};
use crate::class_table::AcceptedNames;
use crate::duration;
use crate::errors::ApplySettingsError;
use mosshead_snapshot::server_list::ServerList;
use mosshead_snapshot::unix_time::ServerStart;

/// This proxy closes an idle connection after this share of the time for which servers keep it.
const IDLE_SHARE: f64 = 0.9;

/// The parts of a request that are forwarded unchanged.
#[derive(Debug)]
pub struct ForwardedRequest {
    pub method: String,
    pub target: String,
    pub id: String,
    /// The idempotency key, byte for byte. Without it, servers would execute a repeated request again.
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
    /// The body, if it is streamed.
    pub fn upload(&self) -> Option<&Rc<Upload>> {
        match self {
            RequestBody::Buffered(_) => None,
            RequestBody::Streaming(upload) => Some(upload),
        }
    }

    /// True if some of its bytes have not arrived yet.
    pub fn is_incomplete(&self) -> bool {
        self.upload().is_some_and(|upload| upload.completed_at().is_none())
    }
}

/// A request that the client connection has received and checked.
#[derive(Debug)]
pub struct ClientRequest {
    /// The id that the client gave the request, as a number.
    pub id: u64,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    /// How long the client waits, counted from `arrived`.
    pub time_left: Seconds,
    pub arrived: Instant,
    pub forwarded: ForwardedRequest,
}

/// The single final response to a request.
#[derive(Debug)]
pub enum FinalResponse {
    /// A server's response.
    Served(OutgoingBody),
    /// Rejected: it was never executed, so the client may safely retry, preferably after this delay.
    RetryLater(Seconds),
    /// Failed; it may have been executed.
    Failed,
    /// Rejected: another request has the same id.
    IdInUse,
}

/// A message to the balancer.
pub enum Message {
    /// A client's request, which must get exactly one final response.
    Request {
        id: RequestId,
        request: ClientRequest,
        reply: oneshot::Sender<FinalResponse>,
    },
    /// The client of a request has disconnected.
    Withdrawn(RequestId),
    AttemptEnded(AttemptResult),
    ProbeEnded {
        endpoint: EndpointId,
        outcome: Outcome,
        rtt: Seconds,
        report: LoadReport,
    },
    /// Discovery has sent a list.
    ListUpdated(ServerList),
    /// A call to discovery has failed; the list is no longer watched.
    ListCallFailed,
    /// Requests the current list, for a successor.
    GetList(oneshot::Sender<ServerList>),
    /// The last byte of a request's body has arrived.
    BodyReceived(RequestId),
    /// New settings. The reply contains the names that clients may use from now on.
    ApplySettings {
        settings: Box<NamedSettings>,
        reply: oneshot::Sender<Result<AcceptedNames, ApplySettingsError>>,
    },
}

/// How one attempt ended.
pub struct AttemptResult {
    pub key: AttemptKey,
    pub endpoint: EndpointId,
    pub outcome: Outcome,
    /// The time from the start of the attempt, or from the last byte of a streamed request body if that is later, to the
    /// head of a successful response or else to the outcome.
    pub rtt: Seconds,
    pub report: LoadReport,
    pub body: OutgoingBody,
}

/// Identifies an attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptKey {
    pub request: RequestId,
    pub attempt: AttemptNumber,
}

/// A message to the actor of a server.
pub enum ServerMessage {
    /// The endpoint list has updated the server.
    StatusChanged(EndpointStatus),
    /// The server was removed from the endpoint list.
    Removed,
    /// The actor is to end; no message follows.
    Shutdown,
    Attempt {
        guard: AttemptGuard,
        forwarded: Rc<ForwardedRequest>,
        deadline: Instant,
    },
    Probe(ProbeGuard),
    Cancel(AttemptKey),
    /// Closes the idle connections.
    CloseIdle,
    LimitsChanged(ConnectionLimits),
    /// An attempt or probe has ended, or the large response of an ended attempt has been read completely.
    ConnectionFreed {
        /// The attempt that has ended; none for a probe or a large response.
        attempt: Option<AttemptKey>,
        /// Its connection, if that can carry a further request.
        connection: Option<OutboundConnection>,
        /// The address that the connection leads to.
        addr: SocketAddr,
    },
}

/// The timeouts of connections to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    pub connect_timeout: Duration,
    /// An idle connection is closed after this, before the server closes it: data written to a connection that the
    /// server has closed is lost.
    pub max_idle: Duration,
}

impl From<&Limits> for ConnectionLimits {
    fn from(limits: &Limits) -> Self {
        Self {
            connect_timeout: duration(limits.connect_timeout),
            max_idle: duration(limits.idle_timeout * IDLE_SHARE),
        }
    }
}

/// The endpoint list's entry for a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointStatus {
    pub addr: SocketAddr,
    pub readiness: Readiness,
    pub started_at: ServerStart,
}

/// Reports exactly one outcome of an attempt. If dropped without one, it reports a reset: the request may have been
/// executed.
pub struct AttemptGuard {
    key: AttemptKey,
    endpoint: EndpointId,
    started: Instant,
    /// When the head of a successful response arrived; none if there was no such response.
    responded_at: Option<Instant>,
    /// Where to report the outcome; none once it is reported.
    balancer: Option<UnboundedSender<Message>>,
}

impl AttemptGuard {
    /// Starts the time of the attempt now.
    pub fn new(key: AttemptKey, endpoint: EndpointId, balancer: UnboundedSender<Message>) -> Self {
        Self { key, endpoint, started: Instant::now(), responded_at: None, balancer: Some(balancer) }
    }

    pub fn key(&self) -> AttemptKey {
        self.key
    }

    /// Sets when the head of the response arrived. The time after that is transfer time, not the server's processing
    /// time.
    pub fn set_responded_at(&mut self, responded_at: Option<Instant>) {
        self.responded_at = responded_at;
    }

    /// Counts the time of the attempt from `start`, if that is later than its current start.
    pub fn set_earliest_start(&mut self, start: Instant) {
        self.started = self.started.max(start);
    }

    /// Reports the outcome.
    pub fn finish(mut self, outcome: Outcome, report: LoadReport, body: OutgoingBody) {
        self.send_result(outcome, report, body);
    }

    fn send_result(&mut self, outcome: Outcome, report: LoadReport, body: OutgoingBody) {
        let Some(balancer) = self.balancer.take() else { return };
        let responded_at = self.responded_at.unwrap_or_else(Instant::now);
        let rtt = responded_at.saturating_duration_since(self.started).as_secs_f64();
        // The balancer is gone only when the process is about to exit.
        let _ = balancer.send(Message::AttemptEnded(AttemptResult {
            key: self.key,
            endpoint: self.endpoint,
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

/// Reports exactly one outcome of a probe. If dropped without one, it reports a reset.
pub struct ProbeGuard {
    endpoint: EndpointId,
    started: Instant,
    /// Where to report the outcome; none once it is reported.
    balancer: Option<UnboundedSender<Message>>,
}

impl ProbeGuard {
    pub fn new(endpoint: EndpointId, balancer: UnboundedSender<Message>) -> Self {
        Self { endpoint, started: Instant::now(), balancer: Some(balancer) }
    }

    /// Reports the outcome.
    pub fn finish(mut self, outcome: Outcome, report: LoadReport) {
        self.send_result(outcome, report);
    }

    fn send_result(&mut self, outcome: Outcome, report: LoadReport) {
        let Some(balancer) = self.balancer.take() else { return };
        let rtt = self.started.elapsed().as_secs_f64();
        let _ = balancer.send(Message::ProbeEnded { endpoint: self.endpoint, outcome, rtt, report });
    }
}

impl Drop for ProbeGuard {
    fn drop(&mut self) {
        self.send_result(Outcome::Reset, LoadReport::default());
    }
}
