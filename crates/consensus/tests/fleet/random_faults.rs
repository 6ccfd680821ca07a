//! Random faults of many seeds violate no rule, and the fleet recovers each time. `CONSENSUS_DAYS` adds that many seeds
//! with sequential faults, and `CONSENSUS_STORMS` with overlapping ones. `CONSENSUS_SEED` selects the seed of the tests
//! that run one alone, and `CONSENSUS_TRACE` prints all events.

use mosshead_consensus::InjectedFault;

use crate::simulation::Simulation;
use crate::{overlapping_faults, sequential_faults};

type RunSeed = fn(u64, Option<InjectedFault>) -> Result<Simulation, String>;

fn run_all(run_seed: RunSeed, seeds: std::ops::Range<u64>, min_accepted_per_seed: u64) {
    let (mut accepted, mut violations) = (0, Vec::new());
    for seed in seeds.clone() {
        match run_seed(seed, None) {
            Ok(simulation) => accepted += simulation.checker.accepted_count,
            Err(violation) => violations.push(violation),
        }
    }
    assert!(violations.is_empty(), "{} of the seeds:\n{}", violations.len(), violations.join("\n"));
    assert!(accepted >= min_accepted_per_seed * (seeds.end - seeds.start), "{accepted} changes");
}

fn number_from_env(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn sequential_faults_of_one_seed_violate_no_rule() {
    let seed = number_from_env("CONSENSUS_SEED").unwrap_or(1);
    if let Err(violation) = sequential_faults::run_seed(seed, None) {
        panic!("{violation}");
    }
}

#[test]
fn sequential_faults_of_seeds_0_to_250_violate_no_rule() {
    run_all(sequential_faults::run_seed, 0..250, 20);
}

#[test]
fn sequential_faults_of_seeds_250_to_500_violate_no_rule() {
    run_all(sequential_faults::run_seed, 250..500, 20);
}

#[test]
fn sequential_faults_of_seeds_500_to_750_violate_no_rule() {
    run_all(sequential_faults::run_seed, 500..750, 20);
}

#[test]
fn sequential_faults_of_seeds_750_to_1000_violate_no_rule() {
    run_all(sequential_faults::run_seed, 750..1_000, 20);
}

#[test]
fn overlapping_faults_of_seeds_0_to_200_violate_no_rule() {
    run_all(overlapping_faults::run_seed, 0..200, 10);
}

#[test]
fn overlapping_faults_of_seeds_200_to_400_violate_no_rule() {
    run_all(overlapping_faults::run_seed, 200..400, 10);
}

#[test]
fn overlapping_faults_of_one_seed_violate_no_rule() {
    let seed = number_from_env("CONSENSUS_SEED").unwrap_or(1);
    if let Err(violation) = overlapping_faults::run_seed(seed, None) {
        panic!("{violation}");
    }
}

#[test]
fn random_faults_of_additional_seeds_violate_no_rule() {
    let wanted = |name: &str| number_from_env(name).unwrap_or(0);
    run_all(sequential_faults::run_seed, 1_000..1_000 + wanted("CONSENSUS_DAYS"), 0);
    run_all(overlapping_faults::run_seed, 400..400 + wanted("CONSENSUS_STORMS"), 0);
}
