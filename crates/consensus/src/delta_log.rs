//! Bounded queues of deltas: the last ones that the primary has committed, and those that arrived out of order.

use core::time::Duration;
use std::collections::VecDeque;

use mosshead_time::Instant;

use crate::control_state::ControlState;
use crate::state_delta::StateDelta;

/// The maximum number of deltas in a queue and in a message.
pub(crate) const MAX_DELTAS: usize = 256;
/// The maximum total size of the deltas in a queue, in bytes.
const MAX_DELTA_BYTES: usize = 1 << 20;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct CommittedDelta {
    committed_at: Instant,
    delta: StateDelta,
}

/// The last deltas that this node has committed as primary. Each delta builds on the one before it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct DeltaLog {
    /// Oldest first.
    deltas: VecDeque<CommittedDelta>,
    /// The estimated size of all `deltas`.
    bytes: usize,
}

impl DeltaLog {
    pub(crate) fn clear(&mut self) {
        self.deltas.clear();
        self.bytes = 0;
    }

    /// Adds a delta. If it does not build on the last one, the previous deltas are dropped.
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

    /// The deltas from a committed revision to the current state, oldest first; none if they are not all in the log.
    pub(crate) fn since(&self, revision: u64, current: &ControlState) -> Option<Vec<StateDelta>> {
        self.deltas.back().filter(|last| last.delta.version().has_same_body(&current.version()))?;
        let first = self.deltas.iter().position(|known| known.delta.previous.revision == revision)?;
        Some(self.deltas.iter().skip(first).map(|known| known.delta.clone()).collect())
    }

    /// The revision that was the committed one `age` ago, where `current` is the present one.
    pub(crate) fn revision_before(&self, now: Instant, age: Duration, current: u64) -> u64 {
        let time = now - age;
        let later = self.deltas.iter().find(|known| known.committed_at > time);
        later.map_or(current, |known| known.delta.previous.revision)
    }
}

/// Committed deltas that arrived before the states that they build on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct OutOfOrderDeltas {
    deltas: VecDeque<StateDelta>,
    /// The estimated size of all `deltas`.
    bytes: usize,
}

impl OutOfOrderDeltas {
    /// Stores a delta until its previous state arrives. Drops the oldest deltas if there are too many.
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

    /// Applies all stored deltas that build on `state`, one after the other, and returns the result.
    pub(crate) fn advance(&self, mut state: ControlState) -> ControlState {
        while let Some(next) = self.deltas.iter().find_map(|delta| delta.apply(&state)) {
            state = next;
        }
        state
    }

    /// Drops the deltas that lead to this revision or a lower one.
    pub(crate) fn drop_up_to(&mut self, revision: u64) {
        self.deltas.retain(|delta| delta.request.revision > revision);
        self.bytes = self.deltas.iter().map(StateDelta::estimated_bytes).sum();
    }
}
