//! The writes that the host has not confirmed yet.

use core::time::Duration;
use std::collections::VecDeque;

use mosshead_time::Instant;

use crate::control_state::{ControlState, StateVersion};
use crate::durable_state::{DiskIdentity, LogRecord};
use crate::epoch_config::EpochConfig;
use crate::state_delta::StateDelta;
use crate::term::{Member, Term};

/// A node with this many unconfirmed writes takes no more from others.
const MAX_PENDING_WRITES: usize = 32;

/// What holds once a write is synced.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum DurabilityEffect {
    Identity(DiskIdentity),
    /// Nothing of a lower term is accepted.
    Promise(Term),
    /// The configuration is accepted, and its term promised.
    Accept(EpochConfig),
    /// A complete state, and its `write_term` promised.
    State(ControlState),
    /// A change of the state before it, and the state that it makes.
    Delta {
        delta: StateDelta,
        state: ControlState,
    },
    /// The durable state has this version; its body stays.
    RewriteUnderNewTerm(StateVersion),
    /// A configuration without a vote of this disk, kept for the addresses in it.
    Learned(EpochConfig),
    /// The log was replaced by a snapshot.
    LogRewrite,
}

impl DurabilityEffect {
    /// The record that is written for it; none for [`DurabilityEffect::LogRewrite`].
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

    /// What it changes in the durable state. The state of a delta was made when the write was queued.
    pub(crate) fn to_durable_record(&self) -> Option<LogRecord> {
        match self {
            DurabilityEffect::Delta { state, .. } => Some(LogRecord::State(state.clone())),
            effect => effect.to_record(),
        }
    }

    /// The state that it writes, if any.
    pub(crate) fn state(&self) -> Option<&ControlState> {
        match self {
            DurabilityEffect::State(state) | DurabilityEffect::Delta { state, .. } => Some(state),
            _ => None,
        }
    }

    /// The version that it makes durable, if any.
    pub(crate) fn version(&self) -> Option<StateVersion> {
        match self {
            DurabilityEffect::RewriteUnderNewTerm(version) => Some(*version),
            effect => effect.state().map(ControlState::version),
        }
    }

    /// The term that a disk promises by it, if any.
    pub(crate) fn term(&self) -> Option<Term> {
        match self {
            DurabilityEffect::Promise(term) => Some(*term),
            DurabilityEffect::Accept(config) => Some(config.term),
            effect => effect.version().map(|version| version.write_term),
        }
    }
}

/// A write that the host has not confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingDiskWrite {
    /// Numbers the writes of this node in the order of their records.
    pub(crate) token: u64,
    pub(crate) started_at: Instant,
    pub(crate) effect: DurabilityEffect,
    /// The member that has requested the write and gets a response; none for what the disk itself needs.
    pub(crate) requester: Option<Member>,
}

/// The unconfirmed writes, and what the latest failures have left behind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct PendingDiskWrites {
    /// Oldest first; the host confirms them in this order.
    queue: VecDeque<PendingDiskWrite>,
    next_token: u64,
    /// When a write failed last, if none was confirmed since.
    failed_at: Option<Instant>,
    /// A failed write of a state may be in the log all the same, so no record may refer to the state before it.
    is_last_state_uncertain: bool,
}

impl PendingDiskWrites {
    /// The token of the next write.
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

    /// The age of the oldest unconfirmed write; zero without one.
    pub(crate) fn oldest_age(&self, now: Instant) -> Duration {
        self.queue.front().map_or(Duration::ZERO, |write| now - write.started_at)
    }

    /// The write is synced: removes it.
    pub(crate) fn take_synced(&mut self, token: u64) -> Option<PendingDiskWrite> {
        let write = self.take(token)?;
        self.failed_at = None;
        Some(write)
    }

    /// The write has failed: removes it. Its record is in the log or not.
    pub(crate) fn take_failed(&mut self, now: Instant, token: u64) -> Option<PendingDiskWrite> {
        let write = self.take(token)?;
        self.failed_at = Some(now);
        self.is_last_state_uncertain |= write.effect.state().is_some();
        Some(write)
    }

    fn take(&mut self, token: u64) -> Option<PendingDiskWrite> {
        let index = self.queue.iter().position(|write| write.token == token)?;
        self.queue.remove(index)
    }

    /// When a write failed last, if none was confirmed since.
    pub(crate) fn failed_at(&self) -> Option<Instant> {
        self.failed_at
    }

    /// Whether a failed write may have left a state in the log that is not the durable one.
    pub(crate) fn is_last_state_uncertain(&self) -> bool {
        self.is_last_state_uncertain
    }

    /// The durable state is the last one in the log: a complete state was synced, or the log was replaced.
    pub(crate) fn clear_uncertainty(&mut self) {
        self.is_last_state_uncertain = false;
    }

    /// The latest state that is being written.
    pub(crate) fn latest_state(&self) -> Option<&ControlState> {
        self.queue.iter().rev().find_map(|write| write.effect.state())
    }

    /// Whether a state, or a newer one, is being written.
    pub(crate) fn includes_version(&self, version: &StateVersion) -> bool {
        self.queue.iter().filter_map(|write| write.effect.version()).any(|pending| pending >= *version)
    }

    /// Whether the configuration of a term is being written.
    pub(crate) fn includes_accept(&self, term: Term) -> bool {
        self.queue.iter().any(|w| matches!(&w.effect, DurabilityEffect::Accept(c) if c.term == term))
    }

    /// Whether a state is being written, or rewritten under a new term.
    pub(crate) fn includes_state(&self) -> bool {
        self.queue.iter().any(|write| write.effect.version().is_some())
    }
}
