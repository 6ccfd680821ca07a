//! The primary role: sends heartbeats, has each change written by its backups before it is acknowledged, and renews its
//! epoch when another configuration would be better.

mod health;
mod heartbeats;
mod membership_plan;
mod renewal;
mod replication;
mod requests;

use std::collections::VecDeque;

use mosshead_time::Instant;

use self::replication::PendingWrite;
use crate::control_state::ControlState;
use crate::epoch_config::EpochConfig;
use crate::node_core::NodeCore;
use crate::term::Term;
use crate::transition::Transition;

/// The state of a primary within its epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PrimaryState {
    term: Term,
    config: EpochConfig,
    /// The committed state. It is always written under `term`.
    state: ControlState,
    /// The sequence number of the last heartbeat.
    last_heartbeat: u64,
    /// The first heartbeat sent after the last state that was not sent as a delta. A response to an earlier heartbeat may
    /// have been sent before that state arrived, so a lower revision in it does not prove that the peer lacks the state.
    first_heartbeat_after_full_state: u64,
    /// The most recently sent heartbeats, oldest first.
    sent_heartbeats: VecDeque<SentHeartbeat>,
    next_heartbeat_at: Instant,
    pending_write: Option<PendingWrite>,
    /// When a voter was first found to have promised a higher term.
    higher_term_seen_since: Option<Instant>,
    /// When this node became primary under this term.
    started_at: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SentHeartbeat {
    sequence: u64,
    sent_at: Instant,
}

impl PrimaryState {
    pub(crate) fn new(config: EpochConfig, state: ControlState, now: Instant) -> PrimaryState {
        PrimaryState {
            term: config.term,
            config,
            state,
            last_heartbeat: 0,
            first_heartbeat_after_full_state: 1,
            sent_heartbeats: VecDeque::new(),
            next_heartbeat_at: now,
            pending_write: None,
            higher_term_seen_since: None,
            started_at: now,
        }
    }

    pub(crate) fn term(&self) -> Term {
        self.term
    }

    /// The committed state.
    pub(crate) fn state(&self) -> &ControlState {
        &self.state
    }

    /// The sequence number of the next heartbeat.
    pub(crate) fn next_heartbeat(&self) -> u64 {
        self.last_heartbeat + 1
    }

    /// Handles the rejection by a voter that has promised a higher term.
    pub(crate) fn on_reject(&mut self, now: Instant, term: Term, promised: Term) {
        if self.term == term && promised > term {
            self.higher_term_seen_since.get_or_insert(now);
        }
    }

    pub(crate) fn run_timers(&mut self, core: &mut NodeCore) -> Transition {
        let is_resend_due = self.take_due_resend(core);
        if core.now() >= self.next_heartbeat_at {
            core.peers.drop_silent_non_voters(&self.config, core.context.now());
            self.send_heartbeats_to_all(core);
        }
        if is_resend_due {
            self.send_pending_write(core);
        }
        self.renew_if_needed(core)
    }
}
