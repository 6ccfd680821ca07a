//! Streams: how they are resumed at another server, and how they end if that is not possible.

mod common;

use std::cell::Cell;
use std::ops::RangeInclusive;
use std::rc::Rc;

use common::{
    ATTEMPT_ID, Behavior, CLIENT_TIMEOUT, FOREIGN_ATTEMPT_ID, GRACE, HOST, NOT_RESUMABLE, Proxy, RESUMABLE,
    ReceivedRequest, SEAL, StubServer, events, handle_response, run,
};
use mosshead_registry::Stage;

fn stream(ids: RangeInclusive<u64>) -> Behavior {
    Behavior::Stream { ids, seal: SEAL, breaks_off: false }
}

fn broken_stream(ids: RangeInclusive<u64>) -> Behavior {
    Behavior::Stream { ids, seal: SEAL, breaks_off: true }
}

async fn prefill_stub() -> Rc<StubServer> {
    StubServer::start("i-prefill", "llm", Some(Stage::Prefill), |_| handle_response()).await
}

async fn decode_stub(id: &str, script: impl Fn(&ReceivedRequest) -> Behavior + 'static) -> Rc<StubServer> {
    StubServer::start(id, "llm", Some(Stage::Decode), script).await
}

/// A proxy with one prefill server and two decode servers.
struct TwoDecodeServers {
    proxy: Proxy,
    _prefill: Rc<StubServer>,
    decode: [Rc<StubServer>; 2],
}

impl TwoDecodeServers {
    /// The first request that reaches either decode server meets `first`, the others meet `later`.
    async fn start(
        seed: u64,
        first: Behavior,
        later: impl Fn(&ReceivedRequest) -> Behavior + Clone + 'static,
    ) -> Self {
        let is_first = Rc::new(Cell::new(true));
        let script = || {
            let (is_first, first, later) = (is_first.clone(), first.clone(), later.clone());
            move |request: &ReceivedRequest| {
                if is_first.replace(false) { first.clone() } else { later(request) }
            }
        };
        let prefill = prefill_stub().await;
        let decode = [decode_stub("i-1", script()).await, decode_stub("i-2", script()).await];
        let servers = [&prefill.server, &decode[0].server, &decode[1].server];
        let proxy = Proxy::with_servers(seed, &servers).await;
        Self { proxy, _prefill: prefill, decode }
    }

    /// Both decode servers always behave the same.
    async fn with_behavior(behavior: Behavior) -> Self {
        Self::start(1, behavior.clone(), move |_| behavior.clone()).await
    }

    /// The number of requests that each decode server received.
    fn counts(&self) -> (usize, usize) {
        (self.decode[0].received().len(), self.decode[1].received().len())
    }

    fn total(&self) -> usize {
        self.counts().0 + self.counts().1
    }

    fn received(&self) -> Vec<ReceivedRequest> {
        self.decode.iter().flat_map(|decode| decode.received()).collect()
    }
}

/// Continues a stream up to event 9.
fn continue_stream(request: &ReceivedRequest) -> Behavior {
    stream(request.last_event_id() + 1..=9)
}

#[test]
fn a_stream_that_breaks_off_is_resumed_elsewhere_if_the_route_allows_it() {
    run(async {
        for seed in 0..6 {
            let first = Behavior::Stream { ids: 1..=4, seal: "first", breaks_off: true };
            let servers = TwoDecodeServers::start(seed, first, |request| Behavior::Stream {
                ids: request.last_event_id() + 1..=9,
                seal: "second",
                breaks_off: false,
            });
            let servers = servers.await;
            let response = servers.proxy.post_prompt(RESUMABLE, &[]).await;
            assert_eq!((response.status, response.is_complete), (200, true));
            assert_eq!(response.body, events(1..=9), "no event twice, none missing");
            assert_eq!(response.header("x-server-seal"), Some("first"));
            assert_eq!(servers.counts(), (1, 1), "another server");
            let received = servers.received();
            let last_event_ids: Vec<&str> =
                received.iter().filter_map(|request| request.header("last-event-id")).collect();
            assert_eq!(last_event_ids, ["4"]);
            let with_handle = received.iter().filter(|request| request.header("kv-from").is_some()).count();
            assert!(with_handle <= 1, "a handle is fetched once");
            assert_eq!(servers.proxy.data_plane.counters.resumed.get(), 1);
        }
    });
}

#[test]
fn events_that_a_resumed_stream_repeats_are_not_forwarded() {
    run(async {
        let servers = TwoDecodeServers::start(1, broken_stream(1..=4), |_| stream(3..=9)).await;
        let response = servers.proxy.post_prompt(RESUMABLE, &[]).await;
        assert_eq!((response.body, response.is_complete), (events(1..=9), true));
    });
}

#[test]
fn a_stream_that_breaks_at_every_server_is_aborted_after_a_complete_event() {
    run(async {
        let servers = TwoDecodeServers::with_behavior(broken_stream(1..=4)).await;
        let response = servers.proxy.post_prompt(RESUMABLE, &[]).await;
        let got = (response.status, response.is_complete, response.body);
        assert_eq!(got, (200, false, events(1..=4)));
    });
}

#[test]
fn a_broken_stream_that_may_not_be_resumed_does_not_look_complete() {
    run(async {
        let servers = TwoDecodeServers::with_behavior(broken_stream(1..=4)).await;
        let response = servers.proxy.post_prompt(NOT_RESUMABLE, &[]).await;
        assert_eq!((response.status, response.is_complete), (200, false));
        assert!(response.body.starts_with(&events(1..=4)) || events(1..=4).starts_with(&response.body));
        assert_eq!(servers.total(), 1, "never sent twice");
    });
}

#[test]
fn a_stream_that_may_have_run_is_not_started_again_if_it_may_not_be_resumed() {
    run(async {
        let foreign =
            vec![("x-server-seal", SEAL.to_owned()), ("x-attempt-id", FOREIGN_ATTEMPT_ID.to_owned())];
        let failures = [
            Behavior::Close,
            Behavior::Respond(503, vec![("retry-after", "1".into())], ""),
            Behavior::Respond(200, Vec::new(), "no seal"),
            Behavior::Respond(200, foreign, "another's"),
        ];
        for failure in failures {
            let servers = TwoDecodeServers::with_behavior(failure.clone()).await;
            let response = servers.proxy.post_prompt(NOT_RESUMABLE, &[]).await;
            assert_eq!((response.status, response.body.as_str()), (502, ""), "{failure:?}");
            assert_eq!(response.header("retry-after"), None);
            assert_eq!(servers.total(), 1, "{failure:?}");
        }
    });
}

#[test]
fn a_resumable_stream_starts_elsewhere_after_a_closed_connection() {
    run(async {
        for seed in 0..4 {
            let servers = TwoDecodeServers::start(seed, Behavior::Close, |_| stream(1..=5)).await;
            let response = servers.proxy.post_prompt(RESUMABLE, &[]).await;
            let got = (response.status, response.body.clone(), response.is_complete);
            assert_eq!(got, (200, events(1..=5), true));
            assert_eq!(servers.counts(), (1, 1));
        }
    });
}

#[test]
fn a_stream_that_starts_at_a_draining_proxy_asks_the_client_to_close_its_connection() {
    run(async {
        let (prefill, decode) = (prefill_stub().await, decode_stub("i-decode", |_| stream(1..=3)).await);
        let proxy = Proxy::with_servers(1, &[&prefill.server, &decode.server]).await;
        proxy.data_plane.start_draining(GRACE);
        let response = proxy.post_prompt(NOT_RESUMABLE, &[]).await;
        assert_eq!((response.header("connection"), response.body.clone()), (Some("close"), events(1..=3)));
        assert!(response.is_complete);
    });
}

#[test]
fn the_last_event_id_of_a_client_is_forwarded_to_the_server() {
    run(async {
        let (prefill, decode) = (prefill_stub().await, decode_stub("i-decode", continue_stream).await);
        let proxy = Proxy::with_servers(1, &[&prefill.server, &decode.server]).await;
        let response = proxy.post_prompt(RESUMABLE, &[("last-event-id", "6")]).await;
        assert_eq!((response.body.clone(), response.is_complete), (events(7..=9), true));
    });
}

#[test]
fn a_stream_that_stalls_at_an_unresponsive_server_is_resumed_elsewhere() {
    run(async {
        let servers = TwoDecodeServers::start(1, Behavior::StreamAndStall(1..=4), continue_stream).await;
        servers.decode.iter().for_each(|decode| decode.is_unresponsive.set(true));
        let response = servers.proxy.post_prompt(RESUMABLE, &[]).await;
        assert_eq!((response.body.clone(), response.is_complete), (events(1..=9), true));
    });
}

#[test]
fn a_stream_that_exceeds_its_deadline_is_aborted() {
    run(async {
        let decode = decode_stub("i-decode", |_| Behavior::StreamAndStall(1..=4)).await;
        let prefill = prefill_stub().await;
        let proxy = Proxy::with_servers(1, &[&prefill.server, &decode.server]).await;
        let response = proxy.post_prompt(NOT_RESUMABLE, &[("x-deadline-ms", "700")]).await;
        let got = (response.status, response.body.clone(), response.is_complete);
        assert_eq!(got, (200, events(1..=4), false));
        decode.wait_until_abandoned().await;
    });
}

/// An HTTP/1.0 client takes the end of the connection for the end of the body, so only a reset tells an aborted
/// response from a complete one.
#[test]
fn a_broken_stream_does_not_look_complete_to_an_http_1_0_client() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    run(async {
        let (prefill, decode) =
            (prefill_stub().await, decode_stub("i-decode", |_| broken_stream(1..=4)).await);
        let proxy = Proxy::with_servers(1, &[&prefill.server, &decode.server]).await;
        let mut client = tokio::net::TcpStream::connect(proxy.address).await.expect("a connection");
        let head =
            format!("POST {NOT_RESUMABLE}2f HTTP/1.0\r\nHost: {HOST}\r\nX-Attempt-Id: {ATTEMPT_ID}\r\n");
        let prompt = "X-Model-Name: m\r\nX-Token-Count: 1460,80\r\nX-Prompt-Prefix: 5c1e07a2:800\r\n";
        let deadline = format!("X-Deadline-Ms: {}\r\n", CLIENT_TIMEOUT.as_millis());
        let request = format!("{head}{prompt}{deadline}Content-Length: 6\r\n\r\na body");
        client.write_all(request.as_bytes()).await.expect("the peer reads");
        let mut received = Vec::new();
        let end = client.read_to_end(&mut received).await;
        let text = String::from_utf8_lossy(&received);
        assert!(end.is_err() || text.contains("502"), "it looks complete: {text}");
    });
}

#[test]
fn a_stream_runs_at_no_more_servers_than_its_route_allows() {
    run(async {
        let prefill = prefill_stub().await;
        let mut decode = Vec::new();
        for index in 0..6 {
            decode.push(decode_stub(&format!("i-{index}"), |_| broken_stream(1..=4)).await);
        }
        let servers: Vec<_> = [&prefill].into_iter().chain(&decode).map(|stub| &stub.server).collect();
        let proxy = Proxy::with_servers(1, &servers).await;
        let response = proxy.post_prompt(RESUMABLE, &[]).await;
        assert_eq!((response.is_complete, response.body), (false, events(1..=4)));
        let runs: usize = decode.iter().map(|stub| stub.received().len()).sum();
        assert_eq!(runs, 3, "`retry_count` of the route");
    });
}

#[test]
fn a_stream_at_an_unresponsive_server_is_kept_if_no_other_server_can_resume_it() {
    run(async {
        let late = |_: &ReceivedRequest| Behavior::OnceAbandoned(2, Box::new(stream(1..=5)));
        let (prefill, decode) = (prefill_stub().await, decode_stub("i-decode", late).await);
        decode.is_unresponsive.set(true);
        let proxy = Proxy::with_servers(1, &[&prefill.server, &decode.server]).await;
        let response = proxy.post_prompt(RESUMABLE, &[]).await;
        assert_eq!((response.status, response.body, response.is_complete), (200, events(1..=5), true));
        assert_eq!(decode.received().len(), 1, "sent once");
    });
}
