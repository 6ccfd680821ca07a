//! The policies that can decide for a simulated proxy: ours, and well-known ones to compare it with on the same days.

mod baseline;

use std::fmt;
use std::str::FromStr;

use mosshead_decide::interface::{Action, Event, Seconds, Settings, SettingsError};
use mosshead_decide::{Balancer, LearnedValue, RecoveryStage, Subject};
use mosshead_world::ServerSnapshot;
use thiserror::Error;

use baseline::BaselinePolicy;

/// Decides for one proxy.
pub trait Policy: Send {
    /// Handles one event, and appends the actions that follow from it.
    fn handle_event(&mut self, now: Seconds, event: Event, actions: &mut Vec<Action>);

    /// Shows the true state of all servers. Only the oracle uses it.
    fn observe_servers(&mut self, _snapshots: &[ServerSnapshot]) {}

    /// What the next instance of this proxy may start from. It says nothing of single servers: the next instance numbers them
    /// anew.
    fn learned_values(&self, _now: Seconds) -> Vec<LearnedValue> {
        Vec::new()
    }

    /// How far this instance has recovered since its start. A policy without stages is always in full service.
    fn recovery_stage(&mut self, _now: Seconds) -> RecoveryStage {
        RecoveryStage::FullService
    }

    /// Takes over what a former instance had learned `age` seconds ago.
    fn restore_learned(&mut self, _now: Seconds, _learned: &[LearnedValue], _age: Seconds) {}
}

impl Policy for Balancer {
    fn handle_event(&mut self, now: Seconds, event: Event, actions: &mut Vec<Action>) {
        Balancer::handle(self, now, event, actions);
    }

    fn learned_values(&self, now: Seconds) -> Vec<LearnedValue> {
        let mut learned = Balancer::learned_values(self, now);
        learned.retain(|value| !matches!(value.subject, Subject::Endpoint(_)));
        learned
    }

    fn recovery_stage(&mut self, now: Seconds) -> RecoveryStage {
        self.recovery_status(now).stage
    }

    fn restore_learned(&mut self, now: Seconds, learned: &[LearnedValue], age: Seconds) {
        Balancer::restore_learned(self, now, learned, age);
    }
}

/// A kind of policy. All but ours differ only in how they select a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PolicyKind {
    /// Ours.
    Mosshead,
    /// Any ready server, at random.
    Random,
    /// The ready servers in turn.
    RoundRobin,
    /// The server with the fewest open attempts of this proxy.
    LeastOutstanding,
    /// Of two random servers, the one with fewer open attempts of this proxy.
    TwoChoices,
    /// Of two random servers, the one whose last load report is lower.
    TwoReports,
    /// The server that truly has the least load for its present capacity. No real proxy can know this: it is the upper bound.
    Oracle,
}

/// All kinds, ours first.
pub const POLICY_KINDS: [PolicyKind; 7] = [
    PolicyKind::Mosshead,
    PolicyKind::Random,
    PolicyKind::RoundRobin,
    PolicyKind::LeastOutstanding,
    PolicyKind::TwoChoices,
    PolicyKind::TwoReports,
    PolicyKind::Oracle,
];

impl PolicyKind {
    /// Its name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            PolicyKind::Mosshead => "mosshead",
            PolicyKind::Random => "random",
            PolicyKind::RoundRobin => "round-robin",
            PolicyKind::LeastOutstanding => "least-outstanding",
            PolicyKind::TwoChoices => "two-choices",
            PolicyKind::TwoReports => "two-reports",
            PolicyKind::Oracle => "oracle",
        }
    }

    /// Starts a policy of this kind for one proxy.
    ///
    /// # Errors
    ///
    /// The settings are rejected.
    pub fn start_policy(self, settings: Settings, seed: u64) -> Result<Box<dyn Policy>, SettingsError> {
        Ok(match self {
            PolicyKind::Mosshead => Box::new(Balancer::new(settings, seed)?),
            _ => {
                settings.check()?;
                Box::new(BaselinePolicy::new(self, settings, seed))
            }
        })
    }
}

impl fmt::Display for PolicyKind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// No policy has this name.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("no policy {name:?}: there are {}", POLICY_KINDS.map(PolicyKind::name).join(", "))]
pub struct UnknownPolicy {
    /// The name that was given.
    pub name: String,
}

impl FromStr for PolicyKind {
    type Err = UnknownPolicy;

    fn from_str(name: &str) -> Result<Self, UnknownPolicy> {
        let known = POLICY_KINDS.into_iter().find(|kind| kind.name() == name);
        known.ok_or_else(|| UnknownPolicy { name: name.to_owned() })
    }
}
