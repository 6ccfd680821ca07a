//! One call of a control node to a model server, on a connection of its own.

use std::net::SocketAddrV4;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use mosshead_http_links::{ConnectOptions, OutboundConnection, PeerKind};
use mosshead_time::Duration;
use tokio::time::Instant;

/// The longest time until the connection is open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Bytes that are not acknowledged for this time end the connection (`TCP_USER_TIMEOUT`).
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(400);
const CONNECT_OPTIONS: ConnectOptions =
    ConnectOptions { timeout: CONNECT_TIMEOUT, user_timeout: Some(TCP_USER_TIMEOUT) };
/// The peer of these connections, a model server. What happens to them is not logged here.
const PEER_KIND: PeerKind = PeerKind::unlogged("server");

/// The head of a response, with the connection that its body comes from.
pub(crate) struct OpenResponse {
    pub(crate) response: Response<Incoming>,
    /// Dropping it closes it: it is kept until the body was read.
    _connection: OutboundConnection<Full<Bytes>>,
}

/// Sends the request once and reads the head of its response. `None` if the connection fails, or if `may_send` says no
/// right before the first byte.
pub(crate) async fn call_server(
    address: SocketAddrV4,
    request: Request<Full<Bytes>>,
    may_send: impl Fn() -> bool,
    deadline: Instant,
) -> Option<OpenResponse> {
    let mut connection: OutboundConnection<Full<Bytes>> =
        OutboundConnection::open(PEER_KIND, address.into(), CONNECT_OPTIONS, ()).await?;
    // The reason to send may have gone while the connection was opened.
    if !connection.ready().await || !may_send() {
        return None;
    }
    let response = connection.send_with_deadline(request, deadline).await.ok()?;
    Some(OpenResponse { response, _connection: connection })
}
