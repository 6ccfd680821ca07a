//! Sends one HTTP request of a control node to a model server, on a new connection.

use std::net::SocketAddrV4;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use mosshead_http_links::{ConnectOptions, OutboundConnection, PeerKind};
use mosshead_time::Duration;
use tokio::time::Instant;

/// The timeout for opening the connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The connection is closed if sent bytes are not acknowledged for this time (`TCP_USER_TIMEOUT`).
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(400);
const CONNECT_OPTIONS: ConnectOptions =
    ConnectOptions { timeout: CONNECT_TIMEOUT, user_timeout: Some(TCP_USER_TIMEOUT) };
/// The peer of these connections, a model server. Connection events are not logged.
const PEER_KIND: PeerKind = PeerKind::unlogged("server");

/// A response whose body is still to be read, with its connection.
pub(crate) struct OpenResponse {
    pub(crate) response: Response<Incoming>,
    /// Kept until the body is read, because dropping it closes the connection.
    _connection: OutboundConnection<Full<Bytes>>,
}

/// Sends the request once and reads the head of the response. Returns `None` if the connection fails, or if `may_send`
/// returns false right before the request is sent.
pub(crate) async fn call_server(
    address: SocketAddrV4,
    request: Request<Full<Bytes>>,
    may_send: impl Fn() -> bool,
    deadline: Instant,
) -> Option<OpenResponse> {
    let mut connection: OutboundConnection<Full<Bytes>> =
        OutboundConnection::open(PEER_KIND, address.into(), CONNECT_OPTIONS, ()).await?;
    // The permission to send may have expired while the connection was opened.
    if !connection.ready().await || !may_send() {
        return None;
    }
    let response = connection.send_with_deadline(request, deadline).await.ok()?;
    Some(OpenResponse { response, _connection: connection })
}
