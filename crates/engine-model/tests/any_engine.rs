//! The routers and the stage scheduler on engines that nobody has tuned them to, beside the former fixed rule and the best of a
//! grid of fixed rules that knows the engine and every true load.

use mosshead_engine_model::{EngineSpec, Policy, RequestClass, Scenario, simulate};

const SEEDS: [u64; 3] = [11, 12, 13];

/// An engine with 16 slots, as one operator runs it.
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

/// An engine with 64 slots, as two others run it.
fn wide_engine() -> EngineSpec {
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
    SEEDS.iter().map(|seed| simulate(scenario, policy, *seed).in_time).sum::<f64>() / SEEDS.len() as f64
}

fn best_fixed(scenario: &Scenario) -> f64 {
    Policy::fixed_grid()
        .into_iter()
        .map(|policy| simulate(scenario, policy, SEEDS[0]).in_time)
        .fold(0.0, f64::max)
}

/// The adaptive policy is not below the former rule by more than 0.03, and not below the best fixed rule by more than this.
fn assert_holds_up(name: &str, scenario: &Scenario, max_gap: f64) {
    let (adaptive, former) =
        (mean_in_time(scenario, Policy::Adaptive), mean_in_time(scenario, Policy::FORMER));
    let best = best_fixed(scenario);
    println!("{name}: in time adaptive {adaptive:.3}, former rule {former:.3}, best fixed rule {best:.3}");
    assert!(adaptive >= former - 0.03, "{name}: {adaptive:.3}, the former rule {former:.3}");
    assert!(adaptive >= best - max_gap, "{name}: {adaptive:.3}, the best fixed rule {best:.3}");
}

#[test]
fn short_answers_in_few_slots_are_served_as_by_the_best_fixed_rule() {
    assert_holds_up("16 slots", &scenario(engine(), vec![long_prompts(50.0), short_prompts(420.0)]), 0.05);
}

#[test]
fn long_prompts_in_many_slots_are_served_as_by_the_best_fixed_rule() {
    assert_holds_up(
        "64 slots",
        &scenario(wide_engine(), vec![long_prompts(60.0), short_prompts(60.0)]),
        0.05,
    );
}

#[test]
fn engines_ten_times_as_fast_or_slow_are_served() {
    let fast = EngineSpec { prefill_tokens_per_milli: 1_120.0, prefill_fixed_millis: 3.0, ..engine() };
    assert_holds_up("fast", &scenario(fast, vec![long_prompts(60.0), short_prompts(300.0)]), 0.08);
    let slow = EngineSpec { prefill_tokens_per_milli: 11.2, prefill_fixed_millis: 31.0, ..engine() };
    let mut classes = vec![long_prompts(10.0), short_prompts(80.0)];
    classes.iter_mut().for_each(|class| class.target_millis = 2_000.0);
    assert_holds_up("slow", &scenario(slow, classes), 0.08);
}

#[test]
fn servers_with_4_to_128_slots_are_served() {
    for (slots, short) in [(4, 100.0), (8, 240.0), (32, 480.0), (128, 480.0)] {
        let engine = EngineSpec { slots, ..engine() };
        assert_holds_up(
            &format!("{slots} slots"),
            &scenario(engine, vec![long_prompts(20.0), short_prompts(short)]),
            0.08,
        );
    }
}

#[test]
fn slow_links_and_small_caches_are_served() {
    let links = EngineSpec { transfer_fixed_millis: 32.0, transfer_millis_per_token: 0.0032, ..engine() };
    assert_holds_up("slow links", &scenario(links, vec![long_prompts(30.0), short_prompts(300.0)]), 0.08);
    let caches = EngineSpec { cache_tokens: 13_000.0, ..engine() };
    assert_holds_up(
        "two prompts cached",
        &scenario(caches, vec![long_prompts(30.0), short_prompts(400.0)]),
        0.08,
    );
}

#[test]
fn a_mix_that_turns_over_is_followed() {
    let mut turned = scenario(engine(), vec![long_prompts(50.0), short_prompts(60.0)]);
    turned.later_classes = vec![long_prompts(10.0), short_prompts(500.0)];
    turned.length_millis = 60_000.0;
    assert_holds_up("turned over", &turned, 0.12);
}

#[test]
fn few_servers_are_served() {
    for servers in [2, 3, 5] {
        let mut few =
            scenario(engine(), vec![long_prompts(1.0 * servers as f64), short_prompts(6.0 * servers as f64)]);
        few.servers = servers;
        assert_holds_up(&format!("{servers} servers"), &few, 0.12);
    }
}

#[test]
fn the_stages_of_a_steady_service_do_not_swing() {
    let mut steady = scenario(engine(), vec![long_prompts(40.0), short_prompts(270.0)]);
    steady.length_millis = 120_000.0;
    for seed in SEEDS {
        let outcome = simulate(&steady, Policy::Adaptive, seed);
        assert!(outcome.stage_changes <= 5, "{outcome:?}");
    }
}

#[test]
fn a_seed_gives_the_same_outcome_again() {
    let played = scenario(engine(), vec![long_prompts(20.0), short_prompts(100.0)]);
    assert_eq!(simulate(&played, Policy::Adaptive, 5), simulate(&played, Policy::Adaptive, 5));
}
