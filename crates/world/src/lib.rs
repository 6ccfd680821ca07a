//! The platform as a pure model: booking servers, discovery, the network, clients, troubles, and the referee.
//!
//! No sockets, no clock, no threads. A host hands over instants and what the proxies do; it is told what
//! reaches them. Every draw comes from the seed, so the same calls lead to the same day to the byte.
//!
//! - [`scenario`] reads a day's description; [`World`] plays it; [`server`] and [`discovery`] are its parts.
//! - [`facts`] is the record of what crossed the wire; [`referee`] judges by it alone; [`ledger`] counts worth.

pub mod clients;
pub mod discovery;
pub mod draws;
pub mod facts;
pub mod ledger;
pub mod queue;
pub mod referee;
pub mod scenario;
pub mod server;
pub mod trouble;
mod world;

/// Figures with their units.
pub use mosshead_units as units;
pub use mosshead_units::Time;
pub use world::{
    Change, Conn, Input, Job, JobNo, Listed, Opening, Output, ServerNo, Shown, State, True, Ways, World,
};
