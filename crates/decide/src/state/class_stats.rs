//! What has been learned of request classes, kinds of machine and zones.

use std::collections::VecDeque;

use super::statistics::Mean;
use crate::interface::{Class, Seconds};

/// How many service times the latency target of a class allows, as a first guess.
pub(super) const TARGET_SERVICE_TIMES: f64 = 6.0;
/// How many requests that ended unserved are remembered for each class.
const MAX_UNSERVED: usize = 1024;

/// What has been learned of a class.
#[derive(Clone, Debug)]
pub(crate) struct ClassStats {
    /// The mean service time without queueing.
    pub(crate) service_time: Mean,
    /// The time that clients commonly grant a first attempt.
    pub(crate) usual_time_left: Seconds,
    /// How sure that is: requests that agree raise it, others lower it.
    pub(crate) usual_votes: f64,
    /// The first attempts of the requests that recently ended unserved, oldest first.
    unserved_since: VecDeque<Seconds>,
}

impl ClassStats {
    /// Guesses until there are responses.
    pub(crate) fn new(class: &Class) -> Self {
        Self {
            service_time: Mean::new(class.latency_target / TARGET_SERVICE_TIMES, 1.0),
            usual_time_left: class.deadline,
            usual_votes: 0.0,
            unserved_since: VecDeque::new(),
        }
    }

    /// Records that a request ended unserved. Clients do not retry one whose first attempt is older than `max_age`.
    pub(crate) fn record_unserved(&mut self, first_attempt_at: Seconds, max_age: Seconds) {
        let is_full = self.unserved_since.len() >= MAX_UNSERVED;
        if is_full || self.unserved_since.front().is_some_and(|oldest| *oldest < first_attempt_at - max_age) {
            self.unserved_since.pop_front();
        }
        self.unserved_since.push_back(first_attempt_at);
    }

    /// Whether a request whose first attempt was at about this time ended unserved.
    pub(crate) fn has_unserved(&self, first_attempt_at: Seconds, tolerance: Seconds) -> bool {
        self.unserved_since.iter().any(|other| (other - first_attempt_at).abs() <= tolerance)
    }
}

/// What has been learned of a kind of machine.
#[derive(Clone, Debug)]
pub(crate) struct MachineKindStats {
    /// How many requests a server processes at once.
    pub(crate) slots: Mean,
    /// The natural logarithm of how its response times compare with the expected ones.
    pub(crate) log_slowness: Mean,
}

impl Default for MachineKindStats {
    fn default() -> Self {
        Self { slots: Mean::new(1.0, 0.0), log_slowness: Mean::default() }
    }
}

/// What has been learned of a zone, or of its servers that are reserved for some class.
#[derive(Clone, Debug)]
pub(crate) struct ZoneStats {
    /// `ln(1 + load)` of others' load per unit of capacity, which a server without a report is assumed to have.
    pub(crate) log_load: Mean,
    /// When a server of the zone last responded or reported.
    pub(crate) last_contact_at: Seconds,
}
