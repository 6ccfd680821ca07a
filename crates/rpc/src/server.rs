use std::cell::Cell;
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, Id, JoinSet};

use crate::error::{CALL_ID_HEADER, RESULT_CODE_HEADER};
use crate::{CallRejection, Handlers, Peer, ServerLimits};

/// A peer that doesn't acknowledge for so long is gone.
pub(crate) const USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// After a failed accept, which may be for want of descriptors.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// A connection as the server sees it.
#[derive(Default)]
struct Seat {
    busy: Cell<bool>,
    /// When it was last busy or new, as a count.
    turn: Cell<u64>,
}

/// Answers calls until it is dropped, which closes its connections; handlers that run go on. Needs a `LocalSet`.
pub async fn serve(listener: TcpListener, handlers: Rc<Handlers>) {
    let limits = handlers.limits();
    let turns = Rc::new(Cell::new(0));
    let mut tasks = JoinSet::new();
    let mut seats: HashMap<Id, (Rc<Seat>, AbortHandle)> = HashMap::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(ended) = tasks.join_next_with_id() => {
                seats.remove(&ended.map_or_else(|fault| fault.id(), |(id, ())| id));
                continue;
            }
        };
        let full = seats.len() >= limits.max_connections.max(1);
        // For want of descriptors, too, the oldest idle one goes.
        if full || accepted.is_err() {
            let idle = seats.iter().filter(|(_, (seat, _))| !seat.busy.get());
            let oldest = idle.min_by_key(|(_, (seat, _))| seat.turn.get()).map(|(id, _)| *id);
            match oldest.and_then(|id| seats.remove(&id)) {
                Some((_, task)) => task.abort(),
                None if full => continue,
                None => {}
            }
        }
        let Ok((stream, SocketAddr::V4(address))) = accepted else {
            tokio::time::sleep(ACCEPT_AGAIN).await;
            continue;
        };
        let seat = Rc::new(Seat::default());
        seat.turn.set(next(&turns));
        let connection =
            connection(stream, address, Rc::clone(&handlers), Rc::clone(&seat), Rc::clone(&turns));
        let task = tasks.spawn_local(connection);
        seats.insert(task.id(), (seat, task));
    }
}

fn next(turns: &Cell<u64>) -> u64 {
    turns.set(turns.get().saturating_add(1));
    turns.get()
}

/// Small writes go at once, and a silent peer is given up.
pub(crate) fn tune(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT))
}

async fn connection(
    stream: TcpStream,
    address: SocketAddrV4,
    handlers: Rc<Handlers>,
    seat: Rc<Seat>,
    turns: Rc<Cell<u64>>,
) {
    // Without these options it is only slower.
    let _ = tune(&stream);
    let limits = handlers.limits();
    let service = service_fn(move |request: Request<Incoming>| {
        let call_id = request.headers().get(CALL_ID_HEADER).cloned();
        let (handlers, seat, turns) = (Rc::clone(&handlers), Rc::clone(&seat), Rc::clone(&turns));
        async move {
            seat.busy.set(true);
            let answer = answer(request, &handlers, limits, Peer { address }).await;
            seat.turn.set(next(&turns));
            seat.busy.set(false);
            Ok::<_, Infallible>(response(answer, call_id))
        }
    });
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_read_timeout)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// The whole body; a fault says whether it is too long. One that says so beforehand is not read.
pub(crate) async fn collect(body: Incoming, most: usize) -> Result<Bytes, bool> {
    if body.size_hint().lower() > most as u64 {
        return Err(true);
    }
    let collected = Limited::new(body, most).collect().await;
    collected.map(|body| body.to_bytes()).map_err(|fault| fault.is::<LengthLimitError>())
}

async fn answer(
    request: Request<Incoming>,
    handlers: &Handlers,
    limits: ServerLimits,
    peer: Peer,
) -> Result<Vec<u8>, CallRejection> {
    let (head, body) = request.into_parts();
    if head.method != Method::POST {
        return Err(CallRejection::UnknownCall);
    }
    let body = tokio::time::timeout(limits.body_read_timeout, collect(body, limits.max_body_bytes))
        .await
        .map_err(|_| CallRejection::ReadTimeout)?
        .map_err(|too_long| if too_long { CallRejection::TooLong } else { CallRejection::Malformed })?;
    let path = head.uri.path();
    handlers.answer(path.strip_prefix('/').unwrap_or(path), &body, peer).await
}

fn response(answer: Result<Vec<u8>, CallRejection>, call_id: Option<HeaderValue>) -> Response<Full<Bytes>> {
    let mut response = match answer {
        Ok(body) => Response::new(Full::new(Bytes::from(body))),
        Err(refusal) => refused(refusal),
    };
    if let Some(call_id) = call_id {
        response.headers_mut().insert(CALL_ID_HEADER, call_id);
    }
    response
}

fn refused(refusal: CallRejection) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() =
        StatusCode::from_u16(refusal.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().insert(RESULT_CODE_HEADER, HeaderValue::from(refusal.code()));
    response
}
