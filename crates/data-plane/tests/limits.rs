//! Limits: how often a request is sent, how long it may take, and how large bodies may be.

mod common;

use std::cell::Cell;
use std::rc::Rc;

use common::{
    ATTEMPT_ID, Behavior, IDEMPOTENT, NON_IDEMPOTENT, Proxy, REQUEST_BODY, RawConnection, ReceivedRequest,
    SEAL, StubServer, not_executed, ok_response, raw_server, run, send_request,
};

async fn stubs(count: usize, behavior: &Behavior) -> Vec<Rc<StubServer>> {
    let mut stubs = Vec::new();
    for index in 0..count {
        let behavior = behavior.clone();
        let script = move |_: &ReceivedRequest| behavior.clone();
        stubs.push(StubServer::start(&format!("s-{index}"), "plain", None, script).await);
    }
    stubs
}

fn count_received(stubs: &[Rc<StubServer>]) -> usize {
    stubs.iter().map(|stub| stub.received().len()).sum()
}

#[test]
fn a_request_is_sent_to_as_many_servers_as_its_route_allows() {
    run(async {
        for (behavior, status) in [(Behavior::Close, 502), (not_executed(503), 503), (not_executed(421), 503)]
        {
            let stubs = stubs(6, &behavior).await;
            let servers: Vec<_> = stubs.iter().map(|stub| &stub.server).collect();
            let proxy = Proxy::with_servers(1, &servers).await;
            assert_eq!(proxy.post(IDEMPOTENT, &[]).await.status, status, "{behavior:?}");
            assert_eq!(count_received(&stubs), 3, "{behavior:?}");
        }
    });
}

#[test]
fn without_a_retry_budget_nothing_is_sent_twice() {
    run(async {
        for (behavior, status) in [(Behavior::Close, 502), (not_executed(503), 503)] {
            let stubs = stubs(3, &behavior).await;
            let servers: Vec<_> = stubs.iter().map(|stub| &stub.server).collect();
            let proxy = Proxy::with_retry_budget(1, 0.0, 0.0).await.configured(&servers);
            assert_eq!(proxy.post(IDEMPOTENT, &[]).await.status, status, "{behavior:?}");
            assert_eq!(count_received(&stubs), 1, "{behavior:?}");
        }
    });
}

#[test]
fn retries_stay_within_the_budget_of_all_proxies() {
    run(async {
        let stubs = stubs(3, &Behavior::Close).await;
        let servers: Vec<_> = stubs.iter().map(|stub| &stub.server).collect();
        let proxy = Proxy::with_retry_budget(1, 0.2, 4.0).await.configured(&servers);
        proxy.data_plane.set_proxy_count(2);
        for _ in 0..40 {
            assert_eq!(proxy.post(IDEMPOTENT, &[]).await.status, 502);
        }
        assert!(count_received(&stubs) > 40, "some are retried");
        assert!(count_received(&stubs) <= 40 + 8 + 2, "{}", count_received(&stubs));
    });
}

#[test]
fn a_repeatable_request_is_retried_if_its_server_is_unresponsive() {
    run(async {
        let is_first = Rc::new(Cell::new(true));
        let script = || {
            let is_first = is_first.clone();
            move |_: &ReceivedRequest| {
                if is_first.replace(false) { Behavior::Hang } else { ok_response("elsewhere") }
            }
        };
        let one = StubServer::start("s-1", "plain", None, script()).await;
        let two = StubServer::start("s-2", "plain", None, script()).await;
        [&one, &two].iter().for_each(|stub| stub.is_unresponsive.set(true));
        let proxy = Proxy::with_servers(1, &[&one.server, &two.server]).await;
        let response = proxy.post(IDEMPOTENT, &[]).await;
        assert_eq!((response.status, response.body.as_str()), (200, "elsewhere"));
    });
}

#[test]
fn a_request_at_a_slow_but_responsive_server_is_sent_once() {
    run(async {
        for path in [IDEMPOTENT, NON_IDEMPOTENT] {
            let stubs = stubs(2, &Behavior::Hang).await;
            let proxy = Proxy::with_servers(1, &[&stubs[0].server, &stubs[1].server]).await;
            let response = proxy.post(path, &[("x-deadline-ms", "1500")]).await;
            assert_eq!((response.status, count_received(&stubs)), (502, 1), "{path}");
        }
    });
}

#[test]
fn a_body_that_is_too_long_is_rejected_and_sent_to_no_server() {
    run(async {
        let stubs = stubs(1, &ok_response("")).await;
        let proxy = Proxy::with_servers(1, &[&stubs[0].server]).await;
        let long: &'static str = Box::leak("x".repeat(65_537).into_boxed_str());
        let response = send_request(proxy.address, "POST", NON_IDEMPOTENT, &[], long).await;
        assert_eq!((response.status, count_received(&stubs)), (413, 0));
        let response = send_request(proxy.address, "POST", NON_IDEMPOTENT, &[], &long[1..]).await;
        assert_eq!((response.status, count_received(&stubs)), (200, 1));
    });
}

fn head(more_headers: &str) -> String {
    head_for(ATTEMPT_ID, more_headers)
}

fn head_for(attempt_id: &str, more_headers: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt_id}\r\nX-Server-Seal: {SEAL}\r\n{more_headers}\r\n")
}

#[test]
fn an_incomplete_response_never_reaches_a_client() {
    run(async {
        let responses = [
            String::new(),
            "this is not HTTP".to_owned(),
            "HTTP/1.1 200 OK\r\nX-Att".to_owned(),
            format!("{}1234", head("Content-Length: 9\r\n")),
            format!("{}4\r\n1234\r\n", head("Transfer-Encoding: chunked\r\n")),
            format!("{}1234", head("")),
            format!("{}1234", head("Transfer-Encoding: gzip\r\n")),
            format!("{}1234", head("Content-Length: 4\r\nContent-Encoding: gzip\r\n")),
        ];
        for response in responses {
            let (server, count) = raw_server("s-1", "plain", vec![response.clone()], true).await;
            let proxy = Proxy::with_servers(1, &[&server]).await;
            let got = proxy.post(NON_IDEMPOTENT, &[]).await;
            assert_eq!((got.status, got.body.as_str(), count.get()), (502, "", 1), "{response}");
        }
    });
}

#[test]
fn surplus_bytes_are_not_taken_for_the_next_response() {
    run(async {
        let response = |body: &str| format!("{}{body}", head("Content-Length: 4\r\n"));
        let surpluses =
            [response("more"), "garbage".to_owned(), "\r\n\r\n".to_owned(), response("more").repeat(2)];
        for surplus in surpluses {
            let second = format!("{}5678", head_for("1", "Content-Length: 4\r\n"));
            let responses = vec![response("1234") + &surplus, second];
            let (server, _) = raw_server("s-1", "plain", responses, false).await;
            let proxy = Proxy::with_servers(1, &[&server]).await;
            assert_eq!(proxy.post(NON_IDEMPOTENT, &[]).await.body, "1234");
            let got = proxy.post(NON_IDEMPOTENT, &[("x-attempt-id", "1")]).await;
            assert!(matches!((got.status, got.body.as_str()), (200, "5678") | (502, "")), "{got:?}");
        }
    });
}

#[test]
fn a_request_whose_client_disconnects_is_cancelled_at_its_server() {
    run(async {
        let stubs = stubs(1, &Behavior::Hang).await;
        let proxy = Proxy::with_servers(1, &[&stubs[0].server]).await;
        let response = proxy.post(NON_IDEMPOTENT, &[]);
        tokio::select! {
            _ = response => panic!("unexpected response"),
            () = stubs[0].wait_until_received(|_| true) => {}
        }
        stubs[0].wait_until_abandoned().await;
        assert_eq!(count_received(&stubs), 1);
    });
}

/// Headers that take `bytes` together, each of `length` bytes.
fn many_headers(bytes: usize, length: usize) -> Vec<(String, String)> {
    let name = |number| format!("x-more-{number}");
    let value = |name: &String| "v".repeat(length - name.len() - ": \r\n".len());
    (0..bytes / length).map(name).map(|name| (name.clone(), value(&name))).collect()
}

/// Guards against requests that are turned away for the number of their headers, though they keep to
/// `max_header_bytes`; a longer head gets 431 (PROTOCOL.md, Answers).
#[test]
fn a_head_within_the_configured_limit_is_forwarded_and_a_longer_one_gets_431() {
    run(async {
        let stubs = stubs(1, &ok_response("served")).await;
        let proxy = Proxy::with_servers(1, &[&stubs[0].server]).await;
        for (bytes, length, status) in
            [(15_900, 20, 200), (15_900, 1000, 200), (17_000, 1000, 431), (60_000, 100, 431)]
        {
            let headers = many_headers(bytes, length);
            let headers: Vec<_> =
                headers.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
            let got = proxy.post(NON_IDEMPOTENT, &headers).await;
            assert_eq!(got.status, status, "{} headers of {length} bytes", headers.len());
        }
        assert_eq!(count_received(&stubs), 2);
        let received = stubs[0].received();
        assert!(received[0].headers.len() > 700, "all headers are forwarded");
    });
}

/// Guards against answers that end as 502 because of the number of their headers.
#[test]
fn an_answer_with_many_headers_is_forwarded() {
    run(async {
        let more: String = (0..500).map(|number| format!("x-more-{number}: v\r\n")).collect();
        let response = format!("{}1234", head(&format!("{more}Content-Length: 4\r\n")));
        let (server, _) = raw_server("s-1", "plain", vec![response], false).await;
        let proxy = Proxy::with_servers(1, &[&server]).await;
        let mut client = RawConnection::open(proxy.address).await;
        client.send_head(NON_IDEMPOTENT).await;
        client.send(REQUEST_BODY).await;
        let head = client.read_head().await;
        assert!(head.starts_with("HTTP/1.1 200 ") && head.contains("x-more-499: v\r\n"), "{head}");
    });
}
