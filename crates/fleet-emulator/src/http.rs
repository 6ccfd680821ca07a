//! One HTTP exchange on a connection of its own.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use mosshead_http_links::{OutboundConnection, PeerKind};
use tokio::time::timeout;

const PEER: PeerKind = PeerKind::unlogged("fleet");
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A response, with the connection that its body comes from.
pub(crate) struct OpenResponse {
    pub(crate) response: Response<Incoming>,
    /// Dropping it closes it: it is kept until the body was read.
    pub(crate) connection: OutboundConnection<Full<Bytes>>,
}

/// Sends a request. `None` if there is no response in time.
pub(crate) async fn send(
    to: SocketAddrV4,
    request: Request<Full<Bytes>>,
    body_length: usize,
    time: Duration,
) -> Option<OpenResponse> {
    let mut connection = OutboundConnection::open(PEER, to.into(), CONNECT_TIMEOUT, ()).await?;
    let response = timeout(time, connection.send(request, body_length)).await.ok()?.ok()?;
    Some(OpenResponse { response, connection })
}

/// Sends a request with a JSON body, or none, and reads the response to its end.
pub(crate) async fn exchange(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    time: Duration,
) -> Option<(StatusCode, String)> {
    let mut request = Request::builder().method(method).uri(path).header("host", to.to_string());
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let body = Bytes::copy_from_slice(body.as_bytes());
    let length = body.len();
    let request = request.header("content-length", length).body(Full::new(body)).ok()?;
    let OpenResponse { response, connection: _connection } = send(to, request, length, time).await?;
    let status = response.status();
    let body = timeout(time, response.into_body().collect()).await.ok()?.ok()?.to_bytes();
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
