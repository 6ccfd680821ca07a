//! The pauses of the watch slots. Each slot has its own, so that the slots do not all call at the same moment.

use mosshead_time::Duration;

/// How many control nodes a proxy watches at once. The first slot is given entries of the registry as they change; the
/// others only learn that there are newer ones, and fetch them if the first slot does not receive them.
pub const WATCH_SLOTS: usize = 3;

/// The pause of the first slot before it calls again after a newer configuration was announced; it is longer by the same
/// time with each further slot. Changes that follow each other closely are fetched together, and where the control node
/// of a slot is lost, the next slot calls only this much later.
const REQUERY_PAUSE: Duration = Duration::from_millis(50);
/// The pause of the first slot between two control nodes.
const SWITCH_PAUSE: Duration = Duration::from_millis(60);
/// How much longer that pause is with each further slot.
const SWITCH_PAUSE_PER_SLOT: Duration = Duration::from_millis(40);
/// How long a slot waits, for each slot before it, until it fetches entries that the first slot has not brought.
const ENTRY_PAUSE_PER_SLOT: Duration = Duration::from_millis(100);

/// How long a slot waits after a newer configuration was announced until it calls again.
pub fn requery_pause(slot: usize) -> Duration {
    REQUERY_PAUSE * (1 + slot.min(WATCH_SLOTS - 1) as u32)
}

/// How long a slot waits between two control nodes.
pub(super) fn switch_pause(slot: usize) -> Duration {
    SWITCH_PAUSE + SWITCH_PAUSE_PER_SLOT * slot as u32
}

/// How long a slot gives those before it to receive newer entries, until it fetches them itself.
pub(super) fn entry_pause(slot: usize) -> Duration {
    ENTRY_PAUSE_PER_SLOT * slot as u32
}
