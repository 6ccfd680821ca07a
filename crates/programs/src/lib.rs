//! The programs of the fleet, `mosshead-router` and `mosshead-control`: the processes, sockets, settings and logs
//! around the libraries that contain the decision logic.

pub mod calls;
mod clock;
pub mod command;
pub mod config_transfer;
pub mod control_api;
mod control_node;
pub mod control_process;
mod gossip;
pub mod limits;
pub mod log_limit;
mod logging;
pub mod process;
pub mod proxy;
pub mod send_queues;
mod server_call;
pub mod server_reports;
pub mod settings;
pub mod stage_orders;
pub mod update_watcher;
