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
    Promise(Term),
    Accept(EpochConfig),
    State(ControlState),
    /// A change of the state before it, and the state that it makes.
    Delta(StateDelta, ControlState),
    RewriteUnderNewTerm(StateVersion),
    Learned(EpochConfig),
    /// The whole log was replaced by a snapshot.
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
            DurabilityEffect::Delta(delta, _) => LogRecord::Delta(delta.clone()),
            DurabilityEffect::RewriteUnderNewTerm(version) => LogRecord::RewriteUnderNewTerm(*version),
            DurabilityEffect::Learned(config) => LogRecord::Learned(config.clone()),
            DurabilityEffect::LogRewrite => return None,
        })
    }

    /// What it changes in the durable state. The state of a delta was made when the write was queued.
    pub(crate) fn to_durable_record(&self) -> Option<LogRecord> {
        match self {
            DurabilityEffect::Delta(_, state) => Some(LogRecord::State(state.clone())),
            effect => effect.to_record(),
        }
    }

    /// The whole state that it writes, if any.
    pub(crate) fn state(&self) -> Option<&ControlState> {
        match self {
            DurabilityEffect::State(state) | DurabilityEffect::Delta(_, state) => Some(state),
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
    pub(crate) token: u64,
    pub(crate) started_at: Instant,
    pub(crate) effect: DurabilityEffect,
    /// The member that asked for the write and is to be answered.
    pub(crate) requester: Option<Member>,
}

/// The unconfirmed writes, and the length of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct PendingDiskWrites {
    /// Oldest first; the host confirms them in this order.
    pub(crate) queue: VecDeque<PendingDiskWrite>,
    pub(crate) next_token: u64,
    /// The bytes of the log, as far as known.
    pub(crate) log_bytes: usize,
    /// The bytes of the log when it was rewritten last.
    pub(crate) snapshot_bytes: usize,
    /// The bytes of all bodies that a replay of the log has to make out of deltas.
    pub(crate) rebuilt_bytes: usize,
    /// When a write failed last, if none was confirmed since.
    pub(crate) failed_at: Option<Instant>,
    /// A failed write of a state may stand in the log all the same, so no record may refer to the state before it.
    pub(crate) is_last_state_uncertain: bool,
}

impl PendingDiskWrites {
    pub(crate) fn is_full(&self) -> bool {
        self.queue.len() >= MAX_PENDING_WRITES
    }

    /// The age of the oldest unconfirmed write; zero without one.
    pub(crate) fn oldest_age(&self, now: Instant) -> Duration {
        self.queue.front().map_or(Duration::ZERO, |write| now - write.started_at)
    }

    /// Removes the write with the token.
    pub(crate) fn take(&mut self, token: u64) -> Option<PendingDiskWrite> {
        let index = self.queue.iter().position(|write| write.token == token)?;
        self.queue.remove(index)
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

    pub(crate) fn includes_state(&self) -> bool {
        self.queue.iter().any(|write| write.effect.version().is_some())
    }
}
