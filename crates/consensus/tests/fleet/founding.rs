//! Forced recovery (founding anew) after a majority of the members was lost with its disks.

use mosshead_consensus::{ClientReply, FOUNDING_TERM_STEP, FoundingError, Input, Node, Term};
use mosshead_time::Duration;
use mosshead_virtual_fleet::millis;

use crate::checker::RequestKind;
use crate::fault_actions::FaultAction;
use crate::simulation::{Kill, Simulation};
use crate::support::{
    COMMIT_TIME, Roles, commit_change, current_primary, ensure, passes, reply_at, roles, stable_fleet,
};

/// The time in which nodes that send join requests learn of each other.
const DISCOVERY_TIME: Duration = millis(3_000);
/// The time in which a founder becomes primary.
const FOUNDING_TIME: Duration = millis(1_000);

/// Machines lose their disks, and restart with empty ones.
fn wipe(simulation: &mut Simulation, machines: &[usize]) -> Result<(), String> {
    simulation.apply(FaultAction::Wipe(machines.to_vec()));
    simulation.run(millis(100))?;
    machines.iter().for_each(|machine| simulation.start(*machine));
    simulation.run(DISCOVERY_TIME)
}

fn term_of(simulation: &Simulation, machine: usize) -> Result<Term, String> {
    simulation.node(machine).map(Node::term).ok_or("the machine is down".to_owned())
}

fn refusal(simulation: &Simulation, machine: usize) -> Option<FoundingError> {
    simulation.node(machine)?.founding().err()
}

/// Founds the fleet anew. The founder has to be primary under a term far above the former one, and to know the revision.
fn found_anew(simulation: &mut Simulation, founder: usize, revision: u64) -> Result<(), String> {
    let former = term_of(simulation, founder)?;
    simulation.step(founder, Input::FoundAnew);
    simulation.run(FOUNDING_TIME)?;
    ensure(current_primary(simulation)? == founder, "the founder is not primary")?;
    let term = term_of(simulation, founder)?;
    ensure(term.number >= former.number + FOUNDING_TERM_STEP, "the term is not far above the former one")?;
    let reply = reply_at(simulation, founder, RequestKind::Read, COMMIT_TIME)?;
    match reply {
        Some(ClientReply::CurrentState { state }) if state.revision == revision => {}
        other => return Err(format!("revision {revision} is lost: {other:?}")),
    }
    commit_change(simulation, COMMIT_TIME).map(|_| ())
}

/// Of three members, the primary and the witness are lost. The backup has the state.
#[test]
fn a_holder_of_the_state_founds_the_fleet_anew() {
    for seed in 100..130 {
        passes(&format!("seed {seed}"), || {
            let mut simulation = stable_fleet(seed, 3, 1, None)?;
            let last = commit_change(&mut simulation, COMMIT_TIME)?;
            let Roles { primary, backups, witnesses } = roles(&simulation)?;
            wipe(&mut simulation, &[primary, witnesses[0]])?;
            ensure(simulation.primary().is_none(), "one of three members has a primary")?;
            let founder = backups[0];
            let founding = simulation.node(founder).ok_or("down")?.founding().map_err(|e| e.to_string())?;
            ensure(founding.lost.len() == 2, "the lost members are not named")?;
            ensure(founding.known_revision == Some(last.revision), "the revision is not named")?;
            found_anew(&mut simulation, founder, last.revision)?;
            simulation.run(DISCOVERY_TIME)?;
            let health =
                simulation.node(founder).and_then(|node| node.group_health(simulation.clock(founder)));
            let health = health.ok_or("no health")?;
            ensure(health.tolerates_a_loss().is_ok(), &format!("{health:?}"))
        });
    }
}

/// Both holders of the state are lost. The witness has the state only in memory, as a learner of what is committed.
#[test]
fn a_witness_founds_the_fleet_anew_with_what_it_knows_to_be_committed() {
    for seed in 130..150 {
        passes(&format!("seed {seed}"), || {
            let mut simulation = stable_fleet(seed, 3, 1, None)?;
            let last = commit_change(&mut simulation, COMMIT_TIME)?;
            let Roles { primary, backups, witnesses } = roles(&simulation)?;
            wipe(&mut simulation, &[primary, backups[0]])?;
            found_anew(&mut simulation, witnesses[0], last.revision)
        });
    }
}

/// A majority of five members is left, but none of them holds the state: it can't elect a primary, and an operator may
/// found anew.
#[test]
fn a_majority_without_the_state_is_founded_anew() {
    passes("all holders are lost", || {
        let mut simulation = stable_fleet(150, 5, 2, None)?;
        let last = commit_change(&mut simulation, COMMIT_TIME)?;
        let Roles { primary, backups, witnesses } = roles(&simulation)?;
        wipe(&mut simulation, &[primary, backups[0], backups[1]])?;
        ensure(simulation.primary().is_none(), "there is a primary")?;
        found_anew(&mut simulation, witnesses[0], last.revision)
    });
}

#[test]
fn a_fleet_that_can_elect_a_primary_is_not_founded_anew() {
    passes("refusals", || {
        let mut simulation = stable_fleet(151, 3, 1, None)?;
        let Roles { primary, backups, .. } = roles(&simulation)?;
        for machine in simulation.remaining() {
            let found = refusal(&simulation, machine);
            ensure(found == Some(FoundingError::HasPrimary), &format!("{found:?}"))?;
        }
        // A refused request has no effect.
        let before = term_of(&simulation, primary)?;
        simulation.step(backups[0], Input::FoundAnew);
        simulation.step(primary, Input::FoundAnew);
        simulation.run(FOUNDING_TIME)?;
        ensure(term_of(&simulation, primary)? == before, "the term has changed")?;
        // Right after the loss of the primary, before the others suspect it.
        simulation.kill(primary, Kill::Process);
        simulation.step(backups[0], Input::FoundAnew);
        simulation.run(FOUNDING_TIME)?;
        let next = current_primary(&simulation)?;
        ensure(term_of(&simulation, next)?.number < before.number + FOUNDING_TERM_STEP, "it was founded anew")
    });
}

#[test]
fn a_single_node_can_not_found_anew() {
    passes("too few nodes", || {
        let mut simulation = stable_fleet(152, 3, 1, None)?;
        let Roles { primary, backups, witnesses } = roles(&simulation)?;
        simulation.kill(primary, Kill::Process);
        simulation.kill(witnesses[0], Kill::Process);
        simulation.run(DISCOVERY_TIME)?;
        let found = refusal(&simulation, backups[0]);
        ensure(found == Some(FoundingError::TooFewNodes(1, 2)), &format!("{found:?}"))?;
        simulation.step(backups[0], Input::FoundAnew);
        simulation.run(FOUNDING_TIME)?;
        ensure(simulation.primary().is_none(), "it is primary")
    });
}

/// The members that were assumed lost come back with their disks. There is one fleet, that of the founder, and its
/// fencing token is above all others.
#[test]
fn members_that_come_back_follow_the_founder() {
    for seed in 153..173 {
        passes(&format!("seed {seed}"), || {
            let mut simulation = stable_fleet(seed, 3, 1, None)?;
            let Roles { primary, backups, witnesses } = roles(&simulation)?;
            let (founder, assumed_lost) = (backups[0], [primary, witnesses[0]]);
            assumed_lost.into_iter().for_each(|machine| simulation.kill(machine, Kill::Process));
            simulation.start_newcomer();
            simulation.run(DISCOVERY_TIME)?;
            let last = simulation.node(founder).and_then(Node::committed_state).map(|state| state.revision);
            found_anew(&mut simulation, founder, last.ok_or("no state")?)?;
            let term = term_of(&simulation, founder)?;
            assumed_lost.into_iter().for_each(|machine| simulation.start(machine));
            simulation.run(DISCOVERY_TIME)?;
            let is_primary = |machine: &usize| simulation.node(*machine).is_some_and(Node::is_primary);
            let primaries: Vec<usize> = simulation.running().into_iter().filter(is_primary).collect();
            ensure(primaries.len() == 1, &format!("{primaries:?} are primaries"))?;
            ensure(term_of(&simulation, primaries[0])? >= term, "the founder's epoch has not won")?;
            commit_change(&mut simulation, COMMIT_TIME).map(|_| ())
        });
    }
}
