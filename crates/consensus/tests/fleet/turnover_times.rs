//! The time, and the number of epochs, until a fleet is redundant again after losses and planned replacements.

use mosshead_consensus::InjectedFault;
use mosshead_time::Duration;
use mosshead_virtual_fleet::millis;

use crate::fault_actions::FaultAction;
use crate::simulation::AfterShutdown;
use crate::support::{Roles, roles};
use crate::turnover::fleet;

/// The join deadlines of platforms that replace machines quickly, and of usual ones.
const SHORT_JOIN_DEADLINE: Duration = millis(1_500);
const USUAL_JOIN_DEADLINE: Duration = millis(4_000);
/// Newcomers start to join in this time, before the redundancy of the fleet is checked.
const JOIN_START: Duration = millis(300);
const SEEDS: u64 = 300;

/// Measures how long the fleet of a seed is not redundant.
type Measure = fn(u64, Option<InjectedFault>) -> Result<Duration, String>;

/// The times over all seeds.
#[derive(Clone, Copy, Debug)]
struct Percentiles {
    median: Duration,
    /// The 99th percentile.
    p99: Duration,
}

/// The number of epochs that follow the loss of a witness's disk, if the machine is back soon.
fn epochs_after_a_wipe(seed: u64, injected_fault: Option<InjectedFault>) -> Result<u64, String> {
    let mut simulation = fleet(seed, USUAL_JOIN_DEADLINE, 1 + seed as usize % 2, injected_fault)?;
    let Roles { witnesses, .. } = roles(&simulation)?;
    let before = simulation.term_number()?;
    simulation.apply(FaultAction::Wipe(vec![witnesses[0]]));
    let pause = millis(20) + simulation.random_duration_below(millis(150));
    simulation.run(pause)?;
    simulation.start(witnesses[0]);
    simulation.run(millis(1_500))?;
    Ok(simulation.term_number()? - before)
}

/// Two epochs follow, that of the joint configuration and the one after it: the lost disk does not become a member again
/// in between.
#[test]
fn a_disk_that_was_lost_never_becomes_a_member_again() {
    for seed in 0..200 {
        assert_eq!(epochs_after_a_wipe(seed, None), Ok(2), "seed {seed}");
    }
    let comes_back = |seed: &u64| epochs_after_a_wipe(*seed, Some(InjectedFault::StaleNewcomer)) != Ok(2);
    let found = (0..100).filter(comes_back).count();
    assert!(found > 0, "the fault was not detected");
    println!("StaleNewcomer: {found} of 100");
}

/// The time after two losses in a fleet of five, from the start of two newcomers.
fn after_two_losses(seed: u64, injected_fault: Option<InjectedFault>) -> Result<Duration, String> {
    let mut simulation = fleet(seed, SHORT_JOIN_DEADLINE, 2, injected_fault)?;
    simulation.lose_replicas()?;
    let since = simulation.now();
    simulation.start_newcomers(2);
    simulation.run(JOIN_START)?;
    simulation.time_until_redundant(since)
}

/// The same if both lost members were followers: their silence begins at the same instant.
fn after_two_lost_followers(seed: u64, injected_fault: Option<InjectedFault>) -> Result<Duration, String> {
    let mut simulation = fleet(seed, SHORT_JOIN_DEADLINE, 2, injected_fault)?;
    let Roles { backups, witnesses, .. } = roles(&simulation)?;
    let since = simulation.now();
    [backups[0], witnesses[0]].into_iter().for_each(|machine| simulation.remove_machine(machine));
    simulation.start_newcomers(2);
    simulation.run(JOIN_START)?;
    simulation.time_until_redundant(since)
}

/// The same for a fleet of three that has lost its primary.
fn after_a_lost_primary(seed: u64, injected_fault: Option<InjectedFault>) -> Result<Duration, String> {
    let mut simulation = fleet(seed, SHORT_JOIN_DEADLINE, 1, injected_fault)?;
    simulation.lose_replicas()?;
    let since = simulation.now();
    simulation.start_newcomer();
    simulation.run(JOIN_START)?;
    simulation.time_until_redundant(since)
}

/// The same after a planned replacement of one, from the request to shut down.
fn after_a_planned_replacement(seed: u64, injected_fault: Option<InjectedFault>) -> Result<Duration, String> {
    let mut simulation = fleet(seed, USUAL_JOIN_DEADLINE, 1 + seed as usize % 2, injected_fault)?;
    simulation.start_newcomer();
    simulation.run(millis(1_000))?;
    let old = simulation.pick_member()?;
    let since = simulation.now();
    simulation.apply(FaultAction::ShutDown(old, AfterShutdown::Removed));
    simulation.run_until_shut_down(old)?;
    simulation.time_until_redundant(since)
}

fn percentiles(measure: Measure, injected_fault: Option<InjectedFault>) -> Percentiles {
    let measure_seed =
        |seed| measure(seed, injected_fault).unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
    let mut times: Vec<Duration> = (0..SEEDS).map(measure_seed).collect();
    times.sort_unstable();
    let found = Percentiles { median: times[times.len() / 2], p99: times[times.len() * 99 / 100] };
    println!("{injected_fault:?}: {:?}, {:?} in 99 of 100", found.median, found.p99);
    found
}

#[test]
fn two_lost_members_are_replaced_by_one_change() {
    let losses = percentiles(after_two_losses, None);
    assert!(losses.p99 <= millis(1_500), "{losses:?}");
    let together = percentiles(after_two_lost_followers, None);
    let in_turn = percentiles(after_two_lost_followers, Some(InjectedFault::OneNewcomerAtATime));
    assert!(together.median + millis(100) <= in_turn.median, "{together:?}, {in_turn:?}");
}

#[test]
fn the_silence_of_a_lost_primary_counts_from_before_the_take_over() {
    let found = percentiles(after_a_lost_primary, None);
    let faulty = percentiles(after_a_lost_primary, Some(InjectedFault::ForgetSilenceOfMembers));
    assert!(
        found.p99 <= millis(1_200) && found.median + millis(300) <= faulty.median,
        "{found:?}, {faulty:?}"
    );
}

#[test]
fn a_planned_replacement_restores_redundancy_at_once() {
    let found = percentiles(after_a_planned_replacement, None);
    assert!(found.median <= millis(200) && found.p99 <= millis(400), "{found:?}");
}
