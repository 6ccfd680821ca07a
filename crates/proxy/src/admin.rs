//! The operators' door: a second address, on a thread and a runtime of its own.
//!
//! Danger: an answer that waits for the actors comes late while 32 MB pass or a crowd comes. Each is given from
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
use crate::lifecycle::Control;
use crate::log::say;

/// So many callers are heard at once; the longest-standing one goes when a further one comes.
const CALLERS: usize = 8;
/// A call has so long to be whole and to take its answer.
const CALL: Duration = Duration::from_millis(2000);
/// The most that a call's head holds.
const HEAD_LIMIT: usize = 8 * 1024;
/// After an accept that failed the next one waits for so long.
const PAUSE: Duration = Duration::from_millis(20);

/// Opens the door; it stays open until the process ends.
pub(crate) fn open(at: SocketAddr, control: Arc<Control>) -> io::Result<SocketAddr> {
    let listener = std::net::TcpListener::bind(at)?;
    listener.set_nonblocking(true)?;
    let at = listener.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name("ops".to_owned()).spawn(move || {
        LocalSet::new().block_on(&runtime, async {
            match TcpListener::from_std(listener) {
                Ok(listener) => serve(listener, control).await,
                Err(error) => say!(why = %error, "fault: the operators' door is shut"),
            }
        });
    })?;
    Ok(at)
}

async fn serve(listener: TcpListener, control: Arc<Control>) {
    let (mut calls, mut standing) = (JoinSet::new(), VecDeque::<AbortHandle>::new());
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(new) => new,
            Err(error) => {
                say!(why = %error, "accept failed");
                sleep(PAUSE).await;
                continue;
            }
        };
        while calls.try_join_next().is_some() {}
        standing.retain(|call| !call.is_finished());
        // Danger: callers that say nothing would shut out whoever has something to say.
        if standing.len() >= CALLERS
            && let Some(oldest) = standing.pop_front()
        {
            oldest.abort();
        }
        standing.push_back(calls.spawn_local(call(
            stream,
            ConnectionLogGuard::open(OPERATOR, peer),
            control.clone(),
        )));
    }
}

async fn call(stream: TcpStream, line: ConnectionLogGuard, control: Arc<Control>) {
    let record = line.record();
    record.set_default_close_reason(CloseReason::DescriptorNeeded);
    let service = service_fn(|request: Request<Incoming>| {
        let answer = answer(&request, &record, &control);
        async move { Ok::<_, Infallible>(answer) }
    });
    let mut http = Builder::new();
    let http = http.keep_alive(false).max_buf_size(HEAD_LIMIT);
    let reason = match timeout(CALL, http.serve_connection(TokioIo::new(stream), service)).await {
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
    control: &Control,
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
        "/ops/readiness" if control.serves() => {
            control.say_yes();
            respond(StatusCode::OK, "ready\n")
        }
        "/ops/readiness" => respond(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        "/ops/state" => respond(StatusCode::OK, &state(control)),
        "/ops/drain/start" => {
            if control.drain(true) {
                say!("drain started");
            }
            respond(StatusCode::OK, "draining\n")
        }
        _ => {
            if control.drain(false) {
                say!("drain stopped");
            }
            respond(StatusCode::OK, "serving\n")
        }
    }
}

/// How far this life has come, as one JSON object on a line.
fn state(control: &Control) -> String {
    let (way, start) = control.way_back();
    let seconds = |span: Duration| format!("{:.3}", span.as_secs_f64());
    let wants = if way.stage == RecoveryStage::FullService { String::new() } else { way.wants.to_string() };
    let full = way.full.map_or("null".to_owned(), |full| seconds(full - start));
    let life = way.life.map_or("null".to_owned(), |life| life.to_string());
    format!(
        "{{\"stage\":\"{}\",\"wants\":\"{wants}\",\"for_s\":{},\"full_after_s\":{full},\"up_s\":{},\"life\":{life},\"draining\":{}}}\n",
        way.stage,
        seconds(way.since.elapsed()),
        seconds(start.elapsed()),
        control.draining(),
    )
}
