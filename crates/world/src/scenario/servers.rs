//! Kinds of booking servers.

use serde::Deserialize;

use super::zero_share;
use crate::Time;
use crate::units::{Fraction, ValueRange};

/// A kind of booking server.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerKind {
    /// Its name.
    pub name: String,
    /// How many servers of this kind there are.
    pub count: ValueRange<u64>,
    /// The cores of each.
    pub cores: u64,
    /// The speed of a core relative to a standard one.
    #[serde(default = "standard_speed")]
    pub speed: ValueRange<f64>,
    /// How many requests it executes at once, for each core.
    #[serde(default = "default_slots")]
    pub slots_per_core: ValueRange<u64>,
    /// How many further requests may wait, for each core.
    #[serde(default = "default_queue")]
    pub queue_per_core: ValueRange<u64>,
    /// The share of its capacity that it has right after its start.
    #[serde(rename = "cold_from", default = "default_initial_capacity")]
    pub initial_capacity: ValueRange<Fraction>,
    /// How long after its start it has its full capacity.
    #[serde(default = "default_warm_up")]
    pub warm_up: ValueRange<Time>,
    /// The slowdown for each request in flight for each core over `crowding_threshold`, as a share.
    #[serde(rename = "thrash", default = "zero_share")]
    pub crowding_penalty: ValueRange<Fraction>,
    /// Requests in flight for each core without a slowdown.
    #[serde(rename = "thrash_at", default = "default_crowding_threshold")]
    pub crowding_threshold: ValueRange<f64>,
    /// The share of requests that fail without any fault.
    #[serde(rename = "errors", default = "zero_share")]
    pub error_rate: ValueRange<Fraction>,
    /// Whether a waiting request is dropped when its proxy gives it up.
    #[serde(rename = "drops_given_up", default)]
    pub drops_abandoned: bool,
    /// Whether also a request in execution stops when its proxy gives it up.
    #[serde(rename = "stops_given_up", default)]
    pub stops_abandoned: bool,
    /// How it suffers from overload; not at all without it.
    #[serde(rename = "jam")]
    pub congestion: Option<CongestionSpec>,
    /// Its connections.
    #[serde(default)]
    pub connections: ConnectionLimits,
    /// Its load reports.
    #[serde(default)]
    pub reports: ReportTiming,
    /// Work for a probe.
    #[serde(default = "default_probe_work")]
    pub probe_work: ValueRange<Time>,
}

fn standard_speed() -> ValueRange<f64> {
    ValueRange::single(1.0)
}

fn default_slots() -> ValueRange<u64> {
    ValueRange::single(4)
}

fn default_queue() -> ValueRange<u64> {
    ValueRange::single(30)
}

fn default_initial_capacity() -> ValueRange<Fraction> {
    ValueRange::single(Fraction(0.35))
}

fn default_warm_up() -> ValueRange<Time> {
    ValueRange::single(Time::from_millis(8300))
}

fn default_crowding_threshold() -> ValueRange<f64> {
    ValueRange::single(4.0)
}

fn default_probe_work() -> ValueRange<Time> {
    ValueRange::single(Time(200))
}

/// Congestion collapse: a server with too much in flight for too long becomes slow, and stays so until it has had a rest.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CongestionSpec {
    /// It becomes congested with more requests in flight for each core than this,
    #[serde(rename = "above")]
    pub enter_above: ValueRange<f64>,
    /// for this long.
    #[serde(rename = "over")]
    pub enter_after: ValueRange<Time>,
    /// The factor by which it is slower while congested.
    #[serde(rename = "slower")]
    pub slowdown: ValueRange<f64>,
    /// It recovers with fewer requests in flight for each core than this,
    #[serde(rename = "below")]
    pub leave_below: ValueRange<f64>,
    /// for this long,
    #[serde(rename = "rest")]
    pub leave_after: ValueRange<Time>,
    /// or after this long in any case.
    #[serde(rename = "most")]
    pub max_duration: ValueRange<Time>,
}

/// The connections of a server.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ConnectionLimits {
    /// The most that it accepts.
    #[serde(rename = "cap")]
    pub max_connections: ValueRange<u64>,
    /// Round trips until a new one is established.
    #[serde(rename = "round_trips")]
    pub handshake_round_trips: ValueRange<u64>,
    /// Work for a new one.
    #[serde(rename = "work")]
    pub handshake_work: ValueRange<Time>,
    /// The share of its capacity that a full table of connections costs.
    #[serde(rename = "full_tax")]
    pub full_table_tax: ValueRange<Fraction>,
    /// How long one may be idle before it is closed.
    #[serde(rename = "keepalive")]
    pub idle_timeout: Time,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            max_connections: ValueRange::single(2000),
            handshake_round_trips: ValueRange { min: 1, max: 2 },
            handshake_work: ValueRange { min: Time(2700), max: Time(6000) },
            full_table_tax: ValueRange { min: Fraction(0.17), max: Fraction(0.33) },
            idle_timeout: Time::from_millis(60_000),
        }
    }
}

/// The load reports of a server.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ReportTiming {
    /// The interval at which they are renewed.
    pub period: ValueRange<Time>,
    /// The age at which a report is first shown.
    pub delay: ValueRange<Time>,
    /// The largest error, as a share of the value.
    pub noise: ValueRange<Fraction>,
}

impl Default for ReportTiming {
    fn default() -> Self {
        Self {
            period: ValueRange { min: Time::from_millis(620), max: Time::from_millis(1600) },
            delay: ValueRange { min: Time::from_millis(100), max: Time::from_millis(500) },
            noise: ValueRange { min: Fraction(0.01), max: Fraction(0.06) },
        }
    }
}
