//! Calls of the operator to one process: a request without a body, and the JSON of its response.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use anyhow::{Context, bail};
use serde_json::Value;

/// How long connecting, writing and each read may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest response that is read, in bytes.
const MAX_RESPONSE_BYTES: u64 = 4 * 1024 * 1024;

/// The status and the body of a response.
#[derive(Debug)]
pub(crate) struct JsonResponse {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

/// Sends a request on a connection of its own.
pub(crate) fn call(address: SocketAddr, method: &str, path: &str) -> anyhow::Result<JsonResponse> {
    let mut stream = TcpStream::connect_timeout(&address, CALL_TIMEOUT).context("no connection")?;
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    stream.set_write_timeout(Some(CALL_TIMEOUT))?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes())?;
    let mut response = String::new();
    stream.take(MAX_RESPONSE_BYTES).read_to_string(&mut response).context("no answer")?;
    let Some((head, body)) = response.split_once("\r\n\r\n") else { bail!("no answer") };
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).context("no HTTP")?;
    let body = serde_json::from_str(body).unwrap_or(Value::Null);
    Ok(JsonResponse { status, body })
}

/// The JSON of a resource.
pub(crate) fn get(address: SocketAddr, path: &str) -> anyhow::Result<Value> {
    let JsonResponse { status, body } = call(address, "GET", path)?;
    if status != 200 {
        bail!("it does not know of this call: status {status}");
    }
    if body.is_null() {
        bail!("an answer that cannot be read");
    }
    Ok(body)
}
