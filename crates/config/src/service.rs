//! A service and the engine of its model servers.

use core::time::Duration;

use tinyjson::JsonValue;

use crate::error::ConfigError;
use crate::json::object::Object;

const DEFAULT_HEALTH_PATH: &str = "/health";
const DEFAULT_MAX_CONNECTIONS: u32 = 64;

/// One of `backend_services`.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The name; not empty and unique among the services.
    pub name: String,
    /// The path of the health check; `/health` if it is not given or empty.
    pub health_path: String,
    /// The maximum number of connections that a server accepts from all clients together, at least 1; 64 if it is not
    /// given.
    pub max_connections: u32,
    /// The engine of the servers, if they are model servers.
    pub engine: Option<Engine>,
}

/// The engine of a service's model servers. The data plane only checks if a service has an engine, and reads the
/// prompts of requests for such services. The fields are validated, but not otherwise used in this workspace.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// The number of requests that a server runs in one batch, at least 1.
    pub slots: u32,
    /// The capacity of a server's KV cache for running requests and cached prefixes, in tokens; 0 if it is not given.
    pub cache_tokens: u64,
    /// The size of one token in the KV cache, in bytes; 0 if it is not given.
    pub token_size_bytes: u64,
    /// The rate at which a server fetches a KV cache, in Mbit/s; 0 if it is not given.
    pub link_mbps: f64,
    /// The field `stride`, at least 1; 1 if it is not given.
    pub stride: u32,
    /// The time for which a server keeps a prefill handle that is not fetched; zero if it is not given.
    pub handle_ttl: Duration,
    /// The time that a server takes to change its stage; zero if it is not given.
    pub stage_switch_time: Duration,
    /// The names in `model_list`.
    pub models: Vec<String>,
}

impl Service {
    pub(crate) fn from_object(object: &Object<'_>) -> Result<Service, ConfigError> {
        let engine = object.get("engine");
        let engine =
            engine.map(|value| Engine::from_value(value, &object.location_of("engine"))).transpose()?;
        let name = object.required_string("name")?.to_owned();
        let health_path = object.string("health_path")?.filter(|path| !path.is_empty());
        Ok(Service {
            name,
            health_path: health_path.unwrap_or(DEFAULT_HEALTH_PATH).to_owned(),
            max_connections: object.small_count("max_connections")?.unwrap_or(DEFAULT_MAX_CONNECTIONS).max(1),
            engine,
        })
    }
}

impl Engine {
    fn from_value(value: &JsonValue, location: &str) -> Result<Engine, ConfigError> {
        let object = Object::from_value(value, location)?;
        let models = object.array("model_list")?.unwrap_or_default();
        Ok(Engine {
            slots: object.small_count("slots")?.unwrap_or(1).max(1),
            cache_tokens: object.count("cache_tokens")?.unwrap_or(0),
            token_size_bytes: object.count("token_size_bytes")?.unwrap_or(0),
            link_mbps: object.number("link_mbps")?.unwrap_or(0.0),
            stride: object.small_count("stride")?.unwrap_or(1).max(1),
            handle_ttl: object.seconds("handle_ttl_s")?.unwrap_or_default(),
            stage_switch_time: object.seconds("stage_switch_s")?.unwrap_or_default(),
            models: models.iter().filter_map(model_name).collect(),
        })
    }
}

fn model_name(value: &JsonValue) -> Option<String> {
    let JsonValue::Object(fields) = value else { return None };
    match fields.get("name") {
        Some(JsonValue::String(name)) => Some(name.clone()),
        _ => None,
    }
}
