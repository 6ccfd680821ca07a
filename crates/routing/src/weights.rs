//! The weights that routing decisions are made with.

use mosshead_time::Duration;

use crate::retry_budget::RetryBudgetLimits;

/// The weights that routing decisions are made with.
#[derive(Clone, Copy, Debug)]
pub struct RoutingWeights {
    /// The retry budget that all proxies share.
    pub retry_budget: RetryBudgetLimits,
    /// Prompt tokens that a prefill server processes in a millisecond; a decode server processes half as many.
    pub prefill_tokens_per_milli: f64,
    /// What one stream in flight at a decode server weighs, in prompt tokens.
    pub stream_weight_tokens: f64,
    /// What the transfer of a KV cache costs at least, in milliseconds.
    pub min_transfer_millis: f64,
    /// What a shared prompt token weighs at a server that has not cached it, in unshared prompt tokens.
    pub recomputed_token_weight: f64,
    /// What it costs to leave a zone, in streams in flight.
    pub cross_zone_streams: f64,
    /// The load of a server is queried again once its last report is this old.
    pub load_report_refresh: Duration,
    /// A load report counts for this long.
    pub load_report_lifetime: Duration,
    /// A prompt with more unshared tokens is not prefilled by a decode server.
    pub max_prefill_tokens_beside_decode: f64,
    /// A prompt that may generate more tokens is not prefilled by a decode server either: its stream would be delayed by the
    /// prefills of others.
    pub max_output_tokens_beside_decode: f64,
    /// The share of the decode servers that only take streams whose prompt was prefilled elsewhere.
    pub handover_decode_share: f64,
}

impl RoutingWeights {
    /// This retry budget, and what was measured on the operators' deployments.
    pub fn new(retry_budget: RetryBudgetLimits) -> Self {
        Self {
            retry_budget,
            prefill_tokens_per_milli: 60.0,
            stream_weight_tokens: 100.0,
            min_transfer_millis: 12.0,
            recomputed_token_weight: 2.0,
            cross_zone_streams: 2.0,
            load_report_refresh: Duration::from_millis(70),
            load_report_lifetime: Duration::from_millis(400),
            max_prefill_tokens_beside_decode: 4500.0,
            max_output_tokens_beside_decode: 60.0,
            handover_decode_share: 0.4,
        }
    }
}
