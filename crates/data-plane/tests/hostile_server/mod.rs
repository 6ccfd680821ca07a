//! A model server that repeats, delays or omits responses, and records the requests that it received completely.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use mosshead_registry::{Server, Stage};
use mosshead_time::Duration;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use crate::common::{SEAL, listen, server};

/// A request that the server received completely.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    /// The connection's number, from 0.
    pub(crate) connection: usize,
    /// The request's number among the clients' requests at this server, from 0; proxy calls don't count.
    pub(crate) number: usize,
    pub(crate) method: String,
    pub(crate) path: String,
    head: String,
}

impl Arrival {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }

    pub(crate) fn attempt_id(&self) -> Option<&str> {
        self.header("x-attempt-id")
    }

    pub(crate) fn is_load_query(&self) -> bool {
        self.path == "/report"
    }

    /// True if the proxy itself made the call, not for a client.
    pub(crate) fn is_proxy_call(&self) -> bool {
        self.is_load_query() || self.path.starts_with("/kv-handle/")
    }
}

/// What the server does after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AfterResponse {
    /// Waits for the next request.
    Nothing,
    /// Sends the same response again at once.
    Repeat,
    /// Sends the same response again when the first byte of the next request has arrived.
    RepeatLate,
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
}

/// What the server does with a request.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// Sends these bytes and then does what the second field says.
    Bytes(Vec<u8>, AfterResponse),
    /// Sends these bytes in two parts, and then blocks the thread for this time, as if the process, and the proxy with
    /// it, were suspended.
    Suspended(Vec<u8>, Duration),
    /// Closes the connection without a response.
    Close,
    /// Resets the connection without a response.
    Reset,
    /// Sends nothing, and keeps the connection.
    NoResponse,
}

/// A response that echoes the request's id, if it has one.
pub(crate) fn response(status: u16, attempt_id: Option<&str>, more_headers: &str, body: &str) -> Vec<u8> {
    let echo = attempt_id.map_or(String::new(), |id| format!("X-Attempt-Id: {id}\r\n"));
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\n{echo}{more_headers}Content-Length: {length}\r\n\r\n{body}").into_bytes()
}

/// A successful response whose body names the request's id.
pub(crate) fn own_response(arrival: &Arrival) -> Vec<u8> {
    let body = format!("for {}", arrival.attempt_id().unwrap_or("none"));
    response(200, arrival.attempt_id(), &format!("X-Server-Seal: {SEAL}\r\n"), &body)
}

/// The response of a server that did not run the request.
pub(crate) fn not_executed(arrival: &Arrival) -> Vec<u8> {
    response(503, arrival.attempt_id(), "X-Not-Executed: 1\r\n", "")
}

type Script = Box<dyn Fn(&Arrival) -> Reply>;

pub(crate) struct HostileServer {
    pub(crate) server: Server,
    script: Script,
    arrivals: RefCell<Vec<Arrival>>,
    connections: Cell<usize>,
}

impl HostileServer {
    pub(crate) async fn start(
        id: &str,
        service: &str,
        stage: Option<Stage>,
        script: impl Fn(&Arrival) -> Reply + 'static,
    ) -> Rc<Self> {
        let (listener, address) = listen().await;
        let hostile = Rc::new(Self {
            server: server(id, service, stage, address),
            script: Box::new(script),
            arrivals: RefCell::default(),
            connections: Cell::new(0),
        });
        let serving = hostile.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(serving.clone().serve_connection(stream));
            }
        });
        hostile
    }

    async fn serve_connection(self: Rc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let connection = self.connections.replace(self.connections.get() + 1);
        let (mut received, mut late_bytes) = (Vec::new(), None::<Vec<u8>>);
        loop {
            let request = read_request(&mut stream, &mut received, &mut late_bytes).await;
            let Some((head, end)) = request else { return };
            received.drain(..end);
            let arrival = self.record_arrival(connection, head);
            match (self.script)(&arrival) {
                Reply::Bytes(bytes, after_response) => {
                    let _ = stream.write_all(&bytes).await;
                    match after_response {
                        AfterResponse::Nothing => {}
                        AfterResponse::Repeat => drop(stream.write_all(&bytes).await),
                        AfterResponse::RepeatLate => late_bytes = Some(bytes),
                        AfterResponse::Close => return,
                        AfterResponse::Reset => return reset(stream),
                    }
                }
                Reply::Suspended(bytes, duration) => send_and_suspend(&mut stream, &bytes, duration).await,
                Reply::Close => return,
                Reply::Reset => return reset(stream),
                Reply::NoResponse => {}
            }
        }
    }

    fn record_arrival(&self, connection: usize, head: String) -> Arrival {
        let mut words = head.split(' ').map(str::to_owned);
        let (method, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let number = self.client_requests().len();
        let arrival = Arrival { connection, number, method, path, head };
        self.arrivals.borrow_mut().push(arrival.clone());
        arrival
    }

    /// All requests that the server received completely.
    pub(crate) fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.borrow().clone()
    }

    /// The clients' requests that the server received completely.
    pub(crate) fn client_requests(&self) -> Vec<Arrival> {
        self.arrivals().into_iter().filter(|arrival| !arrival.is_proxy_call()).collect()
    }

    /// The number of requests with this id that the server received completely.
    pub(crate) fn count(&self, attempt_id: &str) -> usize {
        self.client_requests().iter().filter(|arrival| arrival.attempt_id() == Some(attempt_id)).count()
    }

    /// The number of connections that the server has accepted.
    pub(crate) fn connections(&self) -> usize {
        self.connections.get()
    }
}

/// Reads one request, and sends `late_bytes` when its first bytes have arrived. Returns the request's head and length.
async fn read_request(
    stream: &mut TcpStream,
    received: &mut Vec<u8>,
    late_bytes: &mut Option<Vec<u8>>,
) -> Option<(String, usize)> {
    loop {
        if let Some(head_end) = received.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8(received[..head_end].to_vec()).ok()?;
            let end = head_end + 4 + content_length(&head).unwrap_or(0);
            if received.len() >= end {
                return Some((head, end));
            }
        }
        if stream.read_buf(received).await.unwrap_or(0) == 0 {
            return None;
        }
        if let Some(late_bytes) = late_bytes.take() {
            let _ = stream.write_all(&late_bytes).await;
        }
    }
}

fn content_length(head: &str) -> Option<usize> {
    head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().ok())?
    })
}

async fn send_and_suspend(stream: &mut TcpStream, bytes: &[u8], duration: Duration) {
    let (first, rest) = bytes.split_at(bytes.len() - 2);
    let _ = stream.write_all(first).await;
    poll_sockets(5).await;
    let _ = stream.write_all(rest).await;
    let resumed_at = std::time::Instant::now() + duration;
    while std::time::Instant::now() < resumed_at {
        std::thread::yield_now();
    }
}

fn reset(stream: TcpStream) {
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

/// Lets other tasks run until `is_done` returns true, for at most 2,000 milliseconds of sleep.
pub(crate) async fn wait_until(is_done: impl Fn() -> bool) {
    for _ in 0..2_000 {
        if is_done() {
            return;
        }
        poll_sockets(1).await;
    }
}

/// Sleeps for one millisecond this many times, so that the runtime polls its sockets each time.
pub(crate) async fn poll_sockets(count: u32) {
    for _ in 0..count {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}
