//! The emulator: the world of [`mosshead_world`] against real programs, in real time, on 127.0.0.0/8.
//!
//! It starts a command for each proxy with the variables and the configuration of the platform, takes the part
//! of the clients, the booking servers and discovery, and keeps a record of what crossed the sockets. The
//! referee judges by that record; the emulator measures how late it was itself, and voids a day on which it
//! was too late to judge.

mod admin_polls;
mod clients;
mod discovery;
mod harness;
pub mod http;
mod proxy_links;
mod proxy_processes;
mod servers;
mod state_folders;
mod wake_timer;

pub use harness::{EmulatorError, Lateness, Options, Played, play, play_between};
pub use proxy_links::{Between, Place, Process};
pub use proxy_processes::{Usage, Watched};
