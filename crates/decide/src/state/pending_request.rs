//! A request without a final response, and its attempts.

use crate::interface::{Action, AttemptNumber, ClassId, EndpointId, Outcome, Request, RequestId, Seconds};

/// One sending of a request to a server.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    pub(crate) sent_at: Seconds,
    /// How long its response was expected to take.
    pub(crate) expected_time: Seconds,
    /// How many times its service time it was expected to take, queueing included; at least 1.
    pub(crate) queue_factor: f64,
    /// How it ended; `None` while it is in flight.
    pub(crate) outcome: Option<Outcome>,
    /// Its outcome proves that it never ran.
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

/// A request to which a final response is owed.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    pub(crate) id: RequestId,
    pub(crate) class: ClassId,
    /// When its latency target ends.
    pub(crate) target_time: Seconds,
    /// When its client gives up.
    pub(crate) deadline: Seconds,
    pub(crate) attempts: Vec<Attempt>,
    /// A streamed response has started: nothing more is sent.
    pub(crate) response_started: bool,
    /// Its body still arrives; its target and deadline count from the last byte.
    pub(crate) body_pending: bool,
    arrived_at: Seconds,
    /// When its client first tried, at this proxy or another one.
    pub(crate) first_attempt_at: Seconds,
    pub(crate) max_attempts: u32,
    /// A random number from 0 to 1 that says which servers in slow start it may go to.
    pub(crate) slow_start_draw: f64,
    /// It avoids servers that are reserved for other classes, while there are others.
    pub(crate) avoids_reserved: bool,
    /// The fraction of its value that remains in view of its tenant's share.
    pub(crate) share_factor: f64,
    /// The pair of servers that was probed for it, and stays its pair.
    pub(crate) probed_pair: Vec<usize>,
    /// All servers that were probed for it.
    pub(crate) probed: Vec<usize>,
    /// How long it may wait for probes.
    pub(crate) probes_until: Seconds,
    /// Probed servers that have not responded yet.
    pub(crate) probes_pending: Vec<usize>,
}

impl PendingRequest {
    /// A request that arrives now, `elapsed` after its client first tried.
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

    /// The last byte of its body has arrived: its times start now.
    pub(crate) fn on_body_received(&mut self, now: Seconds, time_left: Seconds) {
        self.target_time = now + (self.target_time - self.arrived_at);
        self.deadline = now + time_left;
        self.body_pending = false;
    }

    /// The first attempt that may have run.
    pub(crate) fn may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| !attempt.never_ran)
    }

    /// Its attempts in flight, with their numbers.
    pub(crate) fn in_flight(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        self.attempts.iter().enumerate().filter(|(_, attempt)| attempt.outcome.is_none())
    }

    /// Queued requests per slot before its last attempt; 1 if there was none.
    pub(crate) fn queue_per_slot(&self) -> f64 {
        self.attempts.last().map_or(1.0, |attempt| attempt.queue_factor - 1.0)
    }

    /// The action that cancels one of its attempts.
    pub(crate) fn cancel_action(&self, attempt: usize) -> Action {
        Action::Cancel { request: self.id, attempt: AttemptNumber(attempt as u32) }
    }
}
