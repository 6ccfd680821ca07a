//! Whom requests go to.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use mosshead_registry::{OperState, Server, Stage};
use mosshead_routing::{Prompt, RetryBudgetLimits, Router, RoutingWeights, ServerFailure};
use rand_pcg::Pcg64Mcg;

fn server(id: &str, service: &str, stage: Option<Stage>) -> Server {
    Server {
        id: id.into(),
        service: service.into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "here".into(),
        software_revision: "v1".into(),
        slots: 64,
        state: OperState::Up,
        is_suspected: false,
        warmup_left_ms: 0,
        stage,
        models: Vec::new(),
        sequence: 1,
    }
}

fn router(servers: &[Server]) -> Router<Pcg64Mcg> {
    let budget = RetryBudgetLimits { retry_ratio: 0.2, extra_retries: 52.0, window: Duration::from_secs(10) };
    let mut router = Router::new(RoutingWeights::new(budget), "here", Pcg64Mcg::new(7));
    router.update_servers(servers.iter());
    router
}

fn engines() -> Vec<Server> {
    let readers = (0..4).map(|at| server(&format!("r{at}"), "llm", Some(Stage::Prefill)));
    let runners = (0..5).map(|at| server(&format!("d{at}"), "llm", Some(Stage::Decode)));
    readers.chain(runners).collect()
}

fn prompt(tokens: f64, shared: u64) -> Prompt {
    let parts = vec![(1, 500.0), (shared, 4000.0), (999, tokens - 4500.0)];
    Prompt { tokens, parts, answer: 40.0, model: "m".into() }
}

#[test]
fn the_lower_of_two_gets_the_request() {
    let servers = [server("a", "s", None), server("b", "s", None)];
    let mut router = router(&servers);
    (0..3).for_each(|_| router.runs("a"));
    for _ in 0..50 {
        assert_eq!(router.one(0, "s", &[]).as_deref(), Some("b"));
    }
    (0..3).for_each(|_| router.has_run("a"));
    router.runs("b");
    assert_eq!(router.one(0, "s", &[]).as_deref(), Some("a"));
}

#[test]
fn with_one_ready_server_it_goes_there_and_with_none_nowhere() {
    let mut router = router(&[server("a", "s", None)]);
    assert_eq!(router.one(0, "s", &[]).as_deref(), Some("a"));
    assert_eq!(router.one(0, "s", &[Rc::from("a")]), None);
    assert_eq!(router.one(0, "other", &[]), None);
}

#[test]
fn ties_fall_evenly_over_all() {
    let servers: Vec<_> = (0..5).map(|at| server(&format!("s{at}"), "s", None)).collect();
    let mut router = router(&servers);
    let mut counts: HashMap<Rc<str>, u32> = HashMap::new();
    for _ in 0..5000 {
        *counts.entry(router.one(0, "s", &[]).expect("one")).or_default() += 1;
    }
    assert!(counts.len() == 5 && counts.values().all(|count| (850..1150).contains(count)), "{counts:?}");
}

#[test]
fn draining_and_gone_servers_get_nothing() {
    let mut servers = [server("a", "s", None), server("b", "s", None), server("c", "s", None)];
    servers[0].state = OperState::Draining;
    servers[1].state = OperState::Removed;
    let mut router = router(&servers);
    assert!((0..100).all(|_| router.one(0, "s", &[]).as_deref() == Some("c")));
    servers[2].state = OperState::Draining;
    router.update_servers(servers.iter());
    assert_eq!(router.one(0, "s", &[]), None);
}

#[test]
fn a_server_that_fails_fast_is_left_alone_though_it_looks_idle() {
    let servers = [server("a", "s", None), server("b", "s", None), server("c", "s", None)];
    let mut router = router(&servers);
    router.runs("b");
    router.runs("c");
    (0..3).for_each(|_| router.failed(10, "a", ServerFailure::Failed));
    assert!((0..100).all(|_| router.one(20, "s", &[]).as_deref() != Some("a")));
}

#[test]
fn silent_servers_are_the_last_resort() {
    let mut servers = [server("a", "s", None), server("b", "s", None)];
    servers[0].is_suspected = true;
    let mut router = router(&servers);
    assert!((0..50).all(|_| router.one(0, "s", &[]).as_deref() == Some("b")));
    assert_eq!(router.one(0, "s", &[Rc::from("b")]).as_deref(), Some("a"));
}

#[test]
fn prompts_that_share_a_part_meet_at_the_same_two_readers() {
    let mut router = router(&engines());
    let mut seen = std::collections::HashSet::new();
    for _ in 0..200 {
        let pair = router.pair(0, "llm", &prompt(60_000.0, 77), &[]).expect("a pair");
        if let Some(reader) = pair.reader {
            router.reads(&reader, 1000.0);
            seen.insert(reader);
        }
    }
    assert_eq!(seen.len(), 2);
}

#[test]
fn all_proxies_draw_the_same_homes() {
    let reader = |seed| {
        let budget =
            RetryBudgetLimits { retry_ratio: 0.2, extra_retries: 52.0, window: Duration::from_secs(10) };
        let mut router = Router::new(RoutingWeights::new(budget), "here", Pcg64Mcg::new(seed));
        router.update_servers(engines().iter());
        let mut seen: Vec<_> = (0..60)
            .filter_map(|_| {
                let reader = router.pair(0, "llm", &prompt(60_000.0, 5), &[])?.reader?;
                router.reads(&reader, 10.0);
                Some(reader)
            })
            .collect();
        seen.sort();
        seen.dedup();
        seen
    };
    assert_eq!(reader(1), reader(2));
}

#[test]
fn a_short_prompt_is_read_where_it_is_generated_and_a_long_one_is_handed_over() {
    let mut router = router(&engines());
    let short = Prompt { tokens: 200.0, parts: vec![(1, 200.0)], answer: 10.0, model: "m".into() };
    assert_eq!(router.pair(0, "llm", &short, &[]).expect("a pair").reader, None);
    assert!(router.pair(0, "llm", &prompt(60_000.0, 5), &[]).expect("a pair").reader.is_some());
}

#[test]
fn without_readers_those_that_generate_read_themselves() {
    let servers: Vec<_> = engines().into_iter().filter(|one| one.stage == Some(Stage::Decode)).collect();
    let mut router = router(&servers);
    let pair = router.pair(0, "llm", &prompt(60_000.0, 5), &[]).expect("a pair");
    assert_eq!(pair.reader, None);
}

#[test]
fn a_server_that_leaves_the_list_is_counted_down_and_forgotten() {
    let servers = [server("a", "s", None), server("b", "s", None)];
    let mut router = router(&servers);
    router.runs("a");
    router.update_servers(servers[1..].iter());
    assert!(router.board().get("a").is_some(), "a request is still out there");
    router.has_run("a");
    router.update_servers(servers[1..].iter());
    assert!(router.board().get("a").is_none());
}

#[test]
fn a_long_answer_does_not_go_on_beside_the_reading_of_others() {
    let mut router = router(&engines());
    let long = Prompt { tokens: 200.0, parts: vec![(1, 200.0)], answer: 400.0, model: "m".into() };
    let pair = router.pair(0, "llm", &long, &[]).expect("a pair");
    assert!(pair.reader.is_some());
}

#[test]
fn where_readers_are_many_they_read_everything() {
    let readers = (0..6).map(|at| server(&format!("r{at}"), "llm", Some(Stage::Prefill)));
    let runners = (0..3).map(|at| server(&format!("d{at}"), "llm", Some(Stage::Decode)));
    let mut router = router(&readers.chain(runners).collect::<Vec<_>>());
    let short = Prompt { tokens: 200.0, parts: vec![(1, 200.0)], answer: 10.0, model: "m".into() };
    assert!(router.pair(0, "llm", &short, &[]).expect("a pair").reader.is_some());
}

/// A prompt was read for 2.7 s; the server named to generate had said meanwhile that it leaves.
#[test]
fn who_begins_to_leave_while_the_prompt_is_read_gets_nothing_any_more() {
    let mut servers = engines();
    let mut router = router(&servers);
    for _ in 0..50 {
        let pair = router.pair(0, "llm", &prompt(60_000.0, 5), &[]).expect("a pair");
        let named = servers.iter_mut().find(|one| one.id == *pair.runner).expect("it is listed");
        named.state = OperState::Draining;
        router.update_servers(servers.iter());
        let runner = router.runner(2700, "llm", &pair, &[]).expect("another");
        let runner = servers.iter().find(|one| one.id == *runner).expect("it is listed");
        assert_eq!((runner.state, runner.stage), (OperState::Up, Some(Stage::Decode)));
        servers.iter_mut().for_each(|one| one.state = OperState::Up);
        router.update_servers(servers.iter());
    }
}

#[test]
fn who_stays_keeps_the_run_that_it_was_named_for() {
    let mut router = router(&engines());
    let pair = router.pair(0, "llm", &prompt(60_000.0, 5), &[]).expect("a pair");
    assert_eq!(router.runner(2700, "llm", &pair, &[]), Some(pair.runner.clone()));
    router.failed(2700, &pair.runner, ServerFailure::Unreachable);
    assert_ne!(router.runner(2701, "llm", &pair, &[]), Some(pair.runner));
}
