//! Decisions of the data plane: which server prefills a prompt and which one decodes it, whether an attempt may be
//! retried, and which servers are ejected as outliers.
//!
//! A prefill server computes the KV cache of a prompt and gives out a *handle*, by which a decode server fetches that cache;
//! the request is then *handed over*. A decode server may also prefill a prompt itself (*local* prefill, in contrast to
//! *remote*). Two prefill servers are the *homes* of a prompt's shared prefix: prompts with the same prefix go to them from
//! every proxy, so that they find it in the prefix cache.
//!
//! Costs are compared in two units, with a rate of exchange that depends on what is compared: prompt tokens (while a server
//! for a prefill is selected) and streams in flight (for a decode server, or for a request without a prompt).
//!
//! No I/O and no clock: the host hands in each [`Instant`](mosshead_time::Instant) and reports what its attempts showed.

mod affinity;
mod endpoint;
mod endpoint_table;
mod linear_fit;
mod load_kind;
mod low_discrepancy;
mod outlier;
mod p2c;
mod pairing;
mod prompt;
mod retry_budget;
mod router;
mod start_latency;
mod weights;

pub use endpoint::Endpoint;
pub use endpoint_table::EndpointTable;
pub use low_discrepancy::LowDiscrepancySequences;
pub use outlier::{OutlierRecord, ServerFailure};
pub use prompt::{Prompt, PromptPart, ServerPair};
pub use retry_budget::{RetryBudget, RetryBudgetLimits};
pub use router::Router;
pub use start_latency::LearnedLatencies;
pub use weights::RoutingWeights;
