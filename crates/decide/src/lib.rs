//! Every decision of the client proxy: which execute node a job goes to, whether it is sent again, what is refused.
//!
//! Nothing here does I/O, reads a clock or draws from the system: a host hands over instants and a seed.

pub mod interface;
mod learned_values;
mod name_table;
pub mod policy;
mod state;

pub use learned_values::{LearnedValue, Subject};
pub use mosshead_comeback::{Stage, Wants};
pub use name_table::NameTable;
pub use policy::Balancer;
