//! Planned replacements and restarts of machines, and the losses that the platform may cause right after them: once the
//! platform's join deadline has passed since the start of a machine, it counts as available, and others may be lost.

use mosshead_consensus::{InjectedFault, Timings};
use mosshead_time::Duration;
use mosshead_virtual_fleet::millis;

use crate::fault_actions::FaultAction;
use crate::simulation::{AfterShutdown, Event, Simulation};
use crate::support::{
    COMMIT_TIME, Roles, commit_change, current_primary, ensure, passes, roles, stable_fleet,
};
use crate::turnover::fleet;

/// The times from the start of a machine to the next loss, as platforms may set them.
const JOIN_DEADLINES: [Duration; 3] = [millis(1_500), millis(4_000), millis(6_000)];

/// A planned change of a redundant fleet before the next losses, with the join deadline.
type Scenario = fn(&mut Simulation, Duration) -> Result<(), String>;

/// The new machine has been waiting for a slot when the old one is asked to shut down, and the losses follow right after
/// the end of the old one.
fn replace_with_waiting_newcomer(simulation: &mut Simulation, join_deadline: Duration) -> Result<(), String> {
    simulation.start_newcomer();
    simulation.run(join_deadline)?;
    let old = simulation.pick_member()?;
    simulation.apply(FaultAction::ShutDown(old, AfterShutdown::Removed));
    simulation.run_until_shut_down(old)?;
    if roles(simulation).is_err() {
        // The old machine was primary, and its successor may still be taking over.
        simulation.run(millis(100))?;
    }
    Ok(())
}

/// The new machine starts first, and the old one is asked to shut down within a second.
fn replace_members(simulation: &mut Simulation, join_deadline: Duration) -> Result<(), String> {
    for _ in 0..2 {
        let joined_at = simulation.now() + join_deadline;
        simulation.start_newcomer();
        let pause = simulation.random_duration_below(millis(1_000));
        simulation.run(pause)?;
        let old = simulation.pick_member()?;
        simulation.apply(FaultAction::ShutDown(old, AfterShutdown::Removed));
        simulation.run_until(joined_at)?;
    }
    Ok(())
}

/// The old machine is asked to shut down first, and the new one starts soon after.
fn replace_with_late_newcomer(simulation: &mut Simulation, join_deadline: Duration) -> Result<(), String> {
    let old = simulation.pick_member()?;
    simulation.apply(FaultAction::ShutDown(old, AfterShutdown::Removed));
    let pause = simulation.random_duration_below(millis(600));
    simulation.run(pause)?;
    simulation.start_newcomer();
    simulation.run(join_deadline)
}

/// As many members as the fleet tolerates are lost without notice when their replacements start.
fn lose_members(simulation: &mut Simulation, join_deadline: Duration) -> Result<(), String> {
    simulation.lose_replicas()?;
    simulation.start_newcomers(simulation.tolerated_failures);
    simulation.run(join_deadline)
}

/// All members are restarted in place, one after the other; one of them loses its disk.
fn rolling_restart(simulation: &mut Simulation, join_deadline: Duration) -> Result<(), String> {
    let all = simulation.remaining();
    let wiped = all[simulation.random.index(all.len())];
    for machine in all {
        if machine == wiped {
            simulation.apply(FaultAction::Wipe(vec![machine]));
            let pause = millis(50) + simulation.random_duration_below(millis(400));
            simulation.after(pause, Event::Fault(FaultAction::Start(machine)));
            simulation.run(pause)?;
        } else {
            simulation.apply(FaultAction::ShutDown(machine, AfterShutdown::Restart));
            simulation.run_until_shut_down(machine)?;
            while simulation.node(machine).is_none() {
                simulation.run(millis(5))?;
            }
        }
        simulation.run(join_deadline)?;
    }
    Ok(())
}

/// A machine comes back with an empty disk twice within a second.
fn wipe_twice(simulation: &mut Simulation, join_deadline: Duration) -> Result<(), String> {
    let machine = simulation.pick_member()?;
    for _ in 0..2 {
        simulation.apply(FaultAction::Wipe(vec![machine]));
        let pause = millis(20) + simulation.random_duration_below(millis(300));
        simulation.run(pause)?;
        simulation.start(machine);
        let pause = simulation.random_duration_below(millis(300));
        simulation.run(pause)?;
    }
    simulation.run(join_deadline)
}

/// A newcomer knows three seeds: one was removed, one is cut off from the others and lost in the end, and one is alive.
fn join_by_stale_seeds(simulation: &mut Simulation, join_deadline: Duration) -> Result<(), String> {
    let Roles { primary, backups, witnesses } = roles(simulation)?;
    let (backup, witness) = (backups[0], witnesses[0]);
    simulation.start_newcomer();
    simulation.run(join_deadline)?;
    simulation.apply(FaultAction::ShutDown(witness, AfterShutdown::Removed));
    simulation.run(join_deadline)?;
    let cut_off = [primary, backup][simulation.random.index(2)];
    let live = [primary, backup].into_iter().find(|machine| *machine != cut_off).ok_or("none")?;
    let new = simulation.add_newcomer();
    let seeds = [witness, cut_off, live].map(|machine| simulation.machines[machine].address);
    simulation.machines[new].settings.seeds = seeds.to_vec();
    simulation.machines[new].settings.timings = Timings::for_join_deadline(join_deadline);
    simulation.start(new);
    let others = simulation.remaining().into_iter().filter(|machine| *machine != cut_off && *machine != new);
    let links = others.flat_map(|other| [(other, cut_off), (cut_off, other)]).collect();
    simulation.apply(FaultAction::CutLinks(links));
    simulation.run(join_deadline)?;
    simulation.remove_machine(cut_off);
    Ok(())
}

const SCENARIOS: [Scenario; 7] = [
    replace_with_waiting_newcomer,
    replace_members,
    replace_with_late_newcomer,
    lose_members,
    rolling_restart,
    wipe_twice,
    join_by_stale_seeds,
];

/// Runs a scenario and the losses right after it. The remaining members go on, and no acknowledged change is lost.
fn run_with_losses(
    scenario: Scenario,
    seed: u64,
    join_deadline: Duration,
    injected_fault: Option<InjectedFault>,
) -> Result<Simulation, String> {
    let mut simulation = fleet(seed, join_deadline, 1 + seed as usize % 2, injected_fault)?;
    simulation.add_operators(2 * (seed as usize / 2 % 2));
    scenario(&mut simulation, join_deadline)?;
    simulation.lose_replicas()?;
    simulation.check_liveness()?;
    Ok(simulation)
}

/// Runs several scenarios in a row, each with its losses, whose replacements get the join deadline before the next one.
fn run_several_scenarios(seed: u64, join_deadline: Duration) -> Result<Simulation, String> {
    let mut simulation = fleet(seed, join_deadline, 1 + seed as usize % 2, None)?;
    simulation.add_operators(2);
    for _ in 0..3 {
        let scenario = SCENARIOS[simulation.random.index(SCENARIOS.len())];
        scenario(&mut simulation, join_deadline)?;
        simulation.lose_replicas()?;
        simulation.check_liveness()?;
        simulation.heal();
        simulation.start_newcomers(simulation.tolerated_failures);
        simulation.run(join_deadline)?;
    }
    simulation.lose_replicas()?;
    simulation.check_liveness()?;
    Ok(simulation)
}

fn additional_seeds() -> u64 {
    std::env::var("CONSENSUS_TURNOVERS").ok().and_then(|count| count.parse().ok()).unwrap_or(0)
}

/// The violations over some seeds and all join deadlines.
fn violations(run: impl Fn(u64, Duration) -> Result<Simulation, String>, seeds: u64) -> Vec<String> {
    let cases = (0..seeds).flat_map(|seed| JOIN_DEADLINES.map(|join_deadline| (seed, join_deadline)));
    let violation = |(seed, join_deadline)| {
        let violation = run(seed, join_deadline).err()?;
        Some(format!("seed {seed}, join deadline {join_deadline:?}: {violation:.300}"))
    };
    cases.filter_map(violation).collect()
}

fn tolerates_losses_after(scenario: Scenario) {
    let run = |seed, join_deadline| run_with_losses(scenario, seed, join_deadline, None);
    let found = violations(run, 60 + additional_seeds());
    assert!(found.is_empty(), "{}:\n{}", found.len(), found.join("\n"));
}

fn detects(scenario: Scenario, injected_fault: InjectedFault, rules: &[&str]) {
    let run = |seed, join_deadline| run_with_losses(scenario, seed, join_deadline, Some(injected_fault));
    let found = violations(run, 30);
    assert!(!found.is_empty(), "{injected_fault:?} was not detected");
    println!("{injected_fault:?}: {} of 90, {:.200}", found.len(), found[0]);
    let is_named = |violation: &String| rules.iter().any(|rule| violation.contains(rule));
    assert!(found.iter().all(is_named), "{injected_fault:?}:\n{}", found.join("\n"));
}

#[test]
fn a_member_shuts_down_when_others_have_its_vote_and_its_copy() {
    tolerates_losses_after(replace_with_waiting_newcomer);
}

#[test]
fn others_may_be_lost_after_a_replacement() {
    tolerates_losses_after(replace_members);
}

#[test]
fn others_may_be_lost_after_a_replacement_by_a_late_newcomer() {
    tolerates_losses_after(replace_with_late_newcomer);
}

#[test]
fn others_may_be_lost_after_losses() {
    tolerates_losses_after(lose_members);
}

#[test]
fn others_may_be_lost_after_a_rolling_restart() {
    tolerates_losses_after(rolling_restart);
}

#[test]
fn others_may_be_lost_after_two_wipes_in_a_row() {
    tolerates_losses_after(wipe_twice);
}

#[test]
fn a_newcomer_needs_one_live_seed() {
    tolerates_losses_after(join_by_stale_seeds);
}

#[test]
fn others_may_be_lost_after_each_of_several_planned_changes() {
    let found = violations(run_several_scenarios, 60 + additional_seeds());
    assert!(found.is_empty(), "{}:\n{}", found.len(), found.join("\n"));
}

#[test]
fn an_immediate_shutdown_is_detected() {
    detects(replace_with_waiting_newcomer, InjectedFault::ShutDownWithoutRemoval, &["no primary"]);
}

#[test]
fn a_departing_member_that_is_never_replaced_is_detected() {
    detects(replace_with_waiting_newcomer, InjectedFault::KeepDepartingMembers, &["no primary"]);
}

#[test]
fn a_member_that_is_replaced_late_is_detected() {
    detects(lose_members, InjectedFault::IgnoreJoinDeadline, &["no primary"]);
}

#[test]
fn a_configuration_names_no_backup_without_the_state() {
    let unchecked_rewrites = |seed, join_deadline| {
        let mut simulation = Simulation::new(seed, 3, 1, Some(InjectedFault::SkipRewriteUnderNewTerm));
        simulation.checks_backup_disks = true;
        replace_members(&mut simulation, join_deadline).map(|()| simulation)
    };
    let found = violations(unchecked_rewrites, 1);
    assert!(
        !found.is_empty() && found.iter().all(|violation| violation.contains("backup disk:")),
        "{}",
        found.join("\n")
    );
}

/// A member that restarts in place keeps its vote.
#[test]
fn a_restart_in_place_is_quick_and_changes_no_member() {
    for seed in 0..60 {
        passes(&format!("seed {seed}"), || {
            let mut simulation = stable_fleet(seed, 3, 1, None)?;
            let before = simulation.decided_config().ok_or("no configuration")?.members;
            let machine = simulation.pick_member()?;
            simulation.apply(FaultAction::ShutDown(machine, AfterShutdown::Restart));
            simulation.run_until_shut_down(machine)?;
            let took = simulation.longest_shutdown;
            ensure(took <= millis(600), &format!("the shutdown took {took:?}"))?;
            commit_change(&mut simulation, COMMIT_TIME)?;
            simulation.run(millis(1_000))?;
            let after = simulation.decided_config().ok_or("no configuration")?.members;
            ensure(before == after, "the members have changed")?;
            current_primary(&simulation)
        });
    }
}

/// Without a primary no removal is granted: a member shuts down by itself, well before the end of its grace period.
#[test]
fn a_member_that_nobody_answers_shuts_down() {
    for seed in 0..20 {
        passes(&format!("seed {seed}"), || {
            let mut simulation = stable_fleet(seed, 3, 1, None)?;
            for machine in simulation.remaining() {
                simulation.apply(FaultAction::ShutDown(machine, AfterShutdown::Restart));
            }
            simulation.run(millis(5_000))?;
            let took = simulation.longest_shutdown;
            let expected = millis(2_500)..=millis(2_700);
            ensure(expected.contains(&took), &format!("the shutdown took {took:?}"))?;
            commit_change(&mut simulation, COMMIT_TIME)
        });
    }
}
