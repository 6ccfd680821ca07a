//! Requests that are repeated, even hundreds of changes later, are acknowledged or get no definite reply, but are never
//! rejected.

use mosshead_consensus::{ClientReply, DEDUPLICATION_WINDOW, InjectedFault, Node, Timings};
use mosshead_time::Duration;
use mosshead_virtual_fleet::millis;

use crate::checker::RequestKind;
use crate::fault_actions::FaultAction;
use crate::simulation::{CALLER_TIMEOUT, Simulation};
use crate::support::{
    Roles, commit_change, current_primary, ensure, passes, passes_and_detects, reply_at, roles, stable_fleet,
    start_without_noise,
};

/// More changes than the number of requests that a state remembers.
const CHANGE_COUNT: usize = 300;
/// Longer than the disk of the scenario stalls.
const LONG_WRITE_TIMEOUT: Duration = millis(10_000);

/// Commits some hundred changes, and then repeats each of them.
fn repeated_after_hundreds(injected_fault: Option<InjectedFault>) -> Result<(), String> {
    let mut simulation = stable_fleet(11, 3, 1, injected_fault)?;
    let mut changes = Vec::new();
    for _ in 0..CHANGE_COUNT {
        changes.push(commit_change(&mut simulation, millis(60))?);
    }
    let primary = current_primary(&simulation)?;
    let mut acknowledged = 0;
    for change in changes {
        let reply = reply_at(&mut simulation, primary, RequestKind::Change(change), millis(250))?;
        acknowledged += usize::from(matches!(reply, Some(ClientReply::ChangeCommitted { .. })));
    }
    ensure(
        acknowledged == DEDUPLICATION_WINDOW,
        &format!("{acknowledged} of the latest requests are acknowledged again"),
    )
}

#[test]
fn a_change_accepted_hundreds_of_changes_ago_is_never_rejected() {
    passes_and_detects(repeated_after_hundreds, InjectedFault::RejectExpired);
}

/// The backup's disk stalls for longer than the caller waits: there is no definite reply in time, but the write goes on.
fn write_outlasts_its_caller() -> Result<(), String> {
    let mut simulation = Simulation::new(12, 3, 1, None);
    for machine in &mut simulation.machines {
        machine.settings.timings = Timings {
            backup_write_timeout: LONG_WRITE_TIMEOUT,
            unhealthy_write_timeout: LONG_WRITE_TIMEOUT,
            local_write_timeout: LONG_WRITE_TIMEOUT,
            ..Timings::default()
        };
    }
    let mut simulation = start_without_noise(simulation)?;
    let Roles { primary, backups, .. } = roles(&simulation)?;
    simulation.apply(FaultAction::StallDisks(backups, millis(1_500)));
    let change = simulation.new_change(primary);
    let kind = RequestKind::Change(change.clone());
    let first = reply_at(&mut simulation, primary, kind.clone(), CALLER_TIMEOUT)?;
    ensure(first == Some(ClientReply::Unavailable), &format!("the caller gets {first:?} in time"))?;
    simulation.run(millis(1_000))?;
    let committed = simulation.node(primary).and_then(Node::committed_state).map(|state| state.revision);
    ensure(committed == Some(change.revision), "the write in flight is not finished")?;
    for machine in simulation.running() {
        let second = reply_at(&mut simulation, machine, kind.clone(), millis(500))?;
        let is_expected = match second {
            Some(ClientReply::ChangeCommitted { .. }) => machine == primary,
            Some(ClientReply::NotPrimary { .. }) => machine != primary,
            _ => false,
        };
        ensure(is_expected, &format!("m{machine} replies {second:?} to the repeat"))?;
    }
    Ok(())
}

#[test]
fn a_write_whose_caller_has_left_is_finished_and_its_repeat_acknowledged() {
    passes("without a fault", write_outlasts_its_caller);
}
