//! Requests without a prompt: which ones are retried at another server, and which ones are never sent twice.

mod common;

use std::cell::Cell;
use std::ops::Range;
use std::rc::Rc;

use common::{
    ATTEMPT_ID, Behavior, CLIENT_TIMEOUT, ClientResponse, FOREIGN_ATTEMPT_ID, GRACE, HOST, IDEMPOTENT,
    NON_IDEMPOTENT, Proxy, ReceivedRequest, SEAL, StubServer, not_executed, ok_response, run, send_request,
    server, unused_address,
};
use mosshead_time::Duration;

const SEEDS: Range<u64> = 0..4;

fn retry_after(response: &ClientResponse) -> Option<f64> {
    response.header("retry-after").and_then(|seconds| seconds.parse().ok())
}

/// The headers of a sealed response to another request.
fn foreign_headers() -> Vec<(&'static str, String)> {
    vec![("x-server-seal", SEAL.to_owned()), ("x-attempt-id", FOREIGN_ATTEMPT_ID.to_owned())]
}

#[test]
fn request_and_response_are_forwarded_unchanged() {
    run(async {
        let stub = StubServer::start("s-1", "plain", None, |_| ok_response("the server's bytes")).await;
        let proxy = Proxy::with_servers(1, &[&stub.server]).await;
        let path = format!("{NON_IDEMPOTENT}a?b=c");
        let response = proxy.post(&path, &[("x-other", "kept")]).await;
        let expected = (200, "the server's bytes", true);
        assert_eq!((response.status, response.body.as_str(), response.is_complete), expected);
        let marks = (response.header("x-server-seal"), response.header("x-attempt-id"));
        assert_eq!(marks, (Some(SEAL), Some(ATTEMPT_ID)));
        let received = stub.received();
        assert_eq!(received.len(), 1);
        let request = &received[0];
        assert_eq!(
            (request.method.as_str(), request.path.as_str(), &request.body[..]),
            ("POST", path.as_str(), &b"a body"[..])
        );
        assert_eq!(request.header("host"), Some(HOST));
        assert_eq!(request.header("x-other"), Some("kept"));
        assert_eq!(request.header("x-attempt-id"), Some(ATTEMPT_ID));
        assert_eq!(request.header("x-target-instance"), Some("s-1"));
        assert_eq!(request.header("priority"), Some("3"));
        let time_left = request.header("x-deadline-ms").and_then(|millis| millis.parse().ok());
        let time_left = Duration::from_millis(time_left.expect("a deadline"));
        assert!((Duration::from_millis(1)..=CLIENT_TIMEOUT).contains(&time_left), "{time_left:?}");
    });
}

#[test]
fn hop_by_hop_and_reserved_headers_are_not_forwarded() {
    run(async {
        let stub = StubServer::start("s-1", "plain", None, |_| ok_response("")).await;
        let proxy = Proxy::with_servers(1, &[&stub.server]).await;
        let headers = [
            ("connection", "x-mine"),
            ("x-mine", "1"),
            ("keep-alive", "timeout=5"),
            ("x-target-instance", "i-0"),
            ("kv-from", "10.0.0.1:80/ab"),
            ("x-serving-stage", "prefill"),
            ("priority", "0"),
        ];
        assert_eq!(proxy.post(IDEMPOTENT, &headers).await.status, 200);
        let request = &stub.received()[0];
        for name in ["x-mine", "keep-alive", "kv-from", "x-serving-stage"] {
            assert_eq!(request.header(name), None, "{name}");
        }
        let own = (request.header("x-target-instance"), request.header("priority"));
        assert_eq!(own, (Some("s-1"), Some("3")));
    });
}

/// Starts two servers. The first request that reaches either of them meets `first`, later ones succeed.
async fn stubs_failing_first(first: Behavior) -> [Rc<StubServer>; 2] {
    let has_failed = Rc::new(Cell::new(false));
    let script = move || {
        let (has_failed, first) = (has_failed.clone(), first.clone());
        move |_: &ReceivedRequest| if has_failed.replace(true) { ok_response("later") } else { first.clone() }
    };
    [
        StubServer::start("s-1", "plain", None, script()).await,
        StubServer::start("s-2", "plain", None, script()).await,
    ]
}

/// Sends a request whose first attempt meets `first`. Returns the response and the number of requests at both servers.
async fn post_failing_first(seed: u64, path: &str, first: Behavior) -> (ClientResponse, usize) {
    let stubs = stubs_failing_first(first).await;
    let proxy = Proxy::with_servers(seed, &[&stubs[0].server, &stubs[1].server]).await;
    let response = proxy.post(path, &[]).await;
    let at_most_once_each = stubs.iter().all(|stub| stub.received().len() <= 1);
    assert!(at_most_once_each, "no server gets a request twice");
    (response, stubs.iter().map(|stub| stub.received().len()).sum())
}

#[test]
fn an_idempotent_request_is_retried_after_any_failure() {
    run(async {
        let failures = [
            Behavior::Close,
            not_executed(503),
            not_executed(429),
            not_executed(421),
            Behavior::Respond(503, Vec::new(), ""),
            Behavior::Respond(500, vec![("x-server-seal", SEAL.into())], "failed"),
            Behavior::Respond(200, Vec::new(), "no seal"),
            Behavior::Respond(200, foreign_headers(), "another's"),
        ];
        for (seed, failure) in SEEDS.flat_map(|seed| failures.iter().map(move |failure| (seed, failure))) {
            let (response, sent) = post_failing_first(seed, IDEMPOTENT, failure.clone()).await;
            let got = (response.status, response.body.as_str(), sent);
            assert_eq!(got, (200, "later", 2), "{failure:?}");
            assert_eq!(response.header("x-attempt-id"), Some(ATTEMPT_ID));
        }
    });
}

#[test]
fn a_non_idempotent_request_that_may_have_run_is_never_sent_twice() {
    run(async {
        let failures = [
            Behavior::Close,
            Behavior::Respond(503, vec![("retry-after", "1".into())], ""),
            Behavior::Respond(408, Vec::new(), ""),
            Behavior::Respond(429, Vec::new(), ""),
            Behavior::Respond(200, Vec::new(), "no seal"),
            Behavior::Respond(200, foreign_headers(), "another's"),
            Behavior::Respond(503, foreign_headers(), "another's"),
        ];
        for (seed, failure) in SEEDS.flat_map(|seed| failures.iter().map(move |failure| (seed, failure))) {
            let (response, sent) = post_failing_first(seed, NON_IDEMPOTENT, failure.clone()).await;
            assert_eq!((response.status, response.body.as_str(), sent), (502, "", 1), "{failure:?}");
            assert_eq!(response.header("retry-after"), None, "{failure:?}");
        }
    });
}

#[test]
fn a_non_idempotent_request_that_never_ran_is_retried() {
    run(async {
        for (seed, status) in SEEDS.flat_map(|seed| [503, 429, 421].map(|status| (seed, status))) {
            let (response, sent) = post_failing_first(seed, NON_IDEMPOTENT, not_executed(status)).await;
            assert_eq!((response.status, response.body.as_str(), sent), (200, "later", 2), "{status}");
        }
    });
}

#[test]
fn a_server_s_own_error_reaches_the_client_of_a_non_idempotent_route() {
    run(async {
        for status in [500, 504, 400] {
            let failure = Behavior::Respond(status, vec![("x-server-seal", SEAL.into())], "failed");
            let (response, sent) = post_failing_first(1, NON_IDEMPOTENT, failure).await;
            assert_eq!((response.status, response.body.as_str(), sent), (status, "failed", 1));
        }
    });
}

#[test]
fn a_request_that_breaks_on_a_reused_connection_is_not_sent_twice() {
    run(async {
        let count = Cell::new(0);
        let stub = StubServer::start("s-1", "plain", None, move |_| {
            count.set(count.get() + 1);
            if count.get() == 1 { ok_response("first") } else { Behavior::Close }
        });
        let stub = stub.await;
        let proxy = Proxy::with_servers(1, &[&stub.server]).await;
        assert_eq!(proxy.post(NON_IDEMPOTENT, &[]).await.status, 200);
        assert_eq!(proxy.post(NON_IDEMPOTENT, &[]).await.status, 502);
        assert_eq!(stub.received().len(), 2);
    });
}

#[test]
fn a_request_to_an_unreachable_server_is_retried_elsewhere() {
    run(async {
        for seed in SEEDS {
            let stub = StubServer::start("s-1", "plain", None, |_| ok_response("here")).await;
            let unreachable = server("s-0", "plain", None, unused_address().await);
            let proxy = Proxy::with_servers(seed, &[&unreachable, &stub.server]).await;
            let response = proxy.post(NON_IDEMPOTENT, &[]).await;
            let got = (response.status, response.body.as_str(), stub.received().len());
            assert_eq!(got, (200, "here", 1));
        }
    });
}

#[test]
fn a_request_that_all_servers_reject_gets_a_retry_after() {
    run(async {
        for path in [NON_IDEMPOTENT, IDEMPOTENT] {
            let stub = StubServer::start("s-1", "plain", None, |_| not_executed(503)).await;
            let proxy = Proxy::with_servers(1, &[&stub.server]).await;
            let response = proxy.post(path, &[]).await;
            let seconds = retry_after(&response).expect("a time");
            assert!(response.status == 503 && seconds > 0.0 && seconds < 1.0, "{response:?}");
        }
    });
}

#[test]
fn a_request_gets_404_without_a_route_and_503_without_a_configuration() {
    run(async {
        let stub = StubServer::start("s-1", "plain", None, |_| ok_response("")).await;
        let proxy = Proxy::with_servers(1, &[&stub.server]).await;
        assert_eq!(proxy.post("/nothing/", &[]).await.status, 404);
        assert_eq!(proxy.post(NON_IDEMPOTENT.trim_end_matches('/'), &[]).await.status, 404);
        assert!(stub.received().is_empty());
        let unconfigured = Proxy::unconfigured(1).await;
        unconfigured.data_plane.update_servers([&stub.server].into_iter());
        let response = unconfigured.post(NON_IDEMPOTENT, &[]).await;
        let seconds = retry_after(&response);
        assert!(response.status == 503 && seconds.is_some_and(|seconds| seconds > 0.0), "{response:?}");
        let address = unconfigured.readiness_address;
        assert_eq!(send_request(address, "GET", "/readiness", &[], "").await.status, 503);
    });
}

#[test]
fn a_draining_proxy_is_not_ready_and_asks_clients_to_close_their_connections() {
    run(async {
        let stub = StubServer::start("s-1", "plain", None, |_| ok_response("still")).await;
        let proxy = Proxy::with_servers(1, &[&stub.server]).await;
        let readiness = || send_request(proxy.readiness_address, "GET", "/readiness", &[], "");
        assert_eq!(readiness().await.status, 200);
        assert_eq!(proxy.post(NON_IDEMPOTENT, &[]).await.header("connection"), None);
        proxy.data_plane.start_draining(GRACE);
        assert!(proxy.data_plane.is_draining());
        assert_eq!(readiness().await.status, 503);
        for (path, status) in [(NON_IDEMPOTENT, 200), ("/nothing/", 404)] {
            let response = proxy.post(path, &[]).await;
            assert_eq!((response.status, response.header("connection")), (status, Some("close")), "{path}");
        }
    });
}
