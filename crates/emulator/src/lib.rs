//! The emulator: the world of [`mosshead_world`] against real proxies, in real time, on 127.0.0.0/8.
//!
//! It starts a command for each proxy with the variables and the configuration of the platform, plays the
//! clients, the servers and discovery, and records what crossed the sockets. The referee judges by that record;
//! the emulator measures how late it was itself, and voids a day on which it was too late to judge.
//!
//! A day runs on one thread. [`proxy_links`] is where a caller stands between the proxies and the emulator.

mod admin_polls;
mod clients;
mod day;
mod discovery;
mod error;
mod harness;
pub mod http;
pub mod loopback;
mod malformed_clients;
pub mod proxy_links;
mod proxy_processes;
mod servers;
mod state_folders;
mod wake_timer;

pub use day::{EmulatedDay, EmulationOptions, Lateness, play_day, play_day_over_links};
pub use error::{EmulatorError, NotReady};
pub use proxy_processes::resource_usage::ResourceUsage;
