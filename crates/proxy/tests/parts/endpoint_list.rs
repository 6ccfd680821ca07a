//! Tests of `mosshead::endpoint_list`.

use std::time::{Duration, Instant};

use mosshead::endpoint_list::{EndpointList, MIN_CALL_INTERVAL, STALE_LIST_PERIOD, ToldVersion, run};
use mosshead_snapshot::server_list::ServerList;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::{LocalSet, spawn_local};

/// A discovery that comes back with old state makes servers that drain into targets again; one whose state is
/// lost for good must not be disbelieved for ever.
#[test]
fn an_older_list_is_not_taken_before_its_time() {
    let listing = |version| ServerList { version, is_complete: true, servers: Vec::new() };
    let (mut told, now) = (ToldVersion::default(), Instant::now());
    assert!(!told.is_older(&listing(7), now));
    assert!(told.is_older(&listing(5), now + STALE_LIST_PERIOD));
    assert!(!told.is_older(&listing(7), now + STALE_LIST_PERIOD));
    for (after, older) in [(1, true), (20, true), (30, true), (31, false), (32, false)] {
        assert_eq!(
            told.is_older(&listing(6), now + STALE_LIST_PERIOD + Duration::from_secs(after)),
            older,
            "{after}"
        );
    }
}

/// One that answers at once though nothing is new would be called without end, and news must not wait.
#[test]
fn who_does_not_wait_is_called_at_a_pace() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let (list, asked) = EndpointList::new();
        let (home, _mail) = unbounded_channel();
        list.watch();
        spawn_local(run(addr, Some(1), 1.0, asked, home));
        let (mut stream, _) = listener.accept().await.expect("a call");
        let mut took = [Duration::ZERO; 3];
        for (version, took) in [2, 2, 2].into_iter().zip(&mut took) {
            let since = Instant::now();
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(stream.read_u8().await.expect("a head"));
            }
            *took = since.elapsed();
            let body = format!(r#"{{"version":{version},"full":false,"servers":[]}}"#);
            let response = format!("HTTP/1.1 200 X\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            stream.write_all(response.as_bytes()).await.expect("written");
        }
        // The first call found the list at version 1 and brought news; the next one brought none.
        assert!(took[1] < MIN_CALL_INTERVAL / 2 && took[2] >= MIN_CALL_INTERVAL / 2, "{took:?}");
    });
}
