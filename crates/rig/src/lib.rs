//! Fleets of real processes with faults between them.
//!
//! A day of the emulator is played against many processes of the program, and every way between one of them and
//! a stand-in leads through a link that this package holds ([`links`]): it can be cut in one direction or both, go
//! silent without a close, be slow, narrow, deaf, or be reset. What crossed the links is recorded as it crossed
//! ([`link_record`]), with the starts and ends of processes on the same time line, and the checkers ([`invariants`],
//! [`full_service`]) read that record alone, never a program's word.

pub mod fleet_day;
pub mod full_service;
pub mod invariants;
pub mod link_record;
pub mod links;

pub use fleet_day::{FleetDay, VirtualDay, grown, play, play_virtual, sized};
