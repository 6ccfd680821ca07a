//! The settings file of a process: read with a library for its format, checked by hand, unknown fields ignored.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};

use java_properties::{LineContent, PropertiesIter};
use quick_error::quick_error;

quick_error! {
    /// What is wrong with a settings file. The numbers are in docs/codes.md.
    #[derive(Debug)]
    pub enum SettingsError {
        /// It can't be read.
        Unreadable(path: String, why: String) { display("S01 {path}: can't be read: {why}") }
        /// A line is not of the form.
        Line(line: usize, why: String) { display("S02 line {line}: {why}") }
        /// A field is missing.
        Missing(key: &'static str) { display("S03 {key} is missing") }
        /// A field's value makes no sense.
        Value(line: usize, key: String, value: String, must: &'static str) {
            display("S04 line {line}: {key} is '{value}': it must be {must}")
        }
    }
}

/// The settings of a process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The machine's name.
    pub node_name: String,
    /// Its zone.
    pub zone: String,
    /// Its own address.
    pub ip: Ipv4Addr,
    /// Where clients come in.
    pub front_http: Option<SocketAddrV4>,
    /// Where the platform asks for readiness.
    pub readiness: Option<SocketAddrV4>,
    /// Where servers and the operator call.
    pub control_plane: Option<SocketAddrV4>,
    /// The ports for calls between own processes.
    pub internal_ports: (u16, u16),
    /// Where three machines that serve control were.
    pub seed_nodes: Vec<SocketAddrV4>,
    /// The whole system starts for the first time.
    pub bootstrap: bool,
    /// Where files may be kept.
    pub data_directory: Option<PathBuf>,
    /// How often servers beat.
    pub keepalive_ms: u64,
    /// So many machines that count may be lost at once.
    pub node_failures: usize,
    /// The bounds of the rules, by name.
    pub bounds: BTreeMap<String, f64>,
}

struct Read {
    values: BTreeMap<String, (usize, String)>,
}

impl Read {
    fn text(&self, key: &'static str) -> Result<&str, SettingsError> {
        self.values.get(key).map(|value| value.1.as_str()).ok_or(SettingsError::Missing(key))
    }

    fn parsed<T: std::str::FromStr>(
        &self,
        key: &'static str,
        must: &'static str,
    ) -> Result<Option<T>, SettingsError> {
        let Some((line, value)) = self.values.get(key) else { return Ok(None) };
        let parsed = value.trim().parse();
        parsed.map(Some).map_err(|_| SettingsError::Value(*line, key.to_owned(), value.clone(), must))
    }
}

impl Settings {
    /// Reads the file that `MOSSHEAD_CONFIG` or the command line names.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let unreadable =
            |error: std::io::Error| SettingsError::Unreadable(path.display().to_string(), error.to_string());
        Self::read(&std::fs::read(path).map_err(unreadable)?)
    }

    /// Reads settings.
    pub fn read(text: &[u8]) -> Result<Self, SettingsError> {
        // Danger: the library's decoder panics at the start of a byte order mark that is cut off.
        if let Err(error) = std::str::from_utf8(text) {
            let sound = text.get(..error.valid_up_to()).unwrap_or_default();
            let line = 1 + sound.iter().filter(|byte| **byte == b'\n').count();
            return Err(SettingsError::Line(line, "is not UTF-8".into()));
        }
        let mut values = BTreeMap::new();
        for line in PropertiesIter::new(text) {
            let line = line
                .map_err(|error| SettingsError::Line(error.line_number().unwrap_or(0), error.to_string()))?;
            let at = line.line_number();
            if let LineContent::KVPair(key, value) = line.consume_content() {
                values.insert(key, (at, value));
            }
        }
        let read = Read { values };
        const ADDRESS: &str = "an IPv4 address and port";
        let ports = read.text("internal_port_range")?;
        let (first, last) = ports.split_once(',').unwrap_or((ports, ports));
        let port = |text: &str| {
            let line = read.values.get("internal_port_range").map_or(0, |value| value.0);
            let must = "two ports, joined by a comma";
            text.trim()
                .parse()
                .map_err(|_| SettingsError::Value(line, "internal_port_range".into(), ports.into(), must))
        };
        let mut seed_nodes = Vec::new();
        if let Some((line, seeds)) = read.values.get("seed_nodes") {
            for seed in seeds.split(',').map(str::trim).filter(|seed| !seed.is_empty()) {
                let wrong = |_| SettingsError::Value(*line, "seed_nodes".into(), seed.into(), ADDRESS);
                seed_nodes.push(seed.parse().map_err(wrong)?);
            }
        }
        let mut bounds = BTreeMap::new();
        for (key, (line, value)) in &read.values {
            let Some(name) = key.strip_prefix("bounds.") else { continue };
            let figure = match value.trim() {
                "true" => Ok(1.0),
                "false" => Ok(0.0),
                value => value.parse::<f64>(),
            };
            match figure {
                Ok(figure) if figure.is_finite() && figure >= 0.0 => {
                    bounds.insert(name.to_owned(), figure);
                }
                _ => {
                    let must = "a number of 0 or more, true or false";
                    return Err(SettingsError::Value(*line, key.clone(), value.clone(), must));
                }
            }
        }
        Ok(Self {
            node_name: read.text("node_name")?.to_owned(),
            zone: read.text("zone")?.to_owned(),
            ip: read.parsed("ip_address", "an IPv4 address")?.ok_or(SettingsError::Missing("ip_address"))?,
            front_http: read.parsed("listen_addresses.front_http", ADDRESS)?,
            readiness: read.parsed("listen_addresses.readiness", ADDRESS)?,
            control_plane: read.parsed("listen_addresses.control_plane", ADDRESS)?,
            internal_ports: (port(first)?, port(last)?),
            seed_nodes,
            bootstrap: read.parsed("bootstrap", "true or false")?.unwrap_or(false),
            data_directory: read.values.get("data_directory").map(|value| PathBuf::from(value.1.trim())),
            keepalive_ms: read.parsed("keepalive_ms", "whole milliseconds")?.unwrap_or(1200),
            node_failures: read.parsed("fault_tolerance.node_failures", "a whole number")?.unwrap_or(1),
            bounds,
        })
    }

    /// A bound of the rules, or what it usually is.
    pub fn bound(&self, name: &str, usual: f64) -> f64 {
        self.bounds.get(name).copied().unwrap_or(usual)
    }

    /// Where this process hears others of the fleet.
    pub fn internal(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.internal_ports.0)
    }

    /// Where the seeds hear others of the fleet: all machines have the same ports.
    pub fn internal_seeds(&self) -> Vec<SocketAddrV4> {
        self.seed_nodes.iter().map(|seed| SocketAddrV4::new(*seed.ip(), self.internal_ports.0)).collect()
    }
}
