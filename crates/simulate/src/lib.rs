//! The virtual-time host: any number of balancers over the [`mosshead_world::World`], their mail as the
//! interface has it, and beside ours the policies that users know.
//!
//! A day depends on its scenario, its seed and the policy alone: not on threads, processes, or the machine.

pub mod brains;
pub mod day;
mod host;
pub mod platform;
pub mod policies;

pub use day::{Day, DayError, Listener, play};
