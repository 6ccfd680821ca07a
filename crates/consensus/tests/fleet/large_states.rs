//! Large states on slow links while changes go on: nodes that were down catch up, and each primary has the newest state.

use std::fmt;

use mosshead_consensus::{ChunkSizes, ClientReply, InjectedFault, Input, MAX_BODY_BYTES, Message, Node};
use mosshead_time::{Duration, Instant};
use mosshead_virtual_fleet::{Noise, millis};

use crate::checker::{Change, RequestKind};
use crate::fault_actions::FaultAction;
use crate::large_states_fleet::{
    MAX_LAG, SLOW, fleet, lag, replace_body, stream_at_least, stream_changes, stream_until_caught_up,
};
use crate::simulation::{Bandwidth, Kill, Simulation};
use crate::support::{
    Roles, current_primary, ensure, links_of, passes, passes_and_detects, primary_other_than, reply_at, roles,
};

/// The sizes of a large configuration and of the largest one, before scaling.
const LARGE_BYTES: usize = 3_000_000;
const LARGEST_BYTES: usize = 4_000_000;

/// The latest end of a machine's absence.
const END_OF_ABSENCE: Instant = Instant::from_millis(30_000);

fn wiped_member(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    for seed in 0..3 {
        let mut simulation = fleet(seed, 3, 1, LARGE_BYTES, injected_fault)?;
        stream_at_least(&mut simulation, millis(1_500), 30)?;
        let Roles { backups, witnesses, .. } = roles(&simulation)?;
        let wiped = if seed == 0 { backups[0] } else { witnesses[0] };
        simulation.apply(FaultAction::Wipe(vec![wiped]));
        simulation.start(wiped);
        stream_until_caught_up(&mut simulation, wiped, millis(3_000))?;
        stream_at_least(&mut simulation, millis(1_500), 30)?;
        ensure(lag(&simulation, wiped)? <= MAX_LAG, "it falls behind again")?;
    }
    Ok(())
}

#[test]
fn a_wiped_member_catches_up_while_changes_go_on() {
    passes_and_detects(wiped_member, InjectedFault::AlwaysSendFullStates);
}

/// A member is down for hundreds of changes.
fn restarted_member(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    for seed in 3..6 {
        let mut simulation = fleet(seed, 3, 1, LARGE_BYTES, injected_fault)?;
        let Roles { backups, witnesses, .. } = roles(&simulation)?;
        let stopped = if seed == 3 { backups[0] } else { witnesses[0] };
        simulation.apply(FaultAction::Kill(vec![stopped]));
        let mut accepted = 0;
        while accepted < 300 && simulation.now() < END_OF_ABSENCE {
            accepted += stream_changes(&mut simulation, millis(1_000))?;
        }
        ensure(accepted >= 300, &format!("{accepted} changes in 25 s"))?;
        simulation.start(stopped);
        stream_until_caught_up(&mut simulation, stopped, millis(2_500))?;
    }
    Ok(())
}

#[test]
fn a_restarted_member_catches_up_after_hundreds_of_changes() {
    passes_and_detects(restarted_member, InjectedFault::AlwaysSendFullStates);
}

#[test]
fn a_primary_elected_after_hundreds_of_changes_has_the_newest_state() {
    for seed in 6..9 {
        passes(&format!("seed {seed}"), || {
            let mut simulation = fleet(seed, 4, 1, LARGE_BYTES, None)?;
            for _ in 0..2 {
                stream_at_least(&mut simulation, millis(6_000), 100)?;
                let old = current_primary(&simulation)?;
                simulation.apply(FaultAction::WipePrimary(0));
                simulation.run(millis(2_000))?;
                let new = primary_other_than(&simulation, old)?;
                let reply = reply_at(&mut simulation, new, RequestKind::Read, millis(300))?;
                ensure(
                    matches!(reply, Some(ClientReply::CurrentState { .. })),
                    "the new primary doesn't reply",
                )?;
                simulation.start(old);
                stream_until_caught_up(&mut simulation, old, millis(3_000))?;
                // Time for the fleet to replace the lost disk.
                stream_changes(&mut simulation, millis(3_000))?;
            }
            simulation.check_convergence()
        });
    }
}

/// The node that takes over lacks the state, and fetches it from the only node that still has it.
fn fetched_state(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    let mut simulation = fleet(9, 3, 1, LARGEST_BYTES, injected_fault)?;
    stream_changes(&mut simulation, millis(1_000))?;
    // A third of the default link: the state needs 0.8 s.
    simulation.bandwidth = Some(Bandwidth { link_bytes_per_ms: 500, ..SLOW });
    let Roles { primary, backups, witnesses } = roles(&simulation)?;
    let node = simulation.node(primary).ok_or("the primary is down")?;
    let (from, term) = (node.local_member(), node.term());
    // The witness has the committed state only in memory, and loses it by the restart.
    simulation.kill(witnesses[0], Kill::Process);
    simulation.start(witnesses[0]);
    simulation.apply(FaultAction::Kill(vec![primary]));
    simulation.step(witnesses[0], Input::Message { from, message: Message::TransferLeadership { term } });
    simulation.run(millis(1_400))?;
    let is_primary = |machine: usize| simulation.node(machine).is_some_and(Node::is_primary);
    ensure(is_primary(witnesses[0]), "the witness is not primary")?;
    ensure(simulation.node(backups[0]).is_some_and(|node| !node.is_primary()), "there are two primaries")?;
    stream_at_least(&mut simulation, millis(1_000), 10)
}

#[test]
fn a_take_over_waits_for_a_large_state_that_is_in_transfer() {
    passes_and_detects(fetched_state, InjectedFault::IgnoreTransferProgress);
}

#[test]
fn the_largest_configuration_is_accepted_and_one_byte_more_is_rejected() {
    passes("without a fault", || {
        let mut simulation = Simulation::new(10, 3, 1, None);
        simulation
            .machines
            .iter_mut()
            .for_each(|machine| machine.settings.chunk_sizes = ChunkSizes::default());
        simulation.noise = Noise::NONE;
        simulation.run(millis(3_000))?;
        let primary = current_primary(&simulation)?;
        for (length, is_accepted) in [(MAX_BODY_BYTES, true), (MAX_BODY_BYTES + 1, false), (10, true)] {
            let change = Change { body: vec![b'x'; length], ..simulation.new_change(primary) };
            let reply = reply_at(&mut simulation, primary, RequestKind::Change(change), millis(1_000))?;
            let is_expected = match is_accepted {
                true => matches!(reply, Some(ClientReply::ChangeCommitted { .. })),
                false => reply == Some(ClientReply::TooLarge),
            };
            ensure(is_expected, &format!("{length} bytes: {reply:?}"))?;
        }
        simulation.check_convergence()
    });
}

/// The largest configuration that is accepted, on five machines.
fn largest_on_five_machines(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    let mut simulation = fleet(12, 5, 2, LARGEST_BYTES, injected_fault)?;
    stream_at_least(&mut simulation, millis(1_500), 30)?;
    let Roles { backups, .. } = roles(&simulation)?;
    simulation.apply(FaultAction::Wipe(vec![backups[0]]));
    simulation.start(backups[0]);
    stream_until_caught_up(&mut simulation, backups[0], millis(4_000)).map(|_| ())
}

#[test]
fn the_largest_configuration_is_replicated_on_five_machines() {
    passes_and_detects(largest_on_five_machines, InjectedFault::AlwaysSendFullStates);
}

/// Random faults while changes go on, each of them healed. No rule is violated, and all nodes converge in the end.
fn random_faults(seed: u64) -> Result<(), String> {
    let (machines, failures) = if seed.is_multiple_of(3) { (5, 2) } else { (3, 1) };
    let mut simulation = fleet(seed, machines, failures, LARGE_BYTES, None)?;
    for _ in 0..5 {
        stream_changes(&mut simulation, millis(500))?;
        let some = simulation.pick_some(failures);
        let action = match simulation.random_below(8) {
            0 => FaultAction::Kill(some),
            1 => FaultAction::LosePower(simulation.remaining()),
            2 => FaultAction::Wipe(some),
            3 => FaultAction::WipePrimary(0),
            4 => FaultAction::Pause(some),
            5 => FaultAction::Terminate(some[0]),
            6 => {
                let links = some.iter().flat_map(|machine| links_of(&simulation, *machine));
                FaultAction::CutLinks(links.collect())
            }
            _ => FaultAction::FillDisks(some),
        };
        simulation.apply(action);
        stream_changes(&mut simulation, millis(1_500))?;
        simulation.heal();
        stream_changes(&mut simulation, millis(4_500))?;
        replace_body(&mut simulation, 300_000)?;
    }
    simulation.check_convergence()
}

#[test]
fn large_states_survive_random_faults() {
    let violation = |seed| random_faults(seed).err().map(|violation| format!("seed {seed}: {violation}"));
    let violations: Vec<String> = (0..24).filter_map(violation).collect();
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// How long a wiped witness needs to catch up while changes go on, and how many were accepted in the two seconds before
/// the wipe.
struct CatchUp {
    took: Duration,
    accepted_before: u64,
}

impl fmt::Display for CatchUp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} ({} changes before)", self.took, self.accepted_before)
    }
}

fn catch_up(
    seed: u64,
    tolerated_failures: usize,
    real_bytes: usize,
    injected_fault: Option<InjectedFault>,
) -> Result<CatchUp, String> {
    let machines = 2 * tolerated_failures + 1;
    let mut simulation = fleet(seed, machines, tolerated_failures, real_bytes, injected_fault)?;
    let accepted_before = stream_changes(&mut simulation, millis(2_000))?;
    let Roles { witnesses, .. } = roles(&simulation)?;
    simulation.apply(FaultAction::Wipe(witnesses[..1].to_vec()));
    simulation.start(witnesses[0]);
    let took = stream_until_caught_up(&mut simulation, witnesses[0], millis(4_000))?;
    Ok(CatchUp { took, accepted_before })
}

/// Prints how long a wiped member needs by the size of the configuration, with deltas and with full states.
#[test]
fn a_wiped_member_catches_up_whatever_the_size_of_the_configuration() {
    for (failures, real_bytes) in
        [(1, 100_000), (1, 1_000_000), (1, LARGEST_BYTES), (2, 1_000_000), (2, LARGEST_BYTES)]
    {
        for injected_fault in [None, Some(InjectedFault::AlwaysSendFullStates)] {
            for seed in 0..5 {
                let case = format!("f = {failures}, {real_bytes} bytes, {injected_fault:?}, seed {seed}");
                match catch_up(seed, failures, real_bytes, injected_fault) {
                    Ok(caught_up) => println!("{case}: {caught_up}"),
                    Err(violation) => {
                        println!("{case}: {violation}");
                        assert!(injected_fault.is_some(), "{case}: {violation}");
                    }
                }
            }
        }
    }
}

/// The cost of a small change, in bytes.
#[derive(Clone, Copy)]
struct ChangeCost {
    accepted: u64,
    sent: u64,
    written: u64,
}

fn cost_of_changes(real_bytes: usize, injected_fault: Option<InjectedFault>) -> Result<ChangeCost, String> {
    const UNLIMITED: u64 = 1 << 30;
    let mut simulation = Simulation::new(11, 3, 1, injected_fault);
    simulation.noise = Noise::NONE;
    simulation.run(millis(3_000))?;
    simulation.bandwidth = Some(Bandwidth {
        link_bytes_per_ms: UNLIMITED,
        disk_bytes_per_ms: UNLIMITED,
        max_message_bytes: UNLIMITED,
        large_message_bytes: UNLIMITED,
    });
    for machine in &mut simulation.machines {
        machine.settings.log_rewrite_bytes = 4 << 20;
    }
    // New settings take effect at a restart.
    for machine in 0..3 {
        simulation.kill(machine, Kill::Process);
        simulation.start(machine);
    }
    simulation.run(millis(3_000))?;
    replace_body(&mut simulation, real_bytes)?;
    let (sent, written) = (simulation.sent_bytes, simulation.written_bytes);
    let accepted = stream_changes(&mut simulation, millis(600))?;
    Ok(ChangeCost {
        accepted,
        sent: (simulation.sent_bytes - sent) / accepted.max(1),
        written: (simulation.written_bytes - written) / accepted.max(1),
    })
}

/// Prints the cost of a small change with full states and with deltas.
#[test]
fn a_small_change_costs_at_most_a_twentieth_of_a_full_state() {
    for real_bytes in [100_000, LARGE_BYTES] {
        let [with_full_states, with_deltas] = [Some(InjectedFault::AlwaysSendFullStates), None].map(|injected_fault| {
            let cost = passes("cost of a change", || cost_of_changes(real_bytes, injected_fault));
            let ChangeCost { accepted, sent, written } = cost;
            println!(
                "{real_bytes} bytes, {injected_fault:?}: {accepted} changes, {sent} bytes sent and {written} written each"
            );
            assert!(accepted >= 10, "{accepted} changes");
            cost
        });
        assert!(
            with_deltas.sent * 20 < with_full_states.sent,
            "{} of {} bytes sent",
            with_deltas.sent,
            with_full_states.sent
        );
        assert!(
            with_deltas.written * 20 < with_full_states.written,
            "{} of {} bytes written",
            with_deltas.written,
            with_full_states.written
        );
    }
}
