//! Who says that it is in touch shows no old state, whatever was held back by a network or a frozen process.

use mosshead_consensus::InjectedFault;

use crate::day::Act;
use crate::support::{
    calm, commit_change_at, current_primary, ensure, holds_and_finds, links_of, primary_other_than, roles,
};
use crate::world::{KINDS, World};

/// How long machines are cut off or frozen.
const CUT: u64 = 20_000;

/// What is cut off from all others.
#[derive(Clone, Copy, Debug)]
enum Direction {
    To,
    From,
    Both,
}

fn links(world: &World, machine: usize, direction: Direction) -> Vec<(usize, usize)> {
    let wanted = |link: &(usize, usize)| match direction {
        Direction::To => link.1 == machine,
        Direction::From => link.0 == machine,
        Direction::Both => true,
    };
    links_of(world, machine).into_iter().filter(|(from, to)| from != to).filter(wanted).collect()
}

/// A trouble of twenty seconds while operators go on; then what was held back arrives at once.
fn trouble(world: &mut World, act: Act) -> Result<(), String> {
    let before = world.checker.taken;
    world.hire(2);
    world.act(act);
    world.run(CUT)?;
    ensure(world.checker.taken > before + 5, "nothing was taken meanwhile")?;
    world.heal();
    world.run(3_000)?;
    world.settle()
}

fn frozen_follower(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    for seed in 400..410 {
        let mut world = calm(seed, 3, 1, injected_fault)?;
        world.frozen_backlog = 8;
        let (_, backups, witnesses) = roles(&world)?;
        let machine = if seed % 2 == 0 { backups[0] } else { witnesses[0] };
        trouble(&mut world, Act::Freeze(vec![machine]))?;
    }
    Ok(())
}

#[test]
fn a_thawed_follower_is_not_in_touch_by_what_was_held_back() {
    holds_and_finds(frozen_follower, InjectedFault::ContactByArrival);
}

/// What becomes of some links, by machines.
type Cut = fn(Vec<(usize, usize)>) -> Act;

/// Links that lose everything, and links that hold the first messages back.
const CUTS: [Cut; 2] = [Act::Cut, Act::Hold];
const DIRECTIONS: [Direction; 3] = [Direction::To, Direction::From, Direction::Both];

fn cut_follower(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    for seed in 410..414 {
        for direction in DIRECTIONS {
            for cut in CUTS {
                let mut world = calm(seed, 3, 1, injected_fault)?;
                let (_, backups, witnesses) = roles(&world)?;
                let machine = if seed % 2 == 0 { backups[0] } else { witnesses[0] };
                let links = links(&world, machine, direction);
                trouble(&mut world, cut(links))?;
            }
        }
    }
    Ok(())
}

#[test]
fn a_follower_that_was_cut_off_is_not_in_touch_by_what_was_held_back() {
    holds_and_finds(cut_follower, InjectedFault::ContactByArrival);
}

fn cut_primary(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    for (machines, failures) in [(3, 1), (5, 2)] {
        for direction in DIRECTIONS {
            for cut in CUTS {
                let mut world = calm(420 + machines as u64, machines, failures, injected_fault)?;
                let primary = current_primary(&world)?;
                let links = links(&world, primary, direction);
                trouble(&mut world, cut(links))?;
            }
        }
        let mut world = calm(430 + machines as u64, machines, failures, injected_fault)?;
        world.frozen_backlog = 8;
        let primary = current_primary(&world)?;
        trouble(&mut world, Act::Freeze(vec![primary]))?;
    }
    Ok(())
}

#[test]
fn a_primary_that_was_cut_off_is_not_in_touch_by_what_was_held_back() {
    holds_and_finds(cut_primary, InjectedFault::ContactByArrival);
}

/// What is committed never reaches a witness, while heartbeats do.
fn states_lost(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    // The machines of this seed send no state in pieces: all news of committed states is of this kind.
    let mut world = calm(431, 3, 1, injected_fault)?;
    let (_, _, witnesses) = roles(&world)?;
    let committed = KINDS.iter().position(|kind| *kind == "Committed").ok_or("no such kind")?;
    world.kind_loss[committed] = 1_000;
    world.hire(2);
    world.run(5_000)?;
    ensure(!world.in_touch(witnesses[0]), "a witness without the state says that it is in touch")?;
    world.kind_loss[committed] = 0;
    world.run(500)?;
    ensure(world.in_touch(witnesses[0]), "a witness with the state isn't in touch")?;
    world.settle()
}

#[test]
fn a_follower_that_lacks_the_state_is_not_in_touch() {
    holds_and_finds(states_lost, InjectedFault::ContactWithoutState);
}

/// A heartbeat that was sent to an earlier run of a process reaches the next one, whose clock says the same.
fn another_life(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    let mut world = calm(440, 3, 1, injected_fault)?;
    let (primary, backups, _) = roles(&world)?;
    let machine = backups[0];
    world.kill(machine, false);
    world.start(machine);
    world.run(250)?;
    world.act(Act::Hold(vec![(primary, machine)]));
    world.run(200)?;
    world.kill(machine, false);
    world.hire(2);
    world.run(CUT)?;
    let others = links_of(&world, machine).into_iter().filter(|link| *link != (primary, machine)).collect();
    world.act(Act::Cut(others));
    world.start(machine);
    world.run(500)?;
    world.release_links();
    world.run(500)?;
    world.heal();
    world.settle()
}

#[test]
fn a_stamp_of_another_life_proves_nothing() {
    holds_and_finds(another_life, InjectedFault::ContactOfOtherIncarnations);
}

/// A node is frozen so long after it has proposed its record; others lead meanwhile.
fn frozen_take_over(delay: u64, injected_fault: Option<InjectedFault>) -> Result<(), String> {
    let mut world = calm(450, 3, 1, injected_fault)?;
    let old = current_primary(&world)?;
    world.kill(old, false);
    let proposes = |w: &World, m: &usize| {
        w.node(*m).is_some_and(|n| {
            !n.is_primary() && n.epoch_config().is_some_and(|r| r.primary == n.local_member().id)
        })
    };
    let candidate = loop {
        world.run(1)?;
        if let Some(candidate) = world.running().into_iter().find(|m| proposes(&world, m)) {
            break candidate;
        }
        ensure(world.now < 10_000, "nobody takes over")?;
    };
    let term = world.node(candidate).and_then(|n| n.epoch_config()).map(|r| r.term).ok_or("down")?;
    world.run(delay)?;
    if world.checker.was_led(term) {
        return Ok(());
    }
    world.act(Act::Freeze(vec![candidate]));
    world.start(old);
    world.hire(2);
    world.run(CUT)?;
    primary_other_than(&world, candidate)?;
    world.heal();
    ensure(!world.checker.was_led(term), "a take-over from before a freeze comes to its end")?;
    world.settle()
}

fn frozen_take_overs(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    (0..20).try_for_each(|delay| frozen_take_over(delay, injected_fault))
}

#[test]
fn a_take_over_does_not_outlast_a_freeze() {
    holds_and_finds(frozen_take_overs, InjectedFault::LateTakeOver);
}

/// A thawed follower, with old heartbeats in its queue, doesn't hold up the election after a real loss.
fn fooled_voter(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    for seed in 460..470 {
        let mut world = calm(seed, 3, 1, injected_fault)?;
        world.frozen_backlog = 8;
        let (primary, backups, witnesses) = roles(&world)?;
        let machine = if seed % 2 == 0 { backups[0] } else { witnesses[0] };
        world.act(Act::Freeze(vec![machine]));
        world.run(CUT)?;
        world.kill(primary, false);
        world.run(550)?;
        world.thaw(machine);
        world.run(550)?;
        primary_other_than(&world, primary).map_err(|what| format!("seed {seed}: {what}"))?;
    }
    Ok(())
}

#[test]
fn old_heartbeats_do_not_hold_up_an_election() {
    holds_and_finds(fooled_voter, InjectedFault::ContactByArrival);
}

#[test]
fn a_thawed_primary_does_not_claim_to_lead_before_its_first_step() {
    let scenario = || {
        let mut world = calm(470, 3, 1, None)?;
        let old = current_primary(&world)?;
        ensure(
            world.node(old).is_some_and(|n| n.holds_primary_lease(world.clock(old))),
            "it doesn't lead before",
        )?;
        world.act(Act::Freeze(vec![old]));
        world.run(CUT)?;
        let node = world.node(old).ok_or("down")?;
        let clock = world.clock(old);
        ensure(node.is_primary(), "it was stepped")?;
        ensure(!node.holds_primary_lease(clock) && node.primary_at(clock).is_none(), "it claims to lead")?;
        ensure(!node.has_quorum_contact(clock), "it claims to be in touch")?;
        world.thaw(old);
        world.settle()
    };
    scenario().unwrap_or_else(|what: String| panic!("{what}"));
}

#[test]
fn a_restarted_member_is_in_touch_a_round_trip_after_the_next_heartbeat() {
    let mut worst = 0;
    for seed in 480..500 {
        let scenario = || {
            let mut world = calm(seed, 3, 1, None)?;
            let (_, backups, witnesses) = roles(&world)?;
            let machine = if seed % 2 == 0 { backups[0] } else { witnesses[0] };
            world.kill(machine, false);
            world.run(50)?;
            world.start(machine);
            let since = world.now;
            while !world.in_touch(machine) && world.now < since + 1_000 {
                world.run(1)?;
            }
            Ok(world.now - since)
        };
        let took = scenario().unwrap_or_else(|what: String| panic!("seed {seed}: {what}"));
        worst = worst.max(took);
    }
    println!("worst time until in touch: {worst} ms");
    // The next heartbeat, its answer, and the next heartbeat at once.
    assert!(worst <= 100 + 50 + 15, "{worst} ms");
}

/// One link fails in one direction: the same machine goes on leading, and takes changes.
fn one_way(machines: usize, failures: usize, injected_fault: Option<InjectedFault>) -> Result<(), String> {
    for from in 0..machines {
        for to in (0..machines).filter(|to| *to != from) {
            let mut world = calm(500 + (machines * from + to) as u64, machines, failures, injected_fault)?;
            let primary = current_primary(&world)?;
            world.act(Act::Cut(vec![(from, to)]));
            for _ in 0..10 {
                world.run(1_000)?;
                commit_change_at(&mut world, primary, 1_000)?;
            }
            for machine in world.running() {
                // Proof of contact takes both directions.
                let proves = ![(from, to), (to, from)].contains(&(primary, machine));
                ensure(!proves || world.in_touch(machine), &format!("m{machine} isn't in touch"))?;
            }
        }
    }
    Ok(())
}

fn one_way_links(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    one_way(3, 1, injected_fault)?;
    one_way(5, 2, injected_fault)
}

#[test]
fn a_link_that_fails_one_way_moves_no_primary() {
    holds_and_finds(one_way_links, InjectedFault::AlwaysWilling);
}
