//! Values of a scenario that are out of bounds are rejected, with the key and what is wrong.

use mosshead_world::scenario::{InvalidValue, Problem, Scenario, ScenarioError};
use rstest::rstest;

const CALM: &str = include_str!("../../../scenarios/calm.toml");

fn invalid_value(text: &str) -> InvalidValue {
    match Scenario::read(text) {
        Err(ScenarioError::Invalid(invalid)) => invalid,
        other => panic!("it has to be invalid: {other:?}"),
    }
}

#[rstest]
#[case::load("share = \"30%..45%\"\n", "", "load", Problem::LoadNotGivenOnce)]
#[case::proxies("proxies = \"4..6\"", "proxies = \"0..6\"", "load.proxies", Problem::BelowMinimum(1))]
#[case::length("length = \"40s..50s\"", "length = \"500ms..50s\"", "length", Problem::DayTooShort)]
#[case::tick("[load]", "tick = \"50us\"\n[load]", "tick", Problem::TimeOutOfBounds("100us", "100ms"))]
#[case::zone_name("\"nashville\"", "\"memphis\"", "zones", Problem::DuplicateName("memphis".to_owned()))]
#[case::cores("cores = 3", "cores = 0", "kind \"standard\": cores, slots_per_core", Problem::BelowMinimum(1))]
#[case::speed("\"0.85..1.1\"", "\"0..1.1\"", "kind \"standard\": speed", Problem::NotAbove("0"))]
#[case::congestion("slower = \"2.3", "slower = \"0.3", "kind \"standard\": jam", Problem::CongestionBounds)]
#[case::target(
    "target = \"800ms\"",
    "target = \"9s\"",
    "class \"slot-lookup\": target",
    Problem::TargetOutOfBounds
)]
#[case::key(
    "effect = \"safe\"",
    "effect = \"keyed\"",
    "class \"slot-lookup\": window",
    Problem::DeduplicationWindow
)]
#[case::value("worth = 10", "worth = inf", "class \"book-lesson\": worth", Problem::NotFiniteOrNegative)]
fn a_value_out_of_bounds_is_rejected(
    #[case] valid: &str,
    #[case] invalid: &str,
    #[case] path: &str,
    #[case] problem: Problem,
) {
    assert!(CALM.contains(valid), "{valid}");
    let expected = InvalidValue { path: path.to_owned(), problem };
    assert_eq!(invalid_value(&CALM.replacen(valid, invalid, 1)), expected);
}

#[rstest]
#[case::share("fault = \"hang\"\npart = \"150%\"", "part", Problem::AboveMaximum("100%"))]
#[case::interval("fault = \"hang\"\nevery = \"0us\"", "every", Problem::TooShort("1ms"))]
#[case::first("fault = \"hang\"\nafter = \"up\"", "after", Problem::NoFaultBefore)]
#[case::rate("fault = \"narrow\"", "bytes", Problem::MissingRate)]
fn an_invalid_fault_is_rejected(#[case] fault: &str, #[case] key: &str, #[case] problem: Problem) {
    let text = format!("{CALM}\n[[trouble]]\nat = \"1s\"\n{fault}\n");
    assert_eq!(invalid_value(&text), InvalidValue { path: format!("trouble 1: {key}"), problem });
}
