//! Bounded queues of deltas: those that the primary has committed lately, and those that arrived too early.

use core::time::Duration;
use std::collections::VecDeque;

use mosshead_time::Instant;

use crate::control_state::ControlState;
use crate::state_delta::StateDelta;

/// The most deltas in a queue, and in a message.
pub(crate) const MAX_DELTAS: usize = 256;
/// The most bytes of deltas in a queue.
const MAX_DELTA_BYTES: usize = 1 << 20;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct CommittedDelta {
    committed_at: Instant,
    delta: StateDelta,
}

/// The latest deltas that this node has committed as primary, one after the other without a gap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct DeltaLog {
    /// Oldest first.
    deltas: VecDeque<CommittedDelta>,
    /// The sum over `deltas`.
    bytes: usize,
}

impl DeltaLog {
    pub(crate) fn clear(&mut self) {
        self.deltas.clear();
        self.bytes = 0;
    }

    /// Adds a delta; those that it does not follow are dropped.
    pub(crate) fn push(&mut self, now: Instant, delta: StateDelta) {
        let last = self.deltas.back().map(|last| last.delta.version());
        let is_next = last.is_none_or(|last| delta.previous.has_same_body(&last));
        if !is_next || delta.estimated_bytes() > MAX_DELTA_BYTES {
            self.clear();
        }
        self.bytes += delta.estimated_bytes();
        self.deltas.push_back(CommittedDelta { committed_at: now, delta });
        while self.deltas.len() > MAX_DELTAS || self.bytes > MAX_DELTA_BYTES {
            let Some(oldest) = self.deltas.pop_front() else { break };
            self.bytes = self.bytes.saturating_sub(oldest.delta.estimated_bytes());
        }
    }

    /// The deltas from a committed revision to the current state, oldest first; none if some were dropped.
    pub(crate) fn since(&self, revision: u64, current: &ControlState) -> Option<Vec<StateDelta>> {
        self.deltas.back().filter(|last| last.delta.version().has_same_body(&current.version()))?;
        let first = self.deltas.iter().position(|known| known.delta.previous.revision == revision)?;
        Some(self.deltas.iter().skip(first).map(|known| known.delta.clone()).collect())
    }

    /// The revision that was committed `age` ago, given the current one.
    pub(crate) fn revision_before(&self, now: Instant, age: Duration, current: u64) -> u64 {
        let time = now - age;
        let later = self.deltas.iter().find(|known| known.committed_at > time);
        later.map_or(current, |known| known.delta.previous.revision)
    }
}

/// Committed deltas that arrived before the state that they build on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct OutOfOrderDeltas {
    deltas: VecDeque<StateDelta>,
    /// The sum over `deltas`.
    bytes: usize,
}

impl OutOfOrderDeltas {
    /// Stores a delta until its previous state arrives; the oldest ones are dropped when there are too many.
    pub(crate) fn push(&mut self, delta: StateDelta) {
        if self.deltas.iter().any(|known| known.version().has_same_body(&delta.version())) {
            return;
        }
        self.bytes += delta.estimated_bytes();
        self.deltas.push_back(delta);
        while self.deltas.len() > MAX_DELTAS || self.bytes > MAX_DELTA_BYTES {
            let Some(oldest) = self.deltas.pop_front() else { break };
            self.bytes = self.bytes.saturating_sub(oldest.estimated_bytes());
        }
    }

    /// The newest state that the stored deltas make of this one.
    pub(crate) fn advance(&self, mut state: ControlState) -> ControlState {
        while let Some(next) = self.deltas.iter().find_map(|delta| delta.apply(&state)) {
            state = next;
        }
        state
    }

    /// Drops what leads to a state that is known.
    pub(crate) fn drop_up_to(&mut self, revision: u64) {
        self.deltas.retain(|delta| delta.request.revision > revision);
        self.bytes = self.deltas.iter().map(StateDelta::estimated_bytes).sum();
    }
}
