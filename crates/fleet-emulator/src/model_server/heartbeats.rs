//! What a model server tells the control nodes: heartbeats, its draining and its end.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use serde_json::json;
use tokio::time::sleep;

use super::ModelServer;
use super::engine::SLOTS;
use crate::http::exchange;
use crate::machines::Ports;
use crate::operator::{MODEL, SERVICE};

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
        call_any(&ports, control_nodes, |_| heartbeat(&server, &sequence)).await;
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Reports that the server is draining until that is acknowledged.
pub(super) async fn announce_draining(server: &ModelServer, ports: &Ports, control_nodes: usize) {
    // Above all heartbeats so far.
    let sequence = Cell::new(1 << 40);
    call_any(ports, control_nodes, |_| heartbeat(server, &sequence)).await;
}

/// Reports that the server has ended.
pub(super) async fn deregister(server: &ModelServer, ports: &Ports, control_nodes: usize) {
    let path = format!("/Instances.Deregister/{}", server.instance_id);
    call_any(ports, control_nodes, |_| (path.clone(), String::new())).await;
}

fn heartbeat(server: &ModelServer, sequence: &Cell<u64>) -> (String, String) {
    sequence.set(sequence.get() + 1);
    let body = json!({
        "backend_service": SERVICE,
        "address": server.address.to_string(),
        "zone": server.zone,
        "revision": "v1",
        "slots": SLOTS,
        "oper_state": if server.is_draining.get() { "draining" } else { "up" },
        "warmup_left_ms": 0,
        "stage": server.stage.get().name(),
        "model_list": [{"name": MODEL, "revision": 1, "adapter_list": []}],
        "sequence": sequence.get(),
    });
    (format!("/Instances.Keepalive/{}", server.instance_id), body.to_string())
}

/// Calls one control node after the other until one acknowledges. `call` makes the path and the body of each attempt.
async fn call_any(ports: &Ports, control_nodes: usize, mut call: impl FnMut(usize) -> (String, String)) {
    for attempt in 0..MAX_CALLS {
        let (path, body) = call(attempt);
        let to = ports.control_api_of(attempt % control_nodes.max(1));
        let response = exchange(to, "POST", &path, &[], &body, CALL_TIMEOUT).await;
        if response.is_some_and(|(status, _)| status == StatusCode::OK) {
            return;
        }
        sleep(RETRY_PAUSE).await;
    }
}
