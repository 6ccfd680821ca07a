//! Classes of requests, and tenants.

use serde::Deserialize;

use super::zero;
use crate::Time;
use crate::units::{Fraction, ValueRange};

/// What a second execution of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RepeatEffect {
    /// Nothing: it may be repeated.
    Safe,
    /// Harm: it must never be executed twice.
    Unsafe,
    /// It has an idempotency key: servers of one group drop a repeat within the class's window. Elsewhere, or later, it would
    /// be executed twice.
    Keyed,
}

/// Which servers drop each other's repeats of a request with an idempotency key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub enum DeduplicationScope {
    /// All of them.
    #[serde(rename = "all")]
    AllServers,
    /// Those of a zone.
    #[default]
    #[serde(rename = "zone")]
    Zone,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// Its name, the first part of the path of its requests.
    pub name: String,
    /// Its share of the operations.
    pub share: ValueRange<Fraction>,
    /// The mean work of a request, on a standard core.
    pub work: ValueRange<Time>,
    /// The ratio of deviation to mean of that work.
    #[serde(rename = "spread", default = "zero")]
    pub work_deviation: ValueRange<f64>,
    /// A response within this time earns its value.
    #[serde(rename = "target")]
    pub latency_target: Time,
    /// How long a client waits, over all requests of an operation.
    pub deadline: Time,
    /// The value of an operation that is served in time.
    #[serde(rename = "worth")]
    pub value: f64,
    /// What a second execution would do.
    #[serde(rename = "effect")]
    pub repeat_effect: RepeatEffect,
    /// Only for a keyed class: which servers drop repeats.
    #[serde(rename = "group", default)]
    pub deduplication_scope: DeduplicationScope,
    /// Only for a keyed class: for how long after the first attempt that may have been executed they do.
    #[serde(rename = "window", default)]
    pub deduplication_window: Time,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its share of the service.
    pub share: Fraction,
    /// How much it asks for, as a part of its share.
    #[serde(default = "full_usage")]
    pub usage: ValueRange<Fraction>,
}

fn full_usage() -> ValueRange<Fraction> {
    ValueRange::single(Fraction(1.0))
}
