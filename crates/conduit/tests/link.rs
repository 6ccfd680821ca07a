//! Connections on loopback.

use std::io::{Read, Write};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use mosshead_conduit::{Link, Side};
use rstest::rstest;
use tokio::task::LocalSet;

const SERVER: Side = Side { name: "server", log: |_| {} };

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
        let link = Link::open(SERVER, to, Duration::from_secs(5), ()).await;
        let (mut link, (mut node, _)) = (link.expect("a connection"), listener.accept().expect("it"));
        assert!(link.ready().await);
        match unasked {
            b"" => node.shutdown(std::net::Shutdown::Write).expect("its end"),
            unasked => node.write_all(unasked).expect("room"),
        }
        let request = hyper::Request::get("/").body(Full::new(Bytes::new())).expect("a request");
        assert!(link.send(request, 0).await.is_err() && !link.written.begun());
        drop(link);
        tokio::task::yield_now().await;
        assert!(!matches!(node.read(&mut [0; 9]), Ok(1..)));
    });
}
