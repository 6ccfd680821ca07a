//! The programs of the fleet: what each one is put together from. Thin: the planes are libraries of their own.

pub mod calls;
pub mod command;
pub mod config_transfer;
pub mod control_api;
pub mod control_node;
pub mod gossip;
pub mod limits;
pub mod logging;
pub mod proxy;
pub mod send_queues;
pub mod settings;
pub mod stage_orders;
pub mod update_watcher;
