//! Each client gets the response to its own request or none, and a request that must not be repeated reaches servers
//! only once.

mod common;
mod hostile_server;

use std::cell::RefCell;
use std::io::Write;
use std::rc::Rc;

use common::{
    ClientResponse, HOST, IDEMPOTENT, NON_IDEMPOTENT, NOT_RESUMABLE, Proxy, SEAL, event, events, run,
};
use hostile_server::{
    AfterResponse, Arrival, HostileServer, Reply, not_executed, own_response, poll_sockets, response,
    wait_until,
};
use mosshead_data_plane::DataPlane;
use mosshead_registry::{Server, Stage};
use mosshead_time::Duration;

const ALL_AFTER_RESPONSES: [AfterResponse; 5] = [
    AfterResponse::Nothing,
    AfterResponse::Repeat,
    AfterResponse::RepeatLate,
    AfterResponse::Close,
    AfterResponse::Reset,
];

const LOAD_REPORT: &str = "{\"queued\":0,\"active\":3}";
const HANDLE: &str = "{\"prefill_handle\":\"3fa09c41b7d5\",\"token_count\":1460,\"revision\":1}";

/// The response to a call that the proxy itself makes.
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

/// Starts a server of a service without an engine, and a proxy.
async fn plain_server(script: impl Fn(&Arrival) -> Reply + 'static) -> (Rc<HostileServer>, Proxy) {
    let hostile = HostileServer::start("s-1", "plain", None, script).await;
    let proxy = Proxy::with_servers(1, &[&hostile.server]).await;
    (hostile, proxy)
}

async fn prefill_server(after_response: AfterResponse) -> Rc<HostileServer> {
    let script = move |arrival: &Arrival| {
        let is_proxy_call = arrival.is_proxy_call();
        let bytes = if is_proxy_call { proxy_call_response(arrival) } else { handle_response(arrival) };
        Reply::Bytes(bytes, after_response)
    };
    HostileServer::start("i-prefill", "llm", Some(Stage::Prefill), script).await
}

/// Asserts that a client got the response to its own request or an empty one from the proxy, and that 503 was sent only
/// if the request did not run.
fn assert_own_or_none(response: &ClientResponse, attempt_id: &str, arrived: usize) {
    match response.status {
        200 => assert_eq!(response.body, format!("for {attempt_id}"), "the response to another request"),
        502 => assert_eq!(response.body, ""),
        503 => assert_eq!((response.body.as_str(), arrived), ("", 0), "rejected although it ran"),
        status => panic!("{status} for {attempt_id}"),
    }
}

#[test]
fn each_client_gets_its_own_response_or_none_whatever_follows_a_response() {
    run(async {
        for after_response in ALL_AFTER_RESPONSES {
            let script = move |arrival: &Arrival| Reply::Bytes(own_response(arrival), after_response);
            let (hostile, proxy) = plain_server(script).await;
            for number in 0..6 {
                let id = format!("{number:016x}");
                let response = proxy.post(NON_IDEMPOTENT, &[("x-attempt-id", &id)]).await;
                assert_own_or_none(&response, &id, hostile.count(&id));
                assert!(hostile.count(&id) <= 1, "{after_response:?}: sent twice");
                if matches!(after_response, AfterResponse::Nothing) {
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
                    number if number < good_replies => {
                        Reply::Bytes(own_response(arrival), AfterResponse::Nothing)
                    }
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

/// A request for a server that has closed or reset its idle connection is neither lost nor sent twice.
#[test]
fn a_connection_closed_while_idle_loses_no_request() {
    run(async {
        for after_response in [AfterResponse::Close, AfterResponse::Reset] {
            let script = move |arrival: &Arrival| Reply::Bytes(own_response(arrival), after_response);
            let (hostile, proxy) = plain_server(script).await;
            for number in 0..5 {
                let id = format!("{number:016x}");
                let response = proxy.post(NON_IDEMPOTENT, &[("x-attempt-id", &id)]).await;
                assert_eq!((response.status, hostile.count(&id)), (200, 1), "{after_response:?}");
                poll_sockets(3).await;
            }
        }
    });
}

#[test]
fn a_request_without_an_id_never_gets_the_response_to_another() {
    run(async {
        for after_response in ALL_AFTER_RESPONSES {
            for path in [NON_IDEMPOTENT, IDEMPOTENT] {
                let script = move |arrival: &Arrival| Reply::Bytes(own_response(arrival), after_response);
                let (hostile, proxy) = plain_server(script).await;
                assert_eq!(proxy.post(path, &[("x-attempt-id", "1")]).await.body, "for 1");
                for _ in 0..3 {
                    let response = proxy.post(path, &[("x-attempt-id", "")]).await;
                    let got = (response.status, response.body.as_str());
                    assert_eq!(got, (200, "for none"), "{after_response:?}");
                }
                assert_eq!(hostile.client_requests().len(), 4);
            }
        }
    });
}

/// The cases: both have different ids, only the request has an id, and only the response has one.
#[test]
fn a_response_with_another_id_or_none_reaches_no_client() {
    run(async {
        for (id, echo) in [("1", Some("2")), ("1", None), ("", Some("2"))] {
            let seal = format!("X-Server-Seal: {SEAL}\r\n");
            let bytes = response(200, echo, &seal, "another's");
            let script = move |_: &Arrival| Reply::Bytes(bytes.clone(), AfterResponse::Nothing);
            let (hostile, proxy) = plain_server(script).await;
            let got = proxy.post(NON_IDEMPOTENT, &[("x-attempt-id", id)]).await;
            let sent = hostile.client_requests().len();
            assert_eq!((got.status, got.body.as_str(), sent), (502, "", 1), "{id} {echo:?}");
        }
    });
}

/// A client's attempt is sent to a decode server twice if the server cannot fetch the KV cache. The echoed id is then
/// the same for both.
#[test]
fn a_repeated_rejection_is_not_taken_for_the_response_to_the_second_send() {
    run(async {
        for after_response in ALL_AFTER_RESPONSES {
            let prefill = prefill_server(AfterResponse::Nothing).await;
            let script = move |arrival: &Arrival| {
                if arrival.header("kv-from").is_some() {
                    return Reply::Bytes(not_executed(arrival), after_response);
                }
                let is_proxy_call = arrival.is_proxy_call();
                let bytes = if is_proxy_call { proxy_call_response(arrival) } else { stream(arrival) };
                Reply::Bytes(bytes, AfterResponse::Nothing)
            };
            let decode = HostileServer::start("i-decode", "llm", Some(Stage::Decode), script).await;
            let proxy = Proxy::with_servers(1, &[&prefill.server, &decode.server]).await;
            let response = proxy.post_prompt(NOT_RESUMABLE, &[]).await;
            let requests = decode.client_requests();
            let ran = requests.iter().filter(|arrival| arrival.header("kv-from").is_none()).count();
            assert_eq!((response.status, ran), (200, 1), "{after_response:?}: {response:?}");
            assert_eq!((response.body, response.is_complete), (events(1..=2), true));
        }
    });
}

/// The responses to proxy calls have no id. On a shared connection a late one could be taken for the response to a
/// client's request, or the other way round.
#[test]
fn proxy_calls_and_requests_of_clients_share_no_connection() {
    run(async {
        for after_response in [AfterResponse::Nothing, AfterResponse::RepeatLate] {
            let (prefill, other) =
                (prefill_server(after_response).await, prefill_server(after_response).await);
            let rejects = |arrival: &Arrival| {
                let is_proxy_call = arrival.is_proxy_call();
                let bytes = if is_proxy_call { proxy_call_response(arrival) } else { not_executed(arrival) };
                Reply::Bytes(bytes, AfterResponse::Nothing)
            };
            let decode = HostileServer::start("i-decode", "llm", Some(Stage::Decode), rejects).await;
            let second = Server { id: "i-other".into(), ..other.server.clone() };
            let proxy = Proxy::with_servers(1, &[&prefill.server, &second, &decode.server]).await;
            for number in 0..4 {
                let id = format!("{number:016x}");
                // The proxy first queries the load of the prefill servers, and later frees the handle, which is not
                // fetched.
                let response = proxy.post_prompt(NOT_RESUMABLE, &[("x-attempt-id", &id)]).await;
                assert_eq!(response.status, 503);
                poll_sockets(80).await;
            }
            let arrivals = [prefill.arrivals(), other.arrivals(), decode.arrivals()];
            assert!(arrivals.iter().flatten().any(Arrival::is_load_query), "the load is queried");
            assert!(arrivals.iter().flatten().any(|arrival| arrival.method == "DELETE"), "handles are freed");
            for arrivals in arrivals {
                for call in arrivals.iter().filter(|arrival| arrival.is_proxy_call()) {
                    let of_client = arrivals
                        .iter()
                        .find(|arrival| arrival.connection == call.connection && !arrival.is_proxy_call());
                    assert!(of_client.is_none(), "{after_response:?}: {} shares a connection", call.path);
                }
            }
        }
    });
}

/// After a suspension, a process finds buffered requests whose clients have disconnected in the meantime.
#[test]
fn a_request_whose_client_disconnected_while_the_proxy_was_suspended_is_not_sent() {
    run(async {
        for resets in [false, true] {
            let script = |arrival: &Arrival| Reply::Bytes(own_response(arrival), AfterResponse::Nothing);
            let (hostile, proxy) = plain_server(script).await;
            let mut client = std::net::TcpStream::connect(proxy.address).expect("a connection");
            poll_sockets(3).await;
            // The proxy does not run between here and the disconnect, as nothing is awaited.
            let head = format!("POST {NON_IDEMPOTENT} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: 1\r\n");
            let request = format!("{head}X-Deadline-Ms: 500\r\nContent-Length: 6\r\n\r\na body");
            client.write_all(request.as_bytes()).expect("the peer reads");
            if resets {
                let linger = Some(Duration::ZERO);
                socket2::SockRef::from(&client).set_linger(linger).expect("an option");
            }
            drop(client);
            wait_until(|| hostile.count("1") > 0 || proxy.frontend.open_connections() == 0).await;
            poll_sockets(20).await;
            assert_eq!(hostile.count("1"), 0, "resets: {resets}");
        }
    });
}

/// The response waits in the kernel while the proxy is suspended past the deadline. It belongs to the request, but it
/// is unknown what else has arrived on the connection.
#[test]
fn a_connection_whose_response_was_overdue_is_not_reused() {
    run(async {
        let script = |arrival: &Arrival| match arrival.number {
            0 => Reply::Suspended(own_response(arrival), Duration::from_millis(350)),
            _ => Reply::Bytes(own_response(arrival), AfterResponse::Nothing),
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

/// A body that is not a load report may belong to another call. The report may still arrive, in place of the next one.
#[test]
fn a_connection_that_returned_an_invalid_load_report_is_not_reused() {
    run(async {
        let script = |arrival: &Arrival| {
            let bytes = match arrival.is_proxy_call() {
                true => response(200, None, "", "{\"queued\":1}"),
                false => handle_response(arrival),
            };
            Reply::Bytes(bytes, AfterResponse::Nothing)
        };
        let one = HostileServer::start("r-1", "llm", Some(Stage::Prefill), script).await;
        let two = HostileServer::start("r-2", "llm", Some(Stage::Prefill), script).await;
        let streams = |arrival: &Arrival| Reply::Bytes(stream(arrival), AfterResponse::Nothing);
        let decode = HostileServer::start("i-decode", "llm", Some(Stage::Decode), streams).await;
        let proxy = Proxy::with_servers(1, &[&one.server, &two.server, &decode.server]).await;
        for _ in 0..3 {
            assert_eq!(proxy.post_prompt(NOT_RESUMABLE, &[]).await.status, 200);
            poll_sockets(80).await;
        }
        let mut reports = 0;
        for server in [one, two] {
            let mut queries: Vec<_> = server.arrivals();
            queries.retain(|arrival| arrival.is_load_query());
            let count = queries.len();
            reports += count;
            queries.dedup_by_key(|arrival| arrival.connection);
            assert_eq!(queries.len(), count, "each on a separate connection");
        }
        assert!(reports > 2);
    });
}

/// A server prefills a prompt, changes its stage to decode, and is then sent the same request to run. A late duplicate
/// of the response to the prefill has the same id as the response to the run.
#[test]
fn a_late_response_to_a_prefill_is_not_taken_for_the_response_to_the_run() {
    run(async {
        let prefills = |arrival: &Arrival| match arrival.header("x-serving-stage") {
            Some(_) => Reply::Bytes(handle_response(arrival), AfterResponse::RepeatLate),
            None if arrival.is_proxy_call() => {
                Reply::Bytes(proxy_call_response(arrival), AfterResponse::Nothing)
            }
            None => Reply::Bytes(stream(arrival), AfterResponse::Nothing),
        };
        let prefill = HostileServer::start("i-prefill", "llm", Some(Stage::Prefill), prefills).await;
        let changed = Server { stage: Some(Stage::Decode), ..prefill.server.clone() };
        let data_plane: Rc<RefCell<Option<Rc<DataPlane>>>> = Rc::default();
        let updated = data_plane.clone();
        let rejects = move |arrival: &Arrival| {
            if let Some(data_plane) = updated.borrow().as_ref() {
                data_plane.update_servers([&changed].into_iter());
            }
            Reply::Bytes(response(421, arrival.attempt_id(), "", ""), AfterResponse::Nothing)
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
