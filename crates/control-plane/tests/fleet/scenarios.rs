//! The leads of the review, brought about on purpose: a primary that was frozen, a proxy that starts beside machines
//! that are cut off, servers that leave by way of a minority or of machines that are lost.

use mosshead_control_plane::InjectedFault;

use crate::messages::Party;
use crate::random_run::Act;
use crate::simulation::{Mutant, World, address};

const SEEDS: u64 = 40;

type Scenario = fn(u64, Mutant) -> Result<(), String>;

fn holds(scenario: Scenario) {
    for seed in 0..SEEDS {
        if let Err(what) = scenario(seed, Mutant::default()) {
            panic!("seed {seed}: {what}");
        }
    }
}

fn finds(scenario: Scenario, mutant: Mutant, rule: &str) {
    let mut found = (0..SEEDS).filter_map(|seed| scenario(seed, mutant).err());
    match found.next() {
        Some(what) => assert!(what.contains(rule), "{what}"),
        None => panic!("{mutant:?} was not found"),
    }
}

fn control(fault: InjectedFault) -> Mutant {
    Mutant { control: Some(fault), ..Mutant::default() }
}

/// A primary is frozen until another one has taken changes, and thawed with calls waiting for it.
fn thawed_primary(seed: u64, mutant: Mutant) -> Result<(), String> {
    let mut world = World::new(seed, 1, mutant);
    world.run(5_000)?;
    for _ in 0..6 {
        let Some(primary) = world.primary() else { return Err("nobody is primary".into()) };
        world.freeze(Party::Control(primary));
        let span = 2_000 + world.below(2_000);
        world.run(span)?;
        world.thaw(Party::Control(primary));
        world.run(2_500)?;
    }
    world.calm()
}

#[test]
fn a_thawed_primary_refuses_nothing_by_what_it_knew() {
    holds(thawed_primary);
}

#[test]
fn former_refusals_of_a_thawed_primary_are_found() {
    let mutant = Mutant { leader_by_role: true, ..control(InjectedFault::RejectFromLocalState) };
    finds(thawed_primary, mutant, "old knowledge:");
}

/// As many machines as may be lost, the primary with them, are cut off for twenty seconds, and a proxy starts beside
/// them that knows only these.
fn proxy_beside_the_cut(seed: u64, mutant: Mutant) -> Result<(), String> {
    let mut world = World::new(seed, 1 + (seed % 2) as usize, mutant);
    world.run(6_000)?;
    let Some(primary) = world.primary() else { return Err("nobody is primary".into()) };
    let others = world.standing().into_iter().filter(|core| *core != primary);
    let cut: Vec<usize> = [primary].into_iter().chain(others).take(world.failures).collect();
    let side: Vec<Party> = cut.iter().map(|core| Party::Control(*core)).chain([Party::Proxy(0)]).collect();
    let all = world.standing().into_iter().map(Party::Control).chain((0..3).map(Party::Proxy));
    let rest: Vec<Party> = all.filter(|party| !side.contains(party)).collect();
    world.cut_between(&side, &rest);
    world.cut_off.extend(side);
    world.run(3_000)?;
    let seeds: Vec<_> = cut.iter().map(|core| address(*core)).collect();
    world.start_proxy(0, &seeds);
    world.run(17_000)?;
    if world.proxies[0].config.is_some() {
        return Err("touch: the proxy beside the cut has a configuration".into());
    }
    world.calm()
}

#[test]
fn a_proxy_beside_the_cut_takes_no_old_configuration() {
    holds(proxy_beside_the_cut);
}

#[test]
fn former_configurations_beside_the_cut_are_found() {
    let mutant = Mutant {
        control: Some(InjectedFault::ServeWithoutQuorum),
        proxy: Some(InjectedFault::FetchWithoutQuorum),
        ..Mutant::default()
    };
    finds(proxy_beside_the_cut, mutant, "touch:");
}

/// A machine loses its links to all but one other, which is shorter than anybody can tell; servers leave meanwhile.
/// When it acknowledges one of them, it is lost with the other that has the word, and the server ends.
fn lost_holders(seed: u64, mutant: Mutant) -> Result<(), String> {
    let mut world = World::new(seed, 2, mutant);
    world.run(6_000)?;
    for core in 0..3 {
        let rest: Vec<Party> = world
            .standing()
            .into_iter()
            .filter(|other| *other != core && *other != core + 1)
            .map(Party::Control)
            .chain((0..3).map(Party::Proxy))
            .collect();
        world.after_drain = Some(Act::LoseHolders { only: Some(core), word: None });
        world.cut_between(&[Party::Control(core)], &rest);
        world.cut_off.insert(Party::Control(core));
        world.drain_all();
        world.run(450)?;
        world.act(Act::Heal);
        world.after_drain = None;
        world.run(14_000)?;
    }
    world.calm()
}

#[test]
fn a_leaving_server_s_word_outlives_its_holders() {
    holds(lost_holders);
}

#[test]
fn the_former_single_copy_is_found() {
    finds(lost_holders, control(InjectedFault::AcknowledgeAfterOneReplica), "drain:");
}

/// Two of five machines are cut off together; servers that leave reach them as well as the others.
fn minority_of_two(seed: u64, mutant: Mutant) -> Result<(), String> {
    let mut world = World::new(seed, 2, mutant);
    world.run(5_000)?;
    let minority = [Party::Control(0), Party::Control(1)];
    let all = world.standing().into_iter().map(Party::Control).chain((0..3).map(Party::Proxy));
    let rest: Vec<Party> = all.filter(|party| !minority.contains(party)).collect();
    world.cut_between(&minority, &rest);
    world.cut_off.extend(minority);
    world.run(20_000)?;
    world.calm()
}

#[test]
fn a_minority_acknowledges_no_leaving_server() {
    holds(minority_of_two);
}

#[test]
fn former_acknowledgements_of_a_minority_are_found() {
    finds(minority_of_two, control(InjectedFault::AcknowledgeUnchecked), "acknowledged out of touch:");
}
