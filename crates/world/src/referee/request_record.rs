//! What is on record of single requests.

use std::collections::{HashMap, VecDeque};

use crate::Time;
use crate::events::{AttemptOutcome, ClientResponse, Event};
use crate::scenario::RepeatEffect;
use crate::world::{ConnectionId, RequestId};

/// A request is remembered for this long after its deadline: attempts that it left behind may still be executed.
const MEMORY: Time = Time::from_millis(10_000);

/// What is known of the execution of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Execution {
    /// Nothing: it is in flight.
    InFlight,
    /// It was provably not executed.
    NotExecuted,
    /// It may have been executed.
    Possible,
    /// It was executed, and its response has come.
    Served,
}

impl From<AttemptOutcome> for Execution {
    fn from(outcome: AttemptOutcome) -> Self {
        match outcome {
            AttemptOutcome::Rejected => Execution::NotExecuted,
            AttemptOutcome::Served => Execution::Served,
            AttemptOutcome::Errored | AttemptOutcome::Reset | AttemptOutcome::Corrupted => {
                Execution::Possible
            }
        }
    }
}

/// An attempt that was written completely.
pub(super) struct AttemptRecord {
    pub(super) connection: ConnectionId,
    pub(super) written_at: Time,
    pub(super) deduplication_group: usize,
    pub(super) execution: Execution,
}

/// A request that a proxy received.
pub(super) struct RequestRecord {
    pub(super) proxy: usize,
    pub(super) effect: RepeatEffect,
    pub(super) class: usize,
    pub(super) deadline: Time,
    pub(super) attempts: Vec<AttemptRecord>,
    /// The first response, and when it was sent.
    pub(super) response: Option<(ClientResponse, Time)>,
    /// No response is owed any more: it was sent, the client left early, or the proxy was stopped or suspended.
    pub(super) is_settled: bool,
    /// Its proxy was killed or suspended while it had the request.
    pub(super) is_excused: bool,
    pub(super) executions: u32,
    pub(super) timeline: Vec<Event>,
}

impl RequestRecord {
    /// Whether an attempt may have been executed.
    pub(super) fn may_have_been_executed(&self) -> bool {
        self.first_possible_execution().is_some()
    }

    /// The first attempt that may have been executed.
    pub(super) fn first_possible_execution(&self) -> Option<&AttemptRecord> {
        self.attempts.iter().find(|attempt| attempt.execution != Execution::NotExecuted)
    }

    /// Whether an attempt has this state.
    pub(super) fn has_attempt(&self, execution: Execution) -> bool {
        self.attempts.iter().any(|attempt| attempt.execution == execution)
    }

    /// Whether this response is only that the connection broke because the proxy was killed: no doing of the proxy.
    pub(super) fn is_broken_by_kill(&self, response: ClientResponse) -> bool {
        response == ClientResponse::Aborted && self.is_excused
    }
}

/// The records of the requests of a day, as long as they matter.
#[derive(Default)]
pub(super) struct RequestRecords {
    records: HashMap<RequestId, RequestRecord>,
    /// When records are forgotten, the earliest first.
    expiries: VecDeque<(Time, RequestId)>,
}

impl RequestRecords {
    pub(super) fn get(&self, request: RequestId) -> Option<&RequestRecord> {
        self.records.get(&request)
    }

    pub(super) fn get_mut(&mut self, request: RequestId) -> Option<&mut RequestRecord> {
        self.records.get_mut(&request)
    }

    pub(super) fn insert(&mut self, request: RequestId, record: RequestRecord) {
        self.expiries.push_back((record.deadline + MEMORY, request));
        self.records.insert(request, record);
    }

    /// Forgets the requests that no longer matter at `now`.
    pub(super) fn forget_expired(&mut self, now: Time) {
        while let Some(&(until, request)) = self.expiries.front()
            && until <= now
        {
            self.expiries.pop_front();
            self.records.remove(&request);
        }
    }

    /// Adds an event to the timeline of its request.
    pub(super) fn add_to_timeline(&mut self, event: &Event) {
        if let Some(record) = event.kind.request().and_then(|request| self.records.get_mut(&request)) {
            record.timeline.push(*event);
        }
    }

    /// The first attempt in flight on a connection has ended.
    pub(super) fn end_attempt(&mut self, request: RequestId, connection: ConnectionId, execution: Execution) {
        let Some(record) = self.records.get_mut(&request) else { return };
        let attempt = record
            .attempts
            .iter_mut()
            .find(|attempt| attempt.connection == connection && attempt.execution == Execution::InFlight);
        if let Some(attempt) = attempt {
            attempt.execution = execution;
        }
    }

    /// A proxy owes nothing any more for the requests that it has now: it was stopped or suspended.
    pub(super) fn excuse(&mut self, proxy: usize) {
        let open = self.records.values_mut().filter(|record| record.proxy == proxy && !record.is_settled);
        for record in open {
            record.is_settled = true;
            record.is_excused = true;
        }
    }
}
