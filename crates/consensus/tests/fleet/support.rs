//! What the scenarios share: fleets in calm, changes that have to be committed, roles.

use mosshead_consensus::{ClientReply, InjectedFault, Node};
use mosshead_time::Duration;

use crate::checker::{Change, Kind};
use crate::world::World;

/// The lease of a primary that is to trust in it for long.
pub(crate) const LONG_LEASE: Duration = Duration::from_millis(60_000);

pub(crate) type Scenario = fn(Option<InjectedFault>) -> Result<(), String>;

/// A fleet in calm, without noise, with some state.
pub(crate) fn calm(
    seed: u64,
    machines: usize,
    failures: usize,
    injected_fault: Option<InjectedFault>,
) -> Result<World, String> {
    calm_with(World::new(seed, machines, failures, injected_fault))
}

pub(crate) fn calm_with(mut world: World) -> Result<World, String> {
    world.noise = 0;
    world.run(3_000)?;
    for _ in 0..3 {
        commit_change(&mut world, 400)?;
    }
    Ok(world)
}

pub(crate) fn ensure(holds: bool, what: &str) -> Result<(), String> {
    if holds { Ok(()) } else { Err(what.to_string()) }
}

pub(crate) fn current_primary(world: &World) -> Result<usize, String> {
    world.primary().ok_or_else(|| format!("at {}: no primary", world.now))
}

/// A primary other than that machine, which calls itself one still perhaps.
pub(crate) fn primary_other_than(world: &World, not: usize) -> Result<usize, String> {
    let leads = |m: &usize| *m != not && world.node(*m).is_some_and(Node::is_primary);
    world.running().into_iter().find(leads).ok_or_else(|| format!("at {}: no other primary", world.now))
}

/// A new change at the primary is taken within the span.
pub(crate) fn commit_change(world: &mut World, span: u64) -> Result<Change, String> {
    let primary = current_primary(world)?;
    commit_change_at(world, primary, span)
}

pub(crate) fn commit_change_at(world: &mut World, machine: usize, span: u64) -> Result<Change, String> {
    let change = world.fresh_change(machine);
    let request_id = world.send_request(machine, Kind::Change(change.clone()));
    world.run(span)?;
    match world.checker.reply(request_id) {
        Some(ClientReply::ChangeCommitted { .. }) => Ok(change),
        other => Err(format!("at {}: m{machine} answered {other:?}", world.now)),
    }
}

pub(crate) fn reply_at(
    world: &mut World,
    machine: usize,
    kind: Kind,
    span: u64,
) -> Result<Option<ClientReply>, String> {
    let request_id = world.send_request(machine, kind);
    world.run(span)?;
    Ok(world.checker.reply(request_id).cloned())
}

/// The record of the primary, by machines.
pub(crate) fn roles(world: &World) -> Result<(usize, Vec<usize>, Vec<usize>), String> {
    let primary = current_primary(world)?;
    let record = world.node(primary).and_then(|n| n.epoch_config()).cloned().ok_or("no record")?;
    let machine =
        |id| world.running().into_iter().find(|m| world.node(*m).is_some_and(|n| n.local_member().id == id));
    let backups: Vec<usize> = record.backups.iter().filter_map(|id| machine(*id)).collect();
    let others = record.members.iter().filter_map(|m| machine(m.id));
    let witnesses = others.filter(|m| *m != primary && !backups.contains(m)).collect();
    Ok((primary, backups, witnesses))
}

pub(crate) fn links_of(world: &World, machine: usize) -> Vec<(usize, usize)> {
    world.standing().into_iter().flat_map(|m| [(m, machine), (machine, m)]).collect()
}

/// Nodes as they are tell the story to its end; nodes with the flaw don't.
pub(crate) fn holds_and_finds(scenario: Scenario, injected_fault: InjectedFault) {
    if let Err(what) = scenario(None) {
        panic!("without a injected_fault: {what}");
    }
    match scenario(Some(injected_fault)) {
        Ok(()) => panic!("{injected_fault:?} was not found"),
        Err(what) => println!("{injected_fault:?}: {what:.200}"),
    }
}
