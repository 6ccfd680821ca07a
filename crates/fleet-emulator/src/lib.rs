//! A router fleet of real processes on loopback: control nodes and proxies of this project, amid model servers with prefill
//! and decode, clients and an operator that are played here.
//!
//! [`run`] starts everything, plays some seconds with disturbances in between, and judges by what the clients saw: a
//! stream that ends as complete has each of its events once and in order.

mod client;
mod error;
mod http;
mod machines;
mod memory_trial;
mod model_server;
mod operator;
mod processes;
mod readiness;
mod recorder;
mod report;
mod run;
mod soak;
mod timeline;

pub use error::FleetEmulatorError;
pub use memory_trial::{MemoryTrialOptions, MemoryTrialReport, run_memory_trial};
pub use report::{FleetReport, SecondReport, Violation};
pub use run::{EmulationOptions, Progress, run};
pub use soak::{Action, PlannedAction, SoakOptions, SoakReport, draw_plan, run_soak};
