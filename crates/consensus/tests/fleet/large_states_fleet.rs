//! Fleets with large states on slow links, while changes go on.
//!
//! The sizes, and the speeds of links and disks, are a tenth of the real ones, so that all times are real: a body of 300
//! KB stands for 3 MB, a link of 1,500 bytes per millisecond for one of 120 Mbit/s.

use mosshead_consensus::{ChunkSizes, ClientReply, ControlState, InjectedFault, Node};
use mosshead_time::{Duration, Instant};
use mosshead_virtual_fleet::millis;

use crate::checker::{Change, RequestKind, digest};
use crate::simulation::{Bandwidth, Simulation};
use crate::support::{current_primary, ensure, reply_at, start_without_noise};

const SCALE: usize = 10;
pub(crate) const SLOW: Bandwidth = Bandwidth {
    link_bytes_per_ms: 1_500,
    disk_bytes_per_ms: 5_000,
    max_message_bytes: (8 << 20) / 10,
    large_message_bytes: (64 << 10) / 10,
};
/// The time between changes.
const CHANGE_INTERVAL: Duration = millis(30);
/// A change is abandoned after this long without a reply.
const CHANGE_TIMEOUT: Duration = millis(1_400);
/// The time in which a change that replaces the whole body is committed.
const LARGE_COMMIT_TIME: Duration = millis(1_200);
/// A machine has caught up if it is at most this many revisions behind.
pub(crate) const MAX_LAG: u64 = 3;

/// Starts a fleet whose configuration has `real_bytes` before scaling.
pub(crate) fn fleet(
    seed: u64,
    machines: usize,
    tolerated_failures: usize,
    real_bytes: usize,
    injected_fault: Option<InjectedFault>,
) -> Result<Simulation, String> {
    let mut simulation = Simulation::new(seed, machines, tolerated_failures, injected_fault);
    for machine in &mut simulation.machines {
        machine.settings.log_rewrite_bytes = (4 << 20) / SCALE;
        let sizes = ChunkSizes::default();
        machine.settings.chunk_sizes = ChunkSizes {
            large_state_bytes: sizes.large_state_bytes / SCALE,
            chunk_bytes: sizes.chunk_bytes / SCALE,
        };
    }
    let mut simulation = start_without_noise(simulation)?;
    simulation.bandwidth = Some(SLOW);
    replace_body(&mut simulation, real_bytes / SCALE)?;
    Ok(simulation)
}

/// Commits a random configuration of this length, which has nothing in common with the previous one.
pub(crate) fn replace_body(simulation: &mut Simulation, bytes: usize) -> Result<(), String> {
    let body = (0..bytes).map(|_| simulation.random.next_u64() as u8).collect();
    let primary = current_primary(simulation)?;
    let change = Change { body, ..simulation.new_change(primary) };
    let reply = reply_at(simulation, primary, RequestKind::Change(change), LARGE_COMMIT_TIME)?;
    ensure(
        matches!(reply, Some(ClientReply::ChangeCommitted { .. })),
        &format!("the reply to the large change is {reply:?}"),
    )
}

/// A change of a few bytes somewhere in the current configuration.
fn small_change(simulation: &mut Simulation, machine: usize) -> Option<Change> {
    let state = simulation.node(machine)?.committed_state()?.clone();
    let number = simulation.random.next_u64();
    let mut body = state.body.to_vec();
    let start = simulation.random.index(body.len());
    let end = (start + 40).min(body.len());
    body.splice(start..end, number.to_le_bytes().repeat(5).into_iter().take(end - start));
    Some(Change { base: state.revision, revision: state.revision + 1, digest: digest(number), body })
}

/// Sends changes one after another for a span. Returns how many were accepted.
pub(crate) fn stream_changes(simulation: &mut Simulation, span: Duration) -> Result<u64, String> {
    let (before, end) = (simulation.checker.accepted_count, simulation.now() + span);
    let mut open: Option<(u64, Instant)> = None;
    while simulation.now() < end {
        let is_waiting = open.is_some_and(|(request_id, sent_at)| {
            simulation.checker.reply(request_id).is_none() && simulation.now() < sent_at + CHANGE_TIMEOUT
        });
        let is_primary = |machine: &usize| simulation.node(*machine).is_some_and(Node::is_primary);
        let primary = simulation.primary().filter(is_primary);
        if let Some(primary) = primary.filter(|_| !is_waiting)
            && let Some(change) = small_change(simulation, primary)
        {
            let request_id = simulation.send_request(primary, RequestKind::Change(change));
            open = Some((request_id, simulation.now()));
        }
        simulation.run(CHANGE_INTERVAL)?;
    }
    Ok(simulation.checker.accepted_count - before)
}

/// Sends changes one after another for a span, of which at least `min_accepted` have to be accepted.
pub(crate) fn stream_at_least(
    simulation: &mut Simulation,
    span: Duration,
    min_accepted: u64,
) -> Result<(), String> {
    let accepted = stream_changes(simulation, span)?;
    ensure(accepted >= min_accepted, &format!("{accepted} changes in {span:?}"))
}

/// The number of revisions that a machine is behind the newest committed state.
pub(crate) fn lag(simulation: &Simulation, machine: usize) -> Result<u64, String> {
    let revision = |machine| committed_state(simulation, machine).map_or(0, |state| state.revision);
    let newest = revision(current_primary(simulation)?);
    Ok(newest.saturating_sub(revision(machine)))
}

fn committed_state(simulation: &Simulation, machine: usize) -> Option<&ControlState> {
    simulation.node(machine).and_then(Node::committed_state)
}

/// Sends changes one after another until the machine has caught up. Returns how long that took.
pub(crate) fn stream_until_caught_up(
    simulation: &mut Simulation,
    machine: usize,
    max_span: Duration,
) -> Result<Duration, String> {
    let start = simulation.now();
    while simulation.now() < start + max_span {
        stream_changes(simulation, millis(90))?;
        if committed_state(simulation, machine).is_some() && lag(simulation, machine)? <= MAX_LAG {
            return Ok(simulation.now() - start);
        }
    }
    Err(format!("at {}: m{machine} is {} behind", simulation.now(), lag(simulation, machine)?))
}
