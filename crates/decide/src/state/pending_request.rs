//! A request without a final answer, and its attempts.

use crate::interface::{Action, AttemptNumber, ClassId, EndpointId, Outcome, Request, RequestId, Seconds};

/// One attempt to run a request at a server.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    pub(crate) sent_at: Seconds,
    /// The response time that was expected when it was sent.
    pub(crate) expected_time: Seconds,
    /// The expected response time including queueing, as a multiple of the service time; at least 1.
    pub(crate) queue_factor: f64,
    /// `None` while it is in flight.
    pub(crate) outcome: Option<Outcome>,
    /// True if its outcome proves that it never ran.
    pub(crate) never_ran: bool,
}

impl Attempt {
    pub(crate) fn new(
        endpoint: EndpointId,
        sent_at: Seconds,
        expected_time: Seconds,
        queue_factor: f64,
    ) -> Self {
        Self { endpoint, sent_at, expected_time, queue_factor, outcome: None, never_ran: false }
    }
}

/// A request that still needs a final answer.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    pub(crate) id: RequestId,
    pub(crate) class: ClassId,
    /// When its latency target expires.
    pub(crate) target_time: Seconds,
    /// When its client gives up.
    pub(crate) deadline: Seconds,
    pub(crate) attempts: Vec<Attempt>,
    /// True once a streamed response has started; no further attempts are sent.
    pub(crate) response_started: bool,
    /// True until its body has arrived completely; then its target and deadline are set anew.
    pub(crate) body_pending: bool,
    arrived_at: Seconds,
    /// When its client made the first attempt, at this proxy or another one.
    pub(crate) first_attempt_at: Seconds,
    pub(crate) max_attempts: u32,
    /// A random number from 0 to 1 that decides which servers in slow start may get it.
    pub(crate) slow_start_draw: f64,
    /// True if it avoids servers that are reserved for other classes, as long as there are others.
    pub(crate) avoids_reserved: bool,
    /// The factor that reduces its value if its tenant exceeds its share; 1 otherwise.
    pub(crate) share_factor: f64,
    /// The pair of servers that was probed for it, from which its server is selected.
    pub(crate) probed_pair: Vec<usize>,
    /// All servers that were probed for it.
    pub(crate) probed: Vec<usize>,
    /// The time until which it may wait for probes.
    pub(crate) probes_until: Seconds,
    /// Probed servers that have not responded yet.
    pub(crate) probes_pending: Vec<usize>,
}

impl PendingRequest {
    /// A request that arrives now, `elapsed` seconds after its client's first attempt.
    pub(crate) fn new(
        now: Seconds,
        request: &Request,
        elapsed: Seconds,
        target_time: Seconds,
        max_attempts: u32,
    ) -> Self {
        Self {
            id: request.id,
            class: request.class,
            target_time,
            deadline: now + request.time_left,
            attempts: Vec::new(),
            response_started: false,
            body_pending: false,
            arrived_at: now,
            first_attempt_at: now - elapsed,
            max_attempts,
            slow_start_draw: 0.0,
            avoids_reserved: false,
            share_factor: 1.0,
            probed_pair: Vec::new(),
            probed: Vec::new(),
            probes_until: now,
            probes_pending: Vec::new(),
        }
    }

    /// Restarts its latency target and deadline when the last byte of its body has arrived.
    pub(crate) fn on_body_received(&mut self, now: Seconds, time_left: Seconds) {
        self.target_time = now + (self.target_time - self.arrived_at);
        self.deadline = now + time_left;
        self.body_pending = false;
    }

    /// The first attempt that may have run, if any.
    pub(crate) fn first_possible_execution(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| !attempt.never_ran)
    }

    /// Its attempts in flight, with their numbers.
    pub(crate) fn in_flight(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        self.attempts.iter().enumerate().filter(|(_, attempt)| attempt.outcome.is_none())
    }

    /// The queued requests per slot that its last attempt was expected to find; 1 without an attempt.
    pub(crate) fn queue_per_slot(&self) -> f64 {
        self.attempts.last().map_or(1.0, |attempt| attempt.queue_factor - 1.0)
    }

    /// The action that cancels one of its attempts.
    pub(crate) fn cancel_action(&self, attempt: usize) -> Action {
        Action::Cancel { request: self.id, attempt: AttemptNumber(attempt as u32) }
    }
}
