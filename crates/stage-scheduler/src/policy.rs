//! Targets and delays of the stage scheduler.

use mosshead_time::Duration;

/// Targets and delays of the stage scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StagePolicy {
    /// Lower bound on the share of a service's model servers that run prefill, from 0 to 1.
    pub min_prefill_share: f64,
    /// Upper bound on this share. Decode servers also fetch KV caches, one at a time, and their reports don't show that
    /// work.
    pub max_prefill_share: f64,
    /// Until there is enough work for an estimate, one server runs prefill per this many slots of decode servers.
    pub initial_slots_per_prefill_server: f64,
    /// The share is kept while the utilization of both stages is below this. A server that changes its stage is
    /// unavailable for a while and loses its cache, which does not pay off while servers are idle.
    pub min_utilization_to_rebalance: f64,
    /// The share is kept while the demand asks for one that differs by no more than this.
    pub share_hysteresis: f64,
    /// How long the demand must have asked for another share before the share changes.
    pub demand_persistence: Duration,
    /// Upper bound on one change of the share.
    pub max_share_step: f64,
    /// How long the share is kept after a change, until the reports show the effect of that change.
    pub share_settling_time: Duration,
    /// Lower bound on the number of decode servers of a service. A service with no more servers than this still runs
    /// one prefill server if it has at least two servers.
    pub min_decode_servers: usize,
    /// How long the number of prefill servers must have differed from its target by more than one before servers are
    /// reassigned.
    pub imbalance_delay: Duration,
    /// The same for a difference of one server. It is longer, because such differences come and go while servers are
    /// replaced, and each assignment costs requests in flight.
    pub single_server_imbalance_delay: Duration,
    /// Minimum time between two assignments to the same server.
    pub reassignment_cooldown: Duration,
    /// Upper bound on the assignments for one service in one call of
    /// [`StageScheduler::due_assignments`](crate::StageScheduler::due_assignments).
    pub max_assignments_at_once: usize,
}

impl StagePolicy {
    /// How many of a service's `server_count` servers should run prefill at this share. Zero if there are fewer than
    /// two servers.
    pub fn target_prefill_servers(&self, server_count: usize, prefill_share: f64) -> usize {
        if server_count < 2 {
            return 0;
        }
        let max_prefill = server_count.saturating_sub(self.min_decode_servers).max(1);
        let target = (server_count as f64 * self.bounded_share(prefill_share)).round() as usize;
        target.clamp(1, max_prefill)
    }

    /// The initial share of prefill servers, for servers with this many slots.
    pub fn initial_prefill_share(&self, slots: u32) -> f64 {
        let slots = f64::from(slots.max(1));
        self.bounded_share(slots / (slots + self.initial_slots_per_prefill_server))
    }

    /// Clamps the share to its bounds.
    pub(crate) fn bounded_share(&self, prefill_share: f64) -> f64 {
        prefill_share.max(self.min_prefill_share).min(self.max_prefill_share)
    }

    /// True if servers may change their stage while the busier stage has this utilization.
    pub(crate) fn is_worth_rebalancing(&self, max_utilization: f64) -> bool {
        max_utilization >= self.min_utilization_to_rebalance
    }

    /// How long the number of prefill servers must have differed from its target by `imbalance` before servers are
    /// reassigned.
    pub(crate) fn delay_for(&self, imbalance: usize) -> Duration {
        if imbalance > 1 { self.imbalance_delay } else { self.single_server_imbalance_delay }
    }
}

impl Default for StagePolicy {
    fn default() -> Self {
        Self {
            min_prefill_share: 0.2,
            max_prefill_share: 0.75,
            initial_slots_per_prefill_server: 16.0,
            min_utilization_to_rebalance: 0.6,
            share_hysteresis: 0.1,
            demand_persistence: Duration::from_secs(6),
            max_share_step: 0.1,
            share_settling_time: Duration::from_secs(6),
            min_decode_servers: 2,
            imbalance_delay: Duration::from_millis(300),
            single_server_imbalance_delay: Duration::from_millis(4_000),
            reassignment_cooldown: Duration::from_millis(8_000),
            max_assignments_at_once: 3,
        }
    }
}
