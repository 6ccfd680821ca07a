//! Each caller gets its own answer or none, and nothing that may not be repeated arrives twice.

mod common;
mod hostile_server;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use common::{Proxy, event, events};
use hostile_server::{Aftermath, Arrival, Hostile, Reply, answer, never_ran, own_answer, turns, until};
use mosshead_registry::Stage;

const AFTERMATHS: [Aftermath; 5] =
    [Aftermath::Quiet, Aftermath::Doubled, Aftermath::DoubledLate, Aftermath::Closes, Aftermath::Resets];

const REPORT: &str = "{\"queued\":0,\"active\":3}";
const HANDLE: &str = "{\"prefill_handle\":\"3fa09c41b7d5\",\"token_count\":1460,\"revision\":1}";

/// The answer to what the proxy asks on its own account.
fn to_own_call(arrival: &Arrival) -> Vec<u8> {
    answer(200, None, "", if arrival.path == "/report" { REPORT } else { "" })
}

async fn plain(script: impl Fn(&Arrival) -> Reply + 'static) -> (Rc<Hostile>, Proxy) {
    let hostile = Hostile::new("s-1", "plain", None, script).await;
    let proxy = Proxy::with(1, &[&hostile.server]).await;
    (hostile, proxy)
}

/// A client's answer is its own, or the proxy's own without a body, and no promise is made of what ran.
fn is_own_or_none(answer: &common::Answer, id: &str, arrived: usize) {
    match answer.status {
        200 => assert_eq!(answer.body, format!("for {id}"), "another's answer"),
        502 => assert_eq!(answer.body, ""),
        503 => assert_eq!((answer.body.as_str(), arrived), ("", 0), "it ran all the same"),
        status => panic!("{status} for {id}"),
    }
}

#[test]
fn whatever_follows_an_answer_each_client_gets_its_own_or_none() {
    common::run(async {
        for aftermath in AFTERMATHS {
            let (hostile, proxy) = plain(move |arrival| Reply::Bytes(own_answer(arrival), aftermath)).await;
            for number in 0..6 {
                let id = format!("{number:016x}");
                let answer = proxy.ask("/once/", &[("x-attempt-id", &id)]).await;
                is_own_or_none(&answer, &id, hostile.count(&id));
                assert!(hostile.count(&id) <= 1, "{aftermath:?}: sent twice");
                if matches!(aftermath, Aftermath::Quiet) {
                    assert_eq!((answer.status, hostile.connections()), (200, 1));
                }
            }
        }
    });
}

#[test]
fn a_request_that_may_not_be_repeated_is_sent_once_on_kept_and_new_connections() {
    common::run(async {
        for reply in [Reply::Close, Reply::Reset, Reply::Silence] {
            for kept in [true, false] {
                let (first, bad) = (usize::from(kept), reply.clone());
                let script = move |arrival: &Arrival| match arrival.number {
                    number if number < first => Reply::Bytes(own_answer(arrival), Aftermath::Quiet),
                    _ => bad.clone(),
                };
                let one = Hostile::new("s-1", "plain", None, script.clone()).await;
                let two = Hostile::new("s-2", "plain", None, script).await;
                let proxy = Proxy::with(1, &[&one.server, &two.server]).await;
                for number in 0..first * 4 {
                    let id = format!("a{number:015x}");
                    proxy.ask("/once/", &[("x-attempt-id", &id), ("x-deadline-ms", "400")]).await;
                }
                let answer = proxy.ask("/once/", &[("x-attempt-id", "b"), ("x-deadline-ms", "400")]).await;
                assert_eq!((answer.status, answer.body.as_str()), (502, ""), "{reply:?} {kept}");
                assert_eq!(one.count("b") + two.count("b"), 1, "{reply:?} {kept}");
            }
        }
    });
}

/// A server that has closed or reset an idle connection loses no request and gets none twice.
#[test]
fn a_connection_that_ended_unseen_costs_no_request() {
    common::run(async {
        for aftermath in [Aftermath::Closes, Aftermath::Resets] {
            let (hostile, proxy) = plain(move |arrival| Reply::Bytes(own_answer(arrival), aftermath)).await;
            for number in 0..5 {
                let id = format!("{number:016x}");
                let answer = proxy.ask("/once/", &[("x-attempt-id", &id)]).await;
                assert_eq!((answer.status, hostile.count(&id)), (200, 1), "{aftermath:?}");
                turns(3).await;
            }
        }
    });
}

#[test]
fn a_request_without_an_id_never_gets_another_s_answer() {
    common::run(async {
        for aftermath in AFTERMATHS {
            for path in ["/once/", "/again/"] {
                let (hostile, proxy) =
                    plain(move |arrival| Reply::Bytes(own_answer(arrival), aftermath)).await;
                assert_eq!(proxy.ask(path, &[("x-attempt-id", "1")]).await.body, "for 1");
                for _ in 0..3 {
                    let answer = proxy.ask(path, &[("x-attempt-id", "")]).await;
                    assert_eq!((answer.status, answer.body.as_str()), (200, "for none"), "{aftermath:?}");
                }
                assert_eq!(hostile.requests().len(), 4);
            }
        }
    });
}

/// An answer to nobody: with the id of no request, to one that has none, and without one, to one that has.
#[test]
fn an_answer_with_another_id_or_none_is_nobody_s() {
    common::run(async {
        for (id, echo) in [("1", Some("2")), ("1", None), ("", Some("2"))] {
            let seal = format!("X-Server-Seal: {}\r\n", common::SEAL);
            let bytes = answer(200, echo, &seal, "another's");
            let (hostile, proxy) = plain(move |_| Reply::Bytes(bytes.clone(), Aftermath::Quiet)).await;
            let got = proxy.ask("/once/", &[("x-attempt-id", id)]).await;
            assert_eq!(
                (got.status, got.body.as_str(), hostile.requests().len()),
                (502, "", 1),
                "{id} {echo:?}"
            );
        }
    });
}

fn stream(arrival: &Arrival) -> Vec<u8> {
    let more = format!("X-Server-Seal: {}\r\nContent-Type: text/event-stream\r\n", common::SEAL);
    answer(200, arrival.id(), &more, &(event(1) + &event(2)))
}

async fn reader(aftermath: Aftermath) -> Rc<Hostile> {
    let script = move |arrival: &Arrival| {
        let bytes =
            if arrival.is_own_call() { to_own_call(arrival) } else { answer(200, arrival.id(), "", HANDLE) };
        Reply::Bytes(bytes, aftermath)
    };
    Hostile::new("i-read", "llm", Some(Stage::Prefill), script).await
}

/// One try is sent twice to one server where the memory can't be had: the echo of the id does not tell the two apart.
#[test]
fn a_doubled_refusal_is_not_the_answer_to_the_second_send_of_one_request() {
    common::run(async {
        for aftermath in AFTERMATHS {
            let reader = reader(Aftermath::Quiet).await;
            let script = move |arrival: &Arrival| {
                if arrival.header("kv-from").is_some() {
                    return Reply::Bytes(never_ran(arrival), aftermath);
                }
                let bytes = if arrival.is_own_call() { to_own_call(arrival) } else { stream(arrival) };
                Reply::Bytes(bytes, Aftermath::Quiet)
            };
            let runner = Hostile::new("i-run", "llm", Some(Stage::Decode), script).await;
            let proxy = Proxy::with(1, &[&reader.server, &runner.server]).await;
            let answer = proxy.prompt("/broken/", &[]).await;
            let ran = runner.requests().iter().filter(|it| it.header("kv-from").is_none()).count();
            assert_eq!((answer.status, ran), (200, 1), "{aftermath:?}: {answer:?}");
            assert_eq!((answer.body, answer.whole), (events(1..=2), true));
        }
    });
}

/// What bears no id can't be told apart by it: a late answer to the one would be taken for an answer to the other.
#[test]
fn own_calls_and_requests_of_clients_share_no_connection() {
    common::run(async {
        for aftermath in [Aftermath::Quiet, Aftermath::DoubledLate] {
            let (reader, other) = (reader(aftermath).await, reader(aftermath).await);
            let refuses = |arrival: &Arrival| {
                let own = arrival.is_own_call();
                Reply::Bytes(if own { to_own_call(arrival) } else { never_ran(arrival) }, Aftermath::Quiet)
            };
            let runner = Hostile::new("i-run", "llm", Some(Stage::Decode), refuses).await;
            let mut second = other.server.clone();
            second.id = "i-other".into();
            let proxy = Proxy::with(1, &[&reader.server, &second, &runner.server]).await;
            for number in 0..4 {
                let id = format!("{number:016x}");
                // The handle is freed, as nobody takes it; the readers are asked for their figures before.
                assert_eq!(proxy.prompt("/broken/", &[("x-attempt-id", &id)]).await.status, 503);
                turns(80).await;
            }
            let arrivals = [reader.arrivals(), other.arrivals(), runner.arrivals()];
            assert!(arrivals.iter().flatten().any(|it| it.path == "/report"), "it asks for figures");
            assert!(arrivals.iter().flatten().any(|it| it.method == "DELETE"), "it frees handles");
            for arrivals in arrivals {
                for own in arrivals.iter().filter(|it| it.is_own_call()) {
                    let mixed =
                        arrivals.iter().find(|it| it.connection == own.connection && !it.is_own_call());
                    assert!(mixed.is_none(), "{aftermath:?}: {} shares a connection", own.path);
                }
            }
        }
    });
}

/// A process that was frozen finds requests in its buffers whose clients have left long ago.
#[test]
fn what_a_client_gave_up_while_the_proxy_was_frozen_is_not_sent() {
    use std::io::Write;
    common::run(async {
        for resets in [false, true] {
            let (hostile, proxy) = plain(|arrival| Reply::Bytes(own_answer(arrival), Aftermath::Quiet)).await;
            let mut client = std::net::TcpStream::connect(proxy.front).expect("a connection");
            turns(3).await;
            // From here on the proxy does not run until the client has left.
            let head = format!("POST /once/ HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: 1\r\n", common::HOST);
            let request = format!("{head}X-Deadline-Ms: 500\r\nContent-Length: 6\r\n\r\na body");
            client.write_all(request.as_bytes()).expect("room");
            if resets {
                let linger = Some(std::time::Duration::ZERO);
                socket2::SockRef::from(&client).set_linger(linger).expect("an option");
            }
            drop(client);
            until(|| hostile.count("1") > 0 || proxy.door.open_connections() == 0).await;
            turns(20).await;
            assert_eq!(hostile.count("1"), 0, "resets: {resets}");
        }
    });
}

/// The answer lay there while the proxy was frozen, past its time: it is the client's own, and nobody knows what else
/// has become of its connection.
#[test]
fn a_connection_whose_answer_was_overdue_is_not_used_again() {
    common::run(async {
        let script = |arrival: &Arrival| match arrival.number {
            0 => Reply::Frozen(own_answer(arrival), Duration::from_millis(350)),
            _ => Reply::Bytes(own_answer(arrival), Aftermath::Quiet),
        };
        let (hostile, proxy) = plain(script).await;
        for id in ["1", "2", "3"] {
            let answer = proxy.ask("/once/", &[("x-attempt-id", id), ("x-deadline-ms", "300")]).await;
            is_own_or_none(&answer, id, hostile.count(id));
        }
        let connections: Vec<_> = hostile.requests().iter().map(|it| it.connection).collect();
        assert_eq!(connections, [0, 1, 1]);
    });
}

/// What is no report answers another call; the report itself may come yet, in the place of the next one.
#[test]
fn a_connection_that_brought_no_report_is_not_used_again() {
    common::run(async {
        let script = |arrival: &Arrival| {
            let bytes = match arrival.is_own_call() {
                true => answer(200, None, "", "{\"queued\":1}"),
                false => answer(200, arrival.id(), "", HANDLE),
            };
            Reply::Bytes(bytes, Aftermath::Quiet)
        };
        let one = Hostile::new("r-1", "llm", Some(Stage::Prefill), script).await;
        let two = Hostile::new("r-2", "llm", Some(Stage::Prefill), script).await;
        let runs = |arrival: &Arrival| Reply::Bytes(stream(arrival), Aftermath::Quiet);
        let runner = Hostile::new("i-run", "llm", Some(Stage::Decode), runs).await;
        let proxy = Proxy::with(1, &[&one.server, &two.server, &runner.server]).await;
        for _ in 0..3 {
            assert_eq!(proxy.prompt("/broken/", &[]).await.status, 200);
            turns(80).await;
        }
        let mut reports = 0;
        for server in [one, two] {
            let mut connections: Vec<_> = server.arrivals();
            connections.retain(|it| it.path == "/report");
            reports += connections.len();
            connections.dedup_by_key(|it| it.connection);
            let of_reports = server.arrivals().iter().filter(|it| it.path == "/report").count();
            assert_eq!(connections.len(), of_reports, "each on a connection of its own");
        }
        assert!(reports > 2);
    });
}

/// A server reads a prompt, changes its part, and is then to run the very same request: the id of a late second answer
/// to the reading is that of the run.
#[test]
fn a_late_answer_to_a_reading_is_not_the_answer_to_the_run_of_the_same_request() {
    common::run(async {
        let reads = |arrival: &Arrival| match arrival.header("x-serving-stage") {
            Some(_) => Reply::Bytes(answer(200, arrival.id(), "", HANDLE), Aftermath::DoubledLate),
            None if arrival.is_own_call() => Reply::Bytes(to_own_call(arrival), Aftermath::Quiet),
            None => Reply::Bytes(stream(arrival), Aftermath::Quiet),
        };
        let reader = Hostile::new("i-read", "llm", Some(Stage::Prefill), reads).await;
        let changed = mosshead_registry::Server { stage: Some(Stage::Decode), ..reader.server.clone() };
        let known: Rc<RefCell<Option<Rc<mosshead_data_plane::DataPlane>>>> = Rc::default();
        let lists = known.clone();
        let refuses = move |arrival: &Arrival| {
            if let Some(data_plane) = lists.borrow().as_ref() {
                data_plane.update_servers([&changed].into_iter());
            }
            Reply::Bytes(answer(421, arrival.id(), "", ""), Aftermath::Quiet)
        };
        let runner = Hostile::new("i-run", "llm", Some(Stage::Decode), refuses).await;
        let proxy = Proxy::with(1, &[&reader.server, &runner.server]).await;
        known.replace(Some(proxy.data_plane.clone()));
        let answer = proxy.prompt("/broken/", &[]).await;
        assert_eq!((answer.status, answer.body.as_str()), (200, events(1..=2).as_str()), "{answer:?}");
        let ran = reader.requests().iter().filter(|it| it.header("x-serving-stage").is_none()).count();
        assert_eq!((ran, runner.requests().len()), (1, 1));
    });
}
