//! The checkers of the links on real processes: each catches the program that is wrong on purpose.

use std::time::Duration;

use mosshead_emulator::Options;
use mosshead_rig::invariants::Law;
use mosshead_rig::{FleetDay, play};
use mosshead_world::scenario::Scenario;
use rstest::rstest;

/// Short days in which each law has its occasion: replaced servers, errors, discovery with old state, restarts.
fn day(fault: &str) -> FleetDay {
    let text = include_str!("../../../scenarios/back-restored.toml");
    let text = text.replace("length = \"14s\"", "length = \"9s\"").replace("proxies = 12", "proxies = 6");
    let errors = "errors = \"10%\"\nconnections = { work = \"2ms\" }";
    let text = text.replace("connections = { work = \"2ms\" }", errors);
    let scenario = Scenario::read(&text).expect("a scenario");
    let command = vec![env!("CARGO_BIN_EXE_mosshead-faulty-proxy").to_owned(), fault.to_owned()];
    let mut options = Options::new(1, command);
    options.late_limit = Duration::from_millis(400);
    let day = play(&scenario, &options, |_, _| {}).expect("a day");
    assert!(!day.played.void, "{:?}", day.played.lateness);
    day
}

#[rstest]
#[case::old_list("takes-old-lists", Law::ListGoesForward)]
#[case::drains("ignores-drains", Law::KeepsDrains)]
#[case::twice("resends", Law::SentOnce)]
fn a_wrong_program_is_caught(#[case] fault: &str, #[case] law: Law) {
    let day = day(fault);
    assert!(day.breaches.iter().any(|breach| breach.law == law), "{:?}", day.breaches);
}

#[test]
fn the_right_one_passes() {
    let day = day("none");
    assert_eq!(day.breaches, []);
}
