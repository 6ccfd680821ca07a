//! Requests with a prompt: the hand-over, and streams that go on elsewhere.

mod common;

use std::cell::Cell;
use std::rc::Rc;

use common::{Act, ID, Proxy, SEAL, Seen, Stand, WAIT, events, handle, never_ran, nowhere, run, server};
use mosshead_registry::Stage;

const HANDLE: &str = "/kv-handle/3fa09c41b7d5";

fn stream(last: u64) -> Act {
    Act::Events { ids: 1..=last, seal: SEAL, cut: false }
}

async fn reader() -> Rc<Stand> {
    Stand::new("i-read", "llm", Some(Stage::Prefill), |_| handle()).await
}

async fn runner(id: &str, script: impl Fn(&Seen) -> Act + 'static) -> Rc<Stand> {
    Stand::new(id, "llm", Some(Stage::Decode), script).await
}

fn freed(seen: &Seen) -> bool {
    seen.method == "DELETE" && seen.path == HANDLE
}

#[test]
fn a_prompt_is_read_by_one_server_and_run_by_another() {
    run(async {
        let (reader, runner) = (reader().await, runner("i-run", |_| stream(9)).await);
        let proxy = Proxy::with(1, &[&reader.server, &runner.server]).await;
        let answer = proxy.prompt("/broken/2f", &[]).await;
        assert_eq!((answer.status, answer.whole), (200, true));
        assert_eq!(answer.body, events(1..=9));
        assert_eq!(answer.header("x-server-seal"), Some(SEAL));
        assert_eq!(answer.header("x-attempt-id"), Some(ID));
        assert_eq!(answer.header("content-type"), Some("text/event-stream"));
        let (read, ran) = (reader.seen(), runner.seen());
        assert_eq!((read.len(), ran.len()), (1, 1));
        assert!(read[0].reads() && !ran[0].reads());
        let from = format!("{}/3fa09c41b7d5", reader.server.address);
        assert_eq!((read[0].header("kv-from"), ran[0].header("kv-from")), (None, Some(from.as_str())));
        assert_eq!(ran[0].header("x-serving-stage"), None);
        for (seen, id) in [(&read[0], "i-read"), (&ran[0], "i-run")] {
            assert_eq!(seen.header("x-target-instance"), Some(id));
            assert_eq!(seen.header("x-attempt-id"), Some(ID));
            assert_eq!(seen.header("priority"), Some("3"));
            assert_eq!(seen.header("x-model-name"), Some("m"));
            assert_eq!((seen.path.as_str(), &seen.body[..]), ("/broken/2f", &b"a body"[..]));
            let left = seen.header("x-deadline-ms").and_then(|left| left.parse().ok()).expect("a deadline");
            assert!((1..=WAIT).contains(&left), "{left}");
        }
        assert_eq!(
            (proxy.data_plane.counters.handed_over.get(), proxy.data_plane.counters.freed_handles.get()),
            (1, 0)
        );
    });
}

#[test]
fn a_handle_that_nobody_takes_up_is_freed() {
    run(async {
        let reader = reader().await;
        let dead = server("i-dead", "llm", Some(Stage::Decode), nowhere().await);
        let proxy = Proxy::with(1, &[&reader.server, &dead]).await;
        let answer = proxy.prompt("/broken/", &[("x-deadline-ms", "900")]).await;
        assert_eq!(answer.status, 503);
        reader.until(freed).await;
    });
}

#[test]
fn a_handle_is_freed_where_another_instance_answers() {
    run(async {
        let (reader, runner) = (reader().await, runner("i-run", |_| never_ran(421)).await);
        let proxy = Proxy::with(1, &[&reader.server, &runner.server]).await;
        assert_eq!(proxy.prompt("/broken/", &[]).await.status, 503);
        reader.until(freed).await;
        assert_eq!(reader.seen().iter().filter(|seen| freed(seen)).count(), 1);
    });
}

#[test]
fn where_the_memory_can_t_be_had_the_same_server_reads_itself() {
    run(async {
        let reader = reader().await;
        let script = |seen: &Seen| if seen.header("kv-from").is_some() { never_ran(503) } else { stream(3) };
        let (one, two) = (runner("i-1", script).await, runner("i-2", script).await);
        let proxy = Proxy::with(3, &[&reader.server, &one.server, &two.server]).await;
        let answer = proxy.prompt("/broken/", &[]).await;
        assert_eq!((answer.status, answer.body.clone(), answer.whole), (200, events(1..=3), true));
        let (one, two) = (one.seen(), two.seen());
        assert!(one.is_empty() || two.is_empty(), "the same server");
        let both: Vec<Seen> = one.into_iter().chain(two).collect();
        let from: Vec<bool> = both.iter().map(|seen| seen.header("kv-from").is_some()).collect();
        assert_eq!(from, [true, false]);
        reader.until(freed).await;
    });
}

#[test]
fn a_stream_that_breaks_off_goes_on_elsewhere_where_the_route_says_so() {
    run(async {
        for seed in 0..6 {
            let first = Rc::new(Cell::new(true));
            let script = || {
                let first = first.clone();
                move |seen: &Seen| {
                    if first.replace(false) {
                        return Act::Events { ids: 1..=4, seal: "first", cut: true };
                    }
                    let after: u64 = seen.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
                    Act::Events { ids: after + 1..=9, seal: "second", cut: false }
                }
            };
            let reader = reader().await;
            let (one, two) = (runner("i-1", script()).await, runner("i-2", script()).await);
            let proxy = Proxy::with(seed, &[&reader.server, &one.server, &two.server]).await;
            let answer = proxy.prompt("/resumed/", &[]).await;
            assert_eq!((answer.status, answer.whole), (200, true));
            assert_eq!(answer.body, events(1..=9), "no event twice, none missing");
            assert_eq!(answer.header("x-server-seal"), Some("first"));
            let (one, two) = (one.seen(), two.seen());
            assert_eq!((one.len(), two.len()), (1, 1), "another server");
            let after: Vec<&str> =
                one.iter().chain(&two).filter_map(|seen| seen.header("last-event-id")).collect();
            assert_eq!(after, ["4"]);
            let from = one.iter().chain(&two).filter(|seen| seen.header("kv-from").is_some()).count();
            assert!(from <= 1, "a handle is taken once");
            assert_eq!(proxy.data_plane.counters.resumed.get(), 1);
        }
    });
}

#[test]
fn events_that_come_again_are_left_out() {
    run(async {
        let first = Rc::new(Cell::new(true));
        let script = || {
            let first = first.clone();
            move |_: &Seen| match first.replace(false) {
                true => Act::Events { ids: 1..=4, seal: SEAL, cut: true },
                false => Act::Events { ids: 3..=9, seal: SEAL, cut: false },
            }
        };
        let reader = reader().await;
        let (one, two) = (runner("i-1", script()).await, runner("i-2", script()).await);
        let proxy = Proxy::with(1, &[&reader.server, &one.server, &two.server]).await;
        let answer = proxy.prompt("/resumed/", &[]).await;
        assert_eq!((answer.body, answer.whole), (events(1..=9), true));
    });
}

#[test]
fn where_all_break_off_the_answer_ends_broken_and_holds_whole_events_only() {
    run(async {
        let script = |_: &Seen| Act::Events { ids: 1..=4, seal: SEAL, cut: true };
        let reader = reader().await;
        let (one, two) = (runner("i-1", script).await, runner("i-2", script).await);
        let proxy = Proxy::with(1, &[&reader.server, &one.server, &two.server]).await;
        let answer = proxy.prompt("/resumed/", &[]).await;
        assert_eq!((answer.status, answer.whole, answer.body), (200, false, events(1..=4)));
    });
}

#[test]
fn without_resume_a_broken_stream_does_not_look_complete() {
    run(async {
        let script = |_: &Seen| Act::Events { ids: 1..=4, seal: SEAL, cut: true };
        let reader = reader().await;
        let (one, two) = (runner("i-1", script).await, runner("i-2", script).await);
        let proxy = Proxy::with(1, &[&reader.server, &one.server, &two.server]).await;
        let answer = proxy.prompt("/broken/", &[]).await;
        assert_eq!((answer.status, answer.whole), (200, false));
        assert!(answer.body.starts_with(&events(1..=4)) || events(1..=4).starts_with(&answer.body));
        assert_eq!(one.seen().len() + two.seen().len(), 1, "never sent twice");
    });
}

#[test]
fn a_stream_that_may_have_run_is_not_begun_again_without_resume() {
    run(async {
        let other = vec![("x-server-seal", SEAL.to_owned()), ("x-attempt-id", "0000000000000000".to_owned())];
        let acts = [
            Act::Close,
            Act::Answer(503, vec![("retry-after", "1".into())], ""),
            Act::Answer(200, Vec::new(), "no stamp"),
            Act::Answer(200, other, "another's"),
        ];
        for act in acts {
            let script = || {
                let act = act.clone();
                move |_: &Seen| act.clone()
            };
            let reader = reader().await;
            let (one, two) = (runner("i-1", script()).await, runner("i-2", script()).await);
            let proxy = Proxy::with(1, &[&reader.server, &one.server, &two.server]).await;
            let answer = proxy.prompt("/broken/", &[]).await;
            assert_eq!((answer.status, answer.body.as_str()), (502, ""), "{act:?}");
            assert_eq!(answer.header("retry-after"), None);
            assert_eq!(one.seen().len() + two.seen().len(), 1, "{act:?}");
        }
    });
}

#[test]
fn a_stream_that_may_be_resumed_begins_elsewhere_after_a_reset() {
    run(async {
        for seed in 0..4 {
            let first = Rc::new(Cell::new(true));
            let script = || {
                let first = first.clone();
                move |_: &Seen| if first.replace(false) { Act::Close } else { stream(5) }
            };
            let reader = reader().await;
            let (one, two) = (runner("i-1", script()).await, runner("i-2", script()).await);
            let proxy = Proxy::with(seed, &[&reader.server, &one.server, &two.server]).await;
            let answer = proxy.prompt("/resumed/", &[]).await;
            assert_eq!((answer.status, answer.body.clone(), answer.whole), (200, events(1..=5), true));
            assert_eq!((one.seen().len(), two.seen().len()), (1, 1));
        }
    });
}

#[test]
fn without_readers_the_runner_reads_itself() {
    run(async {
        let runner = runner("i-run", |_| stream(2)).await;
        let proxy = Proxy::with(1, &[&runner.server]).await;
        let answer = proxy.prompt("/broken/", &[]).await;
        assert_eq!((answer.status, answer.body.clone()), (200, events(1..=2)));
        assert_eq!(runner.seen()[0].header("kv-from"), None);
    });
}

#[test]
fn a_stream_that_begins_while_it_drains_tells_the_client_to_leave() {
    run(async {
        let (reader, runner) = (reader().await, runner("i-run", |_| stream(3)).await);
        let proxy = Proxy::with(1, &[&reader.server, &runner.server]).await;
        proxy.data_plane.start_draining();
        let answer = proxy.prompt("/broken/", &[]).await;
        assert_eq!((answer.header("connection"), answer.body.clone()), (Some("close"), events(1..=3)));
        assert!(answer.whole);
    });
}

#[test]
fn what_a_client_has_seen_of_a_stream_is_told_to_the_server() {
    run(async {
        let runner = runner("i-run", |seen| {
            let after: u64 = seen.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
            Act::Events { ids: after + 1..=9, seal: SEAL, cut: false }
        });
        let (reader, runner) = (reader().await, runner.await);
        let proxy = Proxy::with(1, &[&reader.server, &runner.server]).await;
        let answer = proxy.prompt("/resumed/", &[("last-event-id", "6")]).await;
        assert_eq!((answer.body.clone(), answer.whole), (events(7..=9), true));
    });
}

#[test]
fn a_stream_that_falls_silent_at_a_dark_server_goes_on_elsewhere() {
    run(async {
        let first = Rc::new(Cell::new(true));
        let script = || {
            let first = first.clone();
            move |seen: &Seen| {
                if first.replace(false) {
                    return Act::Stalls(1..=4);
                }
                let after: u64 = seen.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
                Act::Events { ids: after + 1..=9, seal: SEAL, cut: false }
            }
        };
        let reader = reader().await;
        let (one, two) = (runner("i-1", script()).await, runner("i-2", script()).await);
        [&one, &two].iter().for_each(|stand| stand.dark.set(true));
        let proxy = Proxy::with(1, &[&reader.server, &one.server, &two.server]).await;
        let answer = proxy.prompt("/resumed/", &[]).await;
        assert_eq!((answer.body.clone(), answer.whole), (events(1..=9), true));
    });
}

#[test]
fn a_stream_that_is_not_over_in_time_ends_broken() {
    run(async {
        let (reader, runner) = (reader().await, runner("i-run", |_| Act::Stalls(1..=4)).await);
        let proxy = Proxy::with(1, &[&reader.server, &runner.server]).await;
        let answer = proxy.prompt("/broken/", &[("x-deadline-ms", "700")]).await;
        assert_eq!((answer.status, answer.body.clone(), answer.whole), (200, events(1..=4), false));
        runner.until_left().await;
    });
}

#[test]
fn a_reader_that_fails_is_replaced() {
    run(async {
        let acts = [
            Act::Close,
            never_ran(503),
            never_ran(421),
            Act::Answer(500, Vec::new(), "failed"),
            Act::Answer(200, Vec::new(), "garbage"),
            Act::Answer(200, Vec::new(), "{\"prefill_handle\":\"a/../b\"}"),
            Act::Answer(200, Vec::new(), "{\"prefill_handle\":\"\"}"),
            Act::Answer(
                200,
                vec![("x-attempt-id", "0000000000000000".to_owned())],
                "{\"prefill_handle\":\"ab\"}",
            ),
        ];
        for act in acts {
            let first = Rc::new(Cell::new(true));
            let script = || {
                let (first, act) = (first.clone(), act.clone());
                move |_: &Seen| if first.replace(false) { act.clone() } else { handle() }
            };
            let stage = Some(Stage::Prefill);
            let one = Stand::new("r-1", "llm", stage, script()).await;
            let two = Stand::new("r-2", "llm", stage, script()).await;
            let runner = runner("i-run", |_| stream(3)).await;
            let proxy = Proxy::with(1, &[&one.server, &two.server, &runner.server]).await;
            let answer = proxy.prompt("/broken/", &[]).await;
            assert_eq!((answer.status, answer.body.clone()), (200, events(1..=3)), "{act:?}");
            let ran = runner.seen();
            let from = [&one, &two].map(|reader| format!("{}/3fa09c41b7d5", reader.server.address));
            assert_eq!(ran.len(), 1, "{act:?}");
            assert!(ran[0].header("kv-from").is_some_and(|it| from.iter().any(|from| from == it)), "{act:?}");
            assert_eq!((one.seen().len(), two.seen().len()), (1, 1), "{act:?}");
        }
    });
}

#[test]
fn where_no_reader_reads_the_runner_does() {
    run(async {
        let reader = Stand::new("r-1", "llm", Some(Stage::Prefill), |_| never_ran(503)).await;
        let runner = runner("i-run", |_| stream(3)).await;
        let proxy = Proxy::with(1, &[&reader.server, &runner.server]).await;
        let answer = proxy.prompt("/broken/", &[]).await;
        assert_eq!((answer.status, answer.body.clone()), (200, events(1..=3)));
        assert_eq!((reader.seen().len(), runner.seen()[0].header("kv-from")), (1, None));
    });
}

#[test]
fn where_the_memory_can_t_be_had_and_the_budget_is_spent_the_client_comes_again() {
    run(async {
        let reader = reader().await;
        let runner = runner("i-run", |_| never_ran(503)).await;
        let proxy = Proxy::spending(1, 0.0, 0.0).await.knows(&[&reader.server, &runner.server]);
        let answer = proxy.prompt("/broken/", &[]).await;
        assert!(answer.status == 503 && answer.header("retry-after").is_some(), "{answer:?}");
        assert_eq!(runner.seen().len(), 1);
        reader.until(freed).await;
    });
}

#[test]
fn a_deep_handle_does_no_harm() {
    run(async {
        let deep: &'static str = Box::leak("[".repeat(4_090).into_boxed_str());
        let reader =
            Stand::new("r", "llm", Some(Stage::Prefill), move |_| Act::Answer(200, Vec::new(), deep)).await;
        let runner = runner("i-run", |_| stream(3)).await;
        let proxy = Proxy::with(1, &[&reader.server, &runner.server]).await;
        assert_eq!(proxy.prompt("/broken/", &[]).await.body, events(1..=3));
    });
}

#[test]
fn a_rejected_reading_counts_in_the_budget() {
    run(async {
        let reader = Stand::new("r-1", "llm", Some(Stage::Prefill), |_| never_ran(503)).await;
        let runner = runner("i-run", |_| stream(3)).await;
        let proxy = Proxy::spending(1, 0.0, 0.0).await.knows(&[&reader.server, &runner.server]);
        let answer = proxy.prompt("/broken/", &[]).await;
        assert_eq!((answer.status, reader.seen().len(), runner.seen().len()), (503, 1, 0));
    });
}

/// To such a client the end of the connection is the end of the body: a cut answer must be told apart by a reset.
#[test]
fn to_a_client_without_chunks_a_broken_stream_does_not_look_complete() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    run(async {
        let script = |_: &Seen| Act::Events { ids: 1..=4, seal: SEAL, cut: true };
        let (reader, runner) = (reader().await, runner("i-run", script).await);
        let proxy = Proxy::with(1, &[&reader.server, &runner.server]).await;
        let mut client = tokio::net::TcpStream::connect(proxy.front).await.expect("a connection");
        let head = format!("POST /broken/2f HTTP/1.0\r\nHost: {}\r\nX-Attempt-Id: {ID}\r\n", common::HOST);
        let prompt = "X-Model-Name: m\r\nX-Token-Count: 1460,80\r\nX-Prompt-Prefix: 5c1e07a2:800\r\n";
        let request = format!("{head}{prompt}X-Deadline-Ms: {WAIT}\r\nContent-Length: 6\r\n\r\na body");
        client.write_all(request.as_bytes()).await.expect("room");
        let mut got = Vec::new();
        let end = client.read_to_end(&mut got).await;
        let text = String::from_utf8_lossy(&got);
        assert!(end.is_err() || text.contains("502"), "it looks whole: {text}");
    });
}
