//! The operator: configurations, sent to any control node until one acknowledges them.

use std::time::Duration;

use hyper::StatusCode;
use tokio::time::{Instant, sleep};

use crate::error::FleetEmulatorError;
use crate::http::exchange;
use crate::machines::Ports;

/// The host of all routes.
pub(crate) const HOST: &str = "fleet.example";
/// The path of the clients' prompts.
pub(crate) const PROMPT_PATH: &str = "/assist/prompt";
/// The service of the model servers.
pub(crate) const SERVICE: &str = "assistant";
/// The only model.
pub(crate) const MODEL: &str = "m";
/// The time within which the first event of a stream is wanted.
pub(crate) const TARGET_LATENCY: Duration = Duration::from_millis(300);

const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Within this a configuration is acknowledged, or something is wrong.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends a configuration with so many routes beside that of the prompts.
pub(crate) async fn configure(
    ports: &Ports,
    control_nodes: usize,
    base_revision: u64,
    revision: u64,
) -> Result<(), FleetEmulatorError> {
    replace_configuration(ports, control_nodes, base_revision, &configuration(revision)).await
}

/// Sends a configuration until it is acknowledged.
pub(crate) async fn replace_configuration(
    ports: &Ports,
    control_nodes: usize,
    base_revision: u64,
    body: &str,
) -> Result<(), FleetEmulatorError> {
    let base = base_revision.to_string();
    let deadline = Instant::now() + ACKNOWLEDGEMENT_TIMEOUT;
    let mut node = 0;
    while Instant::now() < deadline {
        let to = ports.control_api_of(node % control_nodes.max(1));
        let headers = [("x-base-revision", base.as_str())];
        let response = exchange(to, "POST", "/Configuration.Replace", &headers, body, CALL_TIMEOUT).await;
        if response.is_some_and(|(status, _)| status == StatusCode::OK) {
            return Ok(());
        }
        node += 1;
        sleep(RETRY_PAUSE).await;
    }
    Err(FleetEmulatorError::NotReady("no control node acknowledges the configuration"))
}

/// Each revision has one route more than the one before.
fn configuration(revision: u64) -> String {
    let extra: String = (1..revision)
        .map(|number| {
            format!(
                r#",{{"name":"extra-{number}","host_header":"{HOST}","path_prefix":"/extra-{number}/",
                "route_type":"idempotent","timeout_ms":2000,"priority":5,"backend_service":"{SERVICE}","retry_count":2}}"#
            )
        })
        .collect();
    format!(
        r#"{{"revision":{revision},"route_entries":[{{"name":"prompts","host_header":"{HOST}","path_prefix":"/assist/",
        "route_type":"streaming","timeout_ms":5000,"target_latency_ms":{target},"priority":0,
        "backend_service":"{SERVICE}","retry_count":3,"persistence":true,"resume":true,"gap_aim_ms":250}}{extra}],
        "backend_services":[{{"name":"{SERVICE}","health_path":"/health","max_connections":300,"protocol":"h1",
        "tls":false,"engine":{{"slots":16,"cache_tokens":200000,"token_size_bytes":65536,"link_mbps":100000.0,
        "stride":4,"handle_ttl_s":5.0,"stage_switch_s":0.5,"model_list":[{{"name":"{MODEL}"}}]}}}}],
        "limits":{{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        target = TARGET_LATENCY.as_millis(),
    )
}
