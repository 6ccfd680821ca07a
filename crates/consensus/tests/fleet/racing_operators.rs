//! Hundreds of racing changes: eight concurrent operators that all choose the next revision, repeats of accepted changes, and
//! cuts of links around the primary, so that the old primary and the new one get different changes with the same revision.

use mosshead_consensus::{InjectedFault, Node};
use mosshead_virtual_fleet::millis;

use crate::fault_actions::FaultAction;
use crate::simulation::Simulation;
use crate::support::links_of;

const OPERATORS: usize = 8;
const CUTS: usize = 12;
const SEEDS: u64 = 16;
/// Gives these runs other random numbers than the runs with sequential faults of the same seeds.
const SEED_MASK: u64 = 0x0de5;

fn run_seed(seed: u64, injected_fault: Option<InjectedFault>) -> Result<Simulation, String> {
    let failures = 1 + (seed % 2) as usize;
    let mut simulation = Simulation::new(seed ^ SEED_MASK, 2 * failures + 1, failures, injected_fault);
    simulation.revision_steps = 1;
    simulation.add_operators(OPERATORS);
    race_during_cuts(&mut simulation).map_err(|violation| format!("race {seed}: {violation}"))?;
    Ok(simulation)
}

fn race_during_cuts(simulation: &mut Simulation) -> Result<(), String> {
    simulation.run(millis(3_000))?;
    for _ in 0..CUTS {
        if let Some(primary) = simulation.primary() {
            let kind = simulation.random_below(3);
            let mut links = links_of(simulation, primary);
            links.retain(|(from, to)| match kind {
                0 => true,
                1 => *from == primary,
                _ => *to == primary,
            });
            simulation.apply(FaultAction::CutLinks(links));
        }
        let span = simulation.random_duration_below(millis(3_000));
        simulation.run(span)?;
        simulation.links.heal();
        let span = millis(2_000) + simulation.random_duration_below(millis(3_000));
        simulation.run(span)?;
    }
    simulation.check_convergence()
}

#[test]
fn one_of_two_changes_with_the_same_revision_is_accepted() {
    for seed in 0..SEEDS {
        let simulation = run_seed(seed, None).unwrap_or_else(|violation| panic!("{violation}"));
        let primary = simulation.primary().and_then(|primary| simulation.node(primary));
        let expired =
            primary.and_then(Node::committed_state).map_or(0, |state| state.highest_expired_revision);
        let accepted = simulation.checker.accepted_count;
        assert!(expired > 0, "seed {seed}: none of the requests of {accepted} changes has expired");
    }
}

/// Asserts that some seed detects the fault, as a violation of one of these rules.
fn detects(injected_fault: InjectedFault, rules: &[&str]) {
    let violation = (0..SEEDS).find_map(|seed| run_seed(seed, Some(injected_fault)).err());
    let violation = violation.unwrap_or_else(|| panic!("{injected_fault:?} was not detected"));
    assert!(rules.iter().any(|rule| violation.contains(rule)), "{injected_fault:?}: {violation:.300}");
    println!("{injected_fault:?}: {violation:.200}");
}

#[test]
fn rejections_of_expired_requests_are_detected() {
    detects(InjectedFault::RejectExpired, &["rejected:"]);
}

#[test]
fn rejections_of_forgotten_requests_are_detected() {
    detects(InjectedFault::ForgetAppliedRequests, &["rejected:"]);
}
