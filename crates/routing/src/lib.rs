//! Routing decisions of the data plane: which server prefills a prompt and which one decodes it, whether an attempt may
//! be retried, and which servers are ejected as outliers.
//!
//! A prefill server computes the KV cache of a prompt and returns a *handle*, with which a decode server fetches that
//! cache; this is a *handover*. A decode server can also prefill a prompt itself (*local* prefill, in contrast to
//! *remote*). Each shared prompt prefix has two *home* servers, the same for every proxy: prompts with that prefix are
//! sent to them, so that they hit the prefix cache.
//!
//! When a server is selected for a prefill, costs are compared in prompt tokens. When a decode server is selected, or a
//! server for a request without a prompt, they are compared in streams in flight. The conversion rate between the two
//! units depends on the decision.
//!
//! The crate does no I/O and reads no clock: the caller passes in each [`Instant`](mosshead_time::Instant) and reports
//! the results of its attempts.

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
mod retry_share;
mod router;
mod shutdown;
mod start_latency;
mod weights;

pub use endpoint::Endpoint;
pub use endpoint_table::EndpointTable;
pub use low_discrepancy::LowDiscrepancySequences;
pub use outlier::{OutlierRecord, ServerFailure};
pub use prompt::{Prompt, PromptPart, ServerPair};
pub use retry_budget::{RetryBudget, RetryBudgetLimits};
pub use router::Router;
pub use shutdown::ShutdownSchedule;
pub use start_latency::LearnedLatencies;
pub use weights::RoutingWeights;
