//! Outbound connections, against servers on loopback.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{Empty, Full};
use hyper::body::{Body, Frame};
use mosshead_http_links::{
    BodyError, CloseReason, ConnectError, ConnectOptions, ConnectionRecord, OutboundConnection, PeerKind,
    RetryPolicy, SendError, SendErrorKind, SendProgress, read_body,
};
use rstest::rstest;
use socket2::{Domain, SockRef, Socket, Type};
use tokio::task::LocalSet;
use tokio::time::Instant;

const SERVER: PeerKind = PeerKind { name: "server", on_close: |_| {} };
const LONG_TIMEOUT: Duration = Duration::from_secs(5);

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test)
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let to = listener.local_addr().expect("an address");
    (listener, to)
}

async fn connected() -> (OutboundConnection<Full<Bytes>>, TcpStream) {
    let (listener, to) = listen();
    let connection = OutboundConnection::open(SERVER, to, LONG_TIMEOUT, ()).await.expect("a connection");
    (connection, listener.accept().expect("a pending connection").0)
}

fn get() -> hyper::Request<Full<Bytes>> {
    hyper::Request::get("/").body(Full::new(Bytes::new())).expect("a request")
}

/// Sends a request to a server that reads it completely, sends `response` and closes the connection.
async fn exchange(
    response: &[u8],
) -> (OutboundConnection<Full<Bytes>>, hyper::Result<hyper::Response<hyper::body::Incoming>>) {
    let (mut connection, mut server) = connected().await;
    let response = response.to_vec();
    let server = std::thread::spawn(move || {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            server.read_exact(&mut byte).expect("a head");
            head.extend(byte);
        }
        let _ = server.write_all(&response);
    });
    let response = connection.send(get(), 0).await;
    assert!(
        connection.write_progress.has_started()
            && connection.write_progress.is_complete()
            && connection.record.message_count() == 1
    );
    server.join().expect("the thread does not panic");
    (connection, response)
}

#[test]
fn a_response_is_received_and_its_body_read_up_to_the_limit() {
    run(async {
        let (mut connection, response) = exchange(b"HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nabcde").await;
        let body = read_body(response.expect("a response").into_body(), 5).await;
        assert_eq!(body.expect("a body"), "abcde");
        // The server closes the connection between two messages, and the runtime notices that later.
        while !connection.is_closed() {
            tokio::task::yield_now().await;
        }
        assert!(!connection.ready().await);
    });
}

#[rstest]
#[case::stated_over_limit(b"HTTP/1.1 200 X\r\nContent-Length: 6\r\n\r\nabcdef", BodyError::TooLong)]
#[case::unstated_over_limit(b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\nabcdef", BodyError::TooLong)]
#[case::ended_early(b"HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nab", BodyError::Interrupted)]
#[case::invalid_chunk(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", BodyError::Interrupted)]
fn a_body_that_can_not_be_read_is_an_error(#[case] response: &[u8], #[case] error: BodyError) {
    run(async {
        let (_connection, response) = exchange(response).await;
        assert_eq!(read_body(response.expect("a head").into_body(), 5).await, Err(error));
    });
}

/// A request that was written completely may have been executed although no response arrived.
#[rstest]
#[case::nothing(b"")]
#[case::not_http(b"SSH-2.0-x\r\n")]
fn a_request_without_a_response_counts_as_written(#[case] response: &[u8]) {
    run(async {
        let (connection, response) = exchange(response).await;
        assert!(response.is_err() && connection.write_progress.is_complete());
    });
}

/// A body in one frame whose length is not known before.
struct UnknownLength(Option<Bytes>);

impl Body for UnknownLength {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.0.take().map(|data| Ok(Frame::data(data))))
    }
}

/// Guards against a request whose body has no length and that counts as unsent although its server may have run it.
#[test]
fn a_request_with_a_body_of_unknown_length_counts_as_sent_once_it_may_have_run() {
    run(async {
        let (listener, to) = listen();
        let mut connection =
            OutboundConnection::open(SERVER, to, LONG_TIMEOUT, ()).await.expect("a connection");
        let mut server = listener.accept().expect("a pending connection").0;
        let server = std::thread::spawn(move || {
            let mut request = Vec::new();
            while !request.ends_with(b"0\r\n\r\n") {
                let mut byte = [0];
                server.read_exact(&mut byte).expect("a chunked body");
                request.extend(byte);
            }
        });
        let body = UnknownLength(Some(Bytes::from_static(b"body")));
        let request = hyper::Request::post("/").body(body).expect("a request");
        let sent = connection.send_with_deadline(request, Instant::now() + LONG_TIMEOUT).await;
        let error = sent.expect_err("the server closes the connection without a response");
        assert_eq!(error.progress, SendProgress::Complete);
        assert!(!RetryPolicy::OnlyIfNeverSent.allows(error.progress));
        server.join().expect("the thread does not panic");
    });
}

thread_local! {
    static REASON: Cell<Option<CloseReason>> = const { Cell::new(None) };
}

const LOGGED: PeerKind = PeerKind {
    name: "logged",
    on_close: |record: &ConnectionRecord| REASON.set(Some(record.close_reason())),
};

#[test]
fn a_failed_connection_logs_the_reason_and_drops_its_guard() {
    run(async {
        // A listener with a full backlog accepts no connection.
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        listener.listen(0).expect("a listener");
        let to = listener.local_addr().expect("an address").as_socket().expect("of this family");
        let (_first, guard) = (TcpStream::connect(to).expect("the only backlog entry"), Rc::new(()));
        let late = OutboundConnection::<Full<Bytes>>::open(LOGGED, to, Duration::ZERO, guard.clone()).await;
        assert_eq!((late.is_none(), REASON.take()), (true, Some(CloseReason::ConnectTimeout)));
        drop(listener);
        let refused = OutboundConnection::<Full<Bytes>>::open(LOGGED, to, LONG_TIMEOUT, guard.clone()).await;
        assert_eq!((refused.is_none(), REASON.take()), (true, Some(CloseReason::ConnectionRefused)));
        assert_eq!(Rc::strong_count(&guard), 1);
    });
}

/// Callers count open file descriptors with the guard, so it must not outlive the connection or leak.
#[test]
fn dropping_a_connection_closes_it_with_any_exchange_on_it() {
    run(async {
        let ((listener, to), guard) = (listen(), Rc::new(()));
        let connection =
            OutboundConnection::<Full<Bytes>>::open(LOGGED, to, LONG_TIMEOUT, guard.clone()).await;
        let (mut connection, (mut server, _)) =
            (connection.expect("a connection"), listener.accept().expect("a pending connection"));
        {
            let mut sending = pin!(connection.send(get(), 0));
            assert!(matches!(sending.as_mut().poll(&mut Context::from_waker(Waker::noop())), Poll::Pending));
            tokio::task::yield_now().await;
        }
        assert_eq!(Rc::strong_count(&guard), 2);
        drop(connection);
        while Rc::strong_count(&guard) > 1 {
            tokio::task::yield_now().await;
        }
        assert_eq!(REASON.take(), Some(CloseReason::Abandoned));
        // The end of the stream follows the bytes that had been written.
        let mut received = Vec::new();
        let _ = server.read_to_end(&mut received);
    });
}

#[test]
fn other_body_types_are_carried() {
    run(async {
        let (listener, to) = listen();
        let connection = OutboundConnection::<Empty<Bytes>>::open(SERVER, to, LONG_TIMEOUT, ()).await;
        let (mut connection, (mut server, _)) =
            (connection.expect("a connection"), listener.accept().expect("a pending connection"));
        let request = hyper::Request::get("/").body(Empty::new()).expect("a request");
        let server = std::thread::spawn(move || {
            let mut head = [0; 64];
            assert!(server.read(&mut head).expect("a head") > 0);
            server.write_all(b"HTTP/1.1 204 X\r\n\r\n").expect("the peer reads");
            server
        });
        assert_eq!(connection.send(request, 0).await.expect("a response").status(), 204);
        let _open = server.join().expect("the thread does not panic");
        assert!(connection.ready().await && !connection.is_closed());
    });
}

#[test]
fn the_user_timeout_is_set_on_the_socket() {
    run(async {
        let (_listener, to) = listen();
        let stream = tokio::net::TcpStream::connect(to).await.expect("a connection");
        let unset = SockRef::from(&stream).tcp_user_timeout().expect("an option");
        ConnectOptions::from(LONG_TIMEOUT).apply_to(&stream);
        assert_eq!(SockRef::from(&stream).tcp_user_timeout().expect("an option"), unset);
        ConnectOptions { timeout: LONG_TIMEOUT, user_timeout: Some(Duration::from_millis(1500)) }
            .apply_to(&stream);
        let set = SockRef::from(&stream).tcp_user_timeout().expect("an option");
        assert_eq!((set, stream.nodelay().expect("an option")), (Some(Duration::from_millis(1500)), true));
    });
}

/// Bytes after a response that the runtime has not noticed yet would be taken for the response to the next message. A
/// message that is written to a connection that was just closed is lost.
#[rstest]
#[case::leftovers(b"HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\nbad")]
#[case::end_of_stream(b"")]
fn nothing_is_written_after_unsolicited_bytes(#[case] unsolicited: &[u8]) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let to = listener.local_addr().expect("an address");
        let connection = OutboundConnection::open(SERVER, to, Duration::from_secs(5), ()).await;
        let (mut connection, (mut server, _)) =
            (connection.expect("a connection"), listener.accept().expect("a pending connection"));
        assert!(connection.ready().await);
        match unsolicited {
            b"" => server.shutdown(std::net::Shutdown::Write).expect("shuts down"),
            unsolicited => server.write_all(unsolicited).expect("the peer reads"),
        }
        let request = hyper::Request::get("/").body(Full::new(Bytes::new())).expect("a request");
        assert!(connection.send(request, 0).await.is_err() && !connection.write_progress.has_started());
        drop(connection);
        tokio::task::yield_now().await;
        assert!(!matches!(server.read(&mut [0; 9]), Ok(1..)));
    });
}

/// The caller no longer waits for the response, for example after the process was suspended.
#[test]
fn nothing_is_sent_after_the_deadline() {
    run(async {
        let (mut connection, mut server) = connected().await;
        assert!(connection.ready().await);
        let past = tokio::time::Instant::now();
        let error = connection.send_with_deadline(get(), past).await.expect_err("too late");
        assert_eq!(error.kind, SendErrorKind::DeadlinePassed);
        assert_eq!(
            (error.progress, connection.write_progress.has_started()),
            (SendProgress::NotStarted, false)
        );
        drop(connection);
        tokio::task::yield_now().await;
        assert!(!matches!(server.read(&mut [0; 9]), Ok(1..)));
    });
}

/// The process is suspended after a request was queued and before its first byte is written.
#[test]
fn a_request_queued_before_a_suspension_is_not_sent_after_it() {
    run(async {
        let (mut connection, mut server) = connected().await;
        assert!(connection.ready().await);
        let written = connection.write_progress.clone();
        let deadline = tokio::time::Instant::now() + Duration::from_millis(20);
        {
            let mut sending = pin!(connection.send_with_deadline(get(), deadline));
            assert!(matches!(sending.as_mut().poll(&mut Context::from_waker(Waker::noop())), Poll::Pending));
            // Blocks the thread, so that neither the timer nor the connection is polled.
            while tokio::time::Instant::now() < deadline {
                std::thread::yield_now();
            }
            // The connection is polled first.
            tokio::task::yield_now().await;
            tokio::task::yield_now().await;
            let error = sending.await.expect_err("too late");
            assert_eq!(error.progress, SendProgress::NotStarted);
        }
        assert!(!written.has_started());
        drop(connection);
        tokio::task::yield_now().await;
        assert!(!matches!(server.read(&mut [0; 9]), Ok(1..)));
    });
}

/// A response that waited in the kernel while the process was suspended is too late, and its connection must be
/// dropped.
#[test]
fn a_response_read_after_the_deadline_is_rejected() {
    run(async {
        let (mut connection, mut server) = connected().await;
        assert!(connection.ready().await);
        let deadline = tokio::time::Instant::now() + Duration::from_millis(50);
        let mut sending = pin!(connection.send_with_deadline(get(), deadline));
        assert!(matches!(sending.as_mut().poll(&mut Context::from_waker(Waker::noop())), Poll::Pending));
        tokio::task::yield_now().await;
        assert!(server.read(&mut [0; 64]).expect("the request") > 0);
        server.write_all(b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n").expect("the peer reads");
        while tokio::time::Instant::now() < deadline {
            std::thread::yield_now();
        }
        let error = sending.await.expect_err("overdue");
        let expected = SendError { kind: SendErrorKind::DeadlinePassed, progress: SendProgress::Complete };
        assert_eq!(error, expected);
    });
}

/// The connection has already read the response when the passed deadline is noticed.
#[test]
fn a_response_that_is_noticed_together_with_the_passed_deadline_is_rejected() {
    run(async {
        let (mut connection, mut server) = connected().await;
        assert!(connection.ready().await);
        let deadline = tokio::time::Instant::now() + Duration::from_millis(50);
        let mut sending = pin!(connection.send_with_deadline(get(), deadline));
        assert!(matches!(sending.as_mut().poll(&mut Context::from_waker(Waker::noop())), Poll::Pending));
        tokio::task::yield_now().await;
        assert!(server.read(&mut [0; 64]).expect("the request") > 0);
        server.write_all(b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n").expect("the peer reads");
        while tokio::time::Instant::now() < deadline {
            std::thread::yield_now();
        }
        // The runtime polls its sockets only once per a number of task polls.
        for _ in 0..500 {
            tokio::task::yield_now().await;
        }
        let outcome = sending.as_mut().poll(&mut Context::from_waker(Waker::noop()));
        let Poll::Ready(Err(error)) = outcome else { panic!("{outcome:?}") };
        assert_eq!(error.kind, SendErrorKind::DeadlinePassed);
    });
}

/// If a response arrives before its request was written completely, the rest of the request still follows.
#[test]
fn a_connection_is_reusable_only_after_its_request_was_written_completely() {
    run(async {
        let (mut connection, mut server) = connected().await;
        assert!(connection.ready().await);
        let big = Bytes::from(vec![7; 64 << 20]);
        let request = hyper::Request::post("/").body(Full::new(big)).expect("a request");
        let server = std::thread::spawn(move || {
            assert!(server.read(&mut [0; 64]).expect("the head") > 0);
            server.write_all(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n").expect("the peer reads");
            server
        });
        let deadline = tokio::time::Instant::now() + LONG_TIMEOUT;
        assert_eq!(connection.send_with_deadline(request, deadline).await.expect("a response").status(), 503);
        let started_at = std::time::Instant::now();
        assert!(!connection.write_progress.is_complete() && !connection.is_reusable(LONG_TIMEOUT).await);
        assert!(started_at.elapsed() < LONG_TIMEOUT, "returns without waiting for the end of the response");
        drop(server.join().expect("the thread does not panic"));
    });
}

#[test]
fn a_connection_without_surplus_bytes_is_reusable() {
    run(async {
        let (listener, to) = listen();
        let connection = OutboundConnection::<Full<Bytes>>::open(SERVER, to, LONG_TIMEOUT, ()).await;
        let (mut connection, (mut server, _)) =
            (connection.expect("a connection"), listener.accept().expect("a pending connection"));
        let server = std::thread::spawn(move || {
            for _ in 0..2 {
                assert!(server.read(&mut [0; 64]).expect("a request") > 0);
                server.write_all(b"HTTP/1.1 204 X\r\n\r\n").expect("the peer reads");
            }
            server
        });
        for _ in 0..2 {
            let deadline = tokio::time::Instant::now() + LONG_TIMEOUT;
            let request = get();
            assert_eq!(
                connection.send_with_deadline(request, deadline).await.expect("a response").status(),
                204
            );
            assert!(connection.is_reusable(LONG_TIMEOUT).await);
        }
        drop(server.join().expect("the thread does not panic"));
    });
}

#[test]
fn a_refused_connection_is_reported_as_refused() {
    run(async {
        let (listener, to) = listen();
        drop(listener);
        let refused = OutboundConnection::<Full<Bytes>>::connect(SERVER, to, LONG_TIMEOUT, ()).await;
        assert_eq!(refused.err(), Some(ConnectError::Refused));
    });
}

/// A request that the server received completely must never count as not executed. The server resets the connection
/// after different numbers of bytes.
#[test]
fn a_request_received_to_the_last_byte_counts_as_complete() {
    const BODY: usize = 8 << 20;
    const LAST: u8 = 9;
    run(async {
        let mut observed = Vec::new();
        for reads in [0, 1, 40, 1 << 16, 1 << 20, BODY - 1, usize::MAX] {
            let (mut connection, mut server) = connected().await;
            assert!(connection.ready().await);
            let mut body = vec![7; BODY];
            body[BODY - 1] = LAST;
            let request = hyper::Request::post("/").body(Full::new(Bytes::from(body)));
            let server = std::thread::spawn(move || {
                let (mut received_bytes, mut buffer, mut is_complete) = (0, vec![0; 1 << 16], false);
                while received_bytes < reads && !is_complete {
                    let most = buffer.len().min(reads - received_bytes);
                    let count = server.read(&mut buffer[..most]).expect("bytes");
                    received_bytes += count;
                    is_complete = buffer[..count].ends_with(&[LAST]);
                }
                SockRef::from(&server).set_linger(Some(Duration::ZERO)).expect("an option");
                is_complete
            });
            let deadline = tokio::time::Instant::now() + LONG_TIMEOUT;
            let error = connection
                .send_with_deadline(request.expect("a request"), deadline)
                .await
                .expect_err("a reset");
            let is_complete = server.join().expect("the thread does not panic");
            assert!(error.progress.may_have_run() || !is_complete, "{reads}: {error:?}");
            assert!(!is_complete || reads == usize::MAX);
            observed.push(error.progress);
        }
        assert!(
            observed.contains(&SendProgress::Partial) && observed.contains(&SendProgress::Complete),
            "{observed:?}"
        );
    });
}
