//! Each client gets the response to its own request or none, and nothing that may not be repeated arrives twice.

mod common;
mod hostile_server;

use std::cell::RefCell;
use std::io::Write;
use std::rc::Rc;

use common::{
    ClientResponse, HOST, IDEMPOTENT, NON_IDEMPOTENT, NOT_RESUMABLE, Proxy, SEAL, event, events, run,
};
use hostile_server::{
    Aftermath, Arrival, HostileServer, Reply, not_executed, own_response, response, wait_turns, wait_until,
};
use mosshead_data_plane::DataPlane;
use mosshead_registry::{Server, Stage};
use mosshead_time::Duration;

const AFTERMATHS: [Aftermath; 5] =
    [Aftermath::Quiet, Aftermath::Repeat, Aftermath::RepeatLate, Aftermath::Close, Aftermath::Reset];

const LOAD_REPORT: &str = "{\"queued\":0,\"active\":3}";
const HANDLE: &str = "{\"prefill_handle\":\"3fa09c41b7d5\",\"token_count\":1460,\"revision\":1}";

/// The response to a call of the proxy's own.
fn proxy_call_response(arrival: &Arrival) -> Vec<u8> {
    response(200, None, "", if arrival.is_load_query() { LOAD_REPORT } else { "" })
}

/// The response to a prefill.
fn handle_response(arrival: &Arrival) -> Vec<u8> {
    response(200, arrival.attempt_id(), "", HANDLE)
}

fn stream(arrival: &Arrival) -> Vec<u8> {
    let headers = format!("X-Server-Seal: {SEAL}\r\nContent-Type: text/event-stream\r\n");
    response(200, arrival.attempt_id(), &headers, &(event(1) + &event(2)))
}

/// One server of a service without an engine, and a proxy.
async fn plain_server(script: impl Fn(&Arrival) -> Reply + 'static) -> (Rc<HostileServer>, Proxy) {
    let hostile = HostileServer::start("s-1", "plain", None, script).await;
    let proxy = Proxy::with_servers(1, &[&hostile.server]).await;
    (hostile, proxy)
}

async fn prefill_server(aftermath: Aftermath) -> Rc<HostileServer> {
    let script = move |arrival: &Arrival| {
        let is_proxy_call = arrival.is_proxy_call();
        let bytes = if is_proxy_call { proxy_call_response(arrival) } else { handle_response(arrival) };
        Reply::Bytes(bytes, aftermath)
    };
    HostileServer::start("i-prefill", "llm", Some(Stage::Prefill), script).await
}

/// A client's response is that to its own request, or the proxy's own without a body, and nothing is promised of a
/// request that ran.
fn assert_own_or_none(response: &ClientResponse, attempt_id: &str, arrived: usize) {
    match response.status {
        200 => assert_eq!(response.body, format!("for {attempt_id}"), "another's response"),
        502 => assert_eq!(response.body, ""),
        503 => assert_eq!((response.body.as_str(), arrived), ("", 0), "it ran all the same"),
        status => panic!("{status} for {attempt_id}"),
    }
}

#[test]
fn each_client_gets_its_own_response_or_none_whatever_follows_a_response() {
    run(async {
        for aftermath in AFTERMATHS {
            let script = move |arrival: &Arrival| Reply::Bytes(own_response(arrival), aftermath);
            let (hostile, proxy) = plain_server(script).await;
            for number in 0..6 {
                let id = format!("{number:016x}");
                let response = proxy.post(NON_IDEMPOTENT, &[("x-attempt-id", &id)]).await;
                assert_own_or_none(&response, &id, hostile.count(&id));
                assert!(hostile.count(&id) <= 1, "{aftermath:?}: sent twice");
                if matches!(aftermath, Aftermath::Quiet) {
                    assert_eq!((response.status, hostile.connections()), (200, 1));
                }
            }
        }
    });
}

#[test]
fn a_request_that_may_not_be_repeated_is_sent_once_on_reused_and_new_connections() {
    run(async {
        for reply in [Reply::Close, Reply::Reset, Reply::NoResponse] {
            for is_reused in [true, false] {
                let (good_replies, bad_reply) = (usize::from(is_reused), reply.clone());
                let script = move |arrival: &Arrival| match arrival.number {
                    number if number < good_replies => Reply::Bytes(own_response(arrival), Aftermath::Quiet),
                    _ => bad_reply.clone(),
                };
                let one = HostileServer::start("s-1", "plain", None, script.clone()).await;
                let two = HostileServer::start("s-2", "plain", None, script).await;
                let proxy = Proxy::with_servers(1, &[&one.server, &two.server]).await;
                for number in 0..good_replies * 4 {
                    let id = format!("a{number:015x}");
                    let headers = [("x-attempt-id", id.as_str()), ("x-deadline-ms", "400")];
                    proxy.post(NON_IDEMPOTENT, &headers).await;
                }
                let headers = [("x-attempt-id", "b"), ("x-deadline-ms", "400")];
                let response = proxy.post(NON_IDEMPOTENT, &headers).await;
                let got = (response.status, response.body.as_str());
                assert_eq!(got, (502, ""), "{reply:?} {is_reused}");
                assert_eq!(one.count("b") + two.count("b"), 1, "{reply:?} {is_reused}");
            }
        }
    });
}

/// A server that has closed or reset an idle connection loses no request and gets none twice.
#[test]
fn a_connection_that_ended_while_idle_costs_no_request() {
    run(async {
        for aftermath in [Aftermath::Close, Aftermath::Reset] {
            let script = move |arrival: &Arrival| Reply::Bytes(own_response(arrival), aftermath);
            let (hostile, proxy) = plain_server(script).await;
            for number in 0..5 {
                let id = format!("{number:016x}");
                let response = proxy.post(NON_IDEMPOTENT, &[("x-attempt-id", &id)]).await;
                assert_eq!((response.status, hostile.count(&id)), (200, 1), "{aftermath:?}");
                wait_turns(3).await;
            }
        }
    });
}

#[test]
fn a_request_without_an_id_never_gets_another_s_response() {
    run(async {
        for aftermath in AFTERMATHS {
            for path in [NON_IDEMPOTENT, IDEMPOTENT] {
                let script = move |arrival: &Arrival| Reply::Bytes(own_response(arrival), aftermath);
                let (hostile, proxy) = plain_server(script).await;
                assert_eq!(proxy.post(path, &[("x-attempt-id", "1")]).await.body, "for 1");
                for _ in 0..3 {
                    let response = proxy.post(path, &[("x-attempt-id", "")]).await;
                    let got = (response.status, response.body.as_str());
                    assert_eq!(got, (200, "for none"), "{aftermath:?}");
                }
                assert_eq!(hostile.client_requests().len(), 4);
            }
        }
    });
}

/// With the id of no request, to one that has none, and without one, to one that has.
#[test]
fn a_response_with_another_id_or_none_reaches_no_client() {
    run(async {
        for (id, echo) in [("1", Some("2")), ("1", None), ("", Some("2"))] {
            let seal = format!("X-Server-Seal: {SEAL}\r\n");
            let bytes = response(200, echo, &seal, "another's");
            let script = move |_: &Arrival| Reply::Bytes(bytes.clone(), Aftermath::Quiet);
            let (hostile, proxy) = plain_server(script).await;
            let got = proxy.post(NON_IDEMPOTENT, &[("x-attempt-id", id)]).await;
            let sent = hostile.client_requests().len();
            assert_eq!((got.status, got.body.as_str(), sent), (502, "", 1), "{id} {echo:?}");
        }
    });
}

/// One attempt of a client is sent twice to one server if that cannot fetch the KV cache: the echo of the id does not
/// tell the two apart.
#[test]
fn a_repeated_rejection_is_not_taken_for_the_response_to_the_second_send() {
    run(async {
        for aftermath in AFTERMATHS {
            let prefill = prefill_server(Aftermath::Quiet).await;
            let script = move |arrival: &Arrival| {
                if arrival.header("kv-from").is_some() {
                    return Reply::Bytes(not_executed(arrival), aftermath);
                }
                let is_proxy_call = arrival.is_proxy_call();
                let bytes = if is_proxy_call { proxy_call_response(arrival) } else { stream(arrival) };
                Reply::Bytes(bytes, Aftermath::Quiet)
            };
            let decode = HostileServer::start("i-decode", "llm", Some(Stage::Decode), script).await;
            let proxy = Proxy::with_servers(1, &[&prefill.server, &decode.server]).await;
            let response = proxy.post_prompt(NOT_RESUMABLE, &[]).await;
            let requests = decode.client_requests();
            let ran = requests.iter().filter(|arrival| arrival.header("kv-from").is_none()).count();
            assert_eq!((response.status, ran), (200, 1), "{aftermath:?}: {response:?}");
            assert_eq!((response.body, response.is_complete), (events(1..=2), true));
        }
    });
}

/// A response without an id can't be matched by it: a late response to the one would be taken for one to the other.
#[test]
fn proxy_calls_and_requests_of_clients_share_no_connection() {
    run(async {
        for aftermath in [Aftermath::Quiet, Aftermath::RepeatLate] {
            let (prefill, other) = (prefill_server(aftermath).await, prefill_server(aftermath).await);
            let rejects = |arrival: &Arrival| {
                let is_proxy_call = arrival.is_proxy_call();
                let bytes = if is_proxy_call { proxy_call_response(arrival) } else { not_executed(arrival) };
                Reply::Bytes(bytes, Aftermath::Quiet)
            };
            let decode = HostileServer::start("i-decode", "llm", Some(Stage::Decode), rejects).await;
            let second = Server { id: "i-other".into(), ..other.server.clone() };
            let proxy = Proxy::with_servers(1, &[&prefill.server, &second, &decode.server]).await;
            for number in 0..4 {
                let id = format!("{number:016x}");
                // The prefill servers' load is queried before, and the handle is freed, as nobody fetches it.
                let response = proxy.post_prompt(NOT_RESUMABLE, &[("x-attempt-id", &id)]).await;
                assert_eq!(response.status, 503);
                wait_turns(80).await;
            }
            let arrivals = [prefill.arrivals(), other.arrivals(), decode.arrivals()];
            assert!(arrivals.iter().flatten().any(Arrival::is_load_query), "the load is queried");
            assert!(arrivals.iter().flatten().any(|arrival| arrival.method == "DELETE"), "handles are freed");
            for arrivals in arrivals {
                for call in arrivals.iter().filter(|arrival| arrival.is_proxy_call()) {
                    let of_client = arrivals
                        .iter()
                        .find(|arrival| arrival.connection == call.connection && !arrival.is_proxy_call());
                    assert!(of_client.is_none(), "{aftermath:?}: {} shares a connection", call.path);
                }
            }
        }
    });
}

/// A process that was suspended finds requests in its buffers whose clients have left long ago.
#[test]
fn a_request_that_its_client_left_while_the_proxy_was_suspended_is_not_sent() {
    run(async {
        for resets in [false, true] {
            let script = |arrival: &Arrival| Reply::Bytes(own_response(arrival), Aftermath::Quiet);
            let (hostile, proxy) = plain_server(script).await;
            let mut client = std::net::TcpStream::connect(proxy.address).expect("a connection");
            wait_turns(3).await;
            // From here on the proxy does not run until the client has left.
            let head = format!("POST {NON_IDEMPOTENT} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: 1\r\n");
            let request = format!("{head}X-Deadline-Ms: 500\r\nContent-Length: 6\r\n\r\na body");
            client.write_all(request.as_bytes()).expect("the peer reads");
            if resets {
                let linger = Some(Duration::ZERO);
                socket2::SockRef::from(&client).set_linger(linger).expect("an option");
            }
            drop(client);
            wait_until(|| hostile.count("1") > 0 || proxy.frontend.open_connections() == 0).await;
            wait_turns(20).await;
            assert_eq!(hostile.count("1"), 0, "resets: {resets}");
        }
    });
}

/// The response waited in the kernel while the proxy was suspended, past its deadline: it is the client's own, and what
/// else arrived on its connection is unknown.
#[test]
fn a_connection_whose_response_was_overdue_is_not_reused() {
    run(async {
        let script = |arrival: &Arrival| match arrival.number {
            0 => Reply::Suspended(own_response(arrival), Duration::from_millis(350)),
            _ => Reply::Bytes(own_response(arrival), Aftermath::Quiet),
        };
        let (hostile, proxy) = plain_server(script).await;
        for id in ["1", "2", "3"] {
            let headers = [("x-attempt-id", id), ("x-deadline-ms", "300")];
            let response = proxy.post(NON_IDEMPOTENT, &headers).await;
            assert_own_or_none(&response, id, hostile.count(id));
        }
        let connections: Vec<_> =
            hostile.client_requests().iter().map(|arrival| arrival.connection).collect();
        assert_eq!(connections, [0, 1, 1]);
    });
}

/// What is no report belongs to another call; the report itself may come yet, where the next one is due.
#[test]
fn a_connection_that_brought_no_load_report_is_not_reused() {
    run(async {
        let script = |arrival: &Arrival| {
            let bytes = match arrival.is_proxy_call() {
                true => response(200, None, "", "{\"queued\":1}"),
                false => handle_response(arrival),
            };
            Reply::Bytes(bytes, Aftermath::Quiet)
        };
        let one = HostileServer::start("r-1", "llm", Some(Stage::Prefill), script).await;
        let two = HostileServer::start("r-2", "llm", Some(Stage::Prefill), script).await;
        let streams = |arrival: &Arrival| Reply::Bytes(stream(arrival), Aftermath::Quiet);
        let decode = HostileServer::start("i-decode", "llm", Some(Stage::Decode), streams).await;
        let proxy = Proxy::with_servers(1, &[&one.server, &two.server, &decode.server]).await;
        for _ in 0..3 {
            assert_eq!(proxy.post_prompt(NOT_RESUMABLE, &[]).await.status, 200);
            wait_turns(80).await;
        }
        let mut reports = 0;
        for server in [one, two] {
            let mut queries: Vec<_> = server.arrivals();
            queries.retain(|arrival| arrival.is_load_query());
            let count = queries.len();
            reports += count;
            queries.dedup_by_key(|arrival| arrival.connection);
            assert_eq!(queries.len(), count, "each on a connection of its own");
        }
        assert!(reports > 2);
    });
}

/// A server prefills a prompt, changes its stage, and is then to run the very same request: the id of a late second
/// response to the prefill is that of the run.
#[test]
fn a_late_response_to_a_prefill_is_not_taken_for_that_to_the_same_request_s_run() {
    run(async {
        let prefills = |arrival: &Arrival| match arrival.header("x-serving-stage") {
            Some(_) => Reply::Bytes(handle_response(arrival), Aftermath::RepeatLate),
            None if arrival.is_proxy_call() => Reply::Bytes(proxy_call_response(arrival), Aftermath::Quiet),
            None => Reply::Bytes(stream(arrival), Aftermath::Quiet),
        };
        let prefill = HostileServer::start("i-prefill", "llm", Some(Stage::Prefill), prefills).await;
        let changed = Server { stage: Some(Stage::Decode), ..prefill.server.clone() };
        let data_plane: Rc<RefCell<Option<Rc<DataPlane>>>> = Rc::default();
        let updated = data_plane.clone();
        let rejects = move |arrival: &Arrival| {
            if let Some(data_plane) = updated.borrow().as_ref() {
                data_plane.update_servers([&changed].into_iter());
            }
            Reply::Bytes(response(421, arrival.attempt_id(), "", ""), Aftermath::Quiet)
        };
        let decode = HostileServer::start("i-decode", "llm", Some(Stage::Decode), rejects).await;
        let proxy = Proxy::with_servers(1, &[&prefill.server, &decode.server]).await;
        data_plane.replace(Some(proxy.data_plane.clone()));
        let response = proxy.post_prompt(NOT_RESUMABLE, &[]).await;
        let got = (response.status, response.body.as_str());
        assert_eq!(got, (200, events(1..=2).as_str()), "{response:?}");
        let requests = prefill.client_requests();
        let ran = requests.iter().filter(|arrival| arrival.header("x-serving-stage").is_none()).count();
        assert_eq!((ran, decode.client_requests().len()), (1, 1));
    });
}
