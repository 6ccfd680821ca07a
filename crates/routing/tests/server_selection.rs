//! Server selection for requests without a prompt, and the selection of a server pair for prompts.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use mosshead_registry::{OperState, Server, Stage};
use mosshead_routing::{Prompt, PromptPart, RetryBudgetLimits, Router, RoutingWeights, ServerFailure};
use mosshead_time::{Duration, Instant};
use rand_pcg::Pcg64Mcg;

const START: Instant = Instant::ORIGIN;
const MAX_EVENT_GAP: Duration = Duration::from_millis(1_200);

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn server(id: &str, service: &str, stage: Option<Stage>) -> Server {
    Server {
        id: id.into(),
        service: service.into(),
        address: "10.0.0.1:80".parse().expect("the address is valid"),
        zone: "here".into(),
        software_revision: "v1".into(),
        slots: 64,
        state: OperState::Up,
        is_suspected: false,
        warmup_remaining: Duration::ZERO,
        stage,
        models: Vec::new(),
        sequence: 1,
    }
}

fn seeded_router(servers: &[Server], seed: u128) -> Router<Pcg64Mcg> {
    let window = Duration::from_secs(10);
    let limits = RetryBudgetLimits { retry_ratio: 0.2, extra_retries: 52.0, window };
    let mut router = Router::new(RoutingWeights::new(limits), "here", Pcg64Mcg::new(seed));
    router.update_servers(servers.iter());
    router
}

fn router(servers: &[Server]) -> Router<Pcg64Mcg> {
    seeded_router(servers, 7)
}

fn llm_servers_of(prefill_count: usize, decode_count: usize) -> Vec<Server> {
    let prefill = (0..prefill_count).map(|index| server(&format!("r{index}"), "llm", Some(Stage::Prefill)));
    let decode = (0..decode_count).map(|index| server(&format!("d{index}"), "llm", Some(Stage::Decode)));
    prefill.chain(decode).collect()
}

fn llm_servers() -> Vec<Server> {
    llm_servers_of(4, 5)
}

fn prompt_part(id: u64, tokens: f64) -> PromptPart {
    PromptPart { id, tokens }
}

/// A prompt whose last shared part has this id.
fn prompt(tokens: f64, shared_part_id: u64) -> Prompt {
    let parts =
        vec![prompt_part(1, 500.0), prompt_part(shared_part_id, 4000.0), prompt_part(999, tokens - 4500.0)];
    Prompt { tokens, parts, max_output_tokens: 40.0, max_event_gap: MAX_EVENT_GAP }
}

/// A prompt of 200 tokens without a shared part.
fn short_prompt(max_output_tokens: f64) -> Prompt {
    unshared_prompt(200.0, max_output_tokens)
}

/// A prompt without a shared part.
fn unshared_prompt(tokens: f64, max_output_tokens: f64) -> Prompt {
    Prompt { tokens, parts: vec![prompt_part(1, tokens)], max_output_tokens, max_event_gap: MAX_EVENT_GAP }
}

/// True if the prompt is handed over from a prefill server to a decode server.
fn is_handed_over(router: &mut Router<Pcg64Mcg>, now: Instant, prompt: &Prompt) -> bool {
    router.select_pair(now, "llm", prompt, &[]).expect("a pair").prefill.is_some()
}

/// Records 500 requests of a service with this prefill speed and this handover latency.
fn observe_handovers(router: &mut Router<Pcg64Mcg>, now: Instant, tokens_per_milli: f64, handover: Duration) {
    for index in (0..200).cycle().take(500) {
        let observed = unshared_prompt(100.0 + 40.0 * f64::from(index), 10.0);
        let prefill = Duration::from_secs_f64(observed.tokens / tokens_per_milli / 1_000.0);
        router.record_prefill_latency("llm", &observed, prefill);
        router.record_handover_latency(now, "llm", &observed, handover);
    }
}

#[test]
fn the_less_loaded_of_two_servers_gets_the_request() {
    let servers = [server("a", "s", None), server("b", "s", None)];
    let mut router = router(&servers);
    (0..3).for_each(|_| router.start_request("a"));
    for _ in 0..50 {
        assert_eq!(router.select_server(START, "s", &[]).as_deref(), Some("b"));
    }
    (0..3).for_each(|_| router.finish_request("a"));
    router.start_request("b");
    assert_eq!(router.select_server(START, "s", &[]).as_deref(), Some("a"));
}

#[test]
fn a_request_goes_to_the_only_ready_server_and_nowhere_if_there_is_none() {
    let mut router = router(&[server("a", "s", None)]);
    assert_eq!(router.select_server(START, "s", &[]).as_deref(), Some("a"));
    assert_eq!(router.select_server(START, "s", &[Rc::from("a")]), None);
    assert_eq!(router.select_server(START, "other", &[]), None);
}

#[test]
fn ties_are_broken_evenly_among_all_servers() {
    let servers: Vec<_> = (0..5).map(|index| server(&format!("s{index}"), "s", None)).collect();
    let mut router = router(&servers);
    let mut counts: HashMap<Rc<str>, u32> = HashMap::new();
    for _ in 0..5000 {
        *counts.entry(router.select_server(START, "s", &[]).expect("a server is selected")).or_default() += 1;
    }
    assert!(counts.len() == 5 && counts.values().all(|count| (850..1150).contains(count)), "{counts:?}");
}

#[test]
fn draining_and_removed_servers_get_no_requests() {
    let mut servers = [server("a", "s", None), server("b", "s", None), server("c", "s", None)];
    servers[0].state = OperState::Draining;
    servers[1].state = OperState::Removed;
    let mut router = router(&servers);
    assert!((0..100).all(|_| router.select_server(START, "s", &[]).as_deref() == Some("c")));
    servers[2].state = OperState::Draining;
    router.update_servers(servers.iter());
    assert_eq!(router.select_server(START, "s", &[]), None);
}

#[test]
fn a_server_that_fails_fast_is_ejected_although_it_has_the_lowest_load() {
    let servers = [server("a", "s", None), server("b", "s", None), server("c", "s", None)];
    let mut router = router(&servers);
    router.start_request("b");
    router.start_request("c");
    (0..3).for_each(|_| router.record_failure(at(10), "a", ServerFailure::ErrorResponse));
    assert!((0..100).all(|_| router.select_server(at(20), "s", &[]).as_deref() != Some("a")));
}

#[test]
fn suspected_servers_are_selected_only_if_there_is_no_other() {
    let mut servers = [server("a", "s", None), server("b", "s", None)];
    servers[0].is_suspected = true;
    let mut router = router(&servers);
    assert!((0..50).all(|_| router.select_server(START, "s", &[]).as_deref() == Some("b")));
    assert_eq!(router.select_server(START, "s", &[Rc::from("b")]).as_deref(), Some("a"));
}

#[test]
fn prompts_that_share_a_prefix_go_to_the_same_two_prefill_servers() {
    let mut router = router(&llm_servers());
    let mut selected = HashSet::new();
    for _ in 0..200 {
        let pair = router.select_pair(START, "llm", &prompt(60_000.0, 77), &[]).expect("a pair");
        if let Some(prefill) = pair.prefill {
            router.start_prefill(&prefill, 1000.0);
            selected.insert(prefill);
        }
    }
    assert_eq!(selected.len(), 2);
}

#[test]
fn all_proxies_select_the_same_home_servers_for_a_prefix() {
    let home_servers = |seed| {
        let mut router = seeded_router(&llm_servers(), seed);
        let mut selected: Vec<_> = (0..60)
            .filter_map(|_| {
                let pair = router.select_pair(START, "llm", &prompt(60_000.0, 5), &[])?;
                let prefill = pair.prefill?;
                router.start_prefill(&prefill, 10.0);
                Some(prefill)
            })
            .collect();
        selected.sort();
        selected.dedup();
        selected
    };
    assert_eq!(home_servers(1), home_servers(2));
}

#[test]
fn a_short_prompt_is_prefilled_by_its_decode_server_and_a_long_one_is_handed_over() {
    let mut router = router(&llm_servers());
    assert_eq!(router.select_pair(START, "llm", &short_prompt(10.0), &[]).expect("a pair").prefill, None);
    let long = router.select_pair(START, "llm", &prompt(60_000.0, 5), &[]);
    assert!(long.expect("a pair").prefill.is_some());
}

#[test]
fn without_prefill_servers_decode_servers_prefill_prompts_themselves() {
    let mut router = router(&llm_servers_of(0, 5));
    let pair = router.select_pair(START, "llm", &prompt(60_000.0, 5), &[]).expect("a pair");
    assert_eq!(pair.prefill, None);
}

#[test]
fn a_server_that_is_no_longer_listed_is_kept_until_its_requests_end() {
    let servers = [server("a", "s", None), server("b", "s", None)];
    let mut router = router(&servers);
    router.start_request("a");
    router.update_servers(servers[1..].iter());
    assert!(router.endpoints().get("a").is_some(), "a request is still in flight");
    router.finish_request("a");
    router.update_servers(servers[1..].iter());
    assert!(router.endpoints().get("a").is_none());
}

#[test]
fn the_longest_locally_prefilled_prompt_depends_on_engine_speed_and_handover_latency() {
    let longest_local = |tokens_per_milli: f64, handover_millis: u64| {
        let mut router = router(&llm_servers_of(6, 3));
        observe_handovers(&mut router, at(100), tokens_per_milli, Duration::from_millis(handover_millis));
        let is_local =
            |tokens: &&f64| !is_handed_over(&mut router, at(100), &unshared_prompt(**tokens, 10.0));
        let lengths: Vec<f64> = (1..200).map(|index| 50.0 * f64::from(index)).collect();
        lengths.iter().take_while(is_local).last().copied().unwrap_or(0.0)
    };
    // A local prefill takes twice as long as a remote one, plus a fixed time that is assumed as 12 ms until one is
    // observed.
    for (tokens_per_milli, handover_millis, expected) in
        [(60.0, 25, 780.0), (112.0, 45, 3_696.0), (6.0, 60, 288.0), (60.0, 12, 0.0), (600.0, 20, 4_800.0)]
    {
        let longest = longest_local(tokens_per_milli, handover_millis);
        let tolerance = 50.0 + 0.15 * expected;
        assert!((longest - expected).abs() <= tolerance, "{tokens_per_milli} {handover_millis}: {longest}");
    }
}

#[test]
fn short_prompts_are_handed_over_only_while_local_prefills_are_known_to_be_slow() {
    let mut router = router(&llm_servers_of(6, 3));
    let short = short_prompt(10.0);
    assert!(!is_handed_over(&mut router, at(0), &short));
    (0..100).for_each(|_| {
        router.record_local_prefill_latency(at(1_000), "llm", &short, Duration::from_millis(300));
    });
    assert!(is_handed_over(&mut router, at(1_000), &short));
    assert!(!is_handed_over(&mut router, at(60_000), &short), "the learned latency has decayed");
}

#[test]
fn one_slow_stream_does_not_change_where_prompts_are_prefilled() {
    let mut router = router(&llm_servers());
    let short = short_prompt(10.0);
    (0..50).for_each(|_| {
        router.record_local_prefill_latency(at(0), "llm", &short, Duration::from_millis(15));
    });
    router.record_local_prefill_latency(at(1), "llm", &short, Duration::from_secs(4));
    assert!(!is_handed_over(&mut router, at(1), &short));
}

#[test]
fn a_local_prefill_is_limited_to_a_small_share_of_the_longest_event_gap() {
    let mut router = router(&llm_servers());
    observe_handovers(&mut router, at(0), 60.0, Duration::from_millis(400));
    let mut prompt = unshared_prompt(3_000.0, 10.0);
    assert!(!is_handed_over(&mut router, at(0), &prompt));
    prompt.max_event_gap = Duration::from_millis(400);
    assert!(is_handed_over(&mut router, at(0), &prompt));
}

/// During a prefill of 2.7 s, the selected decode server announces that it is draining. It must not get the request.
#[test]
fn a_decode_server_that_begins_to_drain_during_the_prefill_gets_no_request() {
    let mut servers = llm_servers();
    let mut router = router(&servers);
    for _ in 0..50 {
        let pair = router.select_pair(START, "llm", &prompt(60_000.0, 5), &[]).expect("a pair");
        let selected = servers.iter_mut().find(|server| server.id == *pair.decode).expect("it is listed");
        selected.state = OperState::Draining;
        router.update_servers(servers.iter());
        let confirmed =
            router.confirm_decode_server(at(2700), "llm", &pair, &[]).expect("another decode server is up");
        let confirmed = servers.iter().find(|server| server.id == *confirmed).expect("it is listed");
        assert_eq!((confirmed.state, confirmed.stage), (OperState::Up, Some(Stage::Decode)));
        servers.iter_mut().for_each(|server| server.state = OperState::Up);
        router.update_servers(servers.iter());
    }
}

#[test]
fn a_decode_server_that_stays_healthy_keeps_the_request_that_it_was_selected_for() {
    let mut router = router(&llm_servers());
    let pair = router.select_pair(START, "llm", &prompt(60_000.0, 5), &[]).expect("a pair");
    assert_eq!(router.confirm_decode_server(at(2700), "llm", &pair, &[]), Some(pair.decode.clone()));
    router.record_failure(at(2700), &pair.decode, ServerFailure::Unreachable);
    assert_ne!(router.confirm_decode_server(at(2701), "llm", &pair, &[]), Some(pair.decode));
}
