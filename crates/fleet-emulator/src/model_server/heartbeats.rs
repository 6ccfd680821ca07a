//! What a model server tells the control nodes: heartbeats, its draining and its end.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use mosshead_fleet_rules::{Acknowledgement, Drain};
use serde_json::json;
use tokio::time::sleep;

use super::engine::SLOTS;
use super::{ModelServer, ServerStage};
use crate::http::exchange;
use crate::machines::Ports;
use crate::operator::MODEL;

/// From one heartbeat to the next.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// A server listens this long for the acknowledgement of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The pause until the next control node is called.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Calls until a server gives up and ends all the same.
const MAX_CALLS: usize = 20;

/// Sends heartbeats for as long as the future is polled.
pub(super) async fn send_heartbeats(server: Rc<ModelServer>, ports: Ports, control_nodes: usize) {
    let sequence = Cell::new(0);
    loop {
        call_any(&server, &ports, control_nodes, || heartbeat(&server, &sequence)).await;
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Reports that the server is draining until that is acknowledged.
pub(super) async fn announce_draining(server: &ModelServer, ports: &Ports, control_nodes: usize) {
    // Above all heartbeats so far.
    let sequence = Cell::new(1 << 40);
    let control_node = call_any(server, ports, control_nodes, || heartbeat(server, &sequence)).await;
    record_drain(server, control_node);
}

/// Reports that the server has ended.
pub(super) async fn deregister(server: &ModelServer, ports: &Ports, control_nodes: usize) {
    let path = format!("/Instances.Deregister/{}", server.instance_id);
    let control_node = call_any(server, ports, control_nodes, || (path.clone(), String::new())).await;
    record_drain(server, control_node);
}

fn record_drain(server: &ModelServer, control_node: Option<usize>) {
    let Some(control_node) = control_node else { return };
    let acknowledgement = Acknowledgement { at: server.environment.recorder.now(), control_node };
    let instance = server.instance_id.clone();
    server.environment.recorder.record(|history| history.drains.push(Drain { instance, acknowledgement }));
}

fn heartbeat(server: &ModelServer, sequence: &Cell<u64>) -> (String, String) {
    sequence.set(sequence.get() + 1);
    let body = json!({
        "backend_service": server.role.service(),
        "address": server.address.to_string(),
        "zone": server.zone,
        "revision": "v1",
        "slots": SLOTS,
        "oper_state": if server.is_draining.get() { "draining" } else { "up" },
        "warmup_left_ms": 0,
        "stage": server.stage.get().map(ServerStage::name),
        "model_list": [{"name": MODEL, "revision": 1, "adapter_list": []}],
        "sequence": sequence.get(),
    });
    (format!("/Instances.Keepalive/{}", server.instance_id), body.to_string())
}

/// Calls one control node after the other until one acknowledges; returns its number. Servers begin with different
/// ones. `call` makes the path and the body of each attempt.
async fn call_any(
    server: &ModelServer,
    ports: &Ports,
    control_nodes: usize,
    mut call: impl FnMut() -> (String, String),
) -> Option<usize> {
    for attempt in 0..MAX_CALLS {
        let (path, body) = call();
        let control_node = (server.number + attempt) % control_nodes.max(1);
        let to = ports.control_api_of(control_node);
        let response = exchange(to, "POST", &path, &[], &body, CALL_TIMEOUT).await;
        if response.is_some_and(|(status, _)| status == StatusCode::OK) {
            return Some(control_node);
        }
        sleep(RETRY_PAUSE).await;
    }
    None
}
