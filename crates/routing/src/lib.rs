//! Decisions of the data plane: which server reads a prompt and which one generates, whether a request is sent once more,
//! what is refused. No I/O, no clock: instants are milliseconds that the host hands in.

mod endpoint_table;
mod outlier;
mod retry_budget;
mod router;

pub use endpoint_table::{Endpoint, EndpointTable, LoadKind};
pub use outlier::{OutlierRecord, ServerFailure};
pub use retry_budget::{RetryBudget, RetryBudgetLimits};
pub use router::{Prompt, Router, RoutingWeights, ServerPair};

/// An instant or a span, in milliseconds.
pub type Millis = u64;
