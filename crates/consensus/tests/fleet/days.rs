//! Random days: no rule is broken, and the fleet comes back each time.

use mosshead_consensus::InjectedFault;

use crate::world::World;
use crate::{day, storm};

type Play = fn(u64, Option<InjectedFault>) -> Result<World, String>;

fn days(play: Play, seeds: std::ops::Range<u64>, least: u64) {
    let (mut taken, mut broken) = (0, Vec::new());
    for seed in seeds.clone() {
        match play(seed, None) {
            Ok(world) => taken += world.checker.taken,
            Err(what) => broken.push(what),
        }
    }
    assert!(broken.is_empty(), "{} of the days:\n{}", broken.len(), broken.join("\n"));
    assert!(taken >= least * (seeds.end - seeds.start), "{taken} changes");
}

/// One day, told whole with `CONSENSUS_TRACE`.
#[test]
fn day_of_a_seed() {
    let seed = std::env::var("CONSENSUS_SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
    if let Err(what) = day::play(seed, None) {
        panic!("{what}");
    }
}

#[test]
fn days_0_to_250() {
    days(day::play, 0..250, 20);
}

#[test]
fn days_250_to_500() {
    days(day::play, 250..500, 20);
}

#[test]
fn days_500_to_750() {
    days(day::play, 500..750, 20);
}

#[test]
fn days_750_to_1000() {
    days(day::play, 750..1_000, 20);
}

#[test]
fn storms_0_to_200() {
    days(storm::play, 0..200, 10);
}

#[test]
fn storms_200_to_400() {
    days(storm::play, 200..400, 10);
}

/// One storm, told whole with `CONSENSUS_TRACE`.
#[test]
fn storm_of_a_seed() {
    let seed = std::env::var("CONSENSUS_SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
    if let Err(what) = storm::play(seed, None) {
        panic!("{what}");
    }
}

/// More of both, as many as `CONSENSUS_DAYS` and `CONSENSUS_STORMS` say.
#[test]
fn hunt() {
    let wanted = |name: &str| std::env::var(name).ok().and_then(|s| s.parse().ok()).unwrap_or(0);
    days(day::play, 1_000..1_000 + wanted("CONSENSUS_DAYS"), 0);
    days(storm::play, 400..400 + wanted("CONSENSUS_STORMS"), 0);
}
