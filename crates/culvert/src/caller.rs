use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Method, Request, Response, StatusCode};
use tokio::time::Instant;

use crate::call::{MAX_BODY, decode, encode};
use crate::fault::CODE_HEADER;
use crate::pool::{Connection, Pool};
use crate::server::collect;
use crate::{Call, CallFault, Refusal, Transport};

/// In place of a time limit that no clock holds.
const FOREVER: Duration = Duration::from_secs(86_400);

/// Calls over the network. Clones share their idle connections. Needs a `LocalSet`.
#[derive(Clone, Default)]
pub struct Caller {
    pool: Rc<Pool>,
}

impl Caller {
    /// With no connections yet.
    pub fn new() -> Caller {
        Caller::default()
    }

    /// As [`Transport::call`].
    pub async fn call<C: Call>(
        &self,
        to: SocketAddrV4,
        call: &C,
        within: Duration,
    ) -> Result<C::Answer, CallFault> {
        let body = Bytes::from(encode(call)?);
        let now = Instant::now();
        let deadline = now.checked_add(within).unwrap_or(now + FOREVER);
        let exchange = self.exchange(to, C::NAME, body, C::REPEATABLE, deadline);
        // Danger: the exchange holds its connection, so giving up on it closes the connection: an answer that
        // comes late must not be taken for that to the next call.
        let answer = tokio::time::timeout_at(deadline, exchange).await.map_err(|_| CallFault::Timeout)??;
        decode(&answer).ok_or(CallFault::Garbled)
    }

    async fn exchange(
        &self,
        to: SocketAddrV4,
        name: &str,
        body: Bytes,
        repeatable: bool,
        deadline: Instant,
    ) -> Result<Bytes, CallFault> {
        if repeatable && let Some(connection) = self.pool.take(to) {
            match send(connection, request(to, name, body.clone())?).await {
                Ok((connection, response)) => return self.finish(to, connection, response).await,
                // It was dead, or died; so once more on a new one. The others are as old.
                Err(CallFault::Lost) => self.pool.forget(to),
                Err(fault) => return Err(fault),
            }
        }
        let connection = Connection::open(to, deadline).await?;
        let (connection, response) = send(connection, request(to, name, body)?).await?;
        self.finish(to, connection, response).await
    }

    async fn finish(
        &self,
        to: SocketAddrV4,
        connection: Connection,
        response: Response<Incoming>,
    ) -> Result<Bytes, CallFault> {
        let (head, body) = response.into_parts();
        let body = collect(body, MAX_BODY)
            .await
            .map_err(|too_long| if too_long { CallFault::TooLong } else { CallFault::Lost })?;
        self.pool.put(to, connection);
        if head.status == StatusCode::OK {
            return Ok(body);
        }
        let code = head.headers.get(CODE_HEADER).and_then(|value| value.to_str().ok()?.parse().ok());
        Err(code.map_or(CallFault::Garbled, |code| CallFault::Refused(Refusal::from_code(code))))
    }
}

impl Transport for Caller {
    async fn call<C: Call>(
        &self,
        to: SocketAddrV4,
        call: &C,
        within: Duration,
    ) -> Result<C::Answer, CallFault> {
        Caller::call(self, to, call, within).await
    }
}

fn request(to: SocketAddrV4, name: &str, body: Bytes) -> Result<Request<Full<Bytes>>, CallFault> {
    Request::builder()
        .method(Method::POST)
        .uri(format!("/{name}"))
        .header(HOST, to.to_string())
        .body(Full::new(body))
        .map_err(|_| CallFault::Garbled)
}

async fn send(
    mut connection: Connection,
    request: Request<Full<Bytes>>,
) -> Result<(Connection, Response<Incoming>), CallFault> {
    connection.sender.ready().await.map_err(|_| CallFault::Lost)?;
    match connection.sender.send_request(request).await {
        Ok(response) => Ok((connection, response)),
        Err(fault) if fault.is_parse() => Err(CallFault::Garbled),
        Err(_) => Err(CallFault::Lost),
    }
}
