//! The settings file of a process, in Java properties format. Unknown fields are ignored.

mod error;
mod properties;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};

use mosshead_time::Duration;

pub use self::error::SettingsError;
use self::properties::Properties;

/// The default of `keepalive_ms`.
const DEFAULT_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);
/// The default of `fault_tolerance.node_failures`.
const DEFAULT_NODE_FAILURES: usize = 1;
/// The default of `bounds.grace_s`.
const DEFAULT_GRACE_SECONDS: f64 = 8.0;
/// The default of `bounds.sync_s`.
const DEFAULT_SYNC_SECONDS: f64 = 4.5;
/// The maximum of `bounds.sync_s`; larger values are reduced to it.
const MAX_SYNC_SECONDS: f64 = 3_600.0;
/// The default of `bounds.lease_ms`.
const DEFAULT_LEASE_MILLIS: f64 = 3000.0;
/// The default of `bounds.retry_budget_ratio`.
const DEFAULT_RETRY_BUDGET_RATIO: f64 = 0.2;
/// The default of `bounds.retry_extra`.
const DEFAULT_EXTRA_RETRIES: f64 = 20.0;
/// The default of `bounds.retry_window_s`.
const DEFAULT_RETRY_WINDOW_SECONDS: f64 = 10.0;
const MILLIS_PER_SECOND: f64 = 1000.0;
/// The default of `limits.memory_mb`.
const DEFAULT_MEMORY_MB: usize = 260;
const BYTES_PER_MB: usize = 1_000_000;
/// A proxy uses this share of its memory for bodies: `BODY_MEMORY_PARTS` of `MEMORY_PARTS`. The rest is for
/// connections, the registry and the configuration.
const BODY_MEMORY_PARTS: usize = 3;
const MEMORY_PARTS: usize = 4;

/// An inclusive range of ports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortRange {
    /// The first port of the range.
    pub first: u16,
    /// The last port of the range.
    pub last: u16,
}

/// The settings of a process. docs/operators/fleet.md lists them.
#[derive(Clone, Debug)]
pub struct Settings {
    /// `node_name`: the name of the machine, unique in the fleet.
    pub node_name: String,
    /// `zone`: the failure domain of the machine.
    pub zone: String,
    /// `ip_address`: the address of the machine.
    pub ip_address: Ipv4Addr,
    /// `listen_addresses.front_http`: where a proxy serves clients.
    pub front_http: Option<SocketAddrV4>,
    /// `listen_addresses.readiness`: where a proxy serves health checks and its status.
    pub readiness: Option<SocketAddrV4>,
    /// `listen_addresses.control_plane`: where a control node serves model servers and the operator.
    pub control_plane: Option<SocketAddrV4>,
    /// `internal_port_range`: the ports for traffic between processes of the fleet. Only the first is used.
    pub internal_ports: PortRange,
    /// `seed_nodes`: API addresses of control nodes.
    pub seed_nodes: Vec<SocketAddrV4>,
    /// `bootstrap`: true if the fleet starts for the first time.
    pub bootstrap: bool,
    /// `data_directory`: where a control node keeps its state.
    pub data_directory: Option<PathBuf>,
    /// `keepalive_ms`: how often model servers send heartbeats.
    pub heartbeat_interval: Duration,
    /// `fault_tolerance.node_failures`: how many control nodes may lose their disks at the same time.
    pub node_failures: usize,
    /// `limits.memory_mb`: the memory that the process may use, in millions of bytes.
    pub memory_mb: usize,
    /// `bounds.*`: the bounds by name without the prefix. They are finite and not negative; `true` is 1 and `false`
    /// is 0.
    pub bounds: BTreeMap<String, f64>,
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// The file can't be read, or [`Settings::parse`] fails.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read(path).map_err(|error| SettingsError::Unreadable(path.to_owned(), error))?;
        Settings::parse(&text)
    }

    /// Parses the text of a settings file.
    ///
    /// # Errors
    ///
    /// A line is malformed, a field that every process needs is missing, or a value is invalid.
    pub fn parse(text: &[u8]) -> Result<Settings, SettingsError> {
        let properties = Properties::parse(text)?;
        let internal_ports = properties.required_port_range("internal_port_range")?;
        let seed_nodes = properties.addresses("seed_nodes")?;
        let bounds = properties.bounds()?;
        Ok(Settings {
            node_name: properties.required_text("node_name")?.to_owned(),
            zone: properties.required_text("zone")?.to_owned(),
            ip_address: properties.required("ip_address", "an IPv4 address")?,
            front_http: properties.address("listen_addresses.front_http")?,
            readiness: properties.address("listen_addresses.readiness")?,
            control_plane: properties.address("listen_addresses.control_plane")?,
            internal_ports,
            seed_nodes,
            bootstrap: properties.parsed("bootstrap", "true or false")?.unwrap_or(false),
            data_directory: properties.text("data_directory").map(|path| PathBuf::from(path.trim())),
            heartbeat_interval: properties
                .parsed("keepalive_ms", "whole milliseconds")?
                .map_or(DEFAULT_HEARTBEAT_INTERVAL, Duration::from_millis),
            node_failures: properties
                .parsed("fault_tolerance.node_failures", "a whole number")?
                .unwrap_or(DEFAULT_NODE_FAILURES),
            memory_mb: properties.parsed("limits.memory_mb", "a whole number")?.unwrap_or(DEFAULT_MEMORY_MB),
            bounds,
        })
    }

    /// A bound by name, or `default` if the file has none.
    pub fn bound(&self, name: &str, default: f64) -> f64 {
        self.bounds.get(name).copied().unwrap_or(default)
    }

    /// The memory that a proxy may use for the bodies of requests and responses, in bytes.
    pub fn body_memory(&self) -> usize {
        (self.memory_mb / MEMORY_PARTS * BODY_MEMORY_PARTS).saturating_mul(BYTES_PER_MB)
    }

    /// `bounds.grace_s`: the time from SIGTERM to SIGKILL. A value too large for `Duration` becomes `Duration::MAX`.
    pub fn grace(&self) -> Duration {
        let seconds = self.bound("grace_s", DEFAULT_GRACE_SECONDS);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// `bounds.sync_s`: how long after its start a control node must be synchronised. The maximum is one hour.
    pub fn sync_time(&self) -> Duration {
        let seconds = self.bound("sync_s", DEFAULT_SYNC_SECONDS).min(MAX_SYNC_SECONDS);
        Duration::from_millis((seconds * MILLIS_PER_SECOND) as u64)
    }

    /// `bounds.lease_ms`: the duration of the lease of a singleton role.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.bound("lease_ms", DEFAULT_LEASE_MILLIS) as u64)
    }

    /// `bounds.retry_budget_ratio`: the allowed ratio of retries to requests, over all proxies.
    pub fn retry_budget_ratio(&self) -> f64 {
        self.bound("retry_budget_ratio", DEFAULT_RETRY_BUDGET_RATIO)
    }

    /// `bounds.retry_extra`: the number of retries allowed in each window in addition to that ratio.
    pub fn extra_retries(&self) -> f64 {
        self.bound("retry_extra", DEFAULT_EXTRA_RETRIES)
    }

    /// `bounds.retry_window_s`: the time window over which retries are counted.
    pub fn retry_window(&self) -> Duration {
        let seconds = self.bound("retry_window_s", DEFAULT_RETRY_WINDOW_SECONDS);
        Duration::from_millis((seconds * MILLIS_PER_SECOND) as u64)
    }

    /// The address for traffic between processes of the fleet: membership over UDP, and RPC calls to a control node
    /// over TCP.
    pub fn internal_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip_address, self.internal_ports.first)
    }

    /// The internal addresses of the seeds. All machines use the same internal port.
    pub fn internal_seed_addresses(&self) -> Vec<SocketAddrV4> {
        self.seed_nodes.iter().map(|seed| SocketAddrV4::new(*seed.ip(), self.internal_ports.first)).collect()
    }
}
