//! How long a fleet takes until it is whole again after losses and planned changes, and in how many epochs.

use mosshead_consensus::InjectedFault;

use crate::day::Act;
use crate::member_turnover::fleet;
use crate::support::roles;
use crate::world::AfterShutdown;

/// How many epochs the loss of a witness's disk makes; the machine is back soon.
fn epochs_after_a_wipe(seed: u64, injected_fault: Option<InjectedFault>) -> Result<u64, String> {
    let mut world = fleet(seed, 4_000, 1 + seed as usize % 2, injected_fault)?;
    let (_, _, witnesses) = roles(&world)?;
    let before = world.round()?;
    world.act(Act::Wipe(vec![witnesses[0]]));
    let pause = 20 + world.below(150);
    world.run(pause)?;
    world.start(witnesses[0]);
    world.run(1_500)?;
    Ok(world.round()? - before)
}

/// The record with both, and the one after it: the disk that was lost does not come back in between.
#[test]
fn a_disk_that_was_lost_gets_its_place_back_never() {
    for seed in 0..200 {
        assert_eq!(epochs_after_a_wipe(seed, None), Ok(2), "seed {seed}");
    }
    let returns = |seed: &u64| epochs_after_a_wipe(*seed, Some(InjectedFault::StaleNewcomer)) != Ok(2);
    let found = (0..100).filter(returns).count();
    assert!(found > 0, "it was not found");
    println!("StaleNewcomer: {found} of 100");
}

/// How long a fleet of five is not whole after two losses and two newcomers, from the newcomers' start.
fn after_two_losses(seed: u64, injected_fault: Option<InjectedFault>) -> Result<u64, String> {
    let mut world = fleet(seed, 1_500, 2, injected_fault)?;
    world.lose_holders()?;
    let since = world.now;
    world.newcomers(2);
    world.run(300)?;
    world.whole_since(since)
}

/// The same if both were followers: their silence begins at the same moment.
fn after_two_lost_followers(seed: u64, injected_fault: Option<InjectedFault>) -> Result<u64, String> {
    let mut world = fleet(seed, 1_500, 2, injected_fault)?;
    let (_, backups, witnesses) = roles(&world)?;
    let since = world.now;
    [backups[0], witnesses[0]].into_iter().for_each(|machine| world.take_away(machine));
    world.newcomers(2);
    world.run(300)?;
    world.whole_since(since)
}

/// The same for a fleet of three that has lost its primary.
fn after_a_lost_primary(seed: u64, injected_fault: Option<InjectedFault>) -> Result<u64, String> {
    let mut world = fleet(seed, 1_500, 1, injected_fault)?;
    world.lose_holders()?;
    let since = world.now;
    world.newcomer();
    world.run(300)?;
    world.whole_since(since)
}

/// The same after a planned replacement of one, from the leaver's signal.
fn after_a_leave(seed: u64, injected_fault: Option<InjectedFault>) -> Result<u64, String> {
    let mut world = fleet(seed, 4_000, 1 + seed as usize % 2, injected_fault)?;
    world.newcomer();
    world.run(1_000)?;
    let old = world.some_member()?;
    let since = world.now;
    world.act(Act::Shutdown(old, AfterShutdown::Gone));
    world.run_until_ended(old)?;
    world.whole_since(since)
}

/// Median and the value that 99 in 100 don't pass.
fn figures(
    measure: fn(u64, Option<InjectedFault>) -> Result<u64, String>,
    injected_fault: Option<InjectedFault>,
) -> (u64, u64) {
    let spans = (0..300)
        .map(|seed| measure(seed, injected_fault).unwrap_or_else(|what| panic!("seed {seed}: {what}")));
    let mut spans: Vec<u64> = spans.collect();
    spans.sort_unstable();
    let found = (spans[spans.len() / 2], spans[spans.len() * 99 / 100]);
    println!("{injected_fault:?}: {} ms, {} ms in 99 of 100", found.0, found.1);
    found
}

#[test]
fn two_losses_are_made_up_for_at_once() {
    let (_, most) = figures(after_two_losses, None);
    assert!(most <= 1_500, "{most} ms");
    let together = figures(after_two_lost_followers, None);
    let in_turn = figures(after_two_lost_followers, Some(InjectedFault::OneNewcomerAtATime));
    assert!(together.0 + 100 <= in_turn.0, "{together:?}, {in_turn:?}");
}

#[test]
fn a_lost_primary_was_silent_before_the_take_over() {
    let found = figures(after_a_lost_primary, None);
    let flawed = figures(after_a_lost_primary, Some(InjectedFault::ForgetSilenceOfMembers));
    assert!(found.1 <= 1_200 && found.0 + 300 <= flawed.0, "{found:?}, {flawed:?}");
}

#[test]
fn a_planned_replacement_is_done_at_once() {
    let (median, most) = figures(after_a_leave, None);
    assert!(median <= 200 && most <= 400, "{median} ms, {most} ms");
}
