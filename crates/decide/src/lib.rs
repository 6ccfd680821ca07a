//! Every decision of the client proxy: which server a request goes to, whether it is sent again, and what is rejected.
//!
//! A host hands in events with their instants, and carries out the actions that come back ([`interface`]). Nothing here
//! does I/O, reads a clock or draws from the system: instants and a seed are the host's. The decisions stand in `policy`,
//! what they remember in `state`, and what outlives the process in `learned_values`.

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
