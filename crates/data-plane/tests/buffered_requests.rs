//! Requests without a prompt: what goes on at another server, and what is never sent twice.

mod common;

use common::{Act, HOST, ID, Proxy, SEAL, Stand, WAIT, ask, good, never_ran, run};

const SEEDS: std::ops::Range<u64> = 0..4;

#[test]
fn an_answer_comes_back_unchanged() {
    run(async {
        let stand = Stand::new("s-1", "plain", None, |_| good("the server's bytes")).await;
        let proxy = Proxy::with(1, &[&stand.server]).await;
        let answer = proxy.ask("/once/a?b=c", &[("x-other", "kept")]).await;
        assert_eq!((answer.status, answer.body.as_str(), answer.whole), (200, "the server's bytes", true));
        assert_eq!((answer.header("x-server-seal"), answer.header("x-attempt-id")), (Some(SEAL), Some(ID)));
        let seen = stand.seen();
        assert_eq!(seen.len(), 1);
        assert_eq!(
            (seen[0].method.as_str(), seen[0].path.as_str(), &seen[0].body[..]),
            ("POST", "/once/a?b=c", &b"a body"[..])
        );
        assert_eq!(seen[0].header("host"), Some(HOST));
        assert_eq!(seen[0].header("x-other"), Some("kept"));
        assert_eq!(seen[0].header("x-attempt-id"), Some(ID));
        assert_eq!(seen[0].header("x-target-instance"), Some("s-1"));
        assert_eq!(seen[0].header("priority"), Some("3"));
        let left: u64 =
            seen[0].header("x-deadline-ms").and_then(|left| left.parse().ok()).expect("a deadline");
        assert!((1..=WAIT).contains(&left), "{left}");
    });
}

#[test]
fn what_one_connection_concerns_and_what_only_the_system_may_say_is_not_passed_on() {
    run(async {
        let stand = Stand::new("s-1", "plain", None, |_| good("")).await;
        let proxy = Proxy::with(1, &[&stand.server]).await;
        let headers = [
            ("connection", "x-mine"),
            ("x-mine", "1"),
            ("keep-alive", "timeout=5"),
            ("x-target-instance", "i-0"),
            ("kv-from", "10.0.0.1:80/ab"),
            ("x-serving-stage", "prefill"),
            ("priority", "0"),
        ];
        assert_eq!(proxy.ask("/again/", &headers).await.status, 200);
        let seen = &stand.seen()[0];
        for name in ["x-mine", "keep-alive", "kv-from", "x-serving-stage"] {
            assert_eq!(seen.header(name), None, "{name}");
        }
        assert_eq!((seen.header("x-target-instance"), seen.header("priority")), (Some("s-1"), Some("3")));
    });
}

/// Two servers, the first request of all is dealt with by `act`, later ones are answered well.
async fn first(act: Act) -> [std::rc::Rc<Stand>; 2] {
    let met = std::rc::Rc::new(std::cell::Cell::new(false));
    let script = move || {
        let (met, act) = (met.clone(), act.clone());
        move |_: &common::Seen| if met.replace(true) { good("later") } else { act.clone() }
    };
    [Stand::new("s-1", "plain", None, script()).await, Stand::new("s-2", "plain", None, script()).await]
}

/// Status and body, and how many requests both servers got.
async fn once(seed: u64, path: &str, act: Act) -> (common::Answer, usize) {
    let stands = first(act).await;
    let proxy = Proxy::with(seed, &[&stands[0].server, &stands[1].server]).await;
    let answer = proxy.ask(path, &[]).await;
    let both_once = stands.iter().all(|stand| stand.seen().len() <= 1);
    assert!(both_once, "no server gets a request twice");
    (answer, stands.iter().map(|stand| stand.seen().len()).sum())
}

#[test]
fn an_idempotent_request_goes_on_elsewhere() {
    run(async {
        let other = vec![("x-server-seal", SEAL.to_owned()), ("x-attempt-id", "0000000000000000".to_owned())];
        let acts = [
            Act::Close,
            never_ran(503),
            never_ran(429),
            never_ran(421),
            Act::Answer(503, Vec::new(), ""),
            Act::Answer(500, vec![("x-server-seal", SEAL.into())], "failed"),
            Act::Answer(200, Vec::new(), "no stamp"),
            Act::Answer(200, other, "another's"),
        ];
        for (seed, act) in SEEDS.flat_map(|seed| acts.iter().map(move |act| (seed, act))) {
            let (answer, sends) = once(seed, "/again/", act.clone()).await;
            assert_eq!((answer.status, answer.body.as_str(), sends), (200, "later", 2), "{act:?}");
            assert_eq!(answer.header("x-attempt-id"), Some(ID));
        }
    });
}

#[test]
fn a_non_idempotent_request_that_may_have_run_is_never_sent_twice() {
    run(async {
        let other = vec![("x-server-seal", SEAL.to_owned()), ("x-attempt-id", "0000000000000000".to_owned())];
        let acts = [
            Act::Close,
            Act::Answer(503, vec![("retry-after", "1".into())], ""),
            Act::Answer(408, Vec::new(), ""),
            Act::Answer(429, Vec::new(), ""),
            Act::Answer(200, Vec::new(), "no stamp"),
            Act::Answer(200, other.clone(), "another's"),
            Act::Answer(503, other, "another's"),
        ];
        for (seed, act) in SEEDS.flat_map(|seed| acts.iter().map(move |act| (seed, act))) {
            let (answer, sends) = once(seed, "/once/", act.clone()).await;
            assert_eq!((answer.status, answer.body.as_str(), sends), (502, "", 1), "{act:?}");
            assert_eq!(answer.header("retry-after"), None, "{act:?}");
        }
    });
}

#[test]
fn a_non_idempotent_request_that_never_ran_goes_on_elsewhere() {
    run(async {
        for (seed, status) in SEEDS.flat_map(|seed| [503, 429, 421].map(|status| (seed, status))) {
            let (answer, sends) = once(seed, "/once/", never_ran(status)).await;
            assert_eq!((answer.status, answer.body.as_str(), sends), (200, "later", 2), "{status}");
        }
    });
}

#[test]
fn a_server_s_own_failure_reaches_the_client_of_a_non_idempotent_route() {
    run(async {
        for status in [500, 504, 400] {
            let act = Act::Answer(status, vec![("x-server-seal", SEAL.into())], "failed");
            let (answer, sends) = once(1, "/once/", act).await;
            assert_eq!((answer.status, answer.body.as_str(), sends), (status, "failed", 1));
        }
    });
}

#[test]
fn a_connection_used_before_makes_no_second_send() {
    run(async {
        let count = std::cell::Cell::new(0);
        let stand = Stand::new("s-1", "plain", None, move |_| {
            count.set(count.get() + 1);
            if count.get() == 1 { good("first") } else { Act::Close }
        });
        let stand = stand.await;
        let proxy = Proxy::with(1, &[&stand.server]).await;
        assert_eq!(proxy.ask("/once/", &[]).await.status, 200);
        assert_eq!(proxy.ask("/once/", &[]).await.status, 502);
        assert_eq!(stand.seen().len(), 2);
    });
}

#[test]
fn who_is_not_there_gets_nothing_and_the_request_goes_on() {
    run(async {
        for seed in SEEDS {
            let stand = Stand::new("s-1", "plain", None, |_| good("here")).await;
            let dead = common::server("s-0", "plain", None, common::nowhere().await);
            let proxy = Proxy::with(seed, &[&dead, &stand.server]).await;
            let answer = proxy.ask("/once/", &[]).await;
            assert_eq!((answer.status, answer.body.as_str(), stand.seen().len()), (200, "here", 1));
        }
    });
}

#[test]
fn where_all_turn_it_away_the_client_is_told_when_to_come_back() {
    run(async {
        for path in ["/once/", "/again/"] {
            let stand = Stand::new("s-1", "plain", None, |_| never_ran(503)).await;
            let proxy = Proxy::with(1, &[&stand.server]).await;
            let answer = proxy.ask(path, &[]).await;
            let wait: f64 = answer.header("retry-after").and_then(|wait| wait.parse().ok()).expect("a time");
            assert!(answer.status == 503 && wait > 0.0 && wait < 1.0, "{answer:?}");
        }
    });
}

#[test]
fn without_a_route_it_is_404_and_without_a_configuration_503() {
    run(async {
        let stand = Stand::new("s-1", "plain", None, |_| good("")).await;
        let proxy = Proxy::with(1, &[&stand.server]).await;
        assert_eq!(proxy.ask("/nothing/", &[]).await.status, 404);
        assert_eq!(proxy.ask("/once", &[]).await.status, 404);
        assert!(stand.seen().is_empty());
        let empty = Proxy::empty(1).await;
        empty.data_plane.update_servers([&stand.server].into_iter());
        let answer = empty.ask("/once/", &[]).await;
        let wait = answer.header("retry-after").and_then(|wait| wait.parse::<f64>().ok());
        assert!(answer.status == 503 && wait.is_some_and(|wait| wait > 0.0), "{answer:?}");
        assert_eq!(ask(empty.readiness, "GET", "/readiness", &[], "").await.status, 503);
    });
}

#[test]
fn while_it_drains_readiness_and_answers_say_so() {
    run(async {
        let stand = Stand::new("s-1", "plain", None, |_| good("still")).await;
        let proxy = Proxy::with(1, &[&stand.server]).await;
        assert_eq!(ask(proxy.readiness, "GET", "/readiness", &[], "").await.status, 200);
        assert_eq!(proxy.ask("/once/", &[]).await.header("connection"), None);
        proxy.data_plane.start_draining();
        assert!(proxy.data_plane.is_draining());
        assert_eq!(ask(proxy.readiness, "GET", "/readiness", &[], "").await.status, 503);
        for (path, status) in [("/once/", 200), ("/nothing/", 404)] {
            let answer = proxy.ask(path, &[]).await;
            assert_eq!((answer.status, answer.header("connection")), (status, Some("close")), "{path}");
        }
    });
}
