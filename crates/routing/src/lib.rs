//! Decisions of the data plane: which server reads a prompt and which one generates, whether a request is sent once more,
//! what is refused. No I/O, no clock: instants are milliseconds that the host hands in.

mod board;
mod budget;
mod evidence;
mod plan;

pub use board::{Endpoint, EndpointTable, LoadKind};
pub use budget::{RetryBudget, RetryBudgetLimits};
pub use evidence::{OutlierRecord, ServerFailure};
pub use plan::{Prompt, Router, RoutingWeights, ServerPair};

/// An instant or a span, in milliseconds.
pub type Millis = u64;
