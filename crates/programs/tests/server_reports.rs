//! Load reports of model servers over sockets: a report is read completely, or rejected.

use std::future::Future;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use mosshead_data_plane::{MAX_REPORT_BYTES, ServerReport};
use mosshead_programs::server_reports::fetch_report;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local, yield_now};
use tokio::time::timeout;

const REPORT: &str = r#"{"queued":3,"active":5}"#;
/// Scheduler turns between two parts of a response, so that the reader has processed the previous part.
const TURNS_BETWEEN_PARTS: usize = 500;

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        timeout(Duration::from_secs(20), test).await.expect("ends in time");
    });
}

/// Starts a server that responds to one request with these parts in sequence, and keeps the connection open.
async fn server(parts: Vec<String>) -> SocketAddrV4 {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let SocketAddr::V4(address) = listener.local_addr().expect("bound") else {
        panic!("loopback is IPv4 here")
    };
    spawn_local(async move {
        if let Ok((stream, _)) = listener.accept().await {
            respond(stream, parts).await;
        }
    });
    address
}

async fn respond(mut stream: TcpStream, parts: Vec<String>) {
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\n") {
        assert!(stream.read_buf(&mut received).await.expect("a request") > 0);
    }
    assert!(received.starts_with(b"GET /report HTTP/1.1\r\n"));
    for part in parts {
        let _ = stream.write_all(part.as_bytes()).await;
        for _ in 0..TURNS_BETWEEN_PARTS {
            yield_now().await;
        }
    }
    let _ = stream.read_buf(&mut received).await;
}

fn head(status: u16, length: usize) -> String {
    format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n")
}

const EXPECTED: ServerReport = ServerReport { queued: 3.0, active: 5.0 };

#[test]
fn a_report_that_comes_with_its_head_is_read() {
    run(async {
        let address = server(vec![head(200, REPORT.len()) + REPORT]).await;
        assert_eq!(fetch_report(address).await, Some(EXPECTED));
    });
}

#[test]
fn a_report_that_comes_after_its_head_in_parts_is_read_to_its_end() {
    run(async {
        let (begin, end) = REPORT.split_at(REPORT.len() / 2);
        let address = server(vec![head(200, REPORT.len()), begin.to_owned(), end.to_owned()]).await;
        assert_eq!(fetch_report(address).await, Some(EXPECTED));
    });
}

#[test]
fn an_error_is_no_report() {
    run(async {
        let address = server(vec![head(503, REPORT.len()) + REPORT]).await;
        assert_eq!(fetch_report(address).await, None);
    });
}

#[test]
fn a_report_that_is_too_long_is_not_read() {
    run(async {
        let report = REPORT.to_owned() + &" ".repeat(MAX_REPORT_BYTES);
        let address = server(vec![head(200, report.len()) + &report]).await;
        assert_eq!(fetch_report(address).await, None);
    });
}

#[test]
fn a_report_that_does_not_end_in_time_is_given_up() {
    run(async {
        let (begin, _) = REPORT.split_at(REPORT.len() / 2);
        let address = server(vec![head(200, REPORT.len()) + begin]).await;
        assert_eq!(fetch_report(address).await, None);
    });
}
