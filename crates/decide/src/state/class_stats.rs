//! Learned statistics of request classes, kinds of machine and zones.

use std::collections::VecDeque;

use super::statistics::Mean;
use crate::interface::{Class, Seconds};

/// The initial estimate of the number of service times that fit into the latency target of a class.
pub(super) const SERVICE_TIMES_PER_TARGET: f64 = 6.0;
/// The maximum number of unserved requests that are remembered for each class.
const MAX_UNSERVED: usize = 1024;

/// Statistics of a class.
#[derive(Clone, Debug)]
pub(crate) struct ClassStats {
    /// The mean service time without queueing.
    pub(crate) service_time: Mean,
    /// The time left, in seconds, that first attempts of this class usually arrive with.
    pub(crate) usual_time_left: Seconds,
    /// The confidence in `usual_time_left`: requests that agree with it raise it, others lower it.
    pub(crate) usual_votes: f64,
    /// The times of the first attempts of requests that recently ended unserved, in the order in which they ended.
    unserved_first_attempts: VecDeque<Seconds>,
}

impl ClassStats {
    /// Initial estimates, used until there are responses.
    pub(crate) fn new(class: &Class) -> Self {
        Self {
            service_time: Mean::new(class.latency_target / SERVICE_TIMES_PER_TARGET, 1.0),
            usual_time_left: class.deadline,
            usual_votes: 0.0,
            unserved_first_attempts: VecDeque::new(),
        }
    }

    /// Records that a request ended unserved. Clients do not retry requests whose first attempt is older than
    /// `max_age`.
    pub(crate) fn record_unserved(&mut self, first_attempt_at: Seconds, max_age: Seconds) {
        let is_full = self.unserved_first_attempts.len() >= MAX_UNSERVED;
        if is_full
            || self.unserved_first_attempts.front().is_some_and(|oldest| *oldest < first_attempt_at - max_age)
        {
            self.unserved_first_attempts.pop_front();
        }
        self.unserved_first_attempts.push_back(first_attempt_at);
    }

    /// Returns true if a request whose first attempt was at about this time ended unserved.
    pub(crate) fn has_unserved(&self, first_attempt_at: Seconds, tolerance: Seconds) -> bool {
        self.unserved_first_attempts.iter().any(|other| (other - first_attempt_at).abs() <= tolerance)
    }
}

/// Statistics of a kind of machine.
#[derive(Clone, Debug)]
pub(crate) struct MachineKindStats {
    /// The number of requests that a server processes at once.
    pub(crate) slots: Mean,
    /// The natural logarithm of the ratio of its response times to the expected ones.
    pub(crate) log_slowness: Mean,
}

impl Default for MachineKindStats {
    fn default() -> Self {
        Self { slots: Mean::new(1.0, 0.0), log_slowness: Mean::default() }
    }
}

/// Statistics of a zone: either of its reserved servers or of all others.
#[derive(Clone, Debug)]
pub(crate) struct ZoneStats {
    /// The mean of `ln(1 + load)`, where `load` is the load of other clients per unit of capacity. A server without a
    /// report is assumed to have this load.
    pub(crate) log_load: Mean,
    /// When a server of the zone last responded or reported.
    pub(crate) last_contact_at: Seconds,
}
