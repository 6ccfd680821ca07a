//! Days in virtual time: any number of simulated proxies over the [`mosshead_world::World`], each with a policy that takes
//! the events of `mosshead_decide` and returns its actions, and well-known policies to compare ours with.
//!
//! A day depends on its scenario, its seed and the policy alone: not on threads, processes, or the machine.

mod day;
pub mod policies;
pub mod policy_host;
pub mod proxy_settings;
mod simulation;

pub use day::{Day, DayError, DayRecorder, EventListener, play_day};
