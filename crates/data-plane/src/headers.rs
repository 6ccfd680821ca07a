//! Header names (PROTOCOL.md, Requests and Answers), and the selection of headers that are forwarded.

use hyper::header::{
    CONNECTION, HeaderMap, HeaderName, HeaderValue, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::request::Parts;
use mosshead_time::Duration;

/// The client's id of its attempt; servers echo it.
pub(crate) const ATTEMPT_ID: HeaderName = HeaderName::from_static("x-attempt-id");
/// The time that the sender waits for the response, in milliseconds.
pub(crate) const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
/// The id of the only instance that may run the request; every other instance responds with 421.
pub(crate) const TARGET_INSTANCE: HeaderName = HeaderName::from_static("x-target-instance");
/// A header that shows that the server itself made a successful response.
pub(crate) const SERVER_SEAL: HeaderName = HeaderName::from_static("x-server-seal");
/// A server's statement that it did not run the request and never will.
pub(crate) const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
/// The priority of a request, from 0, the most urgent, to 9.
pub(crate) const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// With the value `prefill`, the server prefills the prompt and does not run the request.
pub(crate) const SERVING_STAGE: HeaderName = HeaderName::from_static("x-serving-stage");
/// The location from which a decode server fetches the KV cache, as `IP:PORT/HANDLE`.
pub(crate) const KV_FROM: HeaderName = HeaderName::from_static("kv-from");
/// The id of the last event of a stream that the client has received; the stream continues after it.
pub(crate) const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Headers that only the proxies set; they are removed from clients' requests.
pub(crate) const RESERVED_REQUEST_HEADERS: [&str; 6] =
    ["x-serving-stage", "kv-from", "x-target-instance", "priority", "expect-version", "expect"];

const HOP_BY_HOP: [HeaderName; 7] =
    [CONNECTION, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];

/// The capacity that is reserved for headers that the proxy adds.
const ADDED_HEADER_CAPACITY: usize = 6;

/// The headers without the hop-by-hop ones, including those that `Connection` names.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named_by_connection: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    let mut forwarded = HeaderMap::with_capacity(headers.len() + ADDED_HEADER_CAPACITY);
    for (name, value) in headers {
        let is_hop_by_hop = HOP_BY_HOP.contains(name)
            || name == "keep-alive"
            || name == "proxy-connection"
            || named_by_connection.iter().any(|named| named == name.as_str());
        if !is_hop_by_hop {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// The length of a request's head on the wire, in bytes.
pub(crate) fn head_bytes(head: &Parts) -> usize {
    let target = head.uri.path_and_query().map_or(0, |path| path.as_str().len());
    let request_line = head.method.as_str().len() + target + "  HTTP/1.1\r\n".len();
    let header =
        |(name, value): (&HeaderName, &HeaderValue)| name.as_str().len() + value.len() + ": \r\n".len();
    request_line + head.headers.iter().map(header).sum::<usize>() + "\r\n".len()
}

/// The time for which a server keeps an idle connection, if its `Keep-Alive` header has a `timeout`.
pub(crate) fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
