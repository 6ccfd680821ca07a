//! Reads and checks the configuration, which is the platform's file.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::errors::ConfigError;
use crate::operators::OperatorConfig;
use mosshead_settings::{self as settings, JsonField, NamedSettings};
use mosshead_snapshot::server_list::{ServerList, read_server_list};
use tinyjson::JsonValue;

/// Keys that a new configuration may omit even if the previous one had them.
const OPTIONAL_KEYS: [&str; 6] = ["aim_stretch", "passes_deadline", "warm_keys", "fleet", "ops", "known"];

/// The configuration, read and checked.
#[derive(Clone, Debug)]
pub struct Config {
    /// The proxy's name, which is the same after a restart.
    pub name: String,
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// The address of the admin endpoint, if there is one.
    pub ops: Option<SocketAddr>,
    /// The address of discovery, which serves the endpoint list.
    pub discovery: SocketAddr,
    /// The seed of the balancer's random numbers.
    pub seed: u64,
    /// The memory limit, in MiB.
    pub memory_mb: f64,
    /// The limit on open descriptors.
    pub sockets: u64,
    /// The endpoint list to start with.
    pub known: ServerList,
    /// The balancer's settings, with the names of classes, tenants, zones and machine kinds.
    pub named: NamedSettings,
    /// The options in the operators' own file; they take effect only at the start.
    pub operators: OperatorConfig,
    /// The whole file, for [`Config::check_replacement`].
    json: Arc<JsonValue>,
}

impl Config {
    /// Checks that `next` has all keys of this configuration.
    ///
    /// # Errors
    /// The first key that the replacement lacks.
    pub fn check_replacement(&self, next: &Self) -> Result<(), ConfigError> {
        find_missing_key(&self.json, &next.json, "").map_or(Ok(()), |key| Err(ConfigError::MissingKey(key)))
    }

    /// Reads the text of a configuration.
    ///
    /// # Errors
    /// The text is not JSON, lacks a key, or has a value of the wrong type or out of range; the message names the key.
    pub fn read(text: &str) -> Result<Self, ConfigError> {
        let json = settings::parse_json(text)?;
        let top = JsonField::root(&json);
        let address = |name| -> Result<SocketAddr, ConfigError> {
            let found = top.field(name)?;
            found.string()?.parse().map_err(|_| found.broken_rule("not an address with a port").into())
        };
        let ops = top.optional_field("ops")?.map(|_| address("ops")).transpose()?;
        let seed = top.field("seed")?;
        let limits = top.field("limits")?;
        let mut named = settings::read_settings(&top.field("settings")?)?;
        // The protocol carries one request at a time on each connection, whatever the platform states. With a higher
        // value, the balancer would count free connections that don't exist.
        named.settings.limits.streams_per_connection = 1;
        named.settings.check()?;
        let sockets = limits.field("sockets")?;
        if sockets.integer()? < 64 {
            return Err(sockets.broken_rule("too few to serve: at least 64 are needed").into());
        }
        Ok(Self {
            name: top.field("name")?.string()?.to_owned(),
            listen: address("listen")?,
            ops,
            discovery: address("discovery")?,
            seed: u64::from_str_radix(seed.string()?, 16)
                .map_err(|_| seed.broken_rule("not a number in hex"))?,
            memory_mb: limits.field("memory_mb")?.number()?,
            sockets: sockets.integer()?,
            known: read_server_list(&top.field("known")?)?,
            named,
            operators: OperatorConfig::default(),
            json: Arc::new(json),
        })
    }
}

/// Returns the path of the first key of `old` that is missing in `new`: a key that was omitted by mistake would take
/// its default. Each object of a list needs the keys that all objects of the old list have.
fn find_missing_key(old: &JsonValue, new: &JsonValue, path: &str) -> Option<String> {
    let member = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    match (old, new) {
        (JsonValue::Object(old), JsonValue::Object(new)) => {
            let mut keys: Vec<_> =
                old.iter().filter(|(key, _)| !OPTIONAL_KEYS.contains(&key.as_str())).collect();
            keys.sort_by_key(|(key, _)| *key);
            keys.into_iter().find_map(|(key, value)| match new.get(key) {
                Some(found) => find_missing_key(value, found, &member(key)),
                None => Some(member(key)),
            })
        }
        (JsonValue::Array(old), JsonValue::Array(new)) => {
            let object = |value: &JsonValue| value.get::<HashMap<String, JsonValue>>().cloned();
            let all: Vec<_> = old.iter().filter_map(object).collect();
            let mut common = all.first().cloned().unwrap_or_default();
            common.retain(|key, _| all.iter().all(|object| object.contains_key(key)));
            let common = JsonValue::Object(common.into_keys().map(|key| (key, JsonValue::Null)).collect());
            let each = new.iter().enumerate().filter(|(_, value)| matches!(value, JsonValue::Object(_)));
            each.map(|(at, value)| (format!("{path}[{at}]"), value))
                .find_map(|(path, value)| find_missing_key(&common, value, &path))
        }
        _ => None,
    }
}
