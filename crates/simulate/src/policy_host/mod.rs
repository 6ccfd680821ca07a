//! Where the policies of the simulated proxies run: on threads of this process, or in processes of their own.
//!
//! All proxies that have events in one tick are handled together, and their actions come back in the order of the proxies'
//! indices. Where the policies run can therefore not show in a day.

mod processes;
mod threads;

use std::io;

use mosshead_decide::interface::{Action, Event, Seconds, SettingsError};
use mosshead_settings::JsonError;
use mosshead_world::ServerSnapshot;
use serde::{Deserialize, Serialize};
use thiserror::Error;

pub use processes::{ProcessPolicyHost, serve, write_requests};
pub use threads::ThreadedPolicyHost;

/// Why policies cannot run.
#[derive(Debug, Error)]
pub enum PolicyHostError {
    /// The settings of a proxy cannot be read.
    #[error("settings: {0}")]
    UnreadableSettings(#[from] JsonError),
    /// The policy rejects the settings of its proxy.
    #[error("settings: {0}")]
    RejectedSettings(#[from] SettingsError),
    /// A process that runs policies has ended, or what it sent cannot be read.
    #[error("a process with policies: {0}")]
    Process(#[from] io::Error),
}

/// The events of one proxy in a tick, in their order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProxyEvents {
    /// Index of the proxy.
    pub proxy: usize,
    /// What its policy has to handle.
    pub events: Vec<Event>,
}

/// The actions of one proxy in a tick, in their order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProxyActions {
    /// Index of the proxy.
    pub proxy: usize,
    /// What its policy wants done.
    pub actions: Vec<Action>,
}

/// What a new policy instance starts from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyStart {
    /// From its settings alone.
    Fresh,
    /// From what the proxy's former instance has learned, if there was one.
    WithLearnedValues,
}

/// Runs the policies of all proxies.
pub trait PolicyHost {
    /// Starts a new policy instance for a proxy, in place of a former one. `settings` is JSON as of
    /// [`proxy_settings::to_json`](crate::proxy_settings::to_json).
    ///
    /// # Errors
    ///
    /// The settings are rejected, or the process that runs the policy has failed.
    fn start_policy(
        &mut self,
        proxy: usize,
        settings: &str,
        seed: u64,
        start: PolicyStart,
    ) -> Result<(), PolicyHostError>;

    /// Handles the events of one tick. Both lists are in the order of the proxies' indices. `snapshots` is what the oracle
    /// sees of the servers; it may be empty for all other policies.
    ///
    /// # Errors
    ///
    /// The process that runs a policy has failed.
    fn run_tick(
        &mut self,
        now: Seconds,
        events: Vec<ProxyEvents>,
        snapshots: &[ServerSnapshot],
    ) -> Result<Vec<ProxyActions>, PolicyHostError>;
}
