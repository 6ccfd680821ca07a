//! Large states on slow links while changes go on: whoever was away catches up, and whoever leads has the newest state.
//!
//! Sizes, links and disks are a tenth of the real ones, so that all times are real: a body of 300 KB stands for 3 MB, a link
//! of 1,500 bytes a millisecond for one of 120 Mbit/s.

use mosshead_consensus::{ChunkSizes, ClientReply, InjectedFault, Input, MAX_BODY_BYTES, Message, Node};
use rand_core::RngCore;

use crate::checker::{Change, Kind, digest};
use crate::day::Act;
use crate::support::{
    calm_with, current_primary, ensure, holds_and_finds, links_of, primary_other_than, reply_at, roles,
};
use crate::world::{Bandwidth, World};

const SCALE: usize = 10;
const SLOW: Bandwidth =
    Bandwidth { link: 1_500, disk: 5_000, max_message: (8 << 20) / 10, large_message: (64 << 10) / 10 };
/// From one change to the next.
const PAUSE: u64 = 30;

/// A fleet whose configuration has so many bytes of the real size.
fn fleet(
    seed: u64,
    machines: usize,
    failures: usize,
    real_bytes: usize,
    injected_fault: Option<InjectedFault>,
) -> Result<World, String> {
    let mut world = World::new(seed, machines, failures, injected_fault);
    for machine in &mut world.machines {
        machine.settings.log_rewrite_bytes = (4 << 20) / SCALE;
        let sizes = ChunkSizes::default();
        machine.settings.chunk_sizes = ChunkSizes {
            large_state_bytes: sizes.large_state_bytes / SCALE,
            chunk_bytes: sizes.chunk_bytes / SCALE,
        };
    }
    let mut world = calm_with(world)?;
    world.bandwidth = Some(SLOW);
    let body: Vec<u8> = (0..real_bytes / SCALE).map(|_| world.rng.next_u64() as u8).collect();
    grow(&mut world, body)?;
    Ok(world)
}

/// Another configuration, with nothing in common with the one before.
fn grow(world: &mut World, body: Vec<u8>) -> Result<(), String> {
    let primary = current_primary(world)?;
    let change = Change { body, ..world.fresh_change(primary) };
    let reply = reply_at(world, primary, Kind::Change(change), 1_200)?;
    ensure(
        matches!(reply, Some(ClientReply::ChangeCommitted { .. })),
        &format!("the large one is answered {reply:?}"),
    )
}

/// A change of a few bytes somewhere in the present configuration.
fn small_change(world: &mut World, machine: usize) -> Option<Change> {
    let state = world.node(machine)?.committed_state()?.clone();
    let number = world.rng.next_u64();
    let mut body = state.body.to_vec();
    let at = world.below(body.len() as u64) as usize;
    let end = (at + 40).min(body.len());
    body.splice(at..end, number.to_le_bytes().repeat(5).into_iter().take(end - at));
    Some(Change { base: state.revision, revision: state.revision + 1, digest: digest(number), body })
}

/// Changes follow each other for a while; says how many were taken.
fn stream(world: &mut World, span: u64) -> Result<u64, String> {
    let (before, end) = (world.checker.taken, world.now + span);
    let mut open: Option<(u64, u64)> = None;
    while world.now < end {
        let waits = open.is_some_and(|(request_id, at)| {
            world.checker.reply(request_id).is_none() && world.now < at + 1_400
        });
        let primary = world.primary().filter(|p| world.node(*p).is_some_and(Node::is_primary));
        if let Some(primary) = primary.filter(|_| !waits)
            && let Some(change) = small_change(world, primary)
        {
            open = Some((world.send_request(primary, Kind::Change(change)), world.now));
        }
        world.run(PAUSE)?;
    }
    Ok(world.checker.taken - before)
}

/// How far a machine is behind the newest committed state, in revisions.
fn behind(world: &World, machine: usize) -> Result<u64, String> {
    let known = world.node(machine).and_then(Node::committed_state).map_or(0, |s| s.revision);
    let primary = current_primary(world)?;
    let newest = world.node(primary).and_then(Node::committed_state).map_or(0, |s| s.revision);
    Ok(newest.saturating_sub(known))
}

/// Streams until the machine has caught up; says after how long.
fn catches_up(world: &mut World, machine: usize, most: u64) -> Result<u64, String> {
    let start = world.now;
    while world.now < start + most {
        stream(world, 90)?;
        if world.node(machine).is_some_and(|n| n.committed_state().is_some()) && behind(world, machine)? <= 3
        {
            return Ok(world.now - start);
        }
    }
    Err(format!("at {}: m{machine} is {} behind", world.now, behind(world, machine)?))
}

fn wiped_member(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    for seed in 0..3 {
        let mut world = fleet(seed, 3, 1, 3_000_000, injected_fault)?;
        let taken = stream(&mut world, 1_500)?;
        ensure(taken >= 30, &format!("{taken} changes in 1.5 s"))?;
        let (_, backups, witnesses) = roles(&world)?;
        let wiped = if seed == 0 { backups[0] } else { witnesses[0] };
        world.act(Act::Wipe(vec![wiped]));
        world.start(wiped);
        catches_up(&mut world, wiped, 3_000)?;
        let taken = stream(&mut world, 1_500)?;
        ensure(taken >= 30, &format!("{taken} changes in 1.5 s after it"))?;
        ensure(behind(&world, wiped)? <= 3, "it falls behind again")?;
    }
    Ok(())
}

#[test]
fn a_wiped_member_catches_up_while_changes_go_on() {
    holds_and_finds(wiped_member, InjectedFault::FullStates);
}

/// A member is away for hundreds of changes.
fn restarted_member(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    for seed in 3..6 {
        let mut world = fleet(seed, 3, 1, 3_000_000, injected_fault)?;
        let (_, backups, witnesses) = roles(&world)?;
        let away = if seed == 3 { backups[0] } else { witnesses[0] };
        world.act(Act::Kill(vec![away]));
        let mut taken = 0;
        while taken < 300 && world.now < 30_000 {
            taken += stream(&mut world, 1_000)?;
        }
        ensure(taken >= 300, &format!("{taken} changes in 25 s"))?;
        world.start(away);
        catches_up(&mut world, away, 2_500)?;
    }
    Ok(())
}

#[test]
fn a_restarted_member_catches_up_after_hundreds_of_changes() {
    holds_and_finds(restarted_member, InjectedFault::FullStates);
}

#[test]
fn a_leader_elected_after_hundreds_of_changes_has_the_newest_state() {
    for seed in 6..9 {
        let scenario = || {
            let mut world = fleet(seed, 4, 1, 3_000_000, None)?;
            for _ in 0..2 {
                let taken = stream(&mut world, 6_000)?;
                ensure(taken >= 100, &format!("{taken} changes in 6 s"))?;
                let old = current_primary(&world)?;
                world.act(Act::WipePrimary(0));
                world.run(2_000)?;
                let new = primary_other_than(&world, old)?;
                let reply = reply_at(&mut world, new, Kind::Read, 300)?;
                ensure(
                    matches!(reply, Some(ClientReply::CurrentState { .. })),
                    "the new primary doesn't answer",
                )?;
                world.start(old);
                catches_up(&mut world, old, 3_000)?;
                // The fleet makes up for the lost disk.
                stream(&mut world, 3_000)?;
            }
            world.settle()
        };
        scenario().unwrap_or_else(|what: String| panic!("seed {seed}: {what}"));
    }
}

/// Whoever takes over lacks the state, and gets it from the only one that has it still.
fn fetched_state(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    let mut world = fleet(9, 3, 1, 4_000_000, injected_fault)?;
    stream(&mut world, 1_000)?;
    // A third of the usual link: the state needs 0.8 s.
    world.bandwidth = Some(Bandwidth { link: 500, ..SLOW });
    let (primary, backups, witnesses) = roles(&world)?;
    let (from, term) = world.node(primary).map(|n| (n.local_member(), n.term())).ok_or("none")?;
    // The witness knows what is committed in memory only.
    world.kill(witnesses[0], false);
    world.start(witnesses[0]);
    world.act(Act::Kill(vec![primary]));
    world.step(witnesses[0], Input::Message { from, message: Message::TransferLeadership { term } });
    world.run(1_400)?;
    ensure(world.node(witnesses[0]).is_some_and(Node::is_primary), "the witness doesn't lead")?;
    ensure(world.node(backups[0]).is_some_and(|n| !n.is_primary()), "two lead")?;
    let taken = stream(&mut world, 1_000)?;
    ensure(taken >= 10, &format!("{taken} changes in a second"))
}

#[test]
fn a_take_over_waits_for_a_large_state_that_is_on_its_way() {
    holds_and_finds(fetched_state, InjectedFault::IgnoreTransferProgress);
}

#[test]
fn the_largest_configuration_is_taken_and_one_byte_more_is_refused() {
    let scenario = || {
        let mut world = World::new(10, 3, 1, None);
        world.machines.iter_mut().for_each(|m| m.settings.chunk_sizes = ChunkSizes::default());
        world.noise = 0;
        world.run(3_000)?;
        let primary = current_primary(&world)?;
        for (length, taken) in [(MAX_BODY_BYTES, true), (MAX_BODY_BYTES + 1, false), (10, true)] {
            let change = world.fresh_change(primary);
            let change = Change { body: vec![b'x'; length], ..change };
            let reply = reply_at(&mut world, primary, Kind::Change(change), 1_000)?;
            let fine = match taken {
                true => matches!(reply, Some(ClientReply::ChangeCommitted { .. })),
                false => reply == Some(ClientReply::TooLarge),
            };
            ensure(fine, &format!("{length} bytes: {reply:?}"))?;
        }
        world.settle()
    };
    scenario().unwrap_or_else(|what: String| panic!("{what}"));
}

/// The largest configuration that is taken, on five machines.
fn largest_on_five_machines(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    let mut world = fleet(12, 5, 2, 4_000_000, injected_fault)?;
    let taken = stream(&mut world, 1_500)?;
    ensure(taken >= 30, &format!("{taken} changes in 1.5 s"))?;
    let (_, backups, _) = roles(&world)?;
    world.act(Act::Wipe(vec![backups[0]]));
    world.start(backups[0]);
    catches_up(&mut world, backups[0], 4_000).map(|_| ())
}

#[test]
fn the_largest_configuration_is_replicated_on_five_machines() {
    holds_and_finds(largest_on_five_machines, InjectedFault::FullStates);
}

/// Random troubles while changes go on, each healed; no rule is broken, and all know all in the end.
fn troubles(seed: u64) -> Result<(), String> {
    let (machines, failures) = if seed.is_multiple_of(3) { (5, 2) } else { (3, 1) };
    let mut world = fleet(seed, machines, failures, 3_000_000, None)?;
    for _ in 0..5 {
        stream(&mut world, 500)?;
        let some = world.some(failures);
        let act = match world.below(8) {
            0 => Act::Kill(some),
            1 => Act::Power(world.standing()),
            2 => Act::Wipe(some),
            3 => Act::WipePrimary(0),
            4 => Act::Freeze(some),
            5 => Act::Terminate(some[0]),
            6 => Act::Cut(some.iter().flat_map(|m| links_of(&world, *m)).collect()),
            _ => Act::Full(some),
        };
        world.act(act);
        stream(&mut world, 1_500)?;
        world.heal();
        stream(&mut world, 4_500)?;
        let body = (0..300_000).map(|_| world.rng.next_u64() as u8).collect();
        grow(&mut world, body)?;
    }
    world.settle()
}

#[test]
fn large_states_are_kept_through_troubles() {
    let broken: Vec<String> =
        (0..24).filter_map(|seed| troubles(seed).err().map(|what| format!("seed {seed}: {what}"))).collect();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Wipes a witness while changes go on; says after how long it has caught up, and how many changes were taken in the two
/// seconds before.
fn catch_up(
    seed: u64,
    failures: usize,
    real_bytes: usize,
    injected_fault: Option<InjectedFault>,
) -> Result<(u64, u64), String> {
    let mut world = fleet(seed, 2 * failures + 1, failures, real_bytes, injected_fault)?;
    let taken = stream(&mut world, 2_000)?;
    let (_, _, witnesses) = roles(&world)?;
    world.act(Act::Wipe(witnesses[..1].to_vec()));
    world.start(witnesses[0]);
    Ok((catches_up(&mut world, witnesses[0], 4_000)?, taken))
}

/// Prints how long a wiped member needs by the size of the configuration, as it is and with full states as it was.
#[test]
fn time_to_catch_up_by_size() {
    for (failures, real_bytes) in
        [(1, 100_000), (1, 1_000_000), (1, 4_000_000), (2, 1_000_000), (2, 4_000_000)]
    {
        for injected_fault in [None, Some(InjectedFault::FullStates)] {
            let spans: Vec<_> =
                (0..5).map(|seed| catch_up(seed, failures, real_bytes, injected_fault)).collect();
            println!("f = {failures}, {real_bytes} bytes, {injected_fault:?}: {spans:?}");
            assert!(
                injected_fault.is_some() || spans.iter().all(Result::is_ok),
                "{real_bytes} bytes: {spans:?}"
            );
        }
    }
}

/// Prints what a small change costs, as it is and with full states as it was.
#[test]
fn bytes_of_a_change_by_size() {
    for real_bytes in [100_000, 3_000_000] {
        let mut figures = Vec::new();
        for injected_fault in [Some(InjectedFault::FullStates), None] {
            let scenario = || {
                let mut world = World::new(11, 3, 1, injected_fault);
                world.noise = 0;
                world.run(3_000)?;
                let fast = 1 << 30;
                let limits = Bandwidth { link: fast, disk: fast, max_message: fast, large_message: fast };
                world.bandwidth = Some(limits);
                for machine in &mut world.machines {
                    machine.settings.log_rewrite_bytes = 4 << 20;
                }
                // New settings hold from a start on.
                for machine in 0..3 {
                    world.kill(machine, false);
                    world.start(machine);
                }
                world.run(3_000)?;
                let body = (0..real_bytes).map(|_| world.rng.next_u64() as u8).collect();
                grow(&mut world, body)?;
                let (sent, written) = (world.sent_bytes, world.written_bytes);
                let taken = stream(&mut world, 600)?;
                Ok((
                    taken,
                    (world.sent_bytes - sent) / taken.max(1),
                    (world.written_bytes - written) / taken.max(1),
                ))
            };
            let (taken, sent, written) = scenario().unwrap_or_else(|what: String| panic!("{what}"));
            ensure(taken >= 10, "few changes").unwrap_or_else(|what| panic!("{what}"));
            println!(
                "{real_bytes} bytes, {injected_fault:?}: {taken} changes, {sent} bytes sent and {written} written each"
            );
            figures.push((sent, written));
        }
        let [(sent_before, written_before), (sent, written)] = figures[..] else { panic!("two figures") };
        assert!(sent * 20 < sent_before, "{sent} of {sent_before} bytes sent");
        assert!(written * 20 < written_before, "{written} of {written_before} bytes written");
    }
}
