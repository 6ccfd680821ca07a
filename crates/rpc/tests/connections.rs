//! Connections: which are kept, which are dropped, and what a peer that misbehaves can't do.

mod common;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use common::{Count, Divide, LONG, Once, address_of, fill, handlers, host, host_at, run};
use mosshead_rpc::{CallError, Caller, Handlers, ServerLimits};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

async fn listen() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = address_of(&listener);
    (listener, address)
}

/// Reads one whole call, or nothing at the end of the connection.
async fn read_call(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    loop {
        if let Some(head) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            let text = String::from_utf8(bytes[..head].to_vec()).unwrap().to_lowercase();
            let length = text.lines().find_map(|line| line.strip_prefix("content-length: ")).unwrap();
            if bytes.len() >= head + 4 + length.parse::<usize>().unwrap() {
                return Some(bytes);
            }
        }
        if stream.read_buf(&mut bytes).await.unwrap_or(0) == 0 {
            return None;
        }
    }
}

/// The answer to a caller's call of this number.
fn answer_to(id: usize, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\ncall-id: {id}\r\ncontent-length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// The answer to a caller's first call.
fn answer(body: &[u8]) -> Vec<u8> {
    answer_to(1, body)
}

#[test]
fn a_call_looks_like_this() {
    run(async {
        let (listener, to) = listen().await;
        let call =
            spawn_local(async move { Caller::new().call(to, &Divide { number: 1, by: 2 }, LONG).await });
        let (mut stream, _) = listener.accept().await.unwrap();
        let bytes = read_call(&mut stream).await.unwrap();
        let text =
            format!("POST /test/divide HTTP/1.1\r\nhost: {to}\r\ncall-id: 1\r\ncontent-length: 3\r\n\r\n");
        assert_eq!(bytes, [text.as_bytes(), &[0x82, 1, 2]].concat());
        stream.write_all(&answer(&[0x82, 0, 1])).await.unwrap();
        let quotient = call.await.unwrap().unwrap();
        assert_eq!((quotient.whole, quotient.rest), (0, 1));
    });
}

#[test]
fn connections_are_used_again() {
    run(async {
        let (to, _) = host(handlers(&Count::default())).await;
        let caller = Caller::new();
        let first = caller.call(to, &fill(1, 1), LONG).await.unwrap().port;
        // Also after a refusal.
        assert!(matches!(
            caller.call(to, &Divide { number: 1, by: 0 }, LONG).await,
            Err(CallError::Rejected(_))
        ));
        for _ in 0..5 {
            assert_eq!(caller.clone().call(to, &fill(1, 1), LONG).await.unwrap().port, first);
        }
        assert_ne!(Caller::new().call(to, &fill(1, 1), LONG).await.unwrap().port, first);
    });
}

#[test]
fn a_connection_whose_call_was_late_or_dropped_is_closed() {
    run(async {
        let (listener, to) = listen().await;
        let caller = Caller::new();
        for late in [true, false] {
            let calling = caller.clone();
            let call = spawn_local(async move { calling.call(to, &Once { number: 1 }, LONG).await });
            let (mut stream, _) = listener.accept().await.unwrap();
            read_call(&mut stream).await.unwrap();
            if late {
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
fn a_server_that_starts_again_is_reached_at_once() {
    run(async {
        let (to, server) = host(handlers(&Count::default())).await;
        let caller = Caller::new();
        for _ in 0..3 {
            assert!(caller.call(to, &fill(1, 1), LONG).await.is_ok());
        }
        server.abort();
        assert!(server.await.is_err());
        assert_eq!(caller.call(to, &fill(1, 1), LONG).await, Err(CallError::Connect));
        let count = Count::default();
        let (_, _server) = host_at(to, handlers(&count)).await;
        assert!(caller.call(to, &fill(1, 1), LONG).await.is_ok());
        assert_eq!(caller.call(to, &Once { number: 1 }, LONG).await, Ok(1));
        assert_eq!(count.get(), 1);
    });
}

/// A server that answers the first call, and closes each connection on which it has read another.
async fn fickle(listener: TcpListener, calls: mpsc::UnboundedSender<usize>) {
    for connection in 0.. {
        let (mut stream, _) = listener.accept().await.unwrap();
        let calls = calls.clone();
        spawn_local(async move {
            if connection == 0 && read_call(&mut stream).await.is_some() {
                let _ = calls.send(connection);
                stream.write_all(&answer(&[0x82, 1, 2])).await.unwrap();
            }
            if read_call(&mut stream).await.is_some() {
                let _ = calls.send(connection);
            }
        });
    }
}

#[test]
fn a_call_that_a_kept_connection_loses_is_sent_once_more() {
    run(async {
        let (listener, to) = listen().await;
        let (sends, mut calls) = mpsc::unbounded_channel();
        spawn_local(fickle(listener, sends));
        let caller = Caller::new();
        assert!(caller.call(to, &Divide { number: 1, by: 1 }, LONG).await.is_ok());
        // On the kept one, then on a new one, and no more.
        assert_eq!(caller.call(to, &Divide { number: 1, by: 1 }, LONG).await, Err(CallError::ConnectionLost));
        assert_eq!([calls.recv().await, calls.recv().await, calls.recv().await], [Some(0), Some(0), Some(1)]);
        assert_eq!(caller.call(to, &Divide { number: 1, by: 1 }, LONG).await, Err(CallError::ConnectionLost));
        assert_eq!(calls.recv().await, Some(2));
        assert!(calls.try_recv().is_err());
    });
}

#[test]
fn a_call_that_must_not_be_repeated_is_sent_once() {
    run(async {
        let (listener, to) = listen().await;
        let (sends, mut calls) = mpsc::unbounded_channel();
        spawn_local(fickle(listener, sends));
        let caller = Caller::new();
        assert!(caller.call(to, &Divide { number: 1, by: 1 }, LONG).await.is_ok());
        assert_eq!(calls.recv().await, Some(0));
        // On the kept one, whose last byte left; so on no other.
        assert_eq!(caller.call(to, &Once { number: 1 }, LONG).await, Err(CallError::ConnectionLost));
        assert_eq!(calls.recv().await, Some(0));
        assert_eq!(caller.call(to, &Once { number: 1 }, LONG).await, Err(CallError::ConnectionLost));
        assert_eq!(calls.recv().await, Some(1));
        assert!(calls.try_recv().is_err());
    });
}

#[test]
fn answers_that_are_none_are_faults() {
    run(async {
        let long = "HTTP/1.1 200 OK\r\ncall-id: 1\r\ncontent-length: 8388609\r\n\r\n";
        let refused = "HTTP/1.1 409 Conflict\r\ncall-id: 1\r\ncontent-length: 0\r\n";
        let cases: Vec<(Vec<u8>, CallError)> = vec![
            (b"what?\r\n\r\n".to_vec(), CallError::Malformed),
            (answer(&[0xff; 9]), CallError::Malformed),
            (answer(&[]), CallError::Malformed),
            (answer(&[0x82, 1, 2, 3]), CallError::Malformed),
            (format!("{refused}\r\n").into_bytes(), CallError::Malformed),
            (format!("{refused}result-code: 70000\r\n\r\n").into_bytes(), CallError::Malformed),
            (answer(&[0x82, 1, 2])[..20].to_vec(), CallError::ConnectionLost),
            (
                b"HTTP/1.1 200 OK\r\ncall-id: 1\r\ncontent-length: 9\r\n\r\nx".to_vec(),
                CallError::ConnectionLost,
            ),
            (
                b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n\x82\x01\x02".to_vec(),
                CallError::ResponseMismatch,
            ),
            (answer_to(2, &[0x82, 1, 2]), CallError::ResponseMismatch),
            (Vec::new(), CallError::ConnectionLost),
            ([long.as_bytes(), &vec![0; (8 << 20) + 1]].concat(), CallError::TooLong),
        ];
        for (bytes, fault) in cases {
            let (listener, to) = listen().await;
            let call =
                spawn_local(async move { Caller::new().call(to, &Divide { number: 1, by: 1 }, LONG).await });
            let (mut stream, _) = listener.accept().await.unwrap();
            read_call(&mut stream).await.unwrap();
            let _ = stream.write_all(&bytes).await;
            drop(stream);
            assert_eq!(call.await.unwrap(), Err(fault), "{:?}", &bytes[..bytes.len().min(60)]);
        }
    });
}

#[test]
fn idle_connections_are_few_and_closed_after_a_while() {
    run(async {
        let (listener, to) = listen().await;
        let caller = Caller::new();
        let mut calls = Vec::new();
        let mut streams = Vec::new();
        for _ in 0..7 {
            let calling = caller.clone();
            calls
                .push(spawn_local(async move { calling.call(to, &Divide { number: 1, by: 1 }, LONG).await }));
            let (mut stream, _) = listener.accept().await.unwrap();
            read_call(&mut stream).await.unwrap();
            streams.push(stream);
        }
        for (at, (stream, call)) in streams.iter_mut().zip(calls).enumerate() {
            stream.write_all(&answer_to(at + 1, &[0x82, 1, 2])).await.unwrap();
            assert!(call.await.unwrap().is_ok());
        }
        // The first four to be idle are kept.
        for stream in streams.iter_mut().skip(4) {
            assert!(read_call(stream).await.is_none());
        }
        let began = tokio::time::Instant::now();
        tokio::time::pause();
        for stream in streams.iter_mut().take(4) {
            assert!(read_call(stream).await.is_none());
        }
        let passed = began.elapsed();
        assert!(passed >= Duration::from_secs(9) && passed < Duration::from_secs(12), "{passed:?}");
    });
}

#[test]
fn an_address_that_says_nothing_is_given_up() {
    run(async {
        // Never given to a machine: it hangs, or the machine knows no way to it.
        let nowhere = SocketAddrV4::new(Ipv4Addr::new(192, 0, 2, 1), 7720);
        tokio::time::pause();
        let began = tokio::time::Instant::now();
        assert_eq!(Caller::new().call(nowhere, &fill(1, 1), LONG).await, Err(CallError::Connect));
        assert!(began.elapsed() <= Duration::from_millis(700));
        let short = Duration::from_millis(100);
        assert_eq!(Caller::new().call(nowhere, &fill(1, 1), short).await, Err(CallError::Connect));
    });
}

fn limited(limits: ServerLimits) -> Handlers {
    handlers(&Count::default()).with_limits(limits)
}

/// The status and the code of what a server sends until it closes.
async fn refusal(stream: &mut TcpStream) -> (String, Option<String>) {
    let mut bytes = Vec::new();
    while stream.read_buf(&mut bytes).await.unwrap_or(0) > 0 {}
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let code = text.lines().find_map(|line| line.strip_prefix("result-code: ")).map(str::to_owned);
    (text.split(' ').nth(1).unwrap_or_default().to_owned(), code)
}

#[test]
fn calls_that_come_slowly_or_are_none_are_ended() {
    run(async {
        let (to, _) = host(handlers(&Count::default())).await;
        let end = "connection: close\r\n";
        let cases = [
            (String::new(), "", None),
            ("POST /once HTTP/1.1\r\nho".to_owned(), "", None),
            ("POST /once HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nab".to_owned(), "408", Some("813")),
            (format!("POST /what HTTP/1.1\r\n{end}content-length: 0\r\n\r\n"), "404", Some("810")),
            (format!("GET /once HTTP/1.1\r\n{end}\r\n"), "404", Some("810")),
            (format!("POST /once HTTP/1.1\r\n{end}content-length: 1\r\n\r\n\u{1}"), "400", Some("811")),
            ("POST /once HTTP/1.1\r\ncontent-length: 8388609\r\n\r\n".to_owned(), "413", Some("812")),
            ("\0\0\0\0\r\n\r\n".to_owned(), "400", None),
        ];
        for (bytes, status, code) in cases {
            let mut stream = TcpStream::connect(to).await.unwrap();
            stream.write_all(bytes.as_bytes()).await.unwrap();
            tokio::time::pause();
            let got = refusal(&mut stream).await;
            tokio::time::resume();
            if !status.is_empty() {
                assert_eq!((got.0.as_str(), got.1.as_deref()), (status, code), "{bytes:?}");
            }
        }
        assert!(Caller::new().call(to, &fill(1, 1), LONG).await.is_ok());
    });
}

#[test]
fn the_oldest_idle_connection_makes_room() {
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
fn connections_over_the_bound_are_refused_when_all_are_busy() {
    run(async {
        let (begins, mut begun) = mpsc::unbounded_channel();
        let (ends, ended) = tokio::sync::watch::channel(false);
        let handlers = Handlers::new()
            .with_handler::<Once>(async move |call, _| {
                let _ = begins.send(());
                let _ = ended.clone().wait_for(|ended| *ended).await;
                Ok(call.number)
            })
            .with_limits(ServerLimits { max_connections: 2, ..ServerLimits::default() });
        let (to, _) = host(handlers).await;
        let caller = Caller::new();
        let mut calls = Vec::new();
        for number in 0..2 {
            let calling = caller.clone();
            calls.push(spawn_local(async move { calling.call(to, &Once { number }, LONG).await }));
            begun.recv().await.unwrap();
        }
        assert_eq!(caller.call(to, &Once { number: 9 }, LONG).await, Err(CallError::ConnectionLost));
        ends.send(true).unwrap();
        for (number, call) in calls.into_iter().enumerate() {
            assert_eq!(call.await.unwrap(), Ok(number as u32));
        }
        assert_eq!(caller.call(to, &Once { number: 9 }, LONG).await, Ok(9));
    });
}
