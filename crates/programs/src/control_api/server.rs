//! The HTTP server: accepts connections, reads request bodies, and dispatches requests to the endpoints.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use mosshead_control_plane::ChangeKind;
use mosshead_http_links::{CountGuard, accept};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Duration, timeout};

use super::response::{ApiResponse, ResultCode, code_only, json};
use super::{configuration, fleet, instances};
use crate::control_node::ControlNode;
use crate::limits::MAX_REQUEST_BYTES;

/// The maximum number of open connections; further ones are closed at once.
const MAX_CONNECTIONS: usize = 3000;
/// The timeout for the head of a request.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(20);
/// The timeout for the body of a request.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);

const KEEPALIVE_PREFIX: &str = "/Instances.Keepalive/";
const DEREGISTER_PREFIX: &str = "/Instances.Deregister/";
const REPLACE_PATH: &str = "/Configuration.Replace";
const MODIFY_PATH: &str = "/Configuration.Modify";
const SHOW_PATH: &str = "/Configuration.Show";
const FLEET_STATUS_PATH: &str = "/Fleet.Status";
const FOUND_ANEW_PATH: &str = "/Fleet.FoundAnew";

/// Accepts connections for as long as the future is polled. Each connection has its own task, which ends with it.
pub(crate) async fn serve(control_node: Rc<ControlNode>, listener: TcpListener) {
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let stream = accept(&listener).await;
        if open.get() >= MAX_CONNECTIONS {
            continue;
        }
        let guard = CountGuard::new(&open, 1);
        tokio::task::spawn_local(serve_connection(control_node.clone(), stream, guard));
    }
}

async fn serve_connection(control_node: Rc<ControlNode>, stream: TcpStream, _guard: CountGuard) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let control_node = control_node.clone();
        async move { Ok::<_, Infallible>(respond(control_node, request).await) }
    });
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    let _ = connection.await;
}

/// Dispatches a request to its endpoint. The endpoints of model servers accept every method.
async fn respond(control_node: Rc<ControlNode>, request: Request<Incoming>) -> ApiResponse {
    let (head, body) = request.into_parts();
    let path = head.uri.path().to_owned();
    let body = match read_body(body).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    if let Some(id) = path.strip_prefix(KEEPALIVE_PREFIX) {
        return instances::keepalive(&control_node, id, &body).await;
    }
    if let Some(id) = path.strip_prefix(DEREGISTER_PREFIX) {
        return instances::deregister(&control_node, id).await;
    }
    match (&head.method, path.as_str()) {
        (&Method::POST, REPLACE_PATH) => {
            configuration::change(&control_node, ChangeKind::Replace, &path, &head.headers, body).await
        }
        (&Method::POST, MODIFY_PATH) => {
            configuration::change(&control_node, ChangeKind::Modify, &path, &head.headers, body).await
        }
        (&Method::GET, SHOW_PATH) => configuration::show(&control_node, &path).await,
        (&Method::GET, FLEET_STATUS_PATH) => fleet::status(&control_node),
        (&Method::GET, FOUND_ANEW_PATH) => fleet::founding(&control_node),
        (&Method::POST, FOUND_ANEW_PATH) => fleet::found_anew(&control_node),
        (&Method::GET, "/Status" | "/status") => json(StatusCode::OK, control_node.status()),
        _ => code_only(StatusCode::NOT_FOUND, ResultCode::NotFound),
    }
}

/// Reads the complete body. On failure, returns the error response.
async fn read_body(body: Incoming) -> Result<Bytes, ApiResponse> {
    match timeout(BODY_READ_TIMEOUT, Limited::new(body, MAX_REQUEST_BYTES).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(_)) => Err(code_only(StatusCode::PAYLOAD_TOO_LARGE, ResultCode::BodyTooLarge)),
        Err(_) => Err(code_only(StatusCode::REQUEST_TIMEOUT, ResultCode::BodyTimeout)),
    }
}
