//! Load balancing for the client proxy: server selection, admission control, retries, hedging and outlier ejection.
//!
//! The crate is a deterministic state machine. Its host passes in events with their times and carries out the returned
//! actions ([`interface`]). It does no I/O, reads no clock and uses no system randomness: the host supplies times and a
//! seed. `policy` makes the decisions, `state` holds the data they use, and `learned_values` exports what the next
//! process may start from.

pub mod interface;
mod learned_values;
mod name_table;
mod policy;
mod recovery;
mod state;

pub use learned_values::{LearnedValue, Subject};
pub use mosshead_recovery::{RecoveryBlocker, RecoveryStage, RecoveryStatus};
pub use name_table::NameTable;
pub use policy::Balancer;
