//! Fleets of real proxy processes, with faults of the links between them and everything else.
//!
//! A day of the emulator is played against many processes. Each connection between one of them and the emulator
//! leads through a link of this package ([`links`]): it can be cut in one direction or both, be silent without a
//! close, slow, narrow, not accepting, or be reset. What crossed the links is recorded as it crossed
//! ([`link_record`]), with the starts and ends of processes in the same order of time. The checkers
//! ([`invariants`], [`peaks`], [`full_service`]) read that record alone, never what a proxy says of itself.

pub mod fleet_day;
pub mod full_service;
pub mod invariants;
pub mod link_record;
pub mod links;
mod outages;
pub mod peaks;

pub use fleet_day::{
    FleetDay, VirtualFleetDay, play_fleet_day, play_virtual_fleet_day, with_proxies, with_servers_scaled,
};
