//! Model checking: explores all states of a few members, a store, and a resource that the members act on. The
//! members run the code of the package itself.

mod random_schedule;
mod scenario;
mod steps;
mod store;
mod world;

use random_schedule::RandomSchedule;
use rstest::rstest;
use scenario::{FaultBudget, Mutant, Scenario};
use stateright::{Checker, HasDiscoveries, Model};
use steps::{ACTS, NO_OLDER_TOKEN, ONE_PERMIT};
use store::LEASE_DURATION;

const NONE: FaultBudget = FaultBudget::NONE;
const WITHOUT_FAULTS: Scenario = Scenario::WITHOUT_FAULTS;

const SUSPENSION: Scenario = Scenario::with_faults(FaultBudget { suspensions: 1, ..NONE });
const LOST_RESPONSE: Scenario = Scenario::with_faults(FaultBudget { lost_responses: 1, ..NONE });
const RESTORE: Scenario = Scenario::with_faults(FaultBudget { restores: 1, ..NONE });
const WATCH_GAP: Scenario = Scenario::with_faults(FaultBudget { watch_gaps: 1, ..NONE });
const LEAVE: Scenario = Scenario::with_faults(FaultBudget { leaves: 1, ..NONE });
const SUSPENSION_AND_GAP: Scenario =
    Scenario::with_faults(FaultBudget { suspensions: 1, watch_gaps: 1, ..NONE });
const GAP_AND_RESTORE: Scenario = Scenario::with_faults(FaultBudget { watch_gaps: 1, restores: 1, ..NONE });

/// The seeds of the random schedules.
const SEEDS: std::ops::Range<u64> = 0..2000;

/// Returns the names of the properties that some state violates.
fn violated_properties(scenario: Scenario) -> Vec<&'static str> {
    let checker = scenario.checker().threads(2).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    let violated = checker.discoveries().into_keys().filter(|name| *name != ACTS).collect();
    assert!(checker.discovery(ACTS).is_some(), "no member ever acts");
    eprintln!("{} states", checker.unique_state_count());
    violated
}

/// With `MOSSHEAD_MODEL=long` each model runs one time step longer, with three members.
fn is_long_form() -> bool {
    std::env::var("MOSSHEAD_MODEL").is_ok_and(|form| form == "long")
}

#[rstest]
#[case::without_faults(WITHOUT_FAULTS)]
#[case::suspension(SUSPENSION)]
#[case::lost_response(LOST_RESPONSE)]
#[case::restore(Scenario { end_time: 4, ..RESTORE })]
#[case::watch_gap(WATCH_GAP)]
#[case::leave(Scenario { end_time: 4, ..LEAVE })]
#[case::suspension_and_gap(Scenario { end_time: 4, ..SUSPENSION_AND_GAP })]
#[case::three_members(Scenario { members: 3, end_time: 3, ..WITHOUT_FAULTS })]
fn at_most_one_member_may_act_in_any_state(#[case] scenario: Scenario) {
    let (end_time, members) =
        if is_long_form() { (scenario.end_time + 1, 3) } else { (scenario.end_time, scenario.members) };
    assert_eq!(violated_properties(Scenario { members, end_time, ..scenario }), [""; 0]);
}

#[rstest]
#[case::any_token(Mutant::AnyTokenIsAccepted, SUSPENSION, NO_OLDER_TOKEN)]
#[case::clock(Mutant::ClockStopsInSuspension, SUSPENSION, ONE_PERMIT)]
#[case::gap(Mutant::WatchGapsAreHidden, GAP_AND_RESTORE, ONE_PERMIT)]
#[case::response(Mutant::PermitCountsFromResponse, WITHOUT_FAULTS, ONE_PERMIT)]
fn each_mutant_violates_its_property(
    #[case] mutant: Mutant,
    #[case] scenario: Scenario,
    #[case] property: &str,
) {
    let violated = violated_properties(Scenario { mutant, ..scenario });
    assert!(violated.contains(&property), "{mutant:?}: {violated:?}");
}

/// Members that are safe only because none ever holds the role would be useless. After the faults have ended,
/// one acts within three lease durations: one for a lease of which nothing is known, one for the wait after a
/// gap, and one for both combined.
#[test]
fn three_members_are_safe_under_all_faults_and_one_acts_after_they_end() {
    for seed in SEEDS {
        let mut schedule = RandomSchedule::run(seed, Mutant::None);
        assert!(schedule.is_safe, "seed {seed}: two members may act");
        assert!(
            schedule.recovers_within(3 * LEASE_DURATION),
            "seed {seed}: no member acts: {:?}",
            schedule.world.members
        );
    }
}

/// This mutant violates a property only after more time than the exhaustive model covers, so it is run on the
/// random schedules.
#[test]
fn a_release_that_ends_any_lease_is_found_on_a_random_schedule() {
    assert!(SEEDS.into_iter().any(|seed| !RandomSchedule::run(seed, Mutant::ReleaseEndsAnyLease).is_safe));
}
