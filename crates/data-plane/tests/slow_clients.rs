//! Streams of clients that read slowly or not at all: how they end.

mod common;

use std::cell::Cell;
use std::io::{ErrorKind, Read};
use std::net::{SocketAddrV4, TcpStream as StdTcpStream};
use std::rc::Rc;

use common::{
    ATTEMPT_ID, Behavior, HOST, NOT_RESUMABLE, Proxy, SEAL, StubServer, advance_clock, events,
    handle_response, listen, run, server,
};
use mosshead_registry::{Server, Stage};
use mosshead_time::Duration;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::yield_now;

/// Longer than any wait of the proxy for a client.
const LONG_WAIT: Duration = Duration::from_secs(2);
/// A connection counts as blocked if it takes no byte over so many turns of the runtime.
const TURNS_UNTIL_BLOCKED: usize = 500;
/// The length of a chunk of events.
const CHUNK_BYTES: usize = 8 * 1024;
const CLIENT_BUFFER_BYTES: u32 = 4 * 1024;

/// A decode server that streams until its proxy takes no more, and then does nothing until it is told to break off.
struct EndlessServer {
    server: Server,
    is_blocked: Rc<Cell<bool>>,
    breaks_off: Rc<tokio::sync::Notify>,
}

impl EndlessServer {
    async fn start() -> Self {
        let (listener, address) = listen().await;
        let (is_blocked, breaks_off) = (Rc::new(Cell::new(false)), Rc::new(tokio::sync::Notify::new()));
        let (blocked, signal) = (is_blocked.clone(), breaks_off.clone());
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(serve_endlessly(stream, blocked.clone(), signal.clone()));
            }
        });
        Self { server: server("i-endless", "llm", Some(Stage::Decode), address), is_blocked, breaks_off }
    }

    async fn wait_until_blocked(&self) {
        while !self.is_blocked.get() {
            yield_now().await;
        }
    }
}

async fn serve_endlessly(
    mut stream: TcpStream,
    is_blocked: Rc<Cell<bool>>,
    breaks_off: Rc<tokio::sync::Notify>,
) {
    let mut request = Vec::new();
    while !request.windows(4).any(|window| window == b"\r\n\r\n") {
        let mut bytes = [0; 1024];
        let Ok(count @ 1..) = stream.read(&mut bytes).await else { return };
        request.extend_from_slice(&bytes[..count]);
    }
    if request.starts_with(b"GET /report ") {
        let report = "{\"queued\":0,\"active\":0}";
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", report.len());
        let _ = stream.write_all(format!("{head}{report}").as_bytes()).await;
        return;
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {ATTEMPT_ID}\r\nX-Server-Seal: {SEAL}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let _ = stream.write_all(head.as_bytes()).await;
    write_until_blocked(&stream).await;
    is_blocked.set(true);
    breaks_off.notified().await;
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

/// Writes chunks of events until the connection takes no more bytes.
async fn write_until_blocked(stream: &TcpStream) {
    let events = "data: token\n\n".repeat(CHUNK_BYTES / "data: token\n\n".len());
    let chunk = format!("{:x}\r\n{events}\r\n", events.len());
    let (mut position, mut blocked_turns) = (0, 0);
    while blocked_turns < TURNS_UNTIL_BLOCKED {
        match stream.try_write(&chunk.as_bytes()[position..]) {
            Ok(count) => {
                position = (position + count) % chunk.len();
                blocked_turns = 0;
            }
            Err(_) => blocked_turns += 1,
        }
        yield_now().await;
    }
}

/// A client with small buffers that has sent a prompt and reads nothing by itself.
async fn slow_client(proxy: SocketAddrV4, version: &str, headers: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(CLIENT_BUFFER_BYTES).expect("a size");
    let mut client = socket.connect(proxy.into()).await.expect("a connection");
    let request = format!(
        "POST {NOT_RESUMABLE}2f {version}\r\nHost: {HOST}\r\nX-Attempt-Id: {ATTEMPT_ID}\r\nX-Model-Name: m\r\n\
         X-Token-Count: 1460,80\r\nX-Prompt-Prefix: 5c1e07a2:800\r\n{headers}Content-Length: 6\r\n\r\na body"
    );
    client.write_all(request.as_bytes()).await.expect("the peer reads");
    client
}

async fn prefill_stub() -> Rc<StubServer> {
    StubServer::start("i-prefill", "llm", Some(Stage::Prefill), |_| handle_response()).await
}

/// Guards against a broken stream that ends like a complete one because its client's queue was full when it broke
/// (review/4).
#[test]
fn a_stream_that_breaks_while_its_client_reads_nothing_does_not_look_complete() {
    run(async {
        let (prefill, endless) = (prefill_stub().await, EndlessServer::start().await);
        let proxy = Proxy::with_servers(1, &[&prefill.server, &endless.server]).await;
        let mut client = slow_client(proxy.address, "HTTP/1.1", "").await;
        endless.wait_until_blocked().await;
        endless.breaks_off.notify_one();
        for _ in 0..TURNS_UNTIL_BLOCKED {
            yield_now().await;
        }
        advance_clock(LONG_WAIT).await;
        let mut received = Vec::new();
        let _ = client.read_to_end(&mut received).await;
        assert!(received.starts_with(b"HTTP/1.1 200 "), "the stream has begun");
        assert!(!received.ends_with(b"0\r\n\r\n"), "the last chunk of a complete response");
        assert_eq!(proxy.data_plane.memory().used(), 0);
    });
}

/// Guards against streams that outlast their deadline because their client reads nothing.
#[test]
fn a_stream_ends_at_its_deadline_though_its_client_reads_nothing() {
    run(async {
        let (prefill, endless) = (prefill_stub().await, EndlessServer::start().await);
        let proxy = Proxy::with_servers(1, &[&prefill.server, &endless.server]).await;
        let mut client = slow_client(proxy.address, "HTTP/1.1", "X-Deadline-Ms: 4000\r\n").await;
        endless.wait_until_blocked().await;
        assert_eq!((proxy.data_plane.in_flight_requests(), proxy.frontend.open_connections()), (1, 1));
        advance_clock(Duration::from_millis(4000)).await;
        while proxy.data_plane.in_flight_requests() > 0 {
            yield_now().await;
        }
        // The rule leaves half a second after the deadline.
        advance_clock(Duration::from_millis(500)).await;
        while proxy.frontend.open_connections() > 0 {
            yield_now().await;
        }
        assert_eq!(proxy.data_plane.memory().used(), 0);
        let mut received = Vec::new();
        let _ = client.read_to_end(&mut received).await;
        assert!(!received.ends_with(b"0\r\n\r\n"), "the last chunk of a complete response");
    });
}

/// Guards against a stream that looks complete to a client without chunked encoding because the process exits: to such
/// a client the connection's end is the body's end.
#[test]
fn a_stream_to_an_http_1_0_client_is_reset_when_the_process_exits() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let local = tokio::task::LocalSet::new();
    let mut client: StdTcpStream = local.block_on(&runtime, async {
        let prefill = prefill_stub().await;
        let decode =
            StubServer::start("i-decode", "llm", Some(Stage::Decode), |_| Behavior::StreamAndStall(1..=4));
        let decode = decode.await;
        let proxy = Proxy::with_servers(1, &[&prefill.server, &decode.server]).await;
        let mut client = slow_client(proxy.address, "HTTP/1.0", "").await;
        let mut received = String::new();
        while !received.ends_with(&events(1..=4)) {
            received.push(client.read_u8().await.expect("events").into());
        }
        client.into_std().expect("a socket")
    });
    drop(local);
    client.set_nonblocking(false).expect("a socket");
    let end = client.read(&mut [0]).map_err(|error| error.kind());
    assert_eq!(end, Err(ErrorKind::ConnectionReset), "it looks complete");
}
