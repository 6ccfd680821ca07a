//! Compares the adaptive routers and the stage scheduler, with engines that they are not tuned for, with the earlier
//! fixed policy and with the best one of a grid of fixed policies, which knows the engine and every server's true load.

use mosshead_engine_model::{EngineSpec, Policy, RequestClass, Scenario, simulate};

const SEEDS: [u64; 3] = [11, 12, 13];

/// An engine with 16 slots, as on one operator's servers.
fn engine() -> EngineSpec {
    EngineSpec {
        slots: 16,
        prefill_tokens_per_milli: 112.0,
        prefill_fixed_millis: 31.0,
        step_millis: 3.41,
        step_millis_per_stream: 0.097,
        transfer_fixed_millis: 8.0,
        transfer_millis_per_token: 0.0008,
        cache_tokens: 500_000.0,
        switch_millis: 3_600.0,
    }
}

/// An engine with 64 slots, as on the servers of two other operators.
fn engine_with_64_slots() -> EngineSpec {
    EngineSpec {
        slots: 64,
        prefill_tokens_per_milli: 66.0,
        prefill_fixed_millis: 12.0,
        step_millis: 3.9,
        switch_millis: 860.0,
        ..engine()
    }
}

fn long_prompts(per_second: f64) -> RequestClass {
    RequestClass {
        per_second,
        shared_tokens: 6_000.0,
        shared_parts: 60,
        own_tokens: 3_700.0,
        output_tokens: 110.0,
        target_millis: 500.0,
    }
}

fn short_prompts(per_second: f64) -> RequestClass {
    RequestClass {
        per_second,
        shared_tokens: 90.0,
        shared_parts: 300,
        own_tokens: 290.0,
        output_tokens: 45.0,
        target_millis: 500.0,
    }
}

fn scenario(engine: EngineSpec, classes: Vec<RequestClass>) -> Scenario {
    Scenario {
        engine,
        servers: 24,
        proxies: 8,
        classes,
        later_classes: Vec::new(),
        length_millis: 30_000.0,
        warmup_millis: 6_000.0,
    }
}

fn mean_in_time(scenario: &Scenario, policy: Policy) -> f64 {
    SEEDS.iter().map(|seed| simulate(scenario, policy, *seed).in_time_share).sum::<f64>() / SEEDS.len() as f64
}

fn best_fixed(scenario: &Scenario) -> f64 {
    Policy::fixed_grid()
        .into_iter()
        .map(|policy| simulate(scenario, policy, SEEDS[0]).in_time_share)
        .fold(0.0, f64::max)
}

/// Asserts that the share of requests in time under the adaptive policy is no more than 0.03 below that of the
/// all-remote policy, and no more than `max_gap` below that of the best fixed policy.
fn assert_not_much_worse_than_fixed(name: &str, scenario: &Scenario, max_gap: f64) {
    let (adaptive, all_remote) =
        (mean_in_time(scenario, Policy::Adaptive), mean_in_time(scenario, Policy::ALL_REMOTE));
    let best = best_fixed(scenario);
    println!("{name}: in time: adaptive {adaptive:.3}, all remote {all_remote:.3}, best fixed {best:.3}");
    assert!(adaptive >= all_remote - 0.03, "{name}: adaptive {adaptive:.3}, all remote {all_remote:.3}");
    assert!(adaptive >= best - max_gap, "{name}: adaptive {adaptive:.3}, best fixed {best:.3}");
}

#[test]
fn short_answers_with_few_slots_are_served_as_by_the_best_fixed_policy() {
    assert_not_much_worse_than_fixed(
        "16 slots",
        &scenario(engine(), vec![long_prompts(50.0), short_prompts(420.0)]),
        0.05,
    );
}

#[test]
fn long_prompts_with_many_slots_are_served_as_by_the_best_fixed_policy() {
    assert_not_much_worse_than_fixed(
        "64 slots",
        &scenario(engine_with_64_slots(), vec![long_prompts(60.0), short_prompts(60.0)]),
        0.05,
    );
}

#[test]
fn engines_ten_times_as_fast_or_slow_are_served() {
    let fast = EngineSpec { prefill_tokens_per_milli: 1_120.0, prefill_fixed_millis: 3.0, ..engine() };
    assert_not_much_worse_than_fixed(
        "fast",
        &scenario(fast, vec![long_prompts(60.0), short_prompts(300.0)]),
        0.08,
    );
    let slow = EngineSpec { prefill_tokens_per_milli: 11.2, prefill_fixed_millis: 31.0, ..engine() };
    let mut classes = vec![long_prompts(10.0), short_prompts(80.0)];
    classes.iter_mut().for_each(|class| class.target_millis = 2_000.0);
    assert_not_much_worse_than_fixed("slow", &scenario(slow, classes), 0.08);
}

#[test]
fn servers_with_4_to_128_slots_are_served() {
    for (slots, short) in [(4, 100.0), (8, 240.0), (32, 480.0), (128, 480.0)] {
        let engine = EngineSpec { slots, ..engine() };
        assert_not_much_worse_than_fixed(
            &format!("{slots} slots"),
            &scenario(engine, vec![long_prompts(20.0), short_prompts(short)]),
            0.08,
        );
    }
}

#[test]
fn slow_links_and_small_caches_are_served() {
    let links = EngineSpec { transfer_fixed_millis: 32.0, transfer_millis_per_token: 0.0032, ..engine() };
    assert_not_much_worse_than_fixed(
        "slow links",
        &scenario(links, vec![long_prompts(30.0), short_prompts(300.0)]),
        0.08,
    );
    let caches = EngineSpec { cache_tokens: 13_000.0, ..engine() };
    assert_not_much_worse_than_fixed(
        "two prompts cached",
        &scenario(caches, vec![long_prompts(30.0), short_prompts(400.0)]),
        0.08,
    );
}

#[test]
fn the_adaptive_policy_follows_a_change_of_traffic() {
    let mut changing_traffic = scenario(engine(), vec![long_prompts(50.0), short_prompts(60.0)]);
    changing_traffic.later_classes = vec![long_prompts(10.0), short_prompts(500.0)];
    changing_traffic.length_millis = 60_000.0;
    assert_not_much_worse_than_fixed("change of traffic", &changing_traffic, 0.12);
}

#[test]
fn few_servers_are_served() {
    for servers in [2, 3, 5] {
        let mut few =
            scenario(engine(), vec![long_prompts(1.0 * servers as f64), short_prompts(6.0 * servers as f64)]);
        few.servers = servers;
        assert_not_much_worse_than_fixed(&format!("{servers} servers"), &few, 0.12);
    }
}

#[test]
fn the_stages_of_a_steady_service_do_not_oscillate() {
    let mut steady = scenario(engine(), vec![long_prompts(40.0), short_prompts(270.0)]);
    steady.length_millis = 120_000.0;
    for seed in SEEDS {
        let outcome = simulate(&steady, Policy::Adaptive, seed);
        assert!(outcome.stage_changes <= 5, "{outcome:?}");
    }
}

#[test]
fn a_seed_gives_the_same_outcome_again() {
    let small_scenario = scenario(engine(), vec![long_prompts(20.0), short_prompts(100.0)]);
    assert_eq!(
        simulate(&small_scenario, Policy::Adaptive, 5),
        simulate(&small_scenario, Policy::Adaptive, 5)
    );
}
