//! Clients' connections at a proxy that shuts down.

mod common;

use common::{IDEMPOTENT, Proxy, REQUEST_BODY, RawConnection, StubServer, advance_clock, ok_response, run};
use mosshead_time::Duration;
use tokio::task::yield_now;

/// Longer than a connection without a request is kept open during the shutdown.
const IDLE: Duration = Duration::from_secs(1);
/// `header_timeout_ms` of the test configuration.
const HEADER_TIMEOUT: Duration = Duration::from_secs(3);

/// Opens a connection, and waits until the proxy serves it.
async fn open_connection(proxy: &Proxy) -> RawConnection {
    let connection = RawConnection::open(proxy.address).await;
    while proxy.frontend.open_connections() == 0 {
        yield_now().await;
    }
    connection
}

/// Guards against connections that a proxy accepts while it shuts down and closes before their first request arrives.
#[test]
fn a_connection_is_served_although_its_first_request_comes_after_the_start_of_the_shutdown() {
    run(async {
        for opens_before_shutdown in [true, false] {
            let stub = StubServer::start("s-1", "plain", None, |_| ok_response("still")).await;
            let proxy = Proxy::with_servers(1, &[&stub.server]).await;
            if !opens_before_shutdown {
                proxy.frontend.shut_down();
            }
            let mut connection = open_connection(&proxy).await;
            proxy.frontend.shut_down();
            // The request comes in pieces.
            connection.send_head(IDEMPOTENT).await;
            for _ in 0..10 {
                yield_now().await;
            }
            connection.send(REQUEST_BODY).await;
            let response = connection.read_to_end().await;
            assert!(response.starts_with("HTTP/1.1 200 ") && response.ends_with("still"), "{response}");
        }
    });
}

#[test]
fn a_connection_without_a_request_is_closed_in_the_shutdown() {
    run(async {
        let proxy = Proxy::with_servers(1, &[]).await;
        proxy.frontend.shut_down();
        let connection = open_connection(&proxy).await;
        advance_clock(IDLE).await;
        assert_eq!(connection.read_to_end().await, "");
        assert_eq!(proxy.frontend.open_connections(), 0);
    });
}

/// Guards against a `header_timeout_ms` that bounds no head (PROTOCOL.md, The operator's API: it is 3 s here).
#[test]
fn a_head_that_is_not_complete_in_time_gets_408_however_its_bytes_trickle() {
    run(async {
        let stub = StubServer::start("s-1", "plain", None, |_| ok_response("served")).await;
        let proxy = Proxy::with_servers(1, &[&stub.server]).await;
        let mut connection = open_connection(&proxy).await;
        // A first request, and a rest that is longer than the limit: only the time from the first byte of a head counts.
        connection.send_head(IDEMPOTENT).await;
        connection.send(REQUEST_BODY).await;
        assert!(connection.read_head().await.starts_with("HTTP/1.1 200 "));
        advance_clock(2 * HEADER_TIMEOUT).await;
        for piece in ["POST /idempotent/ HT", "TP/1.1\r\nHo", "st: ficu95"] {
            connection.send(piece).await;
            for _ in 0..10 {
                yield_now().await;
            }
            advance_clock(HEADER_TIMEOUT / 2).await;
        }
        let response = connection.read_to_end().await;
        assert!(response.starts_with("HTTP/1.1 408 "), "{response}");
        assert_eq!((stub.received().len(), proxy.data_plane.counters.late_heads.get()), (1, 1));
    });
}

/// A body that is read slowly, or dropped, is no head.
#[test]
fn the_time_for_heads_does_not_bound_bodies_and_responses() {
    run(async {
        let stub = StubServer::start("s-1", "plain", None, |_| ok_response("served")).await;
        let proxy = Proxy::with_servers(1, &[&stub.server]).await;
        let mut connection = open_connection(&proxy).await;
        connection.send_head(IDEMPOTENT).await;
        let (first, rest) = REQUEST_BODY.split_at(2);
        connection.send(first).await;
        for _ in 0..10 {
            yield_now().await;
        }
        advance_clock(2 * HEADER_TIMEOUT).await;
        connection.send(rest).await;
        assert!(connection.read_head().await.starts_with("HTTP/1.1 200 "));
        connection.send_head(IDEMPOTENT).await;
        connection.send(REQUEST_BODY).await;
        assert!(connection.read_head().await.starts_with("HTTP/1.1 200 "));
        assert_eq!(proxy.data_plane.counters.late_heads.get(), 0);
    });
}
