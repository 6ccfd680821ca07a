//! Reuse and closing of connections, and protection against misbehaving peers.

mod common;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use common::{
    Divide, HandledCalls, LONG_TIMEOUT, SingleUse, address_of, fill, handlers, host, host_at, run, take_call,
};
use mosshead_rpc::{CallError, Caller, Handlers, ServerLimits, Transport};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

async fn listen() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = address_of(&listener);
    (listener, address)
}

/// Reads the bytes of one complete call; `None` at the end of the connection.
async fn read_call(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut received = Vec::new();
    loop {
        if let Some(call) = take_call(&mut received) {
            return Some(call.bytes);
        }
        if stream.read_buf(&mut received).await.unwrap_or(0) == 0 {
            return None;
        }
    }
}

/// The response to a caller's call with this id.
fn response_to(id: usize, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\ncall-id: {id}\r\ncontent-length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// The response to a caller's first call.
fn response(body: &[u8]) -> Vec<u8> {
    response_to(1, body)
}

#[test]
fn a_call_has_this_form_on_the_wire() {
    run(async {
        let (listener, to) = listen().await;
        let call =
            spawn_local(
                async move { Caller::new().call(to, &Divide { number: 1, by: 2 }, LONG_TIMEOUT).await },
            );
        let (mut stream, _) = listener.accept().await.unwrap();
        let bytes = read_call(&mut stream).await.unwrap();
        let text =
            format!("POST /test/divide HTTP/1.1\r\nhost: {to}\r\ncall-id: 1\r\ncontent-length: 3\r\n\r\n");
        assert_eq!(bytes, [text.as_bytes(), &[0x82, 1, 2]].concat());
        stream.write_all(&response(&[0x82, 0, 1])).await.unwrap();
        let quotient = call.await.unwrap().unwrap();
        assert_eq!((quotient.quotient, quotient.remainder), (0, 1));
    });
}

#[test]
fn connections_are_reused() {
    run(async {
        let (to, _) = host(handlers(&HandledCalls::default())).await;
        let caller = Caller::new();
        let first = caller.call(to, &fill(1, 1), LONG_TIMEOUT).await.unwrap().port;
        // A rejected call does not close its connection.
        assert!(matches!(
            caller.call(to, &Divide { number: 1, by: 0 }, LONG_TIMEOUT).await,
            Err(CallError::Rejected(_))
        ));
        for _ in 0..5 {
            assert_eq!(caller.clone().call(to, &fill(1, 1), LONG_TIMEOUT).await.unwrap().port, first);
        }
        assert_ne!(Caller::new().call(to, &fill(1, 1), LONG_TIMEOUT).await.unwrap().port, first);
    });
}

#[test]
fn the_connection_of_a_timed_out_or_dropped_call_is_closed() {
    run(async {
        let (listener, to) = listen().await;
        let caller = Caller::new();
        for is_late in [true, false] {
            let caller = caller.clone();
            let call =
                spawn_local(async move { caller.call(to, &SingleUse { number: 1 }, LONG_TIMEOUT).await });
            let (mut stream, _) = listener.accept().await.unwrap();
            read_call(&mut stream).await.unwrap();
            if is_late {
                tokio::time::pause();
                assert_eq!(call.await.unwrap(), Err(CallError::Timeout));
                tokio::time::resume();
            } else {
                call.abort();
                assert!(call.await.is_err());
            }
            assert!(read_call(&mut stream).await.is_none(), "closed");
        }
    });
}

#[test]
fn a_restarted_server_is_reached_at_once() {
    run(async {
        let (to, server) = host(handlers(&HandledCalls::default())).await;
        let caller = Caller::new();
        for _ in 0..3 {
            assert!(caller.call(to, &fill(1, 1), LONG_TIMEOUT).await.is_ok());
        }
        server.abort();
        assert!(server.await.is_err());
        assert_eq!(caller.call(to, &fill(1, 1), LONG_TIMEOUT).await, Err(CallError::Connect));
        let count = HandledCalls::default();
        let (_, _server) = host_at(to, handlers(&count)).await;
        assert!(caller.call(to, &fill(1, 1), LONG_TIMEOUT).await.is_ok());
        assert_eq!(caller.call(to, &SingleUse { number: 1 }, LONG_TIMEOUT).await, Ok(1));
        assert_eq!(count.get(), 1);
    });
}

/// Starts a server that responds to the first call, and closes each connection on which it receives another one.
/// Returns its address and a channel with the connection number of each received call.
async fn closing_server() -> (SocketAddrV4, mpsc::UnboundedReceiver<usize>) {
    let (listener, address) = listen().await;
    let (arrivals, calls) = mpsc::unbounded_channel();
    spawn_local(async move {
        for connection in 0.. {
            let (stream, _) = listener.accept().await.unwrap();
            spawn_local(serve_and_close(stream, connection, arrivals.clone()));
        }
    });
    (address, calls)
}

async fn serve_and_close(mut stream: TcpStream, connection: usize, arrivals: mpsc::UnboundedSender<usize>) {
    if connection == 0 && read_call(&mut stream).await.is_some() {
        let _ = arrivals.send(connection);
        stream.write_all(&response(&[0x82, 1, 2])).await.unwrap();
    }
    if read_call(&mut stream).await.is_some() {
        let _ = arrivals.send(connection);
    }
}

#[test]
fn a_call_that_an_idle_connection_loses_is_retried_once() {
    run(async {
        let (to, mut calls) = closing_server().await;
        let caller = Caller::new();
        assert!(caller.call(to, &Divide { number: 1, by: 1 }, LONG_TIMEOUT).await.is_ok());
        // The call is sent on the idle connection, then on a new one, and not again.
        assert_eq!(
            caller.call(to, &Divide { number: 1, by: 1 }, LONG_TIMEOUT).await,
            Err(CallError::ConnectionLost)
        );
        assert_eq!([calls.recv().await, calls.recv().await, calls.recv().await], [Some(0), Some(0), Some(1)]);
        assert_eq!(
            caller.call(to, &Divide { number: 1, by: 1 }, LONG_TIMEOUT).await,
            Err(CallError::ConnectionLost)
        );
        assert_eq!(calls.recv().await, Some(2));
        assert!(calls.try_recv().is_err());
    });
}

#[test]
fn a_call_that_must_not_be_repeated_is_sent_once() {
    run(async {
        let (to, mut calls) = closing_server().await;
        let caller = Caller::new();
        assert!(caller.call(to, &Divide { number: 1, by: 1 }, LONG_TIMEOUT).await.is_ok());
        assert_eq!(calls.recv().await, Some(0));
        // The call was sent completely on the idle connection, so it is sent on no other.
        assert_eq!(
            caller.call(to, &SingleUse { number: 1 }, LONG_TIMEOUT).await,
            Err(CallError::ConnectionLost)
        );
        assert_eq!(calls.recv().await, Some(0));
        assert_eq!(
            caller.call(to, &SingleUse { number: 1 }, LONG_TIMEOUT).await,
            Err(CallError::ConnectionLost)
        );
        assert_eq!(calls.recv().await, Some(1));
        assert!(calls.try_recv().is_err());
    });
}

#[test]
fn invalid_responses_are_errors() {
    run(async {
        let long = "HTTP/1.1 200 OK\r\ncall-id: 1\r\ncontent-length: 8388609\r\n\r\n";
        let conflict = "HTTP/1.1 409 Conflict\r\ncall-id: 1\r\ncontent-length: 0\r\n";
        let cases: Vec<(Vec<u8>, CallError)> = vec![
            (b"what?\r\n\r\n".to_vec(), CallError::Malformed),
            (response(&[0xff; 9]), CallError::Malformed),
            (response(&[]), CallError::Malformed),
            (response(&[0x82, 1, 2, 3]), CallError::Malformed),
            (format!("{conflict}\r\n").into_bytes(), CallError::Malformed),
            (format!("{conflict}result-code: 70000\r\n\r\n").into_bytes(), CallError::Malformed),
            (response(&[0x82, 1, 2])[..20].to_vec(), CallError::ConnectionLost),
            (
                b"HTTP/1.1 200 OK\r\ncall-id: 1\r\ncontent-length: 9\r\n\r\nx".to_vec(),
                CallError::ConnectionLost,
            ),
            (
                b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n\x82\x01\x02".to_vec(),
                CallError::ResponseMismatch,
            ),
            (response_to(2, &[0x82, 1, 2]), CallError::ResponseMismatch),
            (Vec::new(), CallError::ConnectionLost),
            ([long.as_bytes(), &vec![0; (8 << 20) + 1]].concat(), CallError::TooLong),
        ];
        for (bytes, error) in cases {
            let (listener, to) = listen().await;
            let call = spawn_local(async move {
                Caller::new().call(to, &Divide { number: 1, by: 1 }, LONG_TIMEOUT).await
            });
            let (mut stream, _) = listener.accept().await.unwrap();
            read_call(&mut stream).await.unwrap();
            let _ = stream.write_all(&bytes).await;
            drop(stream);
            assert_eq!(call.await.unwrap(), Err(error), "{:?}", &bytes[..bytes.len().min(60)]);
        }
    });
}

#[test]
fn idle_connections_are_limited_and_expire() {
    run(async {
        let (listener, to) = listen().await;
        let caller = Caller::new();
        let mut calls = Vec::new();
        let mut streams = Vec::new();
        for _ in 0..7 {
            let caller = caller.clone();
            calls.push(spawn_local(async move {
                caller.call(to, &Divide { number: 1, by: 1 }, LONG_TIMEOUT).await
            }));
            let (mut stream, _) = listener.accept().await.unwrap();
            read_call(&mut stream).await.unwrap();
            streams.push(stream);
        }
        for (index, (stream, call)) in streams.iter_mut().zip(calls).enumerate() {
            stream.write_all(&response_to(index + 1, &[0x82, 1, 2])).await.unwrap();
            assert!(call.await.unwrap().is_ok());
        }
        // The first four to become idle are kept.
        for stream in streams.iter_mut().skip(4) {
            assert!(read_call(stream).await.is_none());
        }
        let started_at = tokio::time::Instant::now();
        tokio::time::pause();
        for stream in streams.iter_mut().take(4) {
            assert!(read_call(stream).await.is_none());
        }
        let elapsed = started_at.elapsed();
        assert!(elapsed >= Duration::from_secs(9) && elapsed < Duration::from_secs(12), "{elapsed:?}");
    });
}

#[test]
fn connecting_to_a_silent_address_times_out() {
    run(async {
        // An address reserved for documentation (RFC 5737): connecting hangs, or there is no route.
        let nowhere = SocketAddrV4::new(Ipv4Addr::new(192, 0, 2, 1), 7720);
        tokio::time::pause();
        let started_at = tokio::time::Instant::now();
        assert_eq!(Caller::new().call(nowhere, &fill(1, 1), LONG_TIMEOUT).await, Err(CallError::Connect));
        assert!(started_at.elapsed() <= Duration::from_millis(700));
        let short = Duration::from_millis(100);
        assert_eq!(Caller::new().call(nowhere, &fill(1, 1), short).await, Err(CallError::Connect));
    });
}

fn limited(limits: ServerLimits) -> Handlers {
    handlers(&HandledCalls::default()).with_limits(limits)
}

/// Reads until the server closes the connection. Returns the status and the result code.
async fn read_rejection(stream: &mut TcpStream) -> (String, Option<String>) {
    let mut bytes = Vec::new();
    while stream.read_buf(&mut bytes).await.unwrap_or(0) > 0 {}
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let code = text.lines().find_map(|line| line.strip_prefix("result-code: ")).map(str::to_owned);
    (text.split(' ').nth(1).unwrap_or_default().to_owned(), code)
}

#[test]
fn slow_and_invalid_requests_are_ended() {
    run(async {
        let (to, _) = host(handlers(&HandledCalls::default())).await;
        let close = "connection: close\r\n";
        let cases = [
            (String::new(), "", None),
            ("POST /once HTTP/1.1\r\nho".to_owned(), "", None),
            ("POST /once HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nab".to_owned(), "408", Some("813")),
            (format!("POST /what HTTP/1.1\r\n{close}content-length: 0\r\n\r\n"), "404", Some("810")),
            (format!("GET /once HTTP/1.1\r\n{close}\r\n"), "404", Some("810")),
            (format!("POST /once HTTP/1.1\r\n{close}content-length: 1\r\n\r\n\u{1}"), "400", Some("811")),
            ("POST /once HTTP/1.1\r\ncontent-length: 8388609\r\n\r\n".to_owned(), "413", Some("812")),
            ("\0\0\0\0\r\n\r\n".to_owned(), "400", None),
        ];
        for (bytes, status, code) in cases {
            let mut stream = TcpStream::connect(to).await.unwrap();
            stream.write_all(bytes.as_bytes()).await.unwrap();
            tokio::time::pause();
            let response = read_rejection(&mut stream).await;
            tokio::time::resume();
            if !status.is_empty() {
                assert_eq!((response.0.as_str(), response.1.as_deref()), (status, code), "{bytes:?}");
            }
        }
        assert!(Caller::new().call(to, &fill(1, 1), LONG_TIMEOUT).await.is_ok());
    });
}

#[test]
fn the_least_recently_used_connection_is_closed_for_a_new_one() {
    run(async {
        let (to, _) = host(limited(ServerLimits { max_connections: 2, ..ServerLimits::default() })).await;
        let mut streams = Vec::new();
        for _ in 0..3 {
            streams.push(TcpStream::connect(to).await.unwrap());
        }
        let [first, second, third] = &mut streams[..] else { panic!() };
        assert!(read_call(first).await.is_none());
        for stream in [second, third] {
            stream.write_all(b"POST /once HTTP/1.1\r\ncontent-length: 2\r\n\r\n\x81\x05").await.unwrap();
            let mut bytes = Vec::new();
            while !bytes.ends_with(b"\x05") {
                assert!(stream.read_buf(&mut bytes).await.unwrap() > 0);
            }
        }
    });
}

#[test]
fn connections_beyond_the_limit_are_rejected_when_all_are_busy() {
    run(async {
        let (start_sender, mut started) = mpsc::unbounded_channel();
        let (finish_sender, finished) = tokio::sync::watch::channel(false);
        let handlers = Handlers::new()
            .with_handler::<SingleUse>(async move |call, _| {
                let _ = start_sender.send(());
                let _ = finished.clone().wait_for(|finished| *finished).await;
                Ok(call.number)
            })
            .with_limits(ServerLimits { max_connections: 2, ..ServerLimits::default() });
        let (to, _) = host(handlers).await;
        let caller = Caller::new();
        let mut calls = Vec::new();
        for number in 0..2 {
            let caller = caller.clone();
            calls
                .push(spawn_local(async move { caller.call(to, &SingleUse { number }, LONG_TIMEOUT).await }));
            started.recv().await.unwrap();
        }
        assert_eq!(
            caller.call(to, &SingleUse { number: 9 }, LONG_TIMEOUT).await,
            Err(CallError::ConnectionLost)
        );
        finish_sender.send(true).unwrap();
        for (number, call) in calls.into_iter().enumerate() {
            assert_eq!(call.await.unwrap(), Ok(number as u32));
        }
        assert_eq!(caller.call(to, &SingleUse { number: 9 }, LONG_TIMEOUT).await, Ok(9));
    });
}
