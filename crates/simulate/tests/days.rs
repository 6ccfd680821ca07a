//! Days in virtual time: they are equal wherever they run, each request ends once, and invalid scenarios are rejected.

use mosshead_simulate::policies::PolicyKind;
use mosshead_simulate::policy_host::{PolicyHost, PolicyStart, ProxyEvents, ThreadedPolicyHost};
use mosshead_simulate::{Day, play_day};
use mosshead_world::referee::Rule;
use mosshead_world::scenario::Scenario;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

fn scenario(name: &str) -> Scenario {
    let path = format!("{}/../../scenarios/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    Scenario::read(&std::fs::read_to_string(path).expect("a file")).expect("a scenario")
}

fn day(scenario: &Scenario, seed: u64, kind: PolicyKind, threads: usize) -> Day {
    let mut policies = ThreadedPolicyHost::new(kind, threads);
    play_day(scenario, seed, kind.name(), &mut policies, None, &mut |_, _| {}).expect("a day")
}

/// Guards every comparison: neither the order of a hash map nor threads nor a second run may change a day.
#[rstest]
#[case::churn("churn")]
#[case::resets("resets")]
#[case::restarts("restarts")]
#[case::wide("wide")]
#[case::orders_rolling("orders-rolling")]
fn a_day_is_the_same_to_the_byte_over_runs_and_threads(#[case] name: &str) {
    let scenario = scenario(name);
    let first = day(&scenario, 5, PolicyKind::Mosshead, 1);
    assert!(first.recorded_events > 10_000, "{} events", first.recorded_events);
    for threads in [1, 4] {
        assert_eq!(day(&scenario, 5, PolicyKind::Mosshead, threads), first, "{threads} threads");
    }
    assert_ne!(day(&scenario, 6, PolicyKind::Mosshead, 1).digest, first.digest);
}

/// Guards the rules under every fault of the shipped scenarios.
#[rstest]
fn mosshead_violates_no_rule(
    #[values(
        "calm",
        "churn",
        "cold-fleet",
        "fast-errors",
        "hang",
        "late-reports",
        "neighbour",
        "orders-agent",
        "orders-brim",
        "orders-calm",
        "orders-crash",
        "orders-heavy",
        "orders-neighbour",
        "orders-rolling",
        "orders-stalls",
        "resets",
        "restarts",
        "spoilt",
        "stale-discovery",
        "surge"
    )]
    name: &str,
) {
    let scenario = scenario(name);
    for seed in 1..=3 {
        let day = day(&scenario, seed, PolicyKind::Mosshead, 1);
        assert!(day.is_clean, "seed {seed}: {}", day.violations[0]);
        assert_eq!(day.scorecard.total.open_operations(), 0, "every operation has ended");
    }
}

/// Guards the bounds of comparisons: full knowledge scores higher than none, and no score is above 1.
#[test]
fn the_oracle_scores_higher_than_random_selection() {
    let scenario = scenario("neighbour");
    let mean = |kind| (1..=4).map(|seed| day(&scenario, seed, kind, 1).score).sum::<f64>() / 4.0;
    let (oracle, random) = (mean(PolicyKind::Oracle), mean(PolicyKind::Random));
    assert!(oracle > random + 0.02 && oracle <= 1.0, "{oracle} and {random}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// At every instant of a random day with faults, each request received has ended once or is open.
    #[test]
    fn each_request_ends_exactly_once_at_any_instant(seed in 0_u64..1_000_000, name in prop::sample::select(
        vec!["churn", "resets", "restarts", "surge", "stale-discovery", "spoilt"],
    )) {
        use mosshead_world::events::EventKind;
        use std::cell::RefCell;
        use std::collections::HashSet;
        use std::rc::Rc;

        let mut scenario = scenario(name);
        scenario.length = mosshead_world::units::ValueRange::single(mosshead_world::Time::from_millis(14_000));
        scenario.clients.early_leave_share = mosshead_world::units::ValueRange::single(mosshead_world::units::Fraction(0.05));
        let counts: Rc<RefCell<(HashSet<u64>, u64, u64)>> = Rc::default();
        let shared_counts = counts.clone();
        let listener = move |event: &mosshead_world::events::Event| {
            let (open, received, ended) = &mut *shared_counts.borrow_mut();
            match event.kind {
                EventKind::RequestReceived { request, .. } => {
                    assert!(open.insert(request.0), "{} was received twice", request.0);
                    *received += 1;
                }
                EventKind::ResponseSent { request, .. } | EventKind::ClientTimedOut { request } => {
                    assert!(open.remove(&request.0), "{} ended twice, or was never received", request.0);
                    *ended += 1;
                }
                _ => {}
            }
            assert_eq!(*received, *ended + open.len() as u64);
        };
        let mut policies = ThreadedPolicyHost::new(PolicyKind::Mosshead, 1);
        let day = play_day(&scenario, seed, "mosshead", &mut policies, Some(Box::new(listener)), &mut |_, _| {})
            .expect("a day");
        let (open, received, _) = &*counts.borrow();
        prop_assert_eq!(open.len(), 0);
        prop_assert_eq!(*received, day.scorecard.requests);
        prop_assert_eq!(day.scorecard.total.open_operations(), 0);
    }
}

/// Guards authors of scenarios: the message names the line or the key, and says what to write.
#[rstest]
#[case::unknown("length = \"40s..50s\"", "lenght = \"40s..50s\"", "unknown field `lenght`")]
#[case::no_unit("length = \"40s..50s\"", "length = 40", "needs a unit of time")]
#[case::no_percent("share = \"30%..45%\"", "share = \"0.3\"", "needs `%`")]
#[case::twice("name = \"older\"", "name = \"standard\"", "kind.name: the name \"standard\" is used twice")]
#[case::target("target = \"800ms\"", "target = \"9s\"", "class \"slot-lookup\": target")]
#[case::both("share = \"30%..45%\"", "share = \"30%\"\nrate = \"5/s\"", "load: give either")]
#[case::backwards("length = \"40s..50s\"", "length = \"50s..40s\"", "starts above its end")]
fn the_error_of_an_invalid_scenario_names_the_line_or_the_key(
    #[case] old: &str,
    #[case] new: &str,
    #[case] message: &str,
) {
    let text = include_str!("../../../scenarios/calm.toml");
    assert!(text.contains(old));
    let error = Scenario::read(&text.replacen(old, new, 1)).expect_err("it is invalid").to_string();
    assert!(error.contains(message), "{error}");
    assert!(error.contains("line ") || error.contains(": "), "{error}");
}

/// Guards days whose policies run in worker processes.
#[test]
fn a_policy_in_a_worker_process_returns_the_same_actions() {
    use mosshead_decide::interface::*;
    let settings = {
        let world = mosshead_world::World::new(&scenario("calm"), 1);
        mosshead_simulate::proxy_settings::to_json(&world, 0).to_string()
    };
    let (request, mut worker_input) = (
        Event::RequestReceived(Request { id: RequestId(1), time_left: 1.0, class: ClassId(0), tenant: None }),
        Vec::new(),
    );
    let entry = ListEntry {
        endpoint: EndpointId(0),
        readiness: Readiness::Ready,
        zone: ZoneId(0),
        kind: MachineKindId(0),
        group: GroupId(0),
        weight: 1.0,
        started_at: None,
    };
    let events = vec![Event::ListUpdated(ListUpdate::Saved(vec![entry])), request];
    let tick_events = vec![ProxyEvents { proxy: 3, events }];
    mosshead_simulate::policy_host::write_requests(
        &mut worker_input,
        (3, &settings, 7),
        (2.0, tick_events.clone()),
    )
    .expect("requests are written");
    let mut worker_output = Vec::new();
    mosshead_simulate::policy_host::serve(PolicyKind::Mosshead, &worker_input[..], &mut worker_output)
        .expect("the worker serves them");
    let mut local_host = ThreadedPolicyHost::new(PolicyKind::Mosshead, 1);
    local_host.start_policy(3, &settings, 7, PolicyStart::Fresh).expect("valid settings");
    let actions = local_host.run_tick(2.0, tick_events, &[]).expect("a tick");
    assert!(actions[0].actions.iter().any(|action| matches!(action, Action::Send { .. })));
    assert_eq!(worker_output[8..], postcard::to_stdvec(&actions).expect("bytes"));
}

/// Guards readers of `--json`: its keys are older than the names of the fields, and stay.
#[test]
fn the_json_of_a_day_keeps_its_keys() {
    let day = day(&scenario("calm"), 1, PolicyKind::Mosshead, 1);
    let json = serde_json::to_value(&day).expect("JSON");
    let keys = |value: &serde_json::Value| -> Vec<String> {
        let mut keys: Vec<String> = value.as_object().expect("an object").keys().cloned().collect();
        keys.sort();
        keys
    };
    let day_keys = [
        "broken",
        "digest",
        "events",
        "facts",
        "figure",
        "kept",
        "ledger",
        "length_s",
        "policy",
        "proxies",
        "scenario",
        "seed",
        "violations",
    ];
    assert_eq!(keys(&json), day_keys);
    let ledger_keys = [
        "all",
        "asked_discovery",
        "attempts",
        "classes",
        "fell",
        "jams",
        "opened",
        "probes",
        "seconds",
        "tenants",
        "tries",
        "wasted",
        "work",
    ];
    assert_eq!(keys(&json["ledger"]), ledger_keys);
    assert_eq!(keys(&json["ledger"]["all"]), ["asked", "earned", "ended", "worth"]);
}

/// Guards readers of `--json`: the names of rules there are older than those of the code, and stay.
#[rstest]
#[case(Rule::AnsweredByDeadline, "answered")]
#[case(Rule::SingleResponse, "one-answer")]
#[case(Rule::GenuineResponse, "genuine")]
#[case(Rule::NoRepeatedExecution, "never-twice")]
#[case(Rule::RejectedOnlyIfNotExecuted, "honest-refusal")]
#[case(Rule::NothingToDrainingServers, "drains")]
#[case(Rule::NoColdServerCollapses, "cold-servers")]
#[case(Rule::RequestUnchanged, "intact")]
#[case(Rule::AttemptLimit, "attempts")]
#[case(Rule::NothingAfterResponse, "finished")]
#[case(Rule::ProxyKeepsRunning, "alive")]
fn the_json_of_a_rule_keeps_its_name(#[case] rule: Rule, #[case] name: &str) {
    assert_eq!(serde_json::to_value(rule).expect("JSON"), name);
}
