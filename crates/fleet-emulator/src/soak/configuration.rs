//! The configurations of a soak. Each has a route that no other one has, so that a probe of it shows which configuration is
//! in force.

use serde_json::{Value, json};

use crate::operator::{HOST, MODEL, SERVICE, TARGET_LATENCY};

/// The service of requests without a prompt.
pub(super) const PLAIN_SERVICE: &str = "booking";
/// Requests that may run more than once.
pub(super) const IDEMPOTENT_PATH: &str = "/lookup/x";
/// Requests that may run once.
pub(super) const NON_IDEMPOTENT_PATH: &str = "/book/x";
/// Streams that may be resumed.
pub(super) const RESUMABLE_PATH: &str = "/assist/x";
/// Streams that may not be resumed.
pub(super) const NOT_RESUMABLE_PATH: &str = "/write/x";
/// `timeout_ms` of all routes.
pub(super) const ROUTE_TIMEOUT_MILLIS: u64 = 5_000;
/// `max_body_bytes`.
pub(super) const MAX_BODY_BYTES: usize = 262_144;

/// The path of the route that only the configuration with this revision has.
pub(super) fn probe_path(revision: u64) -> String {
    format!("/revision-{revision}/x")
}

/// The configuration with this revision.
pub(super) fn configuration(revision: u64) -> Value {
    let routes = [
        route(IDEMPOTENT_PATH, "idempotent", PLAIN_SERVICE),
        route(NON_IDEMPOTENT_PATH, "non_idempotent", PLAIN_SERVICE),
        route(&probe_path(revision), "idempotent", PLAIN_SERVICE),
        stream_route(RESUMABLE_PATH, true),
        stream_route(NOT_RESUMABLE_PATH, false),
    ];
    let mut prompts = service(SERVICE);
    prompts["engine"] = json!({"slots": 16, "cache_tokens": 200_000, "token_size_bytes": 65_536,
        "link_mbps": 100_000.0, "stride": 4, "handle_ttl_s": 5.0, "stage_switch_s": 0.5,
        "model_list": [{"name": MODEL}]});
    json!({
        "revision": revision,
        "route_entries": routes,
        "backend_services": [service(PLAIN_SERVICE), prompts],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": MAX_BODY_BYTES, "header_timeout_ms": 3_000,
                   "idle_timeout_ms": 15_000},
    })
}

fn service(name: &str) -> Value {
    json!({"name": name, "health_path": "/health", "max_connections": 2_000, "protocol": "h1", "tls": false})
}

fn route(path: &str, kind: &str, service: &str) -> Value {
    let name = path.trim_matches(['/', 'x']).to_owned();
    json!({"name": name, "host_header": HOST, "path_prefix": path.trim_end_matches('x'), "route_type": kind,
           "timeout_ms": ROUTE_TIMEOUT_MILLIS, "target_latency_ms": TARGET_LATENCY.as_millis() as u64,
           "priority": 1, "backend_service": service, "retry_count": 3})
}

fn stream_route(path: &str, is_resumable: bool) -> Value {
    let mut route = route(path, "streaming", SERVICE);
    route["persistence"] = json!(true);
    route["resume"] = json!(is_resumable);
    route["gap_aim_ms"] = json!(250);
    route
}
