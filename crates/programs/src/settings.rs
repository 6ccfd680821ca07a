//! The settings file of a process: `key=value` lines. Unknown fields are ignored, whatever their value is. A known field
//! that is empty counts as absent.

mod error;
mod settings_file;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};

use mosshead_time::Duration;

pub use self::error::SettingsError;
use self::settings_file::{EXPECTED_ADDRESS, SettingsFile};

/// The default of `keepalive_ms`.
const DEFAULT_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);
/// The default of `fault_tolerance.node_failures`.
const DEFAULT_NODE_FAILURES: usize = 1;
const NODE_NAME: &str = "node_name";
/// The key of the address where a proxy serves clients.
const FRONT_HTTP: &str = "listen_addresses.front_http";
/// The key of the directory of a control node.
const DATA_DIRECTORY: &str = "data_directory";
/// The expected value of `node_name`, for error messages.
const EXPECTED_NAME: &str = "the name of the machine";
/// The expected value of `data_directory`, for error messages.
const EXPECTED_DIRECTORY: &str = "a directory";

const GRACE_BOUND: &str = "grace_s";
const SYNC_BOUND: &str = "sync_s";
const LEASE_BOUND: &str = "lease_ms";
const RETRY_RATIO_BOUND: &str = "retry_budget_ratio";
const EXTRA_RETRIES_BOUND: &str = "retry_extra";
const RETRY_WINDOW_BOUND: &str = "retry_window_s";
/// The bounds that the programs use. Only these have to be valid.
const KNOWN_BOUNDS: [&str; 6] =
    [GRACE_BOUND, SYNC_BOUND, LEASE_BOUND, RETRY_RATIO_BOUND, EXTRA_RETRIES_BOUND, RETRY_WINDOW_BOUND];

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
const BYTES_PER_MB: f64 = 1e6;
/// The share of its memory that a proxy uses for bodies and events at most.
const MAX_BODY_MEMORY: f64 = 0.75;
/// The share that it uses for them at least.
const MIN_BODY_MEMORY: f64 = 0.25;
/// The share of its memory that a proxy should stay below, whatever it is used for.
const USABLE_MEMORY: f64 = 0.9;
/// What a proxy needs for itself, its connections, the registry and the configuration, in millions of bytes.
const OTHER_MEMORY_MB: f64 = 40.0;

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
    /// is 0. A bound that no program uses is left out if it is anything else.
    pub bounds: BTreeMap<String, f64>,
    /// The lines of the fields that are in the file and empty, for error messages.
    empty_fields: BTreeMap<String, usize>,
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
    /// A field that every process needs is missing, a value that a program uses is invalid, or a line is no field at
    /// all.
    pub fn parse(text: &[u8]) -> Result<Settings, SettingsError> {
        let file = SettingsFile::split(text)?;
        Ok(Settings {
            node_name: file.required_text(NODE_NAME)?.to_owned(),
            zone: file.required_text("zone")?.to_owned(),
            ip_address: file.required("ip_address", "an IPv4 address")?,
            front_http: file.address(FRONT_HTTP)?,
            readiness: file.address("listen_addresses.readiness")?,
            control_plane: file.address("listen_addresses.control_plane")?,
            internal_ports: file.required_port_range("internal_port_range")?,
            seed_nodes: file.addresses("seed_nodes")?,
            bootstrap: file.parsed("bootstrap", "true or false")?.unwrap_or(false),
            data_directory: file.text(DATA_DIRECTORY)?.map(PathBuf::from),
            heartbeat_interval: file
                .parsed("keepalive_ms", "whole milliseconds")?
                .map_or(DEFAULT_HEARTBEAT_INTERVAL, Duration::from_millis),
            node_failures: file
                .parsed("fault_tolerance.node_failures", "a whole number")?
                .unwrap_or(DEFAULT_NODE_FAILURES),
            memory_mb: file.parsed("limits.memory_mb", "a whole number")?.unwrap_or(DEFAULT_MEMORY_MB),
            bounds: file.bounds(&KNOWN_BOUNDS)?,
            empty_fields: file.empty_fields(),
        })
    }

    /// `node_name`, which a process of the fleet needs.
    ///
    /// # Errors
    ///
    /// The field is empty.
    pub fn required_node_name(&self) -> Result<&str, SettingsError> {
        let name = Some(self.node_name.as_str()).filter(|name| !name.is_empty());
        name.ok_or_else(|| self.without_value(NODE_NAME, EXPECTED_NAME))
    }

    /// `listen_addresses.front_http`, which a proxy needs.
    ///
    /// # Errors
    ///
    /// The field is missing or empty.
    pub fn required_front_http(&self) -> Result<SocketAddrV4, SettingsError> {
        self.front_http.ok_or_else(|| self.without_value(FRONT_HTTP, EXPECTED_ADDRESS))
    }

    /// `data_directory`, which a control node needs.
    ///
    /// # Errors
    ///
    /// The field is missing or empty.
    pub fn required_data_directory(&self) -> Result<&Path, SettingsError> {
        self.data_directory.as_deref().ok_or_else(|| self.without_value(DATA_DIRECTORY, EXPECTED_DIRECTORY))
    }

    fn without_value(&self, key: &'static str, expected: &'static str) -> SettingsError {
        SettingsError::without_value(key, self.empty_fields.get(key).copied(), expected)
    }

    /// A bound by name, or `default` if the file has none.
    pub fn bound(&self, name: &str, default: f64) -> f64 {
        self.bounds.get(name).copied().unwrap_or(default)
    }

    /// The memory that a proxy may use for the bodies of requests and responses and for events, in bytes.
    pub fn body_memory(&self) -> usize {
        let memory_mb = self.memory_mb as f64;
        let usable = memory_mb * USABLE_MEMORY - OTHER_MEMORY_MB;
        let body_memory_mb = usable.clamp(memory_mb * MIN_BODY_MEMORY, memory_mb * MAX_BODY_MEMORY);
        (body_memory_mb * BYTES_PER_MB) as usize
    }

    /// `bounds.grace_s`: the time from SIGTERM to SIGKILL. A value too large for `Duration` becomes `Duration::MAX`.
    pub fn grace(&self) -> Duration {
        let seconds = self.bound(GRACE_BOUND, DEFAULT_GRACE_SECONDS);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// `bounds.sync_s`: how long after its start a control node must be synchronised. The maximum is one hour.
    pub fn sync_time(&self) -> Duration {
        let seconds = self.bound(SYNC_BOUND, DEFAULT_SYNC_SECONDS).min(MAX_SYNC_SECONDS);
        Duration::from_millis((seconds * MILLIS_PER_SECOND) as u64)
    }

    /// `bounds.lease_ms`: the duration of the lease of a singleton role.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.bound(LEASE_BOUND, DEFAULT_LEASE_MILLIS) as u64)
    }

    /// `bounds.retry_budget_ratio`: the allowed ratio of retries to requests, over all proxies.
    pub fn retry_budget_ratio(&self) -> f64 {
        self.bound(RETRY_RATIO_BOUND, DEFAULT_RETRY_BUDGET_RATIO)
    }

    /// `bounds.retry_extra`: the number of retries allowed in each window in addition to that ratio.
    pub fn extra_retries(&self) -> f64 {
        self.bound(EXTRA_RETRIES_BOUND, DEFAULT_EXTRA_RETRIES)
    }

    /// `bounds.retry_window_s`: the time window over which retries are counted.
    pub fn retry_window(&self) -> Duration {
        let seconds = self.bound(RETRY_WINDOW_BOUND, DEFAULT_RETRY_WINDOW_SECONDS);
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
