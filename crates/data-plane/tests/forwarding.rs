//! Guarantees that are documented for operators: a forwarded request keeps the client's headers, has the remaining time
//! as its deadline, and is cancelled at its server when the client disconnects.

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{
    ATTEMPT_ID, Behavior, CLIENT_TIMEOUT, HOST, IDEMPOTENT, NON_IDEMPOTENT, NOT_RESUMABLE, Proxy,
    REQUEST_BODY, RESUMABLE, ReceivedRequest, SEAL, StubServer, config, events, handle_response, ok_response,
    raw_server, run, send_request,
};
use mosshead_config::Config;
use mosshead_registry::{Server, Stage};

/// The minimum time without a response after which an unresponsive server is abandoned.
const MIN_SILENCE: Duration = Duration::from_millis(250);

async fn prefill_server(behavior: Behavior) -> Rc<StubServer> {
    StubServer::start("i-prefill", "llm", Some(Stage::Prefill), move |_| behavior.clone()).await
}

async fn decode_server(behavior: Behavior) -> Rc<StubServer> {
    StubServer::start("i-decode", "llm", Some(Stage::Decode), move |_| behavior.clone()).await
}

/// Starts two unresponsive servers. The first request that reaches either of them meets `first`, others meet `later`.
async fn unresponsive_servers(
    service: &str,
    stage: Option<Stage>,
    first: Behavior,
    later: Behavior,
) -> [Rc<StubServer>; 2] {
    let is_first = Rc::new(Cell::new(true));
    let script = || {
        let (is_first, first, later) = (is_first.clone(), first.clone(), later.clone());
        move |_: &ReceivedRequest| if is_first.replace(false) { first.clone() } else { later.clone() }
    };
    let one = StubServer::start("i-1", service, stage, script()).await;
    let two = StubServer::start("i-2", service, stage, script()).await;
    [&one, &two].iter().for_each(|stub| stub.is_unresponsive.set(true));
    [one, two]
}

fn stream() -> Behavior {
    Behavior::Stream { ids: 1..=3, seal: SEAL, breaks_off: false }
}

/// The time that a request leaves the server, from its `X-Deadline-Ms`.
fn time_left(request: &ReceivedRequest) -> Duration {
    let millis = request.header("x-deadline-ms").and_then(|millis| millis.parse().ok());
    Duration::from_millis(millis.expect("a deadline"))
}

/// The times that the requests left both servers, the shorter one first.
fn times_left(servers: &[Rc<StubServer>; 2]) -> [Duration; 2] {
    let mut times = [time_left(&servers[0].received()[0]), time_left(&servers[1].received()[0])];
    times.sort_unstable();
    times
}

#[test]
fn headers_of_model_and_prompt_reach_both_servers_unchanged() {
    run(async {
        let prefill = prefill_server(handle_response()).await;
        let decode = decode_server(stream()).await;
        let proxy = Proxy::with_servers(1, &[&prefill.server, &decode.server]).await;
        assert_eq!(proxy.post_prompt(NOT_RESUMABLE, &[]).await.status, 200);
        for request in [&prefill.received()[0], &decode.received()[0]] {
            assert_eq!(request.header("x-model-name"), Some("m"));
            assert_eq!(request.header("x-token-count"), Some("1460,80"));
            assert_eq!(request.header("x-prompt-prefix"), Some("5c1e07a2:800,91bd3f06:410,e4402b7d:250"));
        }
    });
}

#[test]
fn a_client_cannot_ask_for_a_version_of_the_weights() {
    run(async {
        let stub = StubServer::start("s-1", "plain", None, |_| ok_response("complete")).await;
        let proxy = Proxy::with_servers(1, &[&stub.server]).await;
        assert_eq!(proxy.post(NON_IDEMPOTENT, &[("expect-version", "7")]).await.status, 200);
        assert_eq!(stub.received()[0].header("expect-version"), None);
    });
}

#[test]
fn versions_of_weights_reach_the_client_unchanged() {
    run(async {
        let body = "versions: 7\nid: 1\ndata: one\n\nid: 2\ndata: two\n\n";
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {ATTEMPT_ID}\r\nX-Server-Seal: {SEAL}\r\nVersions: 6\r\n"
        );
        let response = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
        let (mut server, _) = raw_server("i-decode", "llm", vec![response], false).await;
        server.stage = Some(Stage::Decode);
        let proxy = Proxy::with_servers(1, &[&server]).await;
        let response = proxy.post_prompt(NOT_RESUMABLE, &[]).await;
        assert_eq!((response.status, response.is_complete), (200, true));
        assert_eq!((response.header("versions"), response.body.as_str()), (Some("6"), body));
    });
}

#[test]
fn a_retry_has_the_remaining_time_as_its_deadline() {
    run(async {
        let servers = unresponsive_servers("plain", None, Behavior::Hang, ok_response("elsewhere")).await;
        let proxy = Proxy::with_servers(1, &[&servers[0].server, &servers[1].server]).await;
        let started_at = Instant::now();
        assert_eq!(proxy.post(IDEMPOTENT, &[]).await.body, "elsewhere");
        let elapsed = Duration::from_millis(started_at.elapsed().as_millis() as u64);
        let [second, first] = times_left(&servers);
        assert!(first <= CLIENT_TIMEOUT && first + elapsed >= CLIENT_TIMEOUT, "{first:?}");
        assert!(
            second + MIN_SILENCE <= first && second + elapsed >= CLIENT_TIMEOUT,
            "{second:?} after {first:?}, {elapsed:?}"
        );
    });
}

#[test]
fn a_resumed_stream_has_the_remaining_time_as_its_deadline() {
    run(async {
        let stage = Some(Stage::Decode);
        let servers = unresponsive_servers("llm", stage, Behavior::StreamAndStall(1..=2), stream()).await;
        let proxy = Proxy::with_servers(1, &[&servers[0].server, &servers[1].server]).await;
        assert!(proxy.post_prompt(RESUMABLE, &[]).await.is_complete);
        let [second, first] = times_left(&servers);
        assert!(second + MIN_SILENCE <= first && first <= CLIENT_TIMEOUT, "{second:?} after {first:?}");
    });
}

#[test]
fn the_timeout_of_the_route_bounds_the_deadline_of_a_request() {
    run(async {
        let stub = StubServer::start("s-1", "plain", None, |_| ok_response("complete")).await;
        let proxy = Proxy::with_servers(1, &[&stub.server]).await;
        assert_eq!(proxy.post(NON_IDEMPOTENT, &[("x-deadline-ms", "")]).await.status, 200);
        assert_eq!(proxy.post(NON_IDEMPOTENT, &[("x-deadline-ms", "60000")]).await.status, 200);
        let times: Vec<Duration> = stub.received().iter().map(time_left).collect();
        let bounds = Duration::from_millis(7_000)..=Duration::from_millis(8_000);
        assert!(times.iter().all(|time| bounds.contains(time)), "{times:?}");
    });
}

const SHORT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long after the timeout of its route a response may arrive on a busy machine.
const TOLERANCE: Duration = Duration::from_millis(500);

/// Starts a proxy with a short timeout on all routes.
async fn proxy_with_short_timeouts(servers: &[&Server]) -> Proxy {
    let proxy = Proxy::unconfigured(1).await;
    let short = format!("\"timeout_ms\":{}", SHORT_TIMEOUT.as_millis());
    let text = config().to_json().replace("\"timeout_ms\":8000", &short);
    let config = Config::parse(text.as_bytes()).expect("a valid configuration");
    assert!(config.routes().iter().all(|route| route.timeout == SHORT_TIMEOUT));
    assert!(proxy.data_plane.configure(Arc::new(config)));
    proxy.data_plane.update_servers(servers.iter().copied());
    proxy
}

/// The servers never respond to a request, but they do report their load.
#[test]
fn a_request_without_a_response_fails_at_its_route_s_timeout() {
    run(async {
        let plain = StubServer::start("s-1", "plain", None, |_| Behavior::Hang).await;
        let decode = decode_server(Behavior::Hang).await;
        let proxy = proxy_with_short_timeouts(&[&plain.server, &decode.server]).await;
        for path in [IDEMPOTENT, NON_IDEMPOTENT, NOT_RESUMABLE, RESUMABLE] {
            let started_at = Instant::now();
            let response = proxy.post_prompt(path, &[("x-deadline-ms", "60000")]).await;
            assert_eq!(response.status, 502, "{path}");
            let elapsed = started_at.elapsed();
            assert!(elapsed + Duration::from_millis(5) >= SHORT_TIMEOUT, "{path}: {elapsed:?}");
            assert!(elapsed < SHORT_TIMEOUT + TOLERANCE, "{path}: {elapsed:?}");
        }
    });
}

#[test]
fn a_prompt_that_is_never_prefilled_is_rejected_at_its_route_s_timeout() {
    run(async {
        let prefill = prefill_server(Behavior::Hang).await;
        let decode = decode_server(stream()).await;
        let proxy = proxy_with_short_timeouts(&[&prefill.server, &decode.server]).await;
        let started_at = Instant::now();
        let response = proxy.post_prompt(NOT_RESUMABLE, &[("x-deadline-ms", "60000")]).await;
        assert_eq!((response.status, decode.received().len()), (503, 0));
        let elapsed = started_at.elapsed();
        assert!(elapsed < SHORT_TIMEOUT + TOLERANCE, "{elapsed:?}");
    });
}

/// Sends a request, drops the client's connection after the server has received it, and waits until the connection to
/// the server is closed as well.
async fn disconnect_client(proxy: &Proxy, path: &str, server: &StubServer) {
    let prompt = [("x-model-name", "m"), ("x-token-count", "1460,80"), ("x-prompt-prefix", "5c1e07a2:800")];
    tokio::select! {
        _ = send_request(proxy.address, "POST", path, &prompt, REQUEST_BODY) => {
            panic!("unexpected response from {HOST}")
        }
        () = server.wait_until_received(|_| true) => {}
    }
    server.wait_until_abandoned().await;
}

#[test]
fn a_stream_whose_client_disconnects_is_cancelled_at_its_server() {
    run(async {
        for behavior in [Behavior::StreamAndStall(1..=4), Behavior::Hang] {
            let decode = decode_server(behavior).await;
            let proxy = Proxy::with_servers(1, &[&decode.server]).await;
            disconnect_client(&proxy, RESUMABLE, &decode).await;
            assert_eq!(decode.received().len(), 1);
        }
    });
}

#[test]
fn a_prefill_whose_client_disconnects_is_cancelled_at_its_server() {
    run(async {
        let prefill = prefill_server(Behavior::Hang).await;
        let decode = decode_server(stream()).await;
        let proxy = Proxy::with_servers(1, &[&prefill.server, &decode.server]).await;
        disconnect_client(&proxy, RESUMABLE, &prefill).await;
        assert_eq!((prefill.received().len(), decode.received().len()), (1, 0));
    });
}

#[test]
fn a_configuration_change_does_not_end_requests_in_flight() {
    run(async {
        let proxy = Proxy::unconfigured(1).await;
        let data_plane = proxy.data_plane.clone();
        // A configuration without the route comes into force during the prefill.
        let withdraw_route = move |_: &ReceivedRequest| {
            let text = config().to_json().replace("\"revision\":7", "\"revision\":8");
            let text = text.replace(NOT_RESUMABLE, "/moved/");
            let config = Config::parse(text.as_bytes()).expect("a valid configuration");
            assert!(data_plane.configure(Arc::new(config)));
            handle_response()
        };
        let prefill = StubServer::start("i-prefill", "llm", Some(Stage::Prefill), withdraw_route).await;
        let decode = decode_server(stream()).await;
        assert!(proxy.data_plane.configure(Arc::new(config())));
        proxy.data_plane.update_servers([&prefill.server, &decode.server].into_iter());
        let response = proxy.post_prompt(NOT_RESUMABLE, &[]).await;
        assert_eq!((response.status, response.is_complete, response.body), (200, true, events(1..=3)));
        assert_eq!(proxy.post_prompt(NOT_RESUMABLE, &[]).await.status, 404);
    });
}
