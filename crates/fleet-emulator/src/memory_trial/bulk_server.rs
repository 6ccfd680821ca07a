//! Servers that read long bodies, send long answers and long streams.

use std::net::SocketAddrV4;
use std::time::Duration;

use mosshead_http_links::accept;
use serde_json::json;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::sleep;

use crate::error::FleetEmulatorError;
use crate::http::exchange;
use crate::machines::{MachineKind, Ports, address};
use crate::model_server::HEARTBEAT_INTERVAL;
use crate::operator::{HOST, MODEL};

/// The paths of the routes.
pub(super) const UPLOAD_PATH: &str = "/upload/x";
pub(super) const ANSWER_PATH: &str = "/answer/x";
pub(super) const STREAM_PATH: &str = "/stream/x";
/// The greatest body that the configuration allows, in bytes.
pub(super) const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// The length of a long answer, in bytes.
const ANSWER_BYTES: usize = 2 * 1024 * 1024;
/// The events of a stream, and the length of each in bytes.
pub(super) const STREAM_EVENTS: usize = 60;
const EVENT_BYTES: usize = 8 * 1024;
/// How long a server works on a body.
const WORK_TIME: Duration = Duration::from_millis(500);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
const BULK: &str = "bulk";
const STREAMS: &str = "streams";
const SEAL: &str = "X-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1";

/// The configuration for these servers.
pub(super) fn configuration() -> String {
    let route = |name: &str, kind: &str, service: &str| {
        json!({"name": name, "host_header": HOST, "path_prefix": format!("/{name}/"), "route_type": kind,
               "timeout_ms": 20_000, "target_latency_ms": 3_000, "priority": 1, "backend_service": service,
               "retry_count": 1, "persistence": kind == "streaming", "gap_aim_ms": 200})
    };
    let service = |name: &str| json!({"name": name, "health_path": "/health", "max_connections": 1_000, "protocol": "h1", "tls": false});
    let mut streams = service(STREAMS);
    streams["engine"] = json!({"slots": 64, "cache_tokens": 200_000, "token_size_bytes": 65_536,
        "link_mbps": 100_000.0, "stride": 4, "handle_ttl_s": 5.0, "stage_switch_s": 0.5,
        "model_list": [{"name": MODEL}]});
    json!({
        "revision": 1,
        "route_entries": [route("upload", "non_idempotent", BULK), route("answer", "idempotent", BULK),
                          route("stream", "streaming", STREAMS)],
        "backend_services": [service(BULK), streams],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": MAX_BODY_BYTES, "header_timeout_ms": 3_000,
                   "idle_timeout_ms": 15_000},
    })
    .to_string()
}

/// A server, which ends when this is dropped.
pub(super) struct BulkServer {
    tasks: [AbortHandle; 2],
}

impl BulkServer {
    /// The number of servers.
    pub(super) const COUNT: usize = 2;

    /// Starts one server of each service.
    pub(super) async fn start_all(ports: Ports) -> Result<[BulkServer; Self::COUNT], FleetEmulatorError> {
        Ok([BulkServer::start(0, BULK, ports).await?, BulkServer::start(1, STREAMS, ports).await?])
    }

    async fn start(
        number: usize,
        service: &'static str,
        ports: Ports,
    ) -> Result<BulkServer, FleetEmulatorError> {
        let ip = address(MachineKind::ModelServer, number);
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = SocketAddrV4::new(ip, listener.local_addr()?.port());
        let serving = tokio::task::spawn_local(async move {
            loop {
                let stream = accept(&listener).await;
                tokio::task::spawn_local(serve(stream));
            }
        });
        let heartbeats = tokio::task::spawn_local(send_heartbeats(number, service, address, ports));
        Ok(BulkServer { tasks: [serving.abort_handle(), heartbeats.abort_handle()] })
    }
}

impl Drop for BulkServer {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

async fn send_heartbeats(number: usize, service: &str, address: SocketAddrV4, ports: Ports) {
    let path = format!("/Instances.Keepalive/i-{number}");
    for sequence in 1_u64.. {
        let stage = if service == STREAMS { "decode" } else { "" };
        let body = json!({"backend_service": service, "address": address.to_string(), "zone": "east-a",
            "revision": "v1", "slots": 600, "oper_state": "up", "stage": stage, "sequence": sequence,
            "model_list": [{"name": MODEL, "revision": 1, "adapter_list": []}]});
        let _ = exchange(ports.control_api_of(0), "POST", &path, &[], &body.to_string(), CALL_TIMEOUT).await;
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Serves a connection until an error.
async fn serve(stream: TcpStream) {
    let mut stream = BufReader::new(stream);
    while serve_request(&mut stream).await.is_ok() {}
}

async fn serve_request(stream: &mut BufReader<TcpStream>) -> std::io::Result<()> {
    let request = RequestHead::read(stream).await?;
    tokio::io::copy(&mut stream.take(request.body_length), &mut tokio::io::sink()).await?;
    let head = format!("HTTP/1.1 200 OK\r\n{SEAL}\r\nX-Attempt-Id: {}\r\n", request.attempt_id);
    let answer = |body: &str| format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
    match request.path.as_str() {
        "/report" => stream.write_all(answer(r#"{"queued":0,"active":0}"#).as_bytes()).await,
        STREAM_PATH => {
            stream.write_all(format!("{head}Transfer-Encoding: chunked\r\n\r\n").as_bytes()).await?;
            for number in 1..=STREAM_EVENTS {
                let event = format!("id: {number}\ndata: {}\n\n", "x".repeat(EVENT_BYTES));
                stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).await?;
            }
            stream.write_all(b"0\r\n\r\n").await
        }
        ANSWER_PATH => {
            sleep(WORK_TIME).await;
            stream.write_all(answer(&"x".repeat(ANSWER_BYTES)).as_bytes()).await
        }
        _ => {
            sleep(WORK_TIME).await;
            stream.write_all(answer("stored").as_bytes()).await
        }
    }
}

/// What a server looks at in the head of a request.
#[derive(Default)]
struct RequestHead {
    path: String,
    attempt_id: String,
    body_length: u64,
}

impl RequestHead {
    async fn read(stream: &mut BufReader<TcpStream>) -> std::io::Result<RequestHead> {
        let mut head = RequestHead::default();
        loop {
            let mut line = String::new();
            if stream.read_line(&mut line).await? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            let line = line.trim_end();
            if line.is_empty() {
                return Ok(head);
            }
            match line.split_once(": ") {
                None => line.split(' ').nth(1).unwrap_or_default().clone_into(&mut head.path),
                Some((name, value)) if name.eq_ignore_ascii_case("x-attempt-id") => {
                    value.clone_into(&mut head.attempt_id);
                }
                Some((name, value)) if name.eq_ignore_ascii_case("content-length") => {
                    head.body_length = value.parse().unwrap_or(0);
                }
                Some(_) => {}
            }
        }
    }
}
