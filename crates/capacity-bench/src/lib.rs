//! Hollow processes: the real state machines of the fleet's roles without traffic, many in one process, in virtual time.
//!
//! Counted are messages and bytes between processes, the processor time of the state machines' calls (real) and
//! the resident memory that they take. One table a part, with the slope through all of its sizes.

pub mod configuration;
pub mod control_state;
pub mod counter;
pub mod fleet;
pub mod listing;
pub mod membership;
pub mod memory;
pub mod pool;
mod pulls;
pub mod registry;
pub mod slope;
pub mod table;
