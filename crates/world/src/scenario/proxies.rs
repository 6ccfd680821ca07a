//! What proxies may do, and the limits of the referee's rules.

use serde::Deserialize;

use crate::Time;

/// What a proxy may do, and the machine that it has.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProxySpec {
    /// The most attempts for a request.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Whether it may start an attempt while another one of the same request is open.
    #[serde(rename = "second_copies")]
    pub allows_hedging: bool,
    /// Whether it may probe servers.
    #[serde(rename = "probes")]
    pub allows_probes: bool,
    /// Whether it may cancel attempts.
    #[serde(rename = "cancel")]
    pub allows_cancellation: bool,
    /// A connection that is not established by then has failed.
    pub connect_timeout: Time,
    /// The longest `Retry-After` that clients keep to.
    pub max_retry_after: Time,
    /// The most requests that it may have without a response.
    #[serde(rename = "most_held")]
    pub max_pending_requests: u64,
    /// Its memory, in MB.
    pub memory_mb: u64,
    /// How many descriptors it may open.
    #[serde(rename = "sockets")]
    pub max_descriptors: u64,
    /// How many proxies its settings say that there are, where that is wrong.
    #[serde(rename = "fleet")]
    pub announced_fleet_size: Option<u64>,
    /// How far its clock is behind that of the servers and of discovery (on loopback).
    #[serde(rename = "behind")]
    pub clock_behind: Time,
    /// How far its clock is ahead of theirs (on loopback).
    #[serde(rename = "ahead")]
    pub clock_ahead: Time,
    /// Whether it has a folder for stored state (on loopback).
    #[serde(rename = "folder")]
    pub has_state_folder: bool,
    /// Whether it has an admin endpoint, which operators ask for its recovery stage (on loopback).
    #[serde(rename = "door")]
    pub has_admin_endpoint: bool,
}

impl Default for ProxySpec {
    fn default() -> Self {
        Self {
            max_attempts: 4,
            allows_hedging: true,
            allows_probes: true,
            allows_cancellation: true,
            connect_timeout: Time::from_millis(250),
            max_retry_after: Time::from_millis(2000),
            max_pending_requests: 30_000,
            memory_mb: 192,
            max_descriptors: 1024,
            announced_fleet_size: None,
            clock_behind: Time::ZERO,
            clock_ahead: Time::ZERO,
            has_state_folder: false,
            has_admin_endpoint: false,
        }
    }
}

/// The limits behind the referee's rules.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RuleLimits {
    /// How long after its deadline a response still counts as in time.
    #[serde(rename = "answer_slack")]
    pub response_slack: Time,
    /// How long after it was notified a proxy may still start attempts at a server that drains or is gone.
    pub drain_grace: Time,
    /// How long after the response of its request an attempt may still be written, whose connection was being established.
    #[serde(rename = "finish_grace")]
    pub write_grace: Time,
    /// A cold server collapses when it is sent more work than this many times its present capacity
    #[serde(rename = "fall_multiple")]
    pub collapse_multiple: f64,
    /// within this window.
    #[serde(rename = "fall")]
    pub collapse_window: Time,
    /// A proxy that has no open call to discovery for this long counts as notified of the list.
    #[serde(rename = "ask_within")]
    pub discovery_call_interval: Time,
}

impl Default for RuleLimits {
    fn default() -> Self {
        Self {
            response_slack: Time::from_millis(70),
            drain_grace: Time::from_millis(500),
            write_grace: Time::from_millis(20),
            collapse_multiple: 3.0,
            collapse_window: Time::from_millis(3000),
            discovery_call_interval: Time::from_millis(10_000),
        }
    }
}
