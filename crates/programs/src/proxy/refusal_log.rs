//! The log line about requests that the proxy itself refused because of a limit.

use std::cell::Cell;

use mosshead_data_plane::Counters;
use mosshead_time::Instant;

use crate::log_limit::LogLimit;

/// The kinds of refusals, with their codes in docs/codes.md.
const CODES: [&str; 5] = ["R01", "R02", "R03", "R04", "R05"];

/// The number of refusals of each kind, in the order of their codes.
pub type RefusalCounts = [u64; CODES.len()];

/// The refusals since the start of the process.
pub(super) fn refusal_counts(counters: &Counters) -> RefusalCounts {
    [
        counters.oversized_heads.get(),
        counters.late_heads.get(),
        counters.oversized_bodies.get(),
        counters.late_bodies.get(),
        counters.bodies_without_memory.get(),
    ]
}

/// Makes a line if there are new refusals and the last line is old enough.
#[derive(Debug, Default)]
pub struct RefusalLog {
    limit: LogLimit,
    logged: Cell<RefusalCounts>,
}

impl RefusalLog {
    /// The value of the line's field `counts`: each code with the number of refusals since the last line. `None` if there
    /// is nothing to log now.
    pub fn line(&self, now: Instant, counts: RefusalCounts) -> Option<String> {
        let logged = self.logged.get();
        if counts == logged || self.limit.admit(now).is_none() {
            return None;
        }
        self.logged.set(counts);
        let kinds = CODES.iter().zip(counts).zip(logged);
        let new = kinds.filter(|((_, count), before)| count > before);
        let fields: Vec<String> =
            new.map(|((code, count), before)| format!("{code}:{}", count - before)).collect();
        Some(fields.join(","))
    }
}
