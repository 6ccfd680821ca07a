//! The programs of the fleet: what each one is put together from. Thin: the planes are libraries of their own.

pub mod calls;
pub mod command;
pub mod config_transfer;
pub mod control;
pub mod core;
pub mod duties;
pub mod gossip;
pub mod limits;
pub mod log;
pub mod message_lanes;
pub mod proxy;
pub mod puller;
pub mod settings;
