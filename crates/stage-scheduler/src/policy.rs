//! The targets of the stage scheduler, and its delays.

use mosshead_time::Duration;

/// Targets and delays of the stage scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StagePolicy {
    /// The share of a service's model servers that run prefill, from 0 to 1.
    pub prefill_share: f64,
    /// The fewest servers of a service that run decode. A service with no more servers than this still runs one prefill
    /// server, if it has two servers at least.
    pub min_decode_servers: usize,
    /// How long the number of prefill servers has to differ from its target by more than one before servers are
    /// reassigned.
    pub imbalance_delay: Duration,
    /// The same for a difference of one server. It is longer, since such differences come and go while servers are
    /// replaced, and each assignment costs requests in flight.
    pub single_server_imbalance_delay: Duration,
    /// How long after an assignment the server gets no other.
    pub reassignment_cooldown: Duration,
    /// The most assignments for one service by one call of
    /// [`StageScheduler::due_assignments`](crate::StageScheduler::due_assignments).
    pub max_assignments_at_once: usize,
}

impl StagePolicy {
    /// How many servers of a service with `server_count` servers are to run prefill; none if there is only one.
    pub fn target_prefill_servers(&self, server_count: usize) -> usize {
        if server_count < 2 {
            return 0;
        }
        let max_prefill = server_count.saturating_sub(self.min_decode_servers).max(1);
        let target = (server_count as f64 * self.prefill_share).round() as usize;
        target.clamp(1, max_prefill)
    }

    /// How long the number of prefill servers has to differ from its target by `imbalance` before servers are reassigned.
    pub(crate) fn delay_for(&self, imbalance: usize) -> Duration {
        if imbalance > 1 { self.imbalance_delay } else { self.single_server_imbalance_delay }
    }
}

impl Default for StagePolicy {
    fn default() -> Self {
        Self {
            prefill_share: 0.75,
            min_decode_servers: 2,
            imbalance_delay: Duration::from_millis(300),
            single_server_imbalance_delay: Duration::from_millis(4_000),
            reassignment_cooldown: Duration::from_millis(8_000),
            max_assignments_at_once: 3,
        }
    }
}
