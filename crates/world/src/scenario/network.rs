//! Delays between machines, and discovery.

use serde::Deserialize;

use crate::Time;
use crate::units::{Fraction, PerSecond, ValueRange};

/// Delays between machines, in one direction.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NetworkDelays {
    /// Within a zone.
    #[serde(rename = "same")]
    pub within_zone: ValueRange<Time>,
    /// Between two zones.
    #[serde(rename = "cross")]
    pub between_zones: ValueRange<Time>,
    /// The most that a single message takes longer, as a share of the delay.
    pub jitter: ValueRange<Fraction>,
}

impl Default for NetworkDelays {
    fn default() -> Self {
        Self {
            within_zone: ValueRange { min: Time(200), max: Time(350) },
            between_zones: ValueRange { min: Time(3700), max: Time(6900) },
            jitter: ValueRange { min: Fraction(0.05), max: Fraction(0.3) },
        }
    }
}

/// The service that keeps the list of servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DiscoverySpec {
    /// Whether changes are pushed to an agent on the machine of each proxy: calls to the agent cost nothing, a proxy counts as
    /// notified of what its agent has, and the agent holds calls open while discovery is down.
    #[serde(rename = "pushed")]
    pub is_pushed: bool,
    /// How late a change enters the list.
    #[serde(rename = "notice")]
    pub change_delay: ValueRange<Time>,
    /// How late it enters the list that a machine has been cut off.
    #[serde(rename = "silent_notice")]
    pub silent_end_delay: ValueRange<Time>,
    /// Calls that it serves in a second.
    pub capacity: ValueRange<PerSecond>,
    /// A call that has waited longer for its turn fails.
    #[serde(rename = "timeout")]
    pub call_timeout: Time,
}

impl Default for DiscoverySpec {
    fn default() -> Self {
        Self {
            is_pushed: false,
            change_delay: ValueRange { min: Time::from_millis(700), max: Time::from_millis(2500) },
            silent_end_delay: ValueRange { min: Time::from_millis(6500), max: Time::from_millis(12000) },
            capacity: ValueRange::single(PerSecond(200.0)),
            call_timeout: Time::from_millis(2000),
        }
    }
}
