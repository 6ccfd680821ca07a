//! Random runs of many seeds violate no invariant. `FLEET_DAYS` sets the number of additional runs;
//! `FLEET_SEED` selects the seed of the single run.

use crate::checker::Counts;
use crate::random_run;
use crate::simulation::InjectedFaults;

const RUNS_PER_TEST: u64 = 500;

fn run_all(seeds: std::ops::Range<u64>) {
    let mut totals = Counts::default();
    let mut violations = Vec::new();
    for seed in seeds.clone() {
        match random_run::run(seed, InjectedFaults::default()) {
            Ok(simulation) => totals += simulation.checker.counts,
            Err(description) => violations.push(description),
        }
    }
    let Counts { accepted, repeats, rejections, read_backs, configs_in_force, assignments, shutdown_checks } =
        totals;
    println!(
        "runs {seeds:?}: {accepted} changes accepted, {repeats} repeats accepted, {rejections} rejected as stale, \
         {read_backs} read-backs, {configs_in_force} configurations in force, {assignments} stage assignments, \
         {shutdown_checks} shutdowns checked"
    );
    assert!(violations.is_empty(), "{} of the runs {seeds:?}:\n{}", violations.len(), violations.join("\n"));
    let count = seeds.end - seeds.start;
    assert!(accepted >= 20 * count, "{accepted} changes");
    assert!(shutdown_checks >= 5 * count, "{shutdown_checks} shutdowns");
    assert!(assignments >= count / 4, "{assignments} assignments");
}

fn number_from_env(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn the_run_of_one_seed_violates_no_invariant() {
    if let Err(description) =
        random_run::run(number_from_env("FLEET_SEED").unwrap_or(1), InjectedFaults::default())
    {
        panic!("{description}");
    }
}

#[test]
fn random_runs_of_the_first_range_violate_no_invariant() {
    run_all(0..RUNS_PER_TEST);
}

#[test]
fn random_runs_of_the_second_range_violate_no_invariant() {
    run_all(RUNS_PER_TEST..2 * RUNS_PER_TEST);
}

#[test]
fn random_runs_of_the_third_range_violate_no_invariant() {
    run_all(2 * RUNS_PER_TEST..3 * RUNS_PER_TEST);
}

#[test]
fn random_runs_of_the_fourth_range_violate_no_invariant() {
    run_all(3 * RUNS_PER_TEST..4 * RUNS_PER_TEST);
}

#[test]
fn additional_random_runs_violate_no_invariant() {
    let additional_runs = number_from_env("FLEET_DAYS").unwrap_or(0);
    let threads = std::thread::available_parallelism().map_or(1, |count| count.get().min(4)) as u64;
    let first = 4 * RUNS_PER_TEST;
    let shares: Vec<_> = (0..threads)
        .map(|share| {
            first + additional_runs * share / threads..first + additional_runs * (share + 1) / threads
        })
        .filter(|share| share.end - share.start >= 100)
        .map(|share| std::thread::spawn(move || run_all(share)))
        .collect();
    assert!(shares.into_iter().all(|share| share.join().is_ok()));
}
