//! What the actors hand to each other: mails, and the tickets that owe an outcome. No actor is named here.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use mosshead_decide::interface::*;
use mosshead_settings::NamedSettings;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use crate::body::{Flow, Upload};
use crate::class_table::Terms;
use crate::errors::ApplySettingsError;
use crate::load_report::OutboundConnection;
use mosshead_snapshot::server_list::ServerList;

/// What passes through the proxy unchanged.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) verb: String,
    pub(crate) target: String,
    pub(crate) id: String,
    /// The idempotency key, byte for byte. Danger: without it execute nodes take a repeat for new work.
    pub(crate) key: Option<Bytes>,
    pub(crate) body: Payload,
}

/// A job's body.
#[derive(Debug)]
pub(crate) enum Payload {
    Whole(Bytes),
    Flowing(Rc<Upload>),
}

impl Payload {
    /// The body that still comes.
    pub(crate) fn upload(&self) -> Option<&Rc<Upload>> {
        match self {
            Payload::Whole(_) => None,
            Payload::Flowing(upload) => Some(upload),
        }
    }
}

/// A request, as the submitter's side hands it over.
#[derive(Debug)]
pub(crate) struct Job {
    /// The id that it carries, as a number.
    pub(crate) id: u64,
    pub(crate) class: ClassId,
    pub(crate) tenant: Option<TenantId>,
    /// How long the submitter waits, counted from `arrived`.
    pub(crate) time_left: Seconds,
    pub(crate) arrived: Instant,
    pub(crate) call: Call,
}

/// The one final answer to a job.
#[derive(Debug)]
pub(crate) enum Answer {
    /// An execute node's answer.
    Served(Flow),
    /// A requeue notice: trying again is harmless, best after this long.
    Requeue(Seconds),
    /// Failed; it may have run.
    Failed,
    /// Not taken on: another job has its id.
    IdTaken,
}

/// What comes into the module's mailbox.
pub(crate) enum Mail {
    Job(RequestId, Job, oneshot::Sender<Answer>),
    Withdrawn(RequestId),
    Ended(Ended),
    Probed {
        endpoint: EndpointId,
        outcome: Outcome,
        rtt: Seconds,
        report: LoadReport,
    },
    List(Option<ServerList>),
    /// What is known of the list, for a successor.
    Known(oneshot::Sender<ServerList>),
    /// The last byte of a job's body has come.
    Whole(RequestId),
    /// Other settings, and whom to tell what submitters may name from now on.
    Retune(Box<NamedSettings>, oneshot::Sender<Result<Terms, ApplySettingsError>>),
}

/// The outcome of one attempt.
pub(crate) struct Ended {
    pub(crate) job: RequestId,
    pub(crate) round: AttemptNumber,
    pub(crate) endpoint: EndpointId,
    pub(crate) outcome: Outcome,
    pub(crate) rtt: Seconds,
    pub(crate) report: LoadReport,
    pub(crate) body: Flow,
}

/// What comes into an execute node's mailbox.
pub(crate) enum NodeMail {
    /// The machine list has news of it.
    Told(Told),
    /// The machine list no longer has it.
    Gone,
    /// Nothing follows.
    End,
    Attempt(Ticket, Rc<Call>, Instant),
    Probe(ProbeTicket),
    Cancel(RequestId, AttemptNumber),
    /// Close the idle connections.
    Close,
    /// Other limits are in force.
    Retuned(Seconds, Seconds),
    /// An attempt or probe is over; its connection may be of further use.
    Over(Option<(RequestId, AttemptNumber)>, Option<OutboundConnection>, SocketAddr),
}

/// What the machine list says of an execute node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Told {
    pub(crate) addr: SocketAddr,
    pub(crate) readiness: Readiness,
    pub(crate) started_ms: f64,
}

/// One attempt, which owes exactly one outcome: dropped without one, it was reset and may have run.
pub(crate) struct Ticket {
    pub(crate) job: RequestId,
    pub(crate) round: AttemptNumber,
    endpoint: EndpointId,
    began: Instant,
    done: Option<Instant>,
    home: Option<UnboundedSender<Mail>>,
}

impl Ticket {
    pub(crate) fn new(
        job: RequestId,
        round: AttemptNumber,
        endpoint: EndpointId,
        home: UnboundedSender<Mail>,
    ) -> Self {
        Self { job, round, endpoint, began: Instant::now(), done: None, home: Some(home) }
    }

    /// The node had done its work then: what follows is the way here.
    pub(crate) fn until(&mut self, headed: Option<Instant>) {
        self.done = headed;
    }

    /// The node has had the job since `since` only.
    pub(crate) fn since(&mut self, since: Instant) {
        self.began = self.began.max(since);
    }

    pub(crate) fn settle(mut self, outcome: Outcome, report: LoadReport, body: Flow) {
        self.report(outcome, report, body);
    }

    fn report(&mut self, outcome: Outcome, report: LoadReport, body: Flow) {
        let Some(home) = self.home.take() else { return };
        let Self { job, round, endpoint, .. } = *self;
        let done = self.done.unwrap_or_else(Instant::now);
        let rtt = done.saturating_duration_since(self.began).as_secs_f64();
        // Only a proxy that is about to exit has no module.
        let _ = home.send(Mail::Ended(Ended { job, round, endpoint, outcome, rtt, report, body }));
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.report(Outcome::Reset, LoadReport::default(), Bytes::new().into());
    }
}

/// One probe, which owes exactly one finding.
pub(crate) struct ProbeTicket {
    endpoint: EndpointId,
    began: Instant,
    home: Option<UnboundedSender<Mail>>,
}

impl ProbeTicket {
    pub(crate) fn new(endpoint: EndpointId, home: UnboundedSender<Mail>) -> Self {
        Self { endpoint, began: Instant::now(), home: Some(home) }
    }

    pub(crate) fn settle(mut self, outcome: Outcome, report: LoadReport) {
        self.report(outcome, report);
    }

    fn report(&mut self, outcome: Outcome, report: LoadReport) {
        let Some(home) = self.home.take() else { return };
        let rtt = self.began.elapsed().as_secs_f64();
        let _ = home.send(Mail::Probed { endpoint: self.endpoint, outcome, rtt, report });
    }
}

impl Drop for ProbeTicket {
    fn drop(&mut self) {
        self.report(Outcome::Reset, LoadReport::default());
    }
}
