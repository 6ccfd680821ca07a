//! The load of a day, and what its clients do.

use serde::Deserialize;

use super::{zero, zero_share};
use crate::Time;
use crate::units::{Fraction, PerSecond, ValueRange};

/// How many proxies there are, and how much clients ask of them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSpec {
    /// The number of proxies.
    pub proxies: ValueRange<u64>,
    /// The rate of operations, as a share of the capacity of all servers when they are warm. Either this or `rate` is given.
    #[serde(rename = "share")]
    pub capacity_share: Option<ValueRange<Fraction>>,
    /// The rate of operations, at all proxies together.
    pub rate: Option<ValueRange<PerSecond>>,
    /// How unequal the rates of the proxies are: the ratio of deviation to mean.
    #[serde(rename = "skew", default = "zero")]
    pub proxy_skew: ValueRange<f64>,
    /// By how much the rate swings up and down over the day.
    #[serde(default = "zero_share")]
    pub swing: ValueRange<Fraction>,
    /// The time from the end of a burst to the start of the next one; there are no bursts without it.
    #[serde(rename = "burst_every")]
    pub burst_interval: Option<ValueRange<Time>>,
    /// How long a burst lasts.
    #[serde(rename = "burst_length", default = "default_burst_duration")]
    pub burst_duration: ValueRange<Time>,
    /// The multiple of the usual rate during a burst.
    #[serde(rename = "burst_size", default = "default_burst_factor")]
    pub burst_factor: ValueRange<f64>,
}

fn default_burst_duration() -> ValueRange<Time> {
    ValueRange::single(Time::from_millis(500))
}

fn default_burst_factor() -> ValueRange<f64> {
    ValueRange::single(2.0)
}

/// What clients do. An operation is what a client wants done; each of its attempts at a proxy is a request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClientBehavior {
    /// How often a client repeats a request by itself.
    #[serde(rename = "retries")]
    pub max_retries: ValueRange<u64>,
    /// How long it waits before that.
    pub backoff: ValueRange<Time>,
    /// The share of operations whose client keeps to the `Retry-After` of a rejection.
    #[serde(rename = "honour")]
    pub honors_retry_after: ValueRange<Fraction>,
    /// The share of the class's deadline after which a client gives up one request.
    pub patience: ValueRange<Fraction>,
    /// The share of requests that come on a connection of their own (on loopback).
    #[serde(rename = "one_shot")]
    pub own_connection_share: ValueRange<Fraction>,
    /// The share of requests whose client leaves before its time is up.
    #[serde(rename = "leaves")]
    pub early_leave_share: ValueRange<Fraction>,
    /// Malformed messages from misbehaving clients, at all proxies together (on loopback).
    #[serde(rename = "rude")]
    pub misbehaving_rate: ValueRange<PerSecond>,
}

impl Default for ClientBehavior {
    fn default() -> Self {
        Self {
            max_retries: ValueRange { min: 0, max: 2 },
            backoff: ValueRange { min: Time::from_millis(40), max: Time::from_millis(320) },
            honors_retry_after: ValueRange { min: Fraction(0.3), max: Fraction(0.9) },
            patience: ValueRange { min: Fraction(0.5), max: Fraction(1.0) },
            own_connection_share: zero_share(),
            early_leave_share: zero_share(),
            misbehaving_rate: ValueRange::single(PerSecond(0.0)),
        }
    }
}
