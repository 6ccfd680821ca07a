//! The endpoints that model servers call: heartbeats and deregistration.

use hyper::StatusCode;

use super::heartbeat::parse_heartbeat;
use super::response::{ApiResponse, ResultCode, code_only, json, unavailable};
use crate::control_node::ControlNode;

/// `/Instances.Keepalive/ID`: records a server's heartbeat.
pub(super) async fn keepalive(control_node: &ControlNode, id: &str, body: &[u8]) -> ApiResponse {
    match parse_heartbeat(id, body) {
        Some(server) => acknowledgement(control_node.record_heartbeat(server).await),
        None => code_only(StatusCode::BAD_REQUEST, ResultCode::InvalidHeartbeat),
    }
}

/// `/Instances.Deregister/ID`: records that a server has shut down.
pub(super) async fn deregister(control_node: &ControlNode, id: &str) -> ApiResponse {
    acknowledgement(control_node.deregister(id).await)
}

fn acknowledgement(is_acknowledged: bool) -> ApiResponse {
    if is_acknowledged { json(StatusCode::OK, "{}") } else { unavailable() }
}
