//! The description of a day: a TOML file in which each quantity has its unit, and ranges are drawn by the seed.

mod clients;
mod error;
mod network;
mod proxies;
mod requests;
mod servers;
mod validation;

use serde::Deserialize;

use crate::Time;
use crate::units::{Fraction, ValueRange};

pub use crate::fault::{
    Direction, FaultKind, FaultSpec, LinkKind, SavedList, StartReference, StoredStateCondition,
};
pub use clients::{ClientBehavior, LoadSpec};
pub use error::{InvalidValue, Problem, ScenarioError};
pub use network::{DiscoverySpec, NetworkDelays};
pub use proxies::{ProxySpec, RuleLimits};
pub use requests::{DeduplicationScope, RepeatEffect, RequestClass, Tenant};
pub use servers::{CongestionSpec, ConnectionLimits, ReportTiming, ServerKind};

/// The description of a day. The keys of its TOML file are older than some names here.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub title: String,
    /// What it shows, in a sentence.
    #[serde(rename = "about")]
    pub description: String,
    /// For how long clients arrive.
    pub length: ValueRange<Time>,
    /// How often simulated proxies handle what has reached them.
    #[serde(rename = "tick", default = "default_tick")]
    pub tick_interval: Time,
    /// The names of the zones. Elsewhere a zone is its index here.
    pub zones: Vec<String>,
    /// How many proxies there are, and how much clients ask of them.
    pub load: LoadSpec,
    /// What clients do.
    #[serde(default)]
    pub clients: ClientBehavior,
    /// Delays between machines.
    #[serde(default)]
    pub network: NetworkDelays,
    /// The service that keeps the list of servers.
    #[serde(default)]
    pub discovery: DiscoverySpec,
    /// What a proxy may do, and the machine that it has.
    #[serde(default)]
    pub proxy: ProxySpec,
    /// The limits behind the referee's rules.
    #[serde(default)]
    pub rules: RuleLimits,
    /// The kinds of booking server. Elsewhere a kind is its index here.
    #[serde(rename = "kind")]
    pub kinds: Vec<ServerKind>,
    /// The classes of request. Elsewhere a class is its index here.
    #[serde(rename = "class")]
    pub classes: Vec<RequestClass>,
    /// The tenants; there may be none. Elsewhere a tenant is its index here.
    #[serde(rename = "tenant", default)]
    pub tenants: Vec<Tenant>,
    /// What goes wrong.
    #[serde(rename = "trouble", default)]
    pub faults: Vec<FaultSpec>,
}

impl Scenario {
    /// Reads and validates a scenario.
    ///
    /// # Errors
    ///
    /// The text is not a scenario in TOML, or one of its values is out of bounds.
    pub fn read(text: &str) -> Result<Self, ScenarioError> {
        let scenario: Scenario = toml::from_str(text)?;
        validation::validate(&scenario)?;
        Ok(scenario)
    }

    /// The index of the zone with this name.
    pub fn zone_index(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|zone| zone == name)
    }

    /// The longest time that a client waits.
    pub fn longest_deadline(&self) -> Time {
        self.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
    }
}

fn default_tick() -> Time {
    Time::from_millis(5)
}

fn zero() -> ValueRange<f64> {
    ValueRange::single(0.0)
}

fn zero_share() -> ValueRange<Fraction> {
    ValueRange::single(Fraction(0.0))
}
