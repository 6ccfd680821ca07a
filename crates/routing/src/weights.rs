//! Weights and limits of the routing decisions.

use mosshead_time::Duration;

use crate::retry_budget::RetryBudgetLimits;

/// Weights and limits of the routing decisions.
#[derive(Clone, Copy, Debug)]
pub struct RoutingWeights {
    /// The retry limits of each service, for all proxies together.
    pub retry_budget: RetryBudgetLimits,
    /// The cost of one stream in flight on a decode server, in prompt tokens.
    pub stream_weight_tokens: f64,
    /// The cost of a shared prompt token on a server that has not cached it, in unshared prompt tokens.
    pub recomputed_token_weight: f64,
    /// The cost of crossing zones, in streams in flight.
    pub cross_zone_cost_streams: f64,
    /// A server's load is queried again once its last load report is this old.
    pub load_report_refresh_interval: Duration,
    /// A load report is used for this long.
    pub load_report_lifetime: Duration,
}

impl RoutingWeights {
    /// Creates the default weights with these retry limits.
    pub fn new(retry_budget: RetryBudgetLimits) -> Self {
        Self {
            retry_budget,
            stream_weight_tokens: 100.0,
            recomputed_token_weight: 2.0,
            cross_zone_cost_streams: 2.0,
            load_report_refresh_interval: Duration::from_millis(70),
            load_report_lifetime: Duration::from_millis(400),
        }
    }
}
