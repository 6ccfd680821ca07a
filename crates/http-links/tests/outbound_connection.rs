//! Connections on loopback.

use std::cell::Cell;
use std::future::Future;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{Empty, Full};
use mosshead_http_links::{
    BodyError, CloseReason, ConnectError, ConnectOptions, ConnectionRecord, OutboundConnection, PeerKind,
    SendError, SendErrorKind, SendProgress, read_body,
};
use rstest::rstest;
use socket2::{Domain, SockRef, Socket, Type};
use tokio::task::LocalSet;

const SERVER: PeerKind = PeerKind { name: "server", on_close: |_| {} };
const PATIENCE: Duration = Duration::from_secs(5);

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
    let link = OutboundConnection::open(SERVER, to, PATIENCE, ()).await.expect("a connection");
    (link, listener.accept().expect("it").0)
}

fn get() -> hyper::Request<Full<Bytes>> {
    hyper::Request::get("/").body(Full::new(Bytes::new())).expect("a request")
}

/// Sends a request, which `server` gets whole and answers with `answer` and the end of the connection.
async fn answered(
    answer: &[u8],
) -> (OutboundConnection<Full<Bytes>>, hyper::Result<hyper::Response<hyper::body::Incoming>>) {
    let (mut link, mut server) = connected().await;
    let answer = answer.to_vec();
    let server = std::thread::spawn(move || {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            server.read_exact(&mut byte).expect("a head");
            head.extend(byte);
        }
        let _ = server.write_all(&answer);
    });
    let answer = link.send(get(), 0).await;
    assert!(
        link.write_progress.has_started()
            && link.write_progress.is_complete()
            && link.record.message_count() == 1
    );
    server.join().expect("no fault");
    (link, answer)
}

#[test]
fn an_answer_comes_back_and_its_body_is_held_within_its_limit() {
    run(async {
        let (mut link, answer) = answered(b"HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nabcde").await;
        let body = read_body(answer.expect("an answer").into_body(), 5).await;
        assert_eq!(body.expect("a body"), "abcde");
        // It ends between two messages, by the server's will, and the runtime hears of that in its own time.
        while !link.is_closed() {
            tokio::task::yield_now().await;
        }
        assert!(!link.ready().await);
    });
}

#[rstest]
#[case::stated(b"HTTP/1.1 200 X\r\nContent-Length: 6\r\n\r\nabcdef", BodyError::TooLong)]
#[case::found(b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\nabcdef", BodyError::TooLong)]
#[case::short(b"HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nab", BodyError::Interrupted)]
#[case::chunks(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", BodyError::Interrupted)]
fn a_body_that_can_t_be_had_says_why(#[case] answer: &[u8], #[case] fault: BodyError) {
    run(async {
        let (_link, answer) = answered(answer).await;
        assert_eq!(read_body(answer.expect("a head").into_body(), 5).await, Err(fault));
    });
}

/// What was written whole may have run, though no answer came.
#[rstest]
#[case::none(b"")]
#[case::no_http(b"SSH-2.0-x\r\n")]
fn without_an_answer_it_was_written_all_the_same(#[case] answer: &[u8]) {
    run(async {
        let (link, answer) = answered(answer).await;
        assert!(answer.is_err() && link.write_progress.is_complete());
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
fn a_connection_that_does_not_come_up_says_why_and_lets_go_of_what_is_held() {
    run(async {
        // With its one place taken the listener answers nobody.
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        listener.listen(0).expect("a listener");
        let to = listener.local_addr().expect("an address").as_socket().expect("of this family");
        let (_first, held) = (TcpStream::connect(to).expect("the one place"), Rc::new(()));
        let late = OutboundConnection::<Full<Bytes>>::open(LOGGED, to, Duration::ZERO, held.clone()).await;
        assert_eq!((late.is_none(), REASON.take()), (true, Some(CloseReason::ConnectTimeout)));
        drop(listener);
        let refused = OutboundConnection::<Full<Bytes>>::open(LOGGED, to, PATIENCE, held.clone()).await;
        assert_eq!((refused.is_none(), REASON.take()), (true, Some(CloseReason::ConnectionRefused)));
        assert_eq!(Rc::strong_count(&held), 1);
    });
}

/// Danger: what is held counts descriptors; kept for longer than the connection, they run out.
#[test]
fn letting_go_of_a_link_closes_it_whatever_is_under_way() {
    run(async {
        let ((listener, to), held) = (listen(), Rc::new(()));
        let link = OutboundConnection::<Full<Bytes>>::open(LOGGED, to, PATIENCE, held.clone()).await;
        let (mut link, (mut server, _)) = (link.expect("a connection"), listener.accept().expect("it"));
        {
            let mut sending = pin!(link.send(get(), 0));
            assert!(matches!(sending.as_mut().poll(&mut Context::from_waker(Waker::noop())), Poll::Pending));
            tokio::task::yield_now().await;
        }
        assert_eq!(Rc::strong_count(&held), 2);
        drop(link);
        while Rc::strong_count(&held) > 1 {
            tokio::task::yield_now().await;
        }
        assert_eq!(REASON.take(), Some(CloseReason::Abandoned));
        // Its end follows at once behind what had been written.
        let mut came = Vec::new();
        let _ = server.read_to_end(&mut came);
    });
}

#[test]
fn it_carries_other_bodies() {
    run(async {
        let (listener, to) = listen();
        let link = OutboundConnection::<Empty<Bytes>>::open(SERVER, to, PATIENCE, ()).await;
        let (mut link, (mut server, _)) = (link.expect("a connection"), listener.accept().expect("it"));
        let request = hyper::Request::get("/").body(Empty::new()).expect("a request");
        let server = std::thread::spawn(move || {
            let mut head = [0; 64];
            assert!(server.read(&mut head).expect("a head") > 0);
            server.write_all(b"HTTP/1.1 204 X\r\n\r\n").expect("room");
            server
        });
        assert_eq!(link.send(request, 0).await.expect("an answer").status(), 204);
        let _open = server.join().expect("no fault");
        assert!(link.ready().await && !link.is_closed());
    });
}

#[test]
fn the_kernel_is_told_how_long_what_was_sent_may_go_unacknowledged() {
    run(async {
        let (_listener, to) = listen();
        let stream = tokio::net::TcpStream::connect(to).await.expect("a connection");
        let unset = SockRef::from(&stream).tcp_user_timeout().expect("an option");
        ConnectOptions::from(PATIENCE).apply_to(&stream);
        assert_eq!(SockRef::from(&stream).tcp_user_timeout().expect("an option"), unset);
        ConnectOptions { timeout: PATIENCE, user_timeout: Some(Duration::from_millis(1500)) }
            .apply_to(&stream);
        let set = SockRef::from(&stream).tcp_user_timeout().expect("an option");
        assert_eq!((set, stream.nodelay().expect("an option")), (Some(Duration::from_millis(1500)), true));
    });
}

/// Danger: bytes behind an answer that come just before the next message, unseen by the runtime yet, would
/// be that one's answer; and what is written to a connection that has just ended is lost.
#[rstest]
#[case::leftovers(b"HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\nbad")]
#[case::its_end(b"")]
fn nothing_is_written_behind_what_came_unasked(#[case] unasked: &[u8]) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let to = listener.local_addr().expect("an address");
        let link = OutboundConnection::open(SERVER, to, Duration::from_secs(5), ()).await;
        let (mut link, (mut node, _)) = (link.expect("a connection"), listener.accept().expect("it"));
        assert!(link.ready().await);
        match unasked {
            b"" => node.shutdown(std::net::Shutdown::Write).expect("its end"),
            unasked => node.write_all(unasked).expect("room"),
        }
        let request = hyper::Request::get("/").body(Full::new(Bytes::new())).expect("a request");
        assert!(link.send(request, 0).await.is_err() && !link.write_progress.has_started());
        drop(link);
        tokio::task::yield_now().await;
        assert!(!matches!(node.read(&mut [0; 9]), Ok(1..)));
    });
}

/// What nobody waits for any more, as after a freeze, does not leave at all.
#[test]
fn nothing_is_sent_after_its_deadline() {
    run(async {
        let (mut link, mut server) = connected().await;
        assert!(link.ready().await);
        let past = tokio::time::Instant::now();
        let fault = link.send_with_deadline(get(), past).await.expect_err("too late");
        assert_eq!(fault.cause, SendErrorKind::DeadlinePassed);
        assert_eq!((fault.progress, link.write_progress.has_started()), (SendProgress::NotStarted, false));
        drop(link);
        tokio::task::yield_now().await;
        assert!(!matches!(server.read(&mut [0; 9]), Ok(1..)));
    });
}

/// The deadline passes between the queueing of a request and its first byte: the process was frozen right there.
#[test]
fn a_request_that_was_queued_before_a_freeze_is_not_sent_after_it() {
    run(async {
        let (mut link, mut server) = connected().await;
        assert!(link.ready().await);
        let written = link.write_progress.clone();
        let deadline = tokio::time::Instant::now() + Duration::from_millis(20);
        {
            let mut sending = pin!(link.send_with_deadline(get(), deadline));
            assert!(matches!(sending.as_mut().poll(&mut Context::from_waker(Waker::noop())), Poll::Pending));
            // The whole thread stands still: neither the timer nor the connection is looked after.
            while tokio::time::Instant::now() < deadline {
                std::thread::yield_now();
            }
            // The connection is looked after first.
            tokio::task::yield_now().await;
            tokio::task::yield_now().await;
            let fault = sending.await.expect_err("too late");
            assert_eq!(fault.progress, SendProgress::NotStarted);
        }
        assert!(!written.has_started());
        drop(link);
        tokio::task::yield_now().await;
        assert!(!matches!(server.read(&mut [0; 9]), Ok(1..)));
    });
}

/// An answer that lay in the kernel while the process was frozen is overdue, and its connection is of no further use.
#[test]
fn an_answer_that_is_read_after_the_deadline_is_none() {
    run(async {
        let (mut link, mut server) = connected().await;
        assert!(link.ready().await);
        let deadline = tokio::time::Instant::now() + Duration::from_millis(50);
        let mut sending = pin!(link.send_with_deadline(get(), deadline));
        assert!(matches!(sending.as_mut().poll(&mut Context::from_waker(Waker::noop())), Poll::Pending));
        tokio::task::yield_now().await;
        assert!(server.read(&mut [0; 64]).expect("the request") > 0);
        server.write_all(b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n").expect("room");
        while tokio::time::Instant::now() < deadline {
            std::thread::yield_now();
        }
        let fault = sending.await.expect_err("overdue");
        let expected = SendError { cause: SendErrorKind::DeadlinePassed, progress: SendProgress::Complete };
        assert_eq!(fault, expected);
    });
}

/// An answer that comes before its request has left whole leaves a connection on which the rest is still to come.
#[test]
fn a_connection_is_used_again_only_once_its_request_has_left_whole() {
    run(async {
        let (mut link, mut server) = connected().await;
        assert!(link.ready().await);
        let big = Bytes::from(vec![7; 64 << 20]);
        let request = hyper::Request::post("/").body(Full::new(big)).expect("a request");
        let server = std::thread::spawn(move || {
            assert!(server.read(&mut [0; 64]).expect("the head") > 0);
            server.write_all(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n").expect("room");
            server
        });
        let deadline = tokio::time::Instant::now() + PATIENCE;
        assert_eq!(link.send_with_deadline(request, deadline).await.expect("an answer").status(), 503);
        assert!(!link.write_progress.is_complete() && !link.is_reusable(PATIENCE).await);
        drop(server.join().expect("no fault"));
    });
}

#[test]
fn one_that_is_quiet_behind_its_answer_is_used_again() {
    run(async {
        let (listener, to) = listen();
        let link = OutboundConnection::<Full<Bytes>>::open(SERVER, to, PATIENCE, ()).await;
        let (mut link, (mut server, _)) = (link.expect("a connection"), listener.accept().expect("it"));
        let server = std::thread::spawn(move || {
            for _ in 0..2 {
                assert!(server.read(&mut [0; 64]).expect("a request") > 0);
                server.write_all(b"HTTP/1.1 204 X\r\n\r\n").expect("room");
            }
            server
        });
        for _ in 0..2 {
            let deadline = tokio::time::Instant::now() + PATIENCE;
            let request = get();
            assert_eq!(link.send_with_deadline(request, deadline).await.expect("an answer").status(), 204);
            assert!(link.is_reusable(PATIENCE).await);
        }
        drop(server.join().expect("no fault"));
    });
}

#[test]
fn one_that_does_not_come_up_says_why() {
    run(async {
        let (listener, to) = listen();
        drop(listener);
        let refused = OutboundConnection::<Full<Bytes>>::connect(SERVER, to, PATIENCE, ()).await;
        assert_eq!(refused.err(), Some(ConnectError::Refused));
    });
}

/// The proof that a request never ran, against a server that breaks off after any number of its bytes, the last one too.
#[test]
fn what_a_server_has_to_the_last_byte_has_left_whole() {
    const BODY: usize = 8 << 20;
    const LAST: u8 = 9;
    run(async {
        let mut seen = Vec::new();
        for reads in [0, 1, 40, 1 << 16, 1 << 20, BODY - 1, usize::MAX] {
            let (mut link, mut server) = connected().await;
            assert!(link.ready().await);
            let mut body = vec![7; BODY];
            body[BODY - 1] = LAST;
            let request = hyper::Request::post("/").body(Full::new(Bytes::from(body)));
            let server = std::thread::spawn(move || {
                let (mut got, mut buffer, mut whole) = (0, vec![0; 1 << 16], false);
                while got < reads && !whole {
                    let most = buffer.len().min(reads - got);
                    let count = server.read(&mut buffer[..most]).expect("bytes");
                    got += count;
                    whole = buffer[..count].ends_with(&[LAST]);
                }
                SockRef::from(&server).set_linger(Some(Duration::ZERO)).expect("an option");
                whole
            });
            let deadline = tokio::time::Instant::now() + PATIENCE;
            let fault =
                link.send_with_deadline(request.expect("a request"), deadline).await.expect_err("a reset");
            let whole = server.join().expect("no fault");
            assert!(fault.progress.may_have_run() || !whole, "{reads}: {fault:?}");
            assert!(!whole || reads == usize::MAX);
            seen.push(fault.progress);
        }
        assert!(seen.contains(&SendProgress::Partial) && seen.contains(&SendProgress::Complete), "{seen:?}");
    });
}
