//! Fetches the load reports of model servers for the owner of the stage role.

use std::net::SocketAddrV4;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::header::HOST;
use mosshead_data_plane::{MAX_REPORT_BYTES, ServerReport};
use mosshead_time::Duration;
use tokio::time::{Instant, timeout_at};

use crate::server_call::call_server;

/// The timeout for a report, from opening the connection to the last byte.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Fetches the server's load report without retries; `None` if no valid report arrives in time.
pub async fn fetch_report(address: SocketAddrV4) -> Option<ServerReport> {
    let deadline = Instant::now() + REPORT_TIMEOUT;
    timeout_at(deadline, exchange(address, deadline)).await.ok().flatten()
}

async fn exchange(address: SocketAddrV4, deadline: Instant) -> Option<ServerReport> {
    let request =
        Request::get("/report").header(HOST, address.to_string()).body(Full::new(Bytes::new())).ok()?;
    let mut opened = call_server(address, request, || true, deadline).await?;
    if !opened.response.status().is_success() {
        return None;
    }
    let body = Limited::new(opened.response.body_mut(), MAX_REPORT_BYTES).collect().await.ok()?;
    ServerReport::parse(&body.to_bytes())
}
