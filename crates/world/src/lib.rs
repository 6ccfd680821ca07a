//! The platform as a pure model: booking servers, discovery, the network, clients, injected faults, and the referee.
//!
//! It has no sockets, clock or threads. A host passes in instants and the actions of the proxies, and takes out what reaches
//! them. Every random number comes from the seed, so the same calls lead to the same day, to the byte.
//!
//! - [`scenario`] and [`fault`] describe a day; [`World`] plays it; [`server`], [`discovery`] and [`arrivals`] are its parts.
//! - [`events`] is the record of what crossed the wire; [`referee`] checks the rules by it alone; [`scorecard`] counts the value
//!   of what was served.
//! - [`random`] and [`event_queue`] make a day a function of its seed.

pub mod arrivals;
pub mod discovery;
pub mod event_queue;
pub mod events;
pub mod fault;
pub mod random;
pub mod referee;
pub mod scenario;
pub mod scorecard;
pub mod server;
mod world;

/// Quantities with their units.
pub use mosshead_units as units;
pub use mosshead_units::Time;
pub use world::{
    ConnectionId, Handshake, Input, LinkChange, LinkFault, ListEntry, ListResponse, Output, Request,
    RequestId, ServerId, ServerSnapshot, ServerState, World,
};
