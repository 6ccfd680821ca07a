//! The rules for an attempt that is written: each function checks one.

use super::request_record::{Execution, RequestRecord};
use super::rules::{Finding, Rule};
use crate::Time;
use crate::scenario::{RepeatEffect, Scenario};

/// What a scenario allows attempts.
pub(super) struct AttemptLimits {
    max_attempts: usize,
    allows_hedging: bool,
    write_grace: Time,
    /// How long servers drop repeats of a request, by class.
    deduplication_windows: Vec<Time>,
}

/// An attempt that has just been written, before it is on the record of its request.
pub(super) struct WrittenAttempt {
    pub(super) at: Time,
    pub(super) is_intact: bool,
    pub(super) deduplication_group: usize,
}

impl AttemptLimits {
    pub(super) fn new(scenario: &Scenario) -> Self {
        Self {
            max_attempts: scenario.proxy.max_attempts as usize,
            allows_hedging: scenario.proxy.allows_hedging,
            write_grace: scenario.rules.write_grace,
            deduplication_windows: scenario.classes.iter().map(|class| class.deduplication_window).collect(),
        }
    }

    /// Checks all rules for an attempt.
    pub(super) fn check(&self, record: &RequestRecord, attempt: &WrittenAttempt) -> Vec<Finding> {
        let findings = [
            self.check_deduplication(record, attempt),
            check_unchanged(attempt),
            check_unsafe_repeat(record),
            self.check_count(record),
            self.check_hedging(record),
            self.check_response(record, attempt),
        ];
        findings.into_iter().flatten().collect()
    }

    /// A keyed request is repeated only where and while its repeat is dropped.
    fn check_deduplication(&self, record: &RequestRecord, attempt: &WrittenAttempt) -> Option<Finding> {
        if record.effect != RepeatEffect::Keyed {
            return None;
        }
        let first = record.first_possible_execution()?;
        let is_late = attempt.at > first.written_at + self.deduplication_windows[record.class];
        let description = match (first.deduplication_group == attempt.deduplication_group, is_late) {
            (false, _) => "sent again where nobody drops its repeat",
            (true, true) => "sent again after its repeat is dropped",
            (true, false) => return None,
        };
        Some(Finding::new(Rule::NoRepeatedExecution, description))
    }

    /// There are not too many attempts.
    fn check_count(&self, record: &RequestRecord) -> Option<Finding> {
        let number = record.attempts.len() + 1;
        let description = format!("attempt {number} of at most {}", self.max_attempts);
        (number > self.max_attempts).then(|| Finding::new(Rule::AttemptLimit, description))
    }

    /// There is no second attempt in flight where hedging is not allowed.
    fn check_hedging(&self, record: &RequestRecord) -> Option<Finding> {
        let is_hedged = record.has_attempt(Execution::InFlight);
        (is_hedged && !self.allows_hedging)
            .then(|| Finding::new(Rule::AttemptLimit, "a second copy beside one that is still out"))
    }

    /// Nothing is written once the request has its response.
    fn check_response(&self, record: &RequestRecord, attempt: &WrittenAttempt) -> Option<Finding> {
        let (response, since) = record.response?;
        // What a proxy wrote before it was killed can arrive after the kill has ended its client's connection.
        if record.is_broken_by_kill(response) || attempt.at <= since + self.write_grace {
            return None;
        }
        let description = format!("sent {} after its answer, {response}", attempt.at - since);
        Some(Finding::new(Rule::NothingAfterResponse, description))
    }
}

/// The attempt is what the client sent.
fn check_unchanged(attempt: &WrittenAttempt) -> Option<Finding> {
    (!attempt.is_intact)
        .then(|| Finding::new(Rule::RequestUnchanged, "an attempt differs from what the client sent"))
}

/// A request that must not be executed twice is not repeated once it may have been executed.
fn check_unsafe_repeat(record: &RequestRecord) -> Option<Finding> {
    let is_repeat = record.effect == RepeatEffect::Unsafe && record.may_have_been_executed();
    is_repeat.then(|| {
        Finding::new(Rule::NoRepeatedExecution, "sent again although an earlier attempt may have run")
    })
}
