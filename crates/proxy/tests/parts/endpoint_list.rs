//! Tests of `mosshead::endpoint_list`.

use std::time::{Duration, Instant};

use mosshead::endpoint_list::{EndpointList, MIN_CALL_INTERVAL, STALE_LIST_PERIOD, StaleListFilter, run};
use mosshead_snapshot::server_list::ServerList;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::{LocalSet, spawn_local};

/// A discovery restored with old state sends lists in which draining servers are targets again. If its newer state is
/// lost for good, the older list is the only one.
#[test]
fn an_older_list_is_accepted_only_after_the_stale_period() {
    let list = |version| ServerList { version, is_complete: true, servers: Vec::new() };
    let (mut filter, now) = (StaleListFilter::default(), Instant::now());
    assert!(filter.accept(&list(7), now));
    assert!(!filter.accept(&list(5), now + STALE_LIST_PERIOD));
    assert!(filter.accept(&list(7), now + STALE_LIST_PERIOD));
    for (seconds, is_accepted) in [(1, false), (20, false), (30, false), (31, true), (32, true)] {
        let later = now + STALE_LIST_PERIOD + Duration::from_secs(seconds);
        assert_eq!(filter.accept(&list(6), later), is_accepted, "after {seconds} s");
    }
}

/// A discovery that answers at once without an update would be called in a tight loop. After an update, the next call
/// must not be delayed.
#[test]
fn a_discovery_that_does_not_wait_is_called_at_intervals() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let (list, commands) = EndpointList::new();
        let (balancer, _messages) = unbounded_channel();
        list.watch();
        spawn_local(run(addr, Some(1), Duration::from_secs(1), commands, balancer));
        let (mut stream, _) = listener.accept().await.expect("a call");
        let mut waits = [Duration::ZERO; 3];
        for wait in &mut waits {
            let since = Instant::now();
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(stream.read_u8().await.expect("a head"));
            }
            *wait = since.elapsed();
            let body = r#"{"version":2,"full":false,"servers":[]}"#;
            let response = format!("HTTP/1.1 200 X\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            stream.write_all(response.as_bytes()).await.expect("written");
        }
        // The first call had an update to version 1; the second one had none.
        assert!(waits[1] < MIN_CALL_INTERVAL / 2 && waits[2] >= MIN_CALL_INTERVAL / 2, "{waits:?}");
    });
}
