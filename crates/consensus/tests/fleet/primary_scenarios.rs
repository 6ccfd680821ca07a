//! Scenarios about primaries and backups. Most run without a fault, and with the injected fault that they have to detect.

use mosshead_consensus::{ClientReply, InjectedFault, Input, Message, Node, Timings};
use mosshead_time::Duration;
use mosshead_virtual_fleet::{control_node_address, millis};

use crate::checker::{Change, RequestKind, digest};
use crate::fault_actions::FaultAction;
use crate::simulation::{Kill, Simulation};
use crate::support::{
    LONG_LEASE, Roles, commit_change, commit_change_at, current_primary, ensure, links_of, passes,
    passes_and_detects, primary_other_than, reply_at, roles, stable_fleet, start_without_noise,
};

/// The longest outage after a kill.
const MAX_OUTAGE: Duration = millis(1_500);

/// A fleet whose old primary was cut off, while the new one has committed a change.
struct TwoPrimaries {
    simulation: Simulation,
    old: usize,
    new: usize,
    /// The change that the new primary has committed.
    change: Change,
}

/// A primary whose lease lasts too long is cut off while another one writes.
fn long_lease(injected_fault: Option<InjectedFault>) -> Result<TwoPrimaries, String> {
    let mut simulation = Simulation::new(3, 3, 1, injected_fault);
    for machine in &mut simulation.machines {
        machine.settings.timings = Timings { lease: LONG_LEASE, ..Timings::default() };
    }
    let mut simulation = start_without_noise(simulation)?;
    let old = current_primary(&simulation)?;
    let links = links_of(&simulation, old);
    simulation.apply(FaultAction::CutLinks(links));
    simulation.run(millis(1_500))?;
    let new = primary_other_than(&simulation, old)?;
    let change = commit_change_at(&mut simulation, new, millis(500))?;
    ensure(simulation.node(old).is_some_and(Node::is_primary), "the old primary has stepped down")?;
    Ok(TwoPrimaries { simulation, old, new, change })
}

fn read_at_old_primary(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    let TwoPrimaries { mut simulation, old, .. } = long_lease(injected_fault)?;
    let reply = reply_at(&mut simulation, old, RequestKind::Read, millis(1_400))?;
    ensure(reply == Some(ClientReply::Unavailable), "the old primary replies to a read")
}

fn change_at_old_primary(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    let TwoPrimaries { mut simulation, old, new, change: last } = long_lease(injected_fault)?;
    let next = Change { base: last.revision, revision: last.revision + 1, digest: digest(77), body: vec![7] };
    let old_reply = reply_at(&mut simulation, old, RequestKind::Change(next.clone()), millis(1_400))?;
    let reply = reply_at(&mut simulation, new, RequestKind::Change(next), millis(500))?;
    ensure(matches!(reply, Some(ClientReply::ChangeCommitted { .. })), "the new primary doesn't commit it")?;
    ensure(old_reply == Some(ClientReply::Unavailable), "the old primary decides")
}

#[test]
fn a_read_is_confirmed_by_a_quorum() {
    passes_and_detects(read_at_old_primary, InjectedFault::ReadUnconfirmed);
}

#[test]
fn a_rejection_as_stale_is_confirmed_by_a_quorum() {
    passes_and_detects(change_at_old_primary, InjectedFault::StaleUnconfirmed);
}

/// A backup has promised a term to another member, while its old primary goes on.
fn write_after_promise(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    let mut simulation = Simulation::new(4, 3, 1, injected_fault);
    for machine in &mut simulation.machines {
        machine.settings.timings = Timings { lease: LONG_LEASE, ..Timings::default() };
    }
    let mut simulation = start_without_noise(simulation)?;
    let Roles { primary: old, backups, witnesses } = roles(&simulation)?;
    let (backup, witness) = (backups[0], witnesses[0]);
    simulation.apply(FaultAction::CutLinks(vec![(old, witness), (witness, old)]));
    simulation.apply(FaultAction::StallDisks(vec![backup], millis(60)));
    // The old primary's transfer of its leadership arrives late: it is primary again.
    let (from, term) = simulation
        .node(old)
        .map(|node| (node.local_member(), node.term()))
        .ok_or("the old primary is down")?;
    simulation.step(witness, Input::Message { from, message: Message::TransferLeadership { term } });
    simulation.run(millis(20))?;
    let change = simulation.new_change(old);
    simulation.send_request(old, RequestKind::Change(change));
    simulation.run(millis(300))?;
    let new = primary_other_than(&simulation, old)?;
    let reply = reply_at(&mut simulation, new, RequestKind::Read, millis(300))?;
    ensure(matches!(reply, Some(ClientReply::CurrentState { .. })), "the new primary doesn't reply")
}

#[test]
fn a_backup_accepts_no_write_below_the_term_that_it_has_promised() {
    passes_and_detects(write_after_promise, InjectedFault::ForgetPromise);
}

/// A primary that was cut off has written a change with a high revision, which was never committed.
fn high_revision(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    let mut simulation = stable_fleet(4, 3, 1, injected_fault)?;
    let old = current_primary(&simulation)?;
    let links = links_of(&simulation, old);
    simulation.apply(FaultAction::CutLinks(links));
    let change = simulation.new_change(old);
    let change = Change { revision: change.base + 100, ..change };
    simulation.send_request(old, RequestKind::Change(change));
    simulation.run(millis(1_500))?;
    let new = primary_other_than(&simulation, old)?;
    commit_change_at(&mut simulation, new, millis(500))?;
    simulation.heal();
    simulation.run(millis(300))?;
    simulation.kill(new, Kill::Process);
    simulation.run(millis(1_500))?;
    let third = current_primary(&simulation)?;
    let reply = reply_at(&mut simulation, third, RequestKind::Read, millis(300))?;
    ensure(matches!(reply, Some(ClientReply::CurrentState { .. })), "the third primary doesn't reply")
}

#[test]
fn the_newest_state_has_the_highest_write_term() {
    passes_and_detects(high_revision, InjectedFault::NewestByRevision);
}

fn primary_without_input(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    let mut simulation = stable_fleet(5, 3, 1, injected_fault)?;
    let old = current_primary(&simulation)?;
    let links = simulation.remaining().into_iter().map(|other| (other, old)).collect();
    simulation.apply(FaultAction::CutLinks(links));
    simulation.run(millis(2_000))?;
    let new = primary_other_than(&simulation, old)?;
    commit_change_at(&mut simulation, new, millis(500))?;
    ensure(!simulation.node(old).is_some_and(Node::is_primary), "there are two primaries")?;
    ensure(!simulation.has_quorum_contact(old), "the old primary says that it has quorum contact")
}

#[test]
fn a_primary_that_receives_nothing_steps_down() {
    passes_and_detects(primary_without_input, InjectedFault::IgnorePrimaryLease);
}

#[test]
fn a_primary_whose_messages_are_lost_is_replaced() {
    passes("without a fault", || {
        let mut simulation = stable_fleet(6, 3, 1, None)?;
        let old = current_primary(&simulation)?;
        let links = simulation.remaining().into_iter().map(|other| (old, other)).collect();
        simulation.apply(FaultAction::CutLinks(links));
        simulation.run(millis(1_500))?;
        let new = primary_other_than(&simulation, old)?;
        commit_change_at(&mut simulation, new, millis(500))
    });
}

fn stalled_primary(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    let mut simulation = stable_fleet(7, 3, 1, injected_fault)?;
    let old = current_primary(&simulation)?;
    simulation.apply(FaultAction::StallDisks(vec![old], millis(6_000)));
    let change = simulation.new_change(old);
    let reply = reply_at(&mut simulation, old, RequestKind::Change(change.clone()), millis(1_000))?;
    ensure(reply == Some(ClientReply::Unavailable), "the stalled primary replies")?;
    let new = primary_other_than(&simulation, old)?;
    let reply = reply_at(&mut simulation, new, RequestKind::Change(change), millis(300))?;
    ensure(matches!(reply, Some(ClientReply::ChangeCommitted { .. })), "the next primary doesn't commit it")?;
    simulation.run(millis(6_000))?;
    commit_change(&mut simulation, millis(300)).map(|_| ())
}

#[test]
fn a_primary_with_a_stalled_disk_steps_down() {
    passes_and_detects(stalled_primary, InjectedFault::KeepStalledPrimary);
}

fn stalled_backup(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    let mut simulation = stable_fleet(8, 3, 1, injected_fault)?;
    let Roles { primary, backups, .. } = roles(&simulation)?;
    simulation.apply(FaultAction::StallDisks(backups, millis(6_000)));
    commit_change_at(&mut simulation, primary, millis(700))?;
    commit_change_at(&mut simulation, primary, millis(100)).map(|_| ())
}

#[test]
fn a_backup_with_a_stalled_disk_is_replaced() {
    passes_and_detects(stalled_backup, InjectedFault::KeepStalledBackup);
}

fn full_backup(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    let mut simulation = stable_fleet(9, 3, 1, injected_fault)?;
    let Roles { primary, backups, .. } = roles(&simulation)?;
    simulation.apply(FaultAction::FillDisks(backups));
    commit_change_at(&mut simulation, primary, millis(250)).map(|_| ())
}

#[test]
fn a_backup_reports_its_full_disk() {
    passes_and_detects(full_backup, InjectedFault::AlwaysHealthy);
}

#[test]
fn a_primary_with_a_full_disk_steps_down() {
    passes("without a fault", || {
        let mut simulation = stable_fleet(10, 3, 1, None)?;
        let old = current_primary(&simulation)?;
        simulation.apply(FaultAction::FillDisks(vec![old]));
        let change = simulation.new_change(old);
        let reply = reply_at(&mut simulation, old, RequestKind::Change(change), millis(200))?;
        ensure(reply == Some(ClientReply::Unavailable), "the primary with the full disk replies")?;
        let new = primary_other_than(&simulation, old)?;
        commit_change_at(&mut simulation, new, millis(200))?;
        simulation.heal();
        simulation.run(millis(1_000))?;
        ensure(simulation.node(old).is_some_and(Node::is_healthy), "it doesn't try its disk again")
    });
}

#[test]
fn a_planned_shutdown_names_the_successor() {
    for seed in 20..40 {
        passes(&format!("seed {seed}"), || {
            let mut simulation = stable_fleet(seed, 3, 1, None)?;
            let old = current_primary(&simulation)?;
            let change = simulation.new_change(old);
            let request_id = simulation.send_request(old, RequestKind::Change(change));
            simulation.step(old, Input::ShutDown);
            simulation.run(millis(200))?;
            ensure(
                matches!(simulation.checker.reply(request_id), Some(ClientReply::ChangeCommitted { .. })),
                "the last change is lost",
            )?;
            let new = primary_other_than(&simulation, old)?;
            ensure(!simulation.node(old).is_some_and(Node::is_primary), "it is still primary")?;
            let reply = reply_at(&mut simulation, old, RequestKind::Read, millis(10))?;
            ensure(
                reply == Some(ClientReply::NotPrimary { primary: Some(control_node_address(new)) }),
                "the hint is wrong",
            )?;
            commit_change_at(&mut simulation, new, millis(100))
        });
    }
}

#[test]
fn a_state_is_sent_only_where_it_is_needed() {
    passes("without a fault", || {
        let mut simulation = stable_fleet(15, 3, 1, None)?;
        let before = simulation.sent_state_count;
        commit_change(&mut simulation, millis(1_000))?;
        // To the backup, and to the witness once it is committed.
        let sent = simulation.sent_state_count - before;
        ensure(sent == 2, &format!("the state is sent {sent} times"))?;
        // A primary that takes over from itself rewrites its state under the new term without sending the body.
        let Roles { witnesses, .. } = roles(&simulation)?;
        let before = simulation.sent_state_count;
        simulation.apply(FaultAction::Wipe(witnesses.clone()));
        simulation.start(witnesses[0]);
        simulation.run(millis(1_500))?;
        let sent = simulation.sent_state_count - before;
        ensure(sent == 1, &format!("the state is sent {sent} times to a newcomer"))
    });
}

/// A backup's write of a change is on disk but reported as failed, and is repeated.
fn change_written_twice(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    let mut simulation = Simulation::new(16, 3, 1, injected_fault);
    simulation.machines.iter_mut().for_each(|machine| machine.settings.log_rewrite_bytes = 1 << 20);
    let mut simulation = start_without_noise(simulation)?;
    let Roles { primary, backups, witnesses } = roles(&simulation)?;
    // No witness can replace the backup.
    simulation.apply(FaultAction::Kill(witnesses));
    simulation.run(millis(500))?;
    simulation.machines[backups[0]].disk.false_failure_count = 1;
    commit_change_at(&mut simulation, primary, millis(1_000))?;
    commit_change(&mut simulation, millis(300))?;
    simulation.apply(FaultAction::Kill(backups.clone()));
    simulation.start(backups[0]);
    simulation.run(millis(2_000))?;
    commit_change(&mut simulation, millis(300)).map(|_| ())
}

#[test]
fn a_change_is_written_only_after_the_state_before_it() {
    passes_and_detects(change_written_twice, InjectedFault::WriteDeltaOnUncertainState);
}

/// The longest time over the seeds from a loss until `is_back` returns true. A change has to be committed right after that.
fn longest_outage(
    seeds: std::ops::Range<u64>,
    lose: impl Fn(&mut Simulation, u64) -> Result<(), String>,
    is_back: impl Fn(&Simulation, usize) -> bool,
) -> Duration {
    let outage = |seed: u64| {
        let failures = 1 + seed as usize % 2;
        let mut simulation = stable_fleet(seed, 2 * failures + 1, failures, None)?;
        let old = current_primary(&simulation)?;
        lose(&mut simulation, seed)?;
        let since = simulation.now();
        while !is_back(&simulation, old) && simulation.now() < since + millis(3_000) {
            simulation.run(millis(10))?;
        }
        let took = simulation.now() - since;
        commit_change(&mut simulation, millis(200))?;
        Ok(took)
    };
    let outages = seeds.map(|seed| passes(&format!("seed {seed}"), || outage(seed)));
    outages.max().unwrap_or_default()
}

#[test]
fn a_killed_primary_is_replaced_within_1500_ms() {
    let kill = |simulation: &mut Simulation, seed: u64| {
        let old = current_primary(simulation)?;
        simulation.kill(old, if seed.is_multiple_of(3) { Kill::PowerLoss } else { Kill::Process });
        Ok(())
    };
    let worst = longest_outage(100..160, kill, |simulation, old| primary_other_than(simulation, old).is_ok());
    println!("worst take-over: {worst:?}");
    assert!(worst <= MAX_OUTAGE, "{worst:?}");
}

#[test]
fn a_fleet_that_was_killed_is_back_within_1500_ms() {
    let kill = |simulation: &mut Simulation, _| {
        simulation.kill_all(&simulation.remaining(), Kill::PowerLoss);
        simulation.remaining().into_iter().for_each(|machine| simulation.start(machine));
        Ok(())
    };
    let worst = longest_outage(200..260, kill, |simulation, _| current_primary(simulation).is_ok());
    println!("worst return: {worst:?}");
    assert!(worst <= MAX_OUTAGE, "{worst:?}");
}

/// Responses to heartbeats arrive out of order, and no others follow. The lease counts from the newest heartbeat that was
/// answered, not from the one whose response arrived last.
#[test]
fn a_late_response_does_not_shorten_the_lease() {
    for seed in 70..90 {
        passes(&format!("seed {seed}"), || {
            let mut simulation = stable_fleet(seed, 3, 1, None)?;
            let primary = current_primary(&simulation)?;
            let others = simulation.remaining().into_iter().filter(|machine| *machine != primary);
            simulation.buffering_links = others.map(|other| (other, primary)).collect();
            simulation.run(millis(400))?;
            simulation.flush_links_in_reverse();
            simulation.run(millis(1))?;
            let links = links_of(&simulation, primary);
            simulation.apply(FaultAction::CutLinks(links));
            simulation.run(millis(400))?;
            ensure(simulation.has_quorum_contact(primary), "the lease has ended too early")?;
            simulation.run(millis(400))?;
            ensure(!simulation.has_quorum_contact(primary), "the lease lasts too long")
        });
    }
}

/// The fleet was restarted with a lower `max_failures`: of five members two hold the state. The other three are a
/// majority, but lack the last change.
#[test]
fn a_majority_without_a_holder_of_the_state_elects_no_primary() {
    passes("both holders are lost", || {
        let mut simulation = stable_fleet(91, 5, 2, None)?;
        let all = simulation.remaining();
        for machine in all {
            simulation.kill(machine, Kill::Process);
            simulation.machines[machine].settings.max_failures = 1;
            simulation.start(machine);
        }
        simulation.run(millis(2_000))?;
        let Roles { primary, backups, .. } = roles(&simulation)?;
        ensure(backups.len() == 1, "the tolerance is as before")?;
        // The witnesses do not learn that the change is committed.
        let holders = [primary, backups[0]];
        let witnesses: Vec<usize> =
            simulation.remaining().into_iter().filter(|machine| !holders.contains(machine)).collect();
        let links = witnesses.iter().flat_map(|witness| holders.map(|holder| (holder, *witness))).collect();
        simulation.apply(FaultAction::CutLinks(links));
        commit_change_at(&mut simulation, primary, millis(300))?;
        holders.into_iter().for_each(|holder| simulation.kill(holder, Kill::Process));
        simulation.links.heal();
        simulation.run(millis(3_000))?;
        ensure(simulation.primary().is_none(), "a majority without the state has a primary")?;
        simulation.start(backups[0]);
        simulation.run(millis(2_000))?;
        let next = current_primary(&simulation)?;
        let reply = reply_at(&mut simulation, next, RequestKind::Read, millis(300))?;
        ensure(matches!(reply, Some(ClientReply::CurrentState { .. })), "the next primary doesn't reply")
    });
}

/// Each machine has a CPU quota: in every 100 ms it runs for the first part and stalls for the rest. Leases, timers and
/// heartbeats must tolerate that: the primary stays, and changes are committed.
#[test]
fn stalls_of_90_ms_in_every_100_ms_do_not_replace_the_primary() {
    for seed in 200..220 {
        passes(&format!("seed {seed}"), || {
            let mut simulation = stable_fleet(seed, 3, 1, None)?;
            let old = current_primary(&simulation)?;
            let machines = simulation.remaining();
            let offsets: Vec<u64> = machines.iter().map(|_| simulation.random_below(100)).collect();
            let is_stalled = |millisecond: u64, offset: u64| (millisecond + offset) % 100 >= 10;
            for millisecond in 0..10_000_u64 {
                for (machine, offset) in machines.iter().zip(&offsets) {
                    match is_stalled(millisecond, *offset) {
                        true => simulation.apply(FaultAction::Pause(vec![*machine])),
                        false if simulation.machines[*machine].is_paused => {
                            simulation.resume(*machine);
                            // A timer that was due meanwhile fires now.
                            simulation.step(*machine, Input::Tick);
                        }
                        false => {}
                    }
                }
                simulation.run(millis(1))?;
            }
            machines.iter().for_each(|machine| simulation.resume(*machine));
            ensure(current_primary(&simulation)? == old, "another node is primary")?;
            commit_change(&mut simulation, millis(500)).map(|_| ())
        });
    }
}
