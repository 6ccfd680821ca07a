//! The admin endpoint for operators: it has its own address, thread and runtime.
//!
//! Responses are built only from [`Lifecycle`], the state that both threads share. If they waited for the actors, they
//! would be late while the actors forward large bodies or many clients connect.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{ALLOW, HeaderValue};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use mosshead_decide::RecoveryStage;
use mosshead_http_links::{CloseReason, ConnectionLogGuard};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinSet, LocalSet};
use tokio::time::{sleep, timeout};

use crate::connection_log::OPERATOR;
use crate::lifecycle::Lifecycle;
use crate::log::log_event;

/// The maximum number of open connections; the oldest one is closed to make room for a new one.
const MAX_CONNECTIONS: usize = 8;
/// The timeout for a request and its response.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2000);
/// The maximum length of a request head.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// The delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Opens the admin endpoint, which stays open until the process exits, and returns its address.
///
/// # Errors
/// The address can't be bound, or no thread can be started.
pub(crate) fn open(address: SocketAddr, lifecycle: Arc<Lifecycle>) -> io::Result<SocketAddr> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name("ops".to_owned()).spawn(move || {
        LocalSet::new().block_on(&runtime, async {
            match TcpListener::from_std(listener) {
                Ok(listener) => serve(listener, lifecycle).await,
                Err(error) => log_event!(why = %error, "fault: the admin endpoint is closed"),
            }
        });
    })?;
    Ok(address)
}

async fn serve(listener: TcpListener, lifecycle: Arc<Lifecycle>) {
    let (mut connections, mut open) = (JoinSet::new(), VecDeque::<AbortHandle>::new());
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log_event!(why = %error, "accept failed");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        while connections.try_join_next().is_some() {}
        open.retain(|connection| !connection.is_finished());
        // A silent connection must not keep other clients from being served.
        if open.len() >= MAX_CONNECTIONS
            && let Some(oldest) = open.pop_front()
        {
            oldest.abort();
        }
        let log_guard = ConnectionLogGuard::open(OPERATOR, peer);
        open.push_back(connections.spawn_local(serve_connection(stream, log_guard, lifecycle.clone())));
    }
}

async fn serve_connection(stream: TcpStream, log_guard: ConnectionLogGuard, lifecycle: Arc<Lifecycle>) {
    let record = log_guard.record();
    record.set_default_close_reason(CloseReason::DescriptorNeeded);
    let service = service_fn(|request: Request<Incoming>| {
        record.count_message();
        let response = respond_to(&request, &lifecycle);
        async move { Ok::<_, Infallible>(response) }
    });
    let mut http = Builder::new();
    let http = http.keep_alive(false).max_buf_size(MAX_HEAD_BYTES);
    let reason = match timeout(REQUEST_TIMEOUT, http.serve_connection(TokioIo::new(stream), service)).await {
        Ok(Ok(())) => CloseReason::AdminRequestAnswered,
        Ok(Err(error)) if error.is_parse() => CloseReason::BadRequest,
        Ok(Err(_)) => CloseReason::ConnectionBroken,
        Err(_) => CloseReason::RequestTimeout,
    };
    record.set_close_reason(reason);
}

fn respond(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}

fn respond_to(request: &Request<Incoming>, lifecycle: &Lifecycle) -> Response<Full<Bytes>> {
    let path = request.uri().path();
    let method = match path {
        "/ops/readiness" | "/ops/state" => Method::GET,
        "/ops/drain/start" | "/ops/drain/stop" => Method::POST,
        _ => return respond(StatusCode::NOT_FOUND, "no such call\n"),
    };
    if request.method() != method {
        let mut response = respond(StatusCode::METHOD_NOT_ALLOWED, "the call goes by another method\n");
        let allow = if method == Method::GET { "GET" } else { "POST" };
        response.headers_mut().insert(ALLOW, HeaderValue::from_static(allow));
        return response;
    }
    match path {
        "/ops/readiness" if lifecycle.is_serving() => {
            lifecycle.confirm_readiness();
            respond(StatusCode::OK, "ready\n")
        }
        "/ops/readiness" => respond(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        "/ops/state" => respond(StatusCode::OK, &format_state(lifecycle)),
        "/ops/drain/start" => {
            if lifecycle.start_draining() {
                log_event!("drain started");
            }
            respond(StatusCode::OK, "draining\n")
        }
        _ => {
            if lifecycle.stop_draining() {
                log_event!("drain stopped");
            }
            respond(StatusCode::OK, "serving\n")
        }
    }
}

/// The recovery stage, the uptime and the drain state of this incarnation, as one JSON object on a line.
fn format_state(lifecycle: &Lifecycle) -> String {
    let (recovery, started_at) = (lifecycle.recovery_state(), lifecycle.started_at());
    let seconds = |span: Duration| format!("{:.3}", span.as_secs_f64());
    let or_null = |value: Option<String>| value.unwrap_or("null".to_owned());
    let wants = match recovery.status.stage {
        RecoveryStage::FullService => String::new(),
        _ => recovery.status.blocker.to_string(),
    };
    format!(
        "{{\"stage\":\"{}\",\"wants\":\"{wants}\",\"for_s\":{},\"full_after_s\":{},\"up_s\":{},\"life\":{},\"draining\":{}}}\n",
        recovery.status.stage,
        seconds(recovery.stage_since.elapsed()),
        or_null(recovery.full_service_at.map(|full_service_at| seconds(full_service_at - started_at))),
        seconds(started_at.elapsed()),
        or_null(recovery.incarnation.map(|incarnation| incarnation.to_string())),
        lifecycle.is_draining(),
    )
}
