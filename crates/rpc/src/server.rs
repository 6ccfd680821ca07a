//! The RPC server: accepts connections, and passes calls to their handlers.

use std::convert::Infallible;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use mosshead_http_links::{BodyError, read_body, set_tcp_options};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use crate::call::Peer;
use crate::connection_table::{ConnectionActivity, ConnectionTable, UseCounter};
use crate::error::{CALL_ID_HEADER, CallRejection, RESULT_CODE_HEADER};
use crate::handlers::Handlers;
use crate::tcp::USER_TIMEOUT;

/// The delay after a failed accept. Without a free file descriptor, accepting would fail in a busy loop.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Serves calls until the future is dropped. Dropping it closes all connections, but running handlers continue.
/// Requires a `tokio::task::LocalSet`.
pub async fn serve(listener: TcpListener, handlers: Rc<Handlers>) {
    let max_connections = handlers.limits().max_connections.max(1);
    let use_counter = UseCounter::default();
    let mut tasks = JoinSet::new();
    let mut connections = ConnectionTable::default();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(ended) = tasks.join_next_with_id() => {
                connections.remove(ended.map_or_else(|error| error.id(), |(id, ())| id));
                continue;
            }
        };
        let is_full = connections.len() >= max_connections;
        // A failed accept may be caused by a lack of file descriptors, so an idle connection is closed in this case,
        // too.
        if is_full || accepted.is_err() {
            let has_closed_one = connections.close_least_recently_used();
            if is_full && !has_closed_one {
                continue;
            }
        }
        let Ok((stream, SocketAddr::V4(address))) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        let activity = ConnectionActivity::new(&use_counter);
        let connection = serve_connection(stream, address, Rc::clone(&handlers), Rc::clone(&activity));
        connections.insert(activity, tasks.spawn_local(connection));
    }
}

async fn serve_connection(
    stream: TcpStream,
    address: SocketAddrV4,
    handlers: Rc<Handlers>,
    activity: Rc<ConnectionActivity>,
) {
    set_tcp_options(&stream, Some(USER_TIMEOUT));
    let header_read_timeout = handlers.limits().header_read_timeout;
    let service = service_fn(move |request: Request<Incoming>| {
        let call_id = request.headers().get(CALL_ID_HEADER).cloned();
        let (handlers, activity) = (Rc::clone(&handlers), Rc::clone(&activity));
        async move {
            activity.begin_call();
            let result = handle_request(request, &handlers, Peer { address }).await;
            activity.end_call();
            Ok::<_, Infallible>(http_response(result, call_id))
        }
    });
    // An error of the connection needs no handling.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_read_timeout)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn handle_request(
    request: Request<Incoming>,
    handlers: &Handlers,
    peer: Peer,
) -> Result<Vec<u8>, CallRejection> {
    let limits = handlers.limits();
    let (head, body) = request.into_parts();
    if head.method != Method::POST {
        return Err(CallRejection::UnknownCall);
    }
    let body = tokio::time::timeout(limits.body_read_timeout, read_body(body, limits.max_body_bytes))
        .await
        .map_err(|_| CallRejection::ReadTimeout)?
        .map_err(|error| match error {
            BodyError::TooLong => CallRejection::TooLong,
            _ => CallRejection::Malformed,
        })?;
    let path = head.uri.path();
    handlers.handle(path.strip_prefix('/').unwrap_or(path), &body, peer).await
}

fn http_response(
    result: Result<Vec<u8>, CallRejection>,
    call_id: Option<HeaderValue>,
) -> Response<Full<Bytes>> {
    let mut response = match result {
        Ok(body) => Response::new(Full::new(Bytes::from(body))),
        Err(rejection) => rejection_response(rejection),
    };
    if let Some(call_id) = call_id {
        response.headers_mut().insert(CALL_ID_HEADER, call_id);
    }
    response
}

fn rejection_response(rejection: CallRejection) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() =
        StatusCode::from_u16(rejection.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().insert(RESULT_CODE_HEADER, HeaderValue::from(rejection.code()));
    response
}
