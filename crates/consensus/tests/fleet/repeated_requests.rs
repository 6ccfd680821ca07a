//! Calls that are sent again, also hundreds of changes later: acknowledged or left without a clear answer, never refused.

use mosshead_consensus::{ClientReply, InjectedFault, Node, Timings};
use mosshead_time::Duration;

use crate::checker::Kind;
use crate::day::Act;
use crate::support::{
    calm, calm_with, commit_change, current_primary, ensure, holds_and_finds, reply_at, roles,
};
use crate::world::{CALLER_TIMEOUT, World};

/// More changes than a state remembers calls.
const HUNDREDS: usize = 300;

/// A change that was taken is sent again after every other one of some hundreds.
fn repeated_after_hundreds(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    let mut world = calm(11, 3, 1, injected_fault)?;
    let mut changes = Vec::new();
    for _ in 0..HUNDREDS {
        changes.push(commit_change(&mut world, 60)?);
    }
    let primary = current_primary(&world)?;
    let mut acknowledged = 0;
    for change in changes {
        let reply = reply_at(&mut world, primary, Kind::Change(change), 250)?;
        acknowledged += usize::from(matches!(reply, Some(ClientReply::ChangeCommitted { .. })));
    }
    ensure(
        acknowledged == mosshead_consensus::DEDUPLICATION_WINDOW,
        "the latest calls are acknowledged again",
    )
}

#[test]
fn a_call_taken_hundreds_of_changes_ago_is_never_refused() {
    holds_and_finds(repeated_after_hundreds, InjectedFault::RejectExpired);
}

/// The backup's disk stalls for longer than the caller listens: no clear answer in time, but the write goes on.
fn expired_write() -> Result<(), String> {
    let mut world = World::new(12, 3, 1, None);
    for machine in &mut world.machines {
        let patient = Timings::default();
        machine.settings.timings = Timings {
            backup_write_timeout: Duration::from_millis(10_000),
            unhealthy_write_timeout: Duration::from_millis(10_000),
            local_write_timeout: Duration::from_millis(10_000),
            ..patient
        };
    }
    let mut world = calm_with(world)?;
    let (primary, backups, _) = roles(&world)?;
    world.act(Act::Stall(backups, 1_500));
    let change = world.fresh_change(primary);
    let first = reply_at(&mut world, primary, Kind::Change(change.clone()), CALLER_TIMEOUT)?;
    ensure(first == Some(ClientReply::Unavailable), "the caller gets no answer in time")?;
    world.run(1_000)?;
    let committed = world.node(primary).and_then(Node::committed_state).map(|s| s.revision);
    ensure(committed == Some(change.revision), "the write under way is finished")?;
    for machine in world.running() {
        let again = reply_at(&mut world, machine, Kind::Change(change.clone()), 500)?;
        let fine = match again {
            Some(ClientReply::ChangeCommitted { .. }) => machine == primary,
            Some(ClientReply::NotPrimary { .. }) => machine != primary,
            _ => false,
        };
        ensure(fine, "the repeat is acknowledged, or sent on to who acknowledges it")?;
    }
    Ok(())
}

#[test]
fn a_write_whose_caller_has_left_is_finished_and_its_repeat_acknowledged() {
    if let Err(what) = expired_write() {
        panic!("{what}");
    }
}
