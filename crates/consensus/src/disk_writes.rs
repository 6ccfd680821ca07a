//! Disk writes that the host has not confirmed yet.

use core::time::Duration;
use std::collections::VecDeque;

use mosshead_time::Instant;

use crate::control_state::{ControlState, StateVersion};
use crate::durable_state::{DiskIdentity, LogRecord};
use crate::epoch_config::EpochConfig;
use crate::state_delta::StateDelta;
use crate::term::{Member, Term};

/// A node with this many unconfirmed writes accepts no more writes from other nodes.
const MAX_PENDING_WRITES: usize = 32;

/// The effect of a write once it is synced.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum DurabilityEffect {
    Identity(DiskIdentity),
    /// Nothing under a lower term is accepted any more.
    Promise(Term),
    /// The configuration is accepted, and its term is promised.
    Accept(EpochConfig),
    /// The complete state is written, and its `write_term` is promised.
    State(ControlState),
    /// A delta is written; `state` is the result of applying it.
    Delta {
        delta: StateDelta,
        state: ControlState,
    },
    /// The durable state gets this version; its body is unchanged.
    RewriteUnderNewTerm(StateVersion),
    /// A configuration in which this disk has no vote is stored, for the addresses in it.
    Learned(EpochConfig),
    /// The log is replaced with a snapshot.
    LogRewrite,
}

impl DurabilityEffect {
    /// The log record that causes this effect; none for [`DurabilityEffect::LogRewrite`].
    pub(crate) fn to_record(&self) -> Option<LogRecord> {
        Some(match self {
            DurabilityEffect::Identity(identity) => LogRecord::Identity(identity.clone()),
            DurabilityEffect::Promise(term) => LogRecord::Promise(*term),
            DurabilityEffect::Accept(config) => LogRecord::Accept(config.clone()),
            DurabilityEffect::State(state) => LogRecord::State(state.clone()),
            DurabilityEffect::Delta { delta, .. } => LogRecord::Delta(delta.clone()),
            DurabilityEffect::RewriteUnderNewTerm(version) => LogRecord::RewriteUnderNewTerm(*version),
            DurabilityEffect::Learned(config) => LogRecord::Learned(config.clone()),
            DurabilityEffect::LogRewrite => return None,
        })
    }

    /// The record to apply to the durable state; none for [`DurabilityEffect::LogRewrite`]. For a delta, this is the
    /// complete state, which was computed when the write was queued.
    pub(crate) fn to_durable_record(&self) -> Option<LogRecord> {
        match self {
            DurabilityEffect::Delta { state, .. } => Some(LogRecord::State(state.clone())),
            effect => effect.to_record(),
        }
    }

    /// The state that is written, if any.
    pub(crate) fn state(&self) -> Option<&ControlState> {
        match self {
            DurabilityEffect::State(state) | DurabilityEffect::Delta { state, .. } => Some(state),
            _ => None,
        }
    }

    /// The state version that becomes durable, if any.
    pub(crate) fn version(&self) -> Option<StateVersion> {
        match self {
            DurabilityEffect::RewriteUnderNewTerm(version) => Some(*version),
            effect => effect.state().map(ControlState::version),
        }
    }

    /// The term that becomes promised, if any.
    pub(crate) fn term(&self) -> Option<Term> {
        match self {
            DurabilityEffect::Promise(term) => Some(*term),
            DurabilityEffect::Accept(config) => Some(config.term),
            effect => effect.version().map(|version| version.write_term),
        }
    }
}

/// A write that the host has not confirmed yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingDiskWrite {
    /// Identifies the write. Tokens increase in the order of the records.
    pub(crate) token: u64,
    pub(crate) started_at: Instant,
    pub(crate) effect: DurabilityEffect,
    /// The member for which the write is made: another one gets a response once the write is synced; for this node
    /// itself, its role is notified. None for maintenance writes of the disk.
    pub(crate) requester: Option<Member>,
}

/// The unconfirmed writes, and the consequences of failed ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct PendingDiskWrites {
    /// Oldest first; the host confirms them in this order.
    queue: VecDeque<PendingDiskWrite>,
    next_token: u64,
    /// The time of the last failure; none if a write was confirmed since.
    failed_at: Option<Instant>,
    /// True if the record of a failed write of a state may be in the log. No new record may refer to the durable
    /// state then.
    is_last_state_uncertain: bool,
}

impl PendingDiskWrites {
    /// Returns a new token.
    pub(crate) fn take_token(&mut self) -> u64 {
        let token = self.next_token;
        self.next_token += 1;
        token
    }

    pub(crate) fn push(&mut self, write: PendingDiskWrite) {
        self.queue.push_back(write);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.queue.len() >= MAX_PENDING_WRITES
    }

    /// The age of the oldest unconfirmed write; zero if there is none.
    pub(crate) fn oldest_age(&self, now: Instant) -> Duration {
        self.queue.front().map_or(Duration::ZERO, |write| now - write.started_at)
    }

    /// Removes and returns a write that is synced.
    pub(crate) fn take_synced(&mut self, token: u64) -> Option<PendingDiskWrite> {
        let write = self.remove(token)?;
        self.failed_at = None;
        Some(write)
    }

    /// Removes and returns a write that has failed. Its record may be in the log or not.
    pub(crate) fn take_failed(&mut self, now: Instant, token: u64) -> Option<PendingDiskWrite> {
        let write = self.remove(token)?;
        self.failed_at = Some(now);
        self.is_last_state_uncertain |= write.effect.state().is_some();
        Some(write)
    }

    fn remove(&mut self, token: u64) -> Option<PendingDiskWrite> {
        let index = self.queue.iter().position(|write| write.token == token)?;
        self.queue.remove(index)
    }

    /// The time of the last failure; none if a write was confirmed since.
    pub(crate) fn failed_at(&self) -> Option<Instant> {
        self.failed_at
    }

    /// Returns true if a failed write may have left a state in the log that differs from the durable one.
    pub(crate) fn is_last_state_uncertain(&self) -> bool {
        self.is_last_state_uncertain
    }

    /// Records that the durable state is the last one in the log, since a complete state or a snapshot was synced.
    pub(crate) fn clear_uncertainty(&mut self) {
        self.is_last_state_uncertain = false;
    }

    /// The last state that is being written.
    pub(crate) fn latest_state(&self) -> Option<&ControlState> {
        self.queue.iter().rev().find_map(|write| write.effect.state())
    }

    /// Returns true if this version or a higher one is being written.
    pub(crate) fn includes_version(&self, version: &StateVersion) -> bool {
        self.queue.iter().filter_map(|write| write.effect.version()).any(|pending| pending >= *version)
    }

    /// Returns true if the acceptance of the configuration of `term` is being written.
    pub(crate) fn includes_accept(&self, term: Term) -> bool {
        self.queue.iter().any(|w| matches!(&w.effect, DurabilityEffect::Accept(c) if c.term == term))
    }

    /// Returns true if a state is being written, or written again under a new term.
    pub(crate) fn includes_state(&self) -> bool {
        self.queue.iter().any(|write| write.effect.version().is_some())
    }
}
