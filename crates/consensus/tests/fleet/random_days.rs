//! Random days and storms of many seeds violate no rule, and the fleet comes back each time. `CONSENSUS_DAYS` and
//! `CONSENSUS_STORMS` add that many, `CONSENSUS_SEED` plays one alone, and `CONSENSUS_TRACE` prints all that happens.

use mosshead_consensus::InjectedFault;

use crate::simulation::Simulation;
use crate::{random_day, random_storm};

type Play = fn(u64, Option<InjectedFault>) -> Result<Simulation, String>;

fn play_all(play: Play, seeds: std::ops::Range<u64>, min_accepted_per_seed: u64) {
    let (mut accepted, mut violations) = (0, Vec::new());
    for seed in seeds.clone() {
        match play(seed, None) {
            Ok(simulation) => accepted += simulation.checker.accepted_count,
            Err(violation) => violations.push(violation),
        }
    }
    assert!(violations.is_empty(), "{} of the days:\n{}", violations.len(), violations.join("\n"));
    assert!(accepted >= min_accepted_per_seed * (seeds.end - seeds.start), "{accepted} changes");
}

fn number_from_env(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn the_day_of_one_seed_violates_no_rule() {
    let seed = number_from_env("CONSENSUS_SEED").unwrap_or(1);
    if let Err(violation) = random_day::play(seed, None) {
        panic!("{violation}");
    }
}

#[test]
fn days_0_to_250_violate_no_rule() {
    play_all(random_day::play, 0..250, 20);
}

#[test]
fn days_250_to_500_violate_no_rule() {
    play_all(random_day::play, 250..500, 20);
}

#[test]
fn days_500_to_750_violate_no_rule() {
    play_all(random_day::play, 500..750, 20);
}

#[test]
fn days_750_to_1000_violate_no_rule() {
    play_all(random_day::play, 750..1_000, 20);
}

#[test]
fn storms_0_to_200_violate_no_rule() {
    play_all(random_storm::play, 0..200, 10);
}

#[test]
fn storms_200_to_400_violate_no_rule() {
    play_all(random_storm::play, 200..400, 10);
}

#[test]
fn the_storm_of_one_seed_violates_no_rule() {
    let seed = number_from_env("CONSENSUS_SEED").unwrap_or(1);
    if let Err(violation) = random_storm::play(seed, None) {
        panic!("{violation}");
    }
}

#[test]
fn additional_days_and_storms_violate_no_rule() {
    let wanted = |name: &str| number_from_env(name).unwrap_or(0);
    play_all(random_day::play, 1_000..1_000 + wanted("CONSENSUS_DAYS"), 0);
    play_all(random_storm::play, 400..400 + wanted("CONSENSUS_STORMS"), 0);
}
