//! What each role of the fleet costs at each size: the real state machines without requests from clients, many in one process,
//! in virtual time. A fleet is *calm* while nothing in it changes: processes only show that they are alive.
//!
//! Counted are messages and bytes between processes, the (real) processor time of the state machines' calls and the resident
//! memory that they take. Each part has a module that measures it and returns a [`table::Table`], with a line fitted through
//! all sizes: [`control_state`], [`registry`], [`listing`], [`membership`], [`configuration`]. The processes that
//! they measure are simulated in [`consensus_group`], [`registry_fleet`] and [`membership_fleet`].

pub mod configuration;
pub mod consensus_group;
pub mod control_state;
pub mod counter;
mod event_queue;
pub mod listing;
mod machines;
pub mod membership;
pub mod membership_fleet;
pub mod memory;
pub mod registry;
pub mod registry_fleet;
pub mod slope;
pub mod table;
