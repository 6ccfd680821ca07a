//! Requests with a prompt: the prefill, the transfer of its KV cache to a decode server, and the freeing of handles
//! that are not fetched.

mod common;

use std::cell::Cell;
use std::rc::Rc;

use common::{
    ATTEMPT_ID, Behavior, CLIENT_TIMEOUT, FOREIGN_ATTEMPT_ID, NOT_RESUMABLE, Proxy, ReceivedRequest, SEAL,
    StubServer, events, handle_response, not_executed, run, server, unused_address,
};
use mosshead_registry::Stage;
use mosshead_time::Duration;

/// The extra retries of a budget that allows one: a part of them may not be spent.
const ONE_RETRY: f64 = 2.0;
const HANDLE_PATH: &str = "/kv-handle/3fa09c41b7d5";

fn stream(last_id: u64) -> Behavior {
    Behavior::Stream { ids: 1..=last_id, seal: SEAL, breaks_off: false }
}

async fn prefill_stub(id: &str, script: impl Fn(&ReceivedRequest) -> Behavior + 'static) -> Rc<StubServer> {
    StubServer::start(id, "llm", Some(Stage::Prefill), script).await
}

async fn decode_stub(id: &str, script: impl Fn(&ReceivedRequest) -> Behavior + 'static) -> Rc<StubServer> {
    StubServer::start(id, "llm", Some(Stage::Decode), script).await
}

/// Starts a prefill server that succeeds.
async fn healthy_prefill_stub() -> Rc<StubServer> {
    prefill_stub("i-prefill", |_| handle_response()).await
}

fn frees_handle(request: &ReceivedRequest) -> bool {
    request.method == "DELETE" && request.path == HANDLE_PATH
}

#[test]
fn a_prompt_is_prefilled_by_one_server_and_decoded_by_another() {
    run(async {
        let (prefill, decode) = (healthy_prefill_stub().await, decode_stub("i-decode", |_| stream(9)).await);
        let proxy = Proxy::with_servers(1, &[&prefill.server, &decode.server]).await;
        let path = format!("{NOT_RESUMABLE}2f");
        let response = proxy.post_prompt(&path, &[]).await;
        assert_eq!((response.status, response.is_complete), (200, true));
        assert_eq!(response.body, events(1..=9));
        assert_eq!(response.header("x-server-seal"), Some(SEAL));
        assert_eq!(response.header("x-attempt-id"), Some(ATTEMPT_ID));
        assert_eq!(response.header("content-type"), Some("text/event-stream"));
        let (prefilled, decoded) = (prefill.received(), decode.received());
        assert_eq!((prefilled.len(), decoded.len()), (1, 1));
        assert!(prefilled[0].is_prefill() && !decoded[0].is_prefill());
        let location = format!("{}/3fa09c41b7d5", prefill.server.address);
        let kv_from = (prefilled[0].header("kv-from"), decoded[0].header("kv-from"));
        assert_eq!(kv_from, (None, Some(location.as_str())));
        assert_eq!(decoded[0].header("x-serving-stage"), None);
        for (request, id) in [(&prefilled[0], "i-prefill"), (&decoded[0], "i-decode")] {
            assert_eq!(request.header("x-target-instance"), Some(id));
            assert_eq!(request.header("x-attempt-id"), Some(ATTEMPT_ID));
            assert_eq!(request.header("priority"), Some("3"));
            assert_eq!(request.header("x-model-name"), Some("m"));
            assert_eq!((request.path.as_str(), &request.body[..]), (path.as_str(), &b"a body"[..]));
            let time_left = request.header("x-deadline-ms").and_then(|millis| millis.parse().ok());
            let time_left = Duration::from_millis(time_left.expect("a deadline"));
            assert!((Duration::from_millis(1)..=CLIENT_TIMEOUT).contains(&time_left), "{time_left:?}");
        }
        let counters = &proxy.data_plane.counters;
        assert_eq!((counters.handed_over.get(), counters.freed_handles.get()), (1, 0));
    });
}

#[test]
fn a_handle_that_no_server_fetches_is_freed() {
    run(async {
        let prefill = healthy_prefill_stub().await;
        let unreachable = server("i-unreachable", "llm", Some(Stage::Decode), unused_address().await);
        let proxy = Proxy::with_servers(1, &[&prefill.server, &unreachable]).await;
        let response = proxy.post_prompt(NOT_RESUMABLE, &[("x-deadline-ms", "900")]).await;
        assert_eq!(response.status, 503);
        prefill.wait_until_received(frees_handle).await;
    });
}

#[test]
fn a_handle_is_freed_if_another_instance_answers_at_the_decode_server_s_address() {
    run(async {
        let (prefill, decode) =
            (healthy_prefill_stub().await, decode_stub("i-decode", |_| not_executed(421)).await);
        let proxy = Proxy::with_servers(1, &[&prefill.server, &decode.server]).await;
        assert_eq!(proxy.post_prompt(NOT_RESUMABLE, &[]).await.status, 503);
        prefill.wait_until_received(frees_handle).await;
        assert_eq!(prefill.received().iter().filter(|request| frees_handle(request)).count(), 1);
    });
}

#[test]
fn a_decode_server_that_cannot_fetch_the_kv_cache_prefills_the_prompt_itself() {
    run(async {
        let prefill = healthy_prefill_stub().await;
        let script = |request: &ReceivedRequest| {
            if request.header("kv-from").is_some() { not_executed(503) } else { stream(3) }
        };
        let (one, two) = (decode_stub("i-1", script).await, decode_stub("i-2", script).await);
        let proxy = Proxy::with_servers(3, &[&prefill.server, &one.server, &two.server]).await;
        let response = proxy.post_prompt(NOT_RESUMABLE, &[]).await;
        let got = (response.status, response.body.clone(), response.is_complete);
        assert_eq!(got, (200, events(1..=3), true));
        let (one, two) = (one.received(), two.received());
        assert!(one.is_empty() || two.is_empty(), "the same server");
        let has_kv_from: Vec<bool> =
            one.iter().chain(&two).map(|request| request.header("kv-from").is_some()).collect();
        assert_eq!(has_kv_from, [true, false]);
        prefill.wait_until_received(frees_handle).await;
    });
}

#[test]
fn without_prefill_servers_the_decode_server_prefills_the_prompt_itself() {
    run(async {
        let decode = decode_stub("i-decode", |_| stream(2)).await;
        let proxy = Proxy::with_servers(1, &[&decode.server]).await;
        let response = proxy.post_prompt(NOT_RESUMABLE, &[]).await;
        assert_eq!((response.status, response.body.clone()), (200, events(1..=2)));
        assert_eq!(decode.received()[0].header("kv-from"), None);
    });
}

#[test]
fn a_prefill_server_that_fails_is_replaced() {
    run(async {
        let failures = [
            Behavior::Close,
            not_executed(503),
            not_executed(421),
            Behavior::Respond(500, Vec::new(), "failed"),
            Behavior::Respond(200, Vec::new(), "garbage"),
            Behavior::Respond(200, Vec::new(), "{\"prefill_handle\":\"a/../b\"}"),
            Behavior::Respond(200, Vec::new(), "{\"prefill_handle\":\"\"}"),
            Behavior::Respond(
                200,
                vec![("x-attempt-id", FOREIGN_ATTEMPT_ID.to_owned())],
                "{\"prefill_handle\":\"ab\"}",
            ),
        ];
        for failure in failures {
            let is_first = Rc::new(Cell::new(true));
            let script = || {
                let (is_first, failure) = (is_first.clone(), failure.clone());
                move |_: &ReceivedRequest| {
                    if is_first.replace(false) { failure.clone() } else { handle_response() }
                }
            };
            let one = prefill_stub("r-1", script()).await;
            let two = prefill_stub("r-2", script()).await;
            let decode = decode_stub("i-decode", |_| stream(3)).await;
            let proxy = Proxy::with_servers(1, &[&one.server, &two.server, &decode.server]).await;
            let response = proxy.post_prompt(NOT_RESUMABLE, &[]).await;
            assert_eq!((response.status, response.body.clone()), (200, events(1..=3)), "{failure:?}");
            let decoded = decode.received();
            let locations = [&one, &two].map(|prefill| format!("{}/3fa09c41b7d5", prefill.server.address));
            assert_eq!(decoded.len(), 1, "{failure:?}");
            let kv_from = decoded[0].header("kv-from");
            let is_own = kv_from.is_some_and(|kv_from| locations.iter().any(|own| own == kv_from));
            assert!(is_own, "{failure:?}");
            assert_eq!((one.received().len(), two.received().len()), (1, 1), "{failure:?}");
        }
    });
}

#[test]
fn the_decode_server_prefills_the_prompt_itself_if_all_prefill_servers_reject_it() {
    run(async {
        let prefill = prefill_stub("r-1", |_| not_executed(503)).await;
        let decode = decode_stub("i-decode", |_| stream(3)).await;
        let proxy = Proxy::with_servers(1, &[&prefill.server, &decode.server]).await;
        let response = proxy.post_prompt(NOT_RESUMABLE, &[]).await;
        assert_eq!((response.status, response.body.clone()), (200, events(1..=3)));
        assert_eq!((prefill.received().len(), decode.received()[0].header("kv-from")), (1, None));
    });
}

#[test]
fn a_prompt_is_sent_to_no_more_prefill_servers_than_its_route_allows() {
    run(async {
        let mut prefill = Vec::new();
        for index in 0..6 {
            let failure = |_: &ReceivedRequest| Behavior::Respond(500, Vec::new(), "failed");
            prefill.push(prefill_stub(&format!("r-{index}"), failure).await);
        }
        let decode = decode_stub("i-decode", |_| stream(3)).await;
        let servers: Vec<_> = prefill.iter().chain([&decode]).map(|stub| &stub.server).collect();
        let proxy = Proxy::with_servers(1, &servers).await;
        let response = proxy.post_prompt(NOT_RESUMABLE, &[]).await;
        assert_eq!((response.status, response.body), (200, events(1..=3)));
        let prefills: usize = prefill.iter().map(|stub| stub.received().len()).sum();
        assert_eq!(prefills, 1 + 3, "the first one, and `retry_count` further ones");
        assert_eq!(decode.received().len(), 1);
    });
}

#[test]
fn without_a_retry_budget_a_prompt_whose_kv_cache_cannot_be_fetched_is_rejected() {
    run(async {
        let prefill = healthy_prefill_stub().await;
        let decode = decode_stub("i-decode", |_| not_executed(503)).await;
        let proxy = Proxy::with_retry_budget(1, 0.0, 0.0).await;
        let proxy = proxy.configured(&[&prefill.server, &decode.server]);
        let response = proxy.post_prompt(NOT_RESUMABLE, &[]).await;
        assert!(response.status == 503 && response.header("retry-after").is_some(), "{response:?}");
        assert_eq!(decode.received().len(), 1);
        prefill.wait_until_received(frees_handle).await;
    });
}

#[test]
fn a_deeply_nested_response_to_a_prefill_is_rejected_safely() {
    run(async {
        let deep: &'static str = Box::leak("[".repeat(4_090).into_boxed_str());
        let prefill = prefill_stub("r", move |_| Behavior::Respond(200, Vec::new(), deep)).await;
        let decode = decode_stub("i-decode", |_| stream(3)).await;
        let proxy = Proxy::with_servers(1, &[&prefill.server, &decode.server]).await;
        assert_eq!(proxy.post_prompt(NOT_RESUMABLE, &[]).await.body, events(1..=3));
    });
}

#[test]
fn a_rejected_prefill_takes_a_retry_out_of_the_budget() {
    run(async {
        let prefill = prefill_stub("r-1", |_| not_executed(503)).await;
        let decode = decode_stub("i-decode", |_| stream(3)).await;
        let proxy = Proxy::with_retry_budget(1, 0.0, 0.0).await;
        let proxy = proxy.configured(&[&prefill.server, &decode.server]);
        let response = proxy.post_prompt(NOT_RESUMABLE, &[]).await;
        let sent = (prefill.received().len(), decode.received().len());
        assert_eq!((response.status, sent.0, sent.1), (503, 1, 0));
    });
}

/// Guards against a rejected first prefill that costs two retries: only the rejected one counts, since the next one is the
/// first that a server takes up (PROTOCOL.md, Prefill and decode).
#[test]
fn the_first_prefill_that_is_taken_up_after_a_rejected_one_is_free() {
    run(async {
        let is_first = Rc::new(Cell::new(true));
        let mut prefill = Vec::new();
        for id in ["r-1", "r-2"] {
            let is_first = is_first.clone();
            let script = move |_: &ReceivedRequest| {
                if is_first.replace(false) { not_executed(503) } else { handle_response() }
            };
            prefill.push(prefill_stub(id, script).await);
        }
        let decode = decode_stub("i-decode", |_| stream(3)).await;
        let proxy = Proxy::with_retry_budget(1, 0.0, ONE_RETRY).await;
        let proxy = proxy.configured(&[&prefill[0].server, &prefill[1].server, &decode.server]);
        let response = proxy.post_prompt(NOT_RESUMABLE, &[]).await;
        assert_eq!((response.status, response.body), (200, events(1..=3)));
        let prefills: usize = prefill.iter().map(|stub| stub.received().len()).sum();
        assert_eq!(prefills, 2);
        assert!(decode.received()[0].header("kv-from").is_some(), "the KV cache is handed over");
        // The budget allows one retry: the rejected prefill of a further request is not followed by another one.
        is_first.set(true);
        assert_eq!(proxy.post_prompt(NOT_RESUMABLE, &[]).await.status, 503);
    });
}
