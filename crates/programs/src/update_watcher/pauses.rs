//! The delays of the watch slots. They differ by slot, so that the slots do not all call at the same time.

use mosshead_time::Duration;

/// The number of control nodes that a proxy watches at the same time. The first slot receives changed registry
/// entries. The other slots are only notified of them, and fetch them if the first slot does not deliver them.
pub const WATCH_SLOTS: usize = 3;

/// The delay of the first slot before its next call, after a newer configuration was announced. Each further slot
/// waits for this much longer. Changes in quick succession are thus fetched together, and if the control node of a
/// slot fails, the next slot calls only this much later.
const REQUERY_PAUSE: Duration = Duration::from_millis(50);
/// The delay of the first slot before it switches to another control node.
const SWITCH_PAUSE: Duration = Duration::from_millis(60);
/// The increase of this delay with each further slot.
const SWITCH_PAUSE_PER_SLOT: Duration = Duration::from_millis(40);
/// The delay, for each preceding slot, before a slot fetches entries that the first slot has not delivered.
const ENTRY_PAUSE_PER_SLOT: Duration = Duration::from_millis(100);

/// The delay of a slot before its next call, after a newer configuration was announced.
pub fn requery_pause(slot: usize) -> Duration {
    REQUERY_PAUSE * (1 + slot.min(WATCH_SLOTS - 1) as u32)
}

/// The delay of a slot before it switches to another control node.
pub(super) fn switch_pause(slot: usize) -> Duration {
    SWITCH_PAUSE + SWITCH_PAUSE_PER_SLOT * slot as u32
}

/// The delay of a slot before it fetches newer entries itself, instead of leaving this to the preceding slots.
pub(super) fn entry_pause(slot: usize) -> Duration {
    ENTRY_PAUSE_PER_SLOT * slot as u32
}
