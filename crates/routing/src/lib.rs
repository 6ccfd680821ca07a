//! Decisions of the data plane: which server reads a prompt and which one generates, whether a request is sent once more,
//! what is refused. No I/O, no clock: instants are milliseconds that the host hands in.

mod board;
mod budget;
mod evidence;
mod plan;

pub use board::{Board, Candidate, Side};
pub use budget::{Budget, BudgetTerms};
pub use evidence::{Evidence, Fault};
pub use plan::{Ask, Pair, Router, Terms};

/// An instant or a span, in milliseconds.
pub type Millis = u64;
