//! Days of many seeds: no rule is broken. `FLEET_DAYS` plays so many more, `FLEET_SEED` one alone.

use crate::random_run;
use crate::simulation::Mutant;

const SHARE: u64 = 500;

fn days(seeds: std::ops::Range<u64>) {
    let (mut accepted, mut orders, mut drains, mut reads) = (0, 0, 0, 0);
    let (mut refusals, mut repeats, mut configurations) = (0, 0, 0);
    let mut broken = Vec::new();
    for seed in seeds.clone() {
        match random_run::play(seed, Mutant::default()) {
            Ok(world) => {
                let ledger = &world.ledger;
                accepted += ledger.accepted_count() as u64;
                (orders, drains, reads) =
                    (orders + ledger.orders, drains + ledger.drain_checks, reads + ledger.reads);
                (refusals, repeats) = (refusals + ledger.refusals, repeats + ledger.repeats);
                configurations += ledger.configurations;
            }
            Err(what) => broken.push(what),
        }
    }
    println!(
        "days {seeds:?}: {accepted} changes accepted, {repeats} repeats accepted, {refusals} refused as stale, \
         {reads} read-backs, {configurations} configurations in force, {orders} orders, {drains} drains looked at"
    );
    assert!(broken.is_empty(), "{} of the days {seeds:?}:\n{}", broken.len(), broken.join("\n"));
    let count = seeds.end - seeds.start;
    assert!(accepted >= 20 * count, "{accepted} changes");
    assert!(drains >= 5 * count, "{drains} drains");
    assert!(orders >= count / 4, "{orders} orders");
}

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn day_of_a_seed() {
    if let Err(what) = random_run::play(number("FLEET_SEED").unwrap_or(1), Mutant::default()) {
        panic!("{what}");
    }
}

#[test]
fn days_of_the_first_share() {
    days(0..SHARE);
}

#[test]
fn days_of_the_second_share() {
    days(SHARE..2 * SHARE);
}

#[test]
fn days_of_the_third_share() {
    days(2 * SHARE..3 * SHARE);
}

#[test]
fn days_of_the_fourth_share() {
    days(3 * SHARE..4 * SHARE);
}

#[test]
fn as_many_days_as_are_wanted() {
    let wanted = number("FLEET_DAYS").unwrap_or(0);
    let threads = std::thread::available_parallelism().map_or(1, |count| count.get().min(4)) as u64;
    let first = 4 * SHARE;
    let shares: Vec<_> = (0..threads)
        .map(|share| first + wanted * share / threads..first + wanted * (share + 1) / threads)
        .filter(|share| share.end - share.start >= 100)
        .map(|share| std::thread::spawn(move || days(share)))
        .collect();
    assert!(shares.into_iter().all(|share| share.join().is_ok()));
}
