//! A client that opens a new connection for each request.

use std::net::SocketAddrV4;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{HeaderMap, HeaderName};
use hyper_util::rt::TokioIo;
use mosshead_time::Duration;
use tokio::net::TcpStream;

use super::HOST;

/// The default attempt id of clients.
pub(crate) const ATTEMPT_ID: &str = "9c41d07be2a35f68";
/// The default deadline of clients.
pub(crate) const CLIENT_TIMEOUT: Duration = Duration::from_millis(5000);
/// The body of clients' requests.
pub(crate) const REQUEST_BODY: &str = "a body";

/// A response as the client received it.
#[derive(Clone, Debug)]
pub(crate) struct ClientResponse {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
    /// True if the body ended regularly.
    pub(crate) is_complete: bool,
}

impl ClientResponse {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// Sends a request over a new connection.
pub(crate) async fn send_request(
    proxy: SocketAddrV4,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &'static str,
) -> ClientResponse {
    let stream = TcpStream::connect(proxy).await.expect("a connection");
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.expect("a handshake");
    tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    let request = build_request(method, path, headers, body);
    let response = sender.send_request(request).await.expect("a response");
    let (head, incoming) = response.into_parts();
    let (body, is_complete) = read_body(incoming).await;
    ClientResponse { status: head.status.as_u16(), headers: head.headers, body, is_complete }
}

/// Builds a request with default headers. A given header replaces the default one of the same name, or removes it if
/// its value is empty.
fn build_request(
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &'static str,
) -> Request<Full<Bytes>> {
    let request = Request::builder().method(method).uri(path);
    let mut request = request.body(Full::new(Bytes::from(body))).expect("a request");
    let timeout = CLIENT_TIMEOUT.as_millis().to_string();
    let default_headers = [("host", HOST), ("x-attempt-id", ATTEMPT_ID), ("x-deadline-ms", timeout.as_str())];
    for (name, value) in default_headers.iter().chain(headers) {
        let name: HeaderName = name.parse().expect("a name");
        if value.is_empty() {
            request.headers_mut().remove(name);
            continue;
        }
        request.headers_mut().insert(name, value.parse().expect("a value"));
    }
    request
}

/// Reads a body; returns the text that arrived, and true if the body ended regularly.
async fn read_body(mut incoming: Incoming) -> (String, bool) {
    let (mut received, mut is_complete) = (Vec::new(), true);
    while let Some(frame) = incoming.frame().await {
        let Ok(frame) = frame else {
            is_complete = false;
            break;
        };
        received.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data.as_ref()));
    }
    (String::from_utf8(received).expect("text"), is_complete)
}
