//! A service and the engine of its model servers.

use core::time::Duration;

use tinyjson::JsonValue;

use crate::error::ConfigError;
use crate::json::object::Object;

/// One of `backend_services`.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Where a server tells whether it is healthy; `/health` when it is not given.
    pub health_path: String,
    /// How many connections a server takes from all callers together, at least 1; 64 when it is not given.
    pub max_connections: u32,
    /// How its servers generate, when they are model servers.
    pub engine: Option<Engine>,
}

/// How the model servers of a service work.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests in one batch, at least 1.
    pub slots: u32,
    /// Memory for running requests and kept parts, in tokens.
    pub cache_tokens: u64,
    /// What a token takes when memory moves.
    pub token_size_bytes: u64,
    /// The pace of a move, in Mbit/s; 0 when it is not given.
    pub link_mbps: f64,
    /// `stride`, at least 1.
    pub stride: u32,
    /// How long a server keeps a prefill handle; zero when it is not given.
    pub handle_ttl: Duration,
    /// How long a server takes to change its stage; zero when it is not given.
    pub stage_switch_time: Duration,
    /// The names in `model_list`.
    pub models: Vec<String>,
}

impl Service {
    pub(crate) fn read(object: &Object<'_>) -> Result<Service, ConfigError> {
        let engine = match object.get("engine") {
            None => None,
            Some(value) => Some(Engine::read(value, &object.place("engine"))?),
        };
        Ok(Service {
            name: object.name("name")?.to_owned(),
            health_path: object
                .string("health_path")?
                .filter(|path| !path.is_empty())
                .unwrap_or("/health")
                .to_owned(),
            max_connections: small(object, "max_connections")?.unwrap_or(64),
            engine,
        })
    }
}

impl Engine {
    fn read(value: &JsonValue, place: &str) -> Result<Engine, ConfigError> {
        let object = Object::within(value, place)?;
        let models = object.list("model_list")?.unwrap_or_default();
        Ok(Engine {
            slots: small(&object, "slots")?.unwrap_or(1),
            cache_tokens: object.count("cache_tokens", u64::MAX)?.unwrap_or(0),
            token_size_bytes: object.count("token_size_bytes", u64::MAX)?.unwrap_or(0),
            link_mbps: object.number("link_mbps")?.unwrap_or(0.0),
            stride: small(&object, "stride")?.unwrap_or(1),
            handle_ttl: object.seconds("handle_ttl_s")?.unwrap_or_default(),
            stage_switch_time: object.seconds("stage_switch_s")?.unwrap_or_default(),
            models: models.iter().filter_map(model).collect(),
        })
    }
}

fn small(object: &Object<'_>, key: &str) -> Result<Option<u32>, ConfigError> {
    let given = object.count(key, u64::from(u32::MAX))?;
    Ok(given.map(|given| u32::try_from(given).unwrap_or(u32::MAX).max(1)))
}

fn model(value: &JsonValue) -> Option<String> {
    let JsonValue::Object(fields) = value else { return None };
    match fields.get("name") {
        Some(JsonValue::String(name)) => Some(name.clone()),
        _ => None,
    }
}
