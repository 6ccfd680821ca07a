//! The admin endpoint: a second address, on a thread and a runtime of its own.
//!
//! An answer that waits for the actors comes late while 32 MB pass or a crowd comes. Each is given from
//! what both threads share.

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
use mosshead_http_links::{CloseReason, ConnectionLogGuard, ConnectionRecord};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinSet, LocalSet};
use tokio::time::{sleep, timeout};

use crate::connection_log::OPERATOR;
use crate::lifecycle::Lifecycle;
use crate::log::say;

/// So many callers are heard at once; the longest-standing one goes when a further one comes.
const MAX_CONNECTIONS: usize = 8;
/// A call has so long to be whole and to take its answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(2000);
/// The most that a call's head holds.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// After an accept that failed the next one waits for so long.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Opens the admin endpoint; it stays open until the process ends.
pub(crate) fn open(at: SocketAddr, lifecycle: Arc<Lifecycle>) -> io::Result<SocketAddr> {
    let listener = std::net::TcpListener::bind(at)?;
    listener.set_nonblocking(true)?;
    let at = listener.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name("ops".to_owned()).spawn(move || {
        LocalSet::new().block_on(&runtime, async {
            match TcpListener::from_std(listener) {
                Ok(listener) => serve(listener, lifecycle).await,
                Err(error) => say!(why = %error, "fault: the operators' door is shut"),
            }
        });
    })?;
    Ok(at)
}

async fn serve(listener: TcpListener, lifecycle: Arc<Lifecycle>) {
    let (mut calls, mut standing) = (JoinSet::new(), VecDeque::<AbortHandle>::new());
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(new) => new,
            Err(error) => {
                say!(why = %error, "accept failed");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        while calls.try_join_next().is_some() {}
        standing.retain(|call| !call.is_finished());
        // Callers that say nothing would shut out whoever has something to say.
        if standing.len() >= MAX_CONNECTIONS
            && let Some(oldest) = standing.pop_front()
        {
            oldest.abort();
        }
        standing.push_back(calls.spawn_local(call(
            stream,
            ConnectionLogGuard::open(OPERATOR, peer),
            lifecycle.clone(),
        )));
    }
}

async fn call(stream: TcpStream, log_guard: ConnectionLogGuard, lifecycle: Arc<Lifecycle>) {
    let record = log_guard.record();
    record.set_default_close_reason(CloseReason::DescriptorNeeded);
    let service = service_fn(|request: Request<Incoming>| {
        let answer = answer(&request, &record, &lifecycle);
        async move { Ok::<_, Infallible>(answer) }
    });
    let mut http = Builder::new();
    let http = http.keep_alive(false).max_buf_size(MAX_HEAD_BYTES);
    let reason = match timeout(CALL_TIMEOUT, http.serve_connection(TokioIo::new(stream), service)).await {
        Ok(Ok(())) => CloseReason::AdminRequestAnswered,
        Ok(Err(error)) if error.is_parse() => CloseReason::BadRequest,
        Ok(Err(_)) => CloseReason::ConnectionBroken,
        Err(_) => CloseReason::RequestTimeout,
    };
    record.set_close_reason(reason);
}

fn answer(
    request: &Request<Incoming>,
    record: &ConnectionRecord,
    lifecycle: &Lifecycle,
) -> Response<Full<Bytes>> {
    record.count_message();
    let respond = |status, words: &str| {
        let mut response = Response::new(Full::new(Bytes::copy_from_slice(words.as_bytes())));
        *response.status_mut() = status;
        response
    };
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
        "/ops/state" => respond(StatusCode::OK, &state(lifecycle)),
        "/ops/drain/start" => {
            if lifecycle.set_draining(true) {
                say!("drain started");
            }
            respond(StatusCode::OK, "draining\n")
        }
        _ => {
            if lifecycle.set_draining(false) {
                say!("drain stopped");
            }
            respond(StatusCode::OK, "serving\n")
        }
    }
}

/// How far this incarnation has come, as one JSON object on a line.
fn state(lifecycle: &Lifecycle) -> String {
    let (recovery, start) = lifecycle.recovery_state();
    let seconds = |span: Duration| format!("{:.3}", span.as_secs_f64());
    let wants =
        if recovery.stage == RecoveryStage::FullService { String::new() } else { recovery.wants.to_string() };
    let full = recovery.full.map_or("null".to_owned(), |full| seconds(full - start));
    let life = recovery.incarnation.map_or("null".to_owned(), |life| life.to_string());
    format!(
        "{{\"stage\":\"{}\",\"wants\":\"{wants}\",\"for_s\":{},\"full_after_s\":{full},\"up_s\":{},\"life\":{life},\"draining\":{}}}\n",
        recovery.stage,
        seconds(recovery.since.elapsed()),
        seconds(start.elapsed()),
        lifecycle.is_draining(),
    )
}
