//! Single stories about members, bootstrap voters and newcomers, each told of nodes as they are and of nodes with the fault
//! that the story is about.

use mosshead_consensus::{InjectedFault, Node, Timings};
use mosshead_time::Duration;

use crate::checker::Kind;
use crate::day::Act;
use crate::support::{
    LONG_LEASE, calm, calm_with, commit_change, current_primary, ensure, holds_and_finds, links_of,
    primary_other_than, roles,
};
use crate::world::{World, address};

/// The old side may not give away its places to newcomers while the rest goes on.
fn two_sides(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    let mut world = World::new(11, 5, 1, injected_fault);
    for machine in &mut world.machines {
        machine.settings.timings = Timings {
            replacement_timeout: Duration::from_millis(200),
            lease: LONG_LEASE,
            ..Timings::default()
        };
    }
    let mut world = calm_with(world)?;
    let (primary, backups, witnesses) = roles(&world)?;
    let (backup, silent) = (backups[0], witnesses[0]);
    let links = links_of(&world, silent);
    world.act(Act::Cut(links));
    let joint = |w: &World| w.node(primary).and_then(Node::epoch_config).is_some_and(|r| r.is_joint());
    while !joint(&world) && world.now < 10_000 {
        world.run(1)?;
    }
    // The record is on its way to a newcomer and to none of the old ones.
    world.cuts.clear();
    let rest = [backup, silent];
    let left: Vec<usize> = world.standing().into_iter().filter(|m| !rest.contains(m)).collect();
    let links = left.iter().flat_map(|l| rest.iter().flat_map(move |r| [(*l, *r), (*r, *l)])).collect();
    world.act(Act::Cut(links));
    world.run(2_500)?;
    for machine in [primary, backup, silent] {
        let change = world.fresh_change(machine);
        world.send_request(machine, Kind::Change(change));
    }
    world.run(2_000)?;
    ensure(primary_other_than(&world, primary).is_ok(), "the majority of the old ones has no primary")
}

#[test]
fn members_change_by_the_old_and_the_new() {
    holds_and_finds(two_sides, InjectedFault::NewMembersOnly);
}

/// Two founders found; one loses its disk while the other is down and the third comes late.
fn late_founder(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    let mut world = World::new(12, 3, 1, injected_fault);
    world.noise = 0;
    world.run(350)?;
    world.kill(2, false);
    world.run(4_000)?;
    commit_change(&mut world, 300)?;
    // The third has never heard of it.
    let other = 1 - current_primary(&world)?;
    world.machines[2].disk.wipe_after_identity();
    world.act(Act::Wipe(vec![other]));
    world.act(Act::Kill(vec![1 - other]));
    world.start(2);
    world.start(other);
    world.run(6_000)?;
    ensure(world.primary().is_none(), "a second system was founded")?;
    world.start(1 - other);
    world.run(3_000)?;
    commit_change(&mut world, 300).map(|_| ())
}

#[test]
fn only_bootstrap_voters_start_a_fleet() {
    holds_and_finds(late_founder, InjectedFault::AnyBootstrapVoter);
}

fn wiped_member(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    let mut world = calm(13, 3, 1, injected_fault)?;
    let (_, backups, _) = roles(&world)?;
    let old = world.node(backups[0]).map(|n| n.local_member()).ok_or("none")?;
    world.act(Act::Wipe(backups.clone()));
    world.start(backups[0]);
    world.run(700)?;
    let primary = current_primary(&world)?;
    let members = world.node(primary).map(|n| n.members().to_vec()).unwrap_or_default();
    ensure(members.len() == 3 && !members.contains(&old), "the old disk is a member still")?;
    ensure(members.iter().any(|m| m.address == old.address), "the new disk is no member")
}

#[test]
fn a_wiped_machine_is_another_member_at_once() {
    holds_and_finds(wiped_member, InjectedFault::KeepMembers);
}

#[test]
fn a_member_that_comes_back_after_its_place_was_given_away_learns_and_serves() {
    let scenario = || {
        let mut world = calm(14, 4, 1, None)?;
        let (_, backups, _) = roles(&world)?;
        let back = world.node(backups[0]).map(|n| n.local_member()).ok_or("none")?;
        let links = links_of(&world, backups[0]);
        world.act(Act::Cut(links));
        world.run(4_500)?;
        let primary = current_primary(&world)?;
        let gone = |w: &World| w.node(primary).is_some_and(|n| !n.members().contains(&back));
        ensure(gone(&world), "a silent member stays though a newcomer is there")?;
        let change = commit_change(&mut world, 200)?;
        world.heal();
        world.run(1_000)?;
        let node = world.node(backups[0]).ok_or("down")?;
        ensure(node.committed_state().is_some_and(|s| s.revision == change.revision), "it doesn't learn")?;
        ensure(world.in_touch(backups[0]), "it isn't in touch")?;
        // Another one is lost: its old place is free again.
        let (_, backups, _) = roles(&world)?;
        world.kill(backups[0], true);
        world.machines[backups[0]].gone = true;
        world.run(4_500)?;
        ensure(!gone(&world), "it isn't taken in again")
    };
    scenario().unwrap_or_else(|what: String| panic!("{what}"));
}

#[test]
fn one_seed_starts_a_fleet_with_newcomers() {
    for seed in 300..310 {
        let scenario = || {
            let mut world = World::new(seed, 3, 1, None);
            for machine in &mut world.machines {
                machine.settings.seeds = vec![address(0)];
            }
            let mut world = calm_with(world)?;
            world.settle()
        };
        scenario().unwrap_or_else(|what: String| panic!("seed {seed}: {what}"));
    }
}

#[test]
fn without_failures_to_bear_one_is_enough() {
    let scenario = || {
        let mut world = World::new(1, 1, 0, None);
        world.machines[0].settings.seeds = vec![address(0)];
        let mut world = calm_with(world)?;
        world.kill(0, true);
        world.start(0);
        world.run(1_000)?;
        commit_change(&mut world, 100)?;
        world.settle()
    };
    scenario().unwrap_or_else(|what: String| panic!("{what}"));
}
