//! Clients' connections at a proxy that shuts down.

mod common;

use common::{IDEMPOTENT, Proxy, REQUEST_BODY, RawConnection, StubServer, advance_clock, ok_response, run};
use mosshead_time::Duration;
use tokio::task::yield_now;

/// Longer than a connection without a request is kept open during the shutdown.
const IDLE: Duration = Duration::from_secs(1);

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
