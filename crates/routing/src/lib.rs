//! Decisions of the data plane: which server prefills a prompt and which one decodes it, whether an attempt may be
//! retried, and which servers are ejected as outliers.
//!
//! No I/O and no clock: the host hands in each [`Instant`](mosshead_time::Instant) and reports what its attempts showed.

mod affinity;
mod endpoint;
mod endpoint_table;
mod load_kind;
mod outlier;
mod p2c;
mod pairing;
mod prompt;
mod retry_budget;
mod router;
mod weights;

pub use endpoint::Endpoint;
pub use endpoint_table::EndpointTable;
pub use outlier::{OutlierRecord, ServerFailure};
pub use prompt::{Prompt, PromptPart, ServerPair};
pub use retry_budget::{RetryBudget, RetryBudgetLimits};
pub use router::Router;
pub use weights::RoutingWeights;
