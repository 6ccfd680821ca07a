//! Hundreds of orders: eight operators at once who all pick the next number, repeats of all that was taken, and cuts of the
//! primary amid them, so that the old one and the new one get different changes under one number.

use mosshead_consensus::{InjectedFault, Node};

use crate::day::Act;
use crate::support::links_of;
use crate::world::World;

const OPERATORS: usize = 8;
const CUTS: usize = 12;
const SEEDS: u64 = 16;

fn play(seed: u64, injected_fault: Option<InjectedFault>) -> Result<World, String> {
    let failures = 1 + (seed % 2) as usize;
    let mut world = World::new(seed ^ 0x0de5, 2 * failures + 1, failures, injected_fault);
    world.revision_steps = 1;
    world.hire(OPERATORS);
    let day = |world: &mut World| -> Result<(), String> {
        world.run(3_000)?;
        for _ in 0..CUTS {
            if let Some(primary) = world.primary() {
                let kind = world.below(3);
                let mut links = links_of(world, primary);
                links.retain(|(from, to)| match kind {
                    0 => true,
                    1 => *from == primary,
                    _ => *to == primary,
                });
                world.act(Act::Cut(links));
            }
            let span = world.below(3_000);
            world.run(span)?;
            world.cuts.clear();
            let span = 2_000 + world.below(3_000);
            world.run(span)?;
        }
        world.settle()
    };
    day(&mut world).map_err(|what| format!("orders {seed}: {what}"))?;
    Ok(world)
}

#[test]
fn one_of_two_changes_under_one_number_is_taken_among_hundreds() {
    for seed in 0..SEEDS {
        let world = play(seed, None).unwrap_or_else(|what| panic!("{what}"));
        let state = world.primary().and_then(|p| world.node(p)).and_then(Node::committed_state);
        let forgotten = state.map_or(0, |s| s.highest_expired_revision);
        assert!(forgotten > 0, "seed {seed}: fewer changes than are remembered, of {}", world.checker.taken);
    }
}

/// Some seed finds the flaw, by a rule that it breaks.
fn finds(injected_fault: InjectedFault, rules: &[&str]) {
    let what = (0..SEEDS).find_map(|seed| play(seed, Some(injected_fault)).err());
    let what = what.unwrap_or_else(|| panic!("{injected_fault:?} was not found"));
    assert!(rules.iter().any(|r| what.contains(r)), "{injected_fault:?}: {what:.300}");
    println!("{injected_fault:?}: {what:.200}");
}

#[test]
fn forgotten_calls_refused() {
    finds(InjectedFault::RejectExpired, &["stale"]);
}

#[test]
fn taken_calls_refused() {
    finds(InjectedFault::ForgetAppliedRequests, &["stale"]);
}
