//! The checkers of links on real processes: each finds the fault of a proxy that is started with one.

use std::time::Duration;

use mosshead_emulator::EmulationOptions;
use mosshead_rig::invariants::Invariant;
use mosshead_rig::{FleetDay, play_fleet_day};
use mosshead_world::scenario::Scenario;
use rstest::rstest;

/// Plays a short day in which each invariant can be violated: replaced servers, errors, discovery with old state, restarts.
fn play_with_fault(fault: &str) -> FleetDay {
    let text = include_str!("../../../scenarios/back-restored.toml");
    let text = text.replace("length = \"14s\"", "length = \"9s\"").replace("proxies = 12", "proxies = 6");
    let errors = "errors = \"10%\"\nconnections = { work = \"2ms\" }";
    let text = text.replace("connections = { work = \"2ms\" }", errors);
    let scenario = Scenario::read(&text).expect("the scenario is valid");
    let command = vec![env!("CARGO_BIN_EXE_mosshead-faulty-proxy").to_owned(), fault.to_owned()];
    let mut options = EmulationOptions::new(1, command);
    options.late_limit = Duration::from_millis(400);
    let day = play_fleet_day(&scenario, &options, |_, _| {}).expect("the day is played");
    assert!(!day.emulated.is_void, "{:?}", day.emulated.lateness);
    day
}

#[rstest]
#[case::older_list("takes-old-lists", Invariant::ListVersionNeverDecreases)]
#[case::drains("ignores-drains", Invariant::HonorsDrains)]
#[case::repeated_request("resends", Invariant::UnsafeRequestSentOnce)]
fn a_faulty_proxy_violates_the_invariant_on_its_links(#[case] fault: &str, #[case] invariant: Invariant) {
    let day = play_with_fault(fault);
    let is_found = day.link_violations.iter().any(|violation| violation.invariant == invariant);
    assert!(is_found, "{:?}", day.link_violations);
}

#[test]
fn a_proxy_without_a_fault_violates_no_invariant() {
    let day = play_with_fault("none");
    assert_eq!(day.link_violations, []);
}
