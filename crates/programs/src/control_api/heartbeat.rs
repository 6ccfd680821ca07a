//! Parses the heartbeats of model servers from JSON. Unknown fields are ignored, so that servers may send more than is
//! used.

use std::collections::HashMap;

use mosshead_registry::{Model, OperState, Server, Stage};
use mosshead_time::Duration;
use tinyjson::JsonValue;

/// The maximum length of a server id, in bytes.
const MAX_ID_BYTES: usize = 200;
/// The maximum length of a heartbeat, in bytes.
const MAX_HEARTBEAT_BYTES: usize = 256 * 1024;
/// The maximum number of models of a server; further ones are ignored.
const MAX_MODELS: usize = 256;
/// The maximum number of adapters of a model; further ones are ignored.
const MAX_ADAPTERS: usize = 4096;
/// 2^53: a JSON number (an `f64`) represents every integer up to this one exactly.
const MAX_EXACT_INTEGER: f64 = 9_007_199_254_740_992.0;

type JsonObject = HashMap<String, JsonValue>;

/// Parses the heartbeat of the server with this id. Returns `None` if the id or the body is too long, the body is not
/// a JSON object, or the service or the address (IPv4 with a port) is missing.
pub fn parse_heartbeat(id: &str, body: &[u8]) -> Option<Server> {
    if id.is_empty() || id.len() > MAX_ID_BYTES || body.len() > MAX_HEARTBEAT_BYTES {
        return None;
    }
    let value = mosshead_config::parse_json(body)?;
    let fields: &JsonObject = value.get()?;
    Some(Server {
        id: id.to_owned(),
        service: string_field(fields, "backend_service")?,
        address: string_field(fields, "address")?.parse().ok()?,
        zone: string_field(fields, "zone").unwrap_or_default(),
        software_revision: string_field(fields, "revision").unwrap_or_default(),
        slots: integer_field(fields, "slots").unwrap_or(1).min(u64::from(u32::MAX)) as u32,
        state: parse_state(fields),
        is_suspected: false,
        warmup_remaining: Duration::from_millis(integer_field(fields, "warmup_left_ms").unwrap_or(0)),
        stage: parse_stage(fields),
        models: parse_models(fields),
        sequence: integer_field(fields, "sequence").unwrap_or(0),
    })
}

fn parse_state(fields: &JsonObject) -> OperState {
    match string_field(fields, "oper_state").as_deref() {
        Some("draining") => OperState::Draining,
        _ => OperState::Up,
    }
}

fn parse_stage(fields: &JsonObject) -> Option<Stage> {
    match string_field(fields, "stage").as_deref() {
        Some("prefill") => Some(Stage::Prefill),
        Some("decode") => Some(Stage::Decode),
        _ => None,
    }
}

fn parse_models(fields: &JsonObject) -> Vec<Model> {
    let objects = array_field(fields, "model_list").iter().take(MAX_MODELS);
    objects.filter_map(|object| object.get::<JsonObject>()).map(parse_model).collect()
}

fn parse_model(fields: &JsonObject) -> Model {
    let adapters = array_field(fields, "adapter_list").iter();
    Model {
        name: string_field(fields, "name").unwrap_or_default(),
        revision: integer_field(fields, "revision").unwrap_or(0),
        adapters: adapters
            .filter_map(|adapter| adapter.get::<String>().cloned())
            .take(MAX_ADAPTERS)
            .collect(),
    }
}

fn string_field(fields: &JsonObject, name: &str) -> Option<String> {
    fields.get(name)?.get::<String>().cloned()
}

/// A number from 0 to [`MAX_EXACT_INTEGER`], rounded down; `None` for any other value.
fn integer_field(fields: &JsonObject, name: &str) -> Option<u64> {
    let value = *fields.get(name)?.get::<f64>()?;
    // A larger number may have been rounded, and `u64::MAX` is the sequence number of a deregistered server.
    (0.0..=MAX_EXACT_INTEGER).contains(&value).then_some(value as u64)
}

fn array_field<'a>(fields: &'a JsonObject, name: &str) -> &'a [JsonValue] {
    let array = fields.get(name).and_then(|value| value.get::<Vec<JsonValue>>());
    array.map(Vec::as_slice).unwrap_or_default()
}
