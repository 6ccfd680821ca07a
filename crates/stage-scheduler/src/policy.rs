//! What the stage scheduler aims at, and how fast.

use mosshead_time::Duration;

/// Targets and delays of the stage scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StagePolicy {
    /// The share of a service's model servers that run prefill, from 0 to 1.
    pub prefill_share: f64,
    /// At least so many servers run decode, in a service that has at least one server more.
    pub min_decode_servers: usize,
    /// How long the share has to be off before servers are reassigned.
    pub imbalance_delay: Duration,
    /// The same for a share that is off by one server only: that comes and goes while servers are replaced, and each
    /// assignment costs requests in flight.
    pub single_server_imbalance_delay: Duration,
    /// For so long after an assignment the same server gets no other.
    pub reassignment_cooldown: Duration,
    /// Bound of the assignments to one service's servers in one call.
    pub max_assignments_at_once: usize,
}

impl StagePolicy {
    /// How many of a service's servers are to run prefill; none if there is only one.
    pub fn target_prefill_servers(&self, servers: usize) -> usize {
        if servers < 2 {
            return 0;
        }
        let max_prefill = servers.saturating_sub(self.min_decode_servers).max(1);
        let target = (servers as f64 * self.prefill_share).round() as usize;
        target.clamp(1, max_prefill)
    }

    /// How long the number of prefill servers has to be off by `imbalance` before servers are reassigned.
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
