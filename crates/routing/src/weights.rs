//! The weights that routing decisions are made with.

use mosshead_time::Duration;

use crate::retry_budget::RetryBudgetLimits;

/// The weights that routing decisions are made with.
#[derive(Clone, Copy, Debug)]
pub struct RoutingWeights {
    /// The retry budget that all proxies share.
    pub retry_budget: RetryBudgetLimits,
    /// What one stream in flight at a decode server weighs, in prompt tokens.
    pub stream_weight_tokens: f64,
    /// What a shared prompt token weighs at a server that has not cached it, in unshared prompt tokens.
    pub recomputed_token_weight: f64,
    /// What it costs to leave a zone, in streams in flight.
    pub cross_zone_streams: f64,
    /// The load of a server is queried again once its last report is this old.
    pub load_report_refresh: Duration,
    /// A load report counts for this long.
    pub load_report_lifetime: Duration,
}

impl RoutingWeights {
    /// This retry budget, and what was measured on the operators' deployments.
    pub fn new(retry_budget: RetryBudgetLimits) -> Self {
        Self {
            retry_budget,
            stream_weight_tokens: 100.0,
            recomputed_token_weight: 2.0,
            cross_zone_streams: 2.0,
            load_report_refresh: Duration::from_millis(70),
            load_report_lifetime: Duration::from_millis(400),
        }
    }
}
