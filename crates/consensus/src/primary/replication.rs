//! Replicates a change to the disks of the primary and of the backups, and commits it.

use core::time::Duration;
use std::collections::BTreeSet;

use mosshead_time::Instant;

use super::PrimaryState;
use crate::control_state::{ControlState, StateVersion};
use crate::injected_fault::InjectedFault;
use crate::limits::MAX_TRANSFER_TIME;
use crate::message::Message;
use crate::node_core::NodeCore;
use crate::snapshot::StatePurpose;
use crate::state_delta::StateDelta;
use crate::term::{Member, MemberId};

/// A change that is being written; committed once it is on the disks of this node and of all backups.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingWrite {
    /// The state after the change.
    state: ControlState,
    /// The delta from the previous state; `None` if it would be little shorter than the state.
    delta: Option<StateDelta>,
    /// Backups that lack the previous state and get the complete state.
    missing_body: BTreeSet<MemberId>,
    is_on_local_disk: bool,
    /// The other nodes that have written it.
    written_by: BTreeSet<MemberId>,
    /// When the write was started, or a backup last requested a chunk of its state.
    last_progress_at: Instant,
    started_at: Instant,
    /// When it was last sent to the backups that have not written it.
    sent_at: Instant,
}

impl PendingWrite {
    /// Returns true if this node has written the change, so that only backups are missing.
    pub(super) fn awaits_only_backups(&self) -> bool {
        self.is_on_local_disk
    }

    pub(super) fn time_without_progress(&self, now: Instant) -> Duration {
        now - self.last_progress_at
    }
}

impl PrimaryState {
    pub(super) fn is_writing(&self) -> bool {
        self.pending_write.is_some()
    }

    /// Starts to write a change to the disks of the primary and of the backups.
    pub(super) fn start_write(&mut self, core: &mut NodeCore, state: ControlState) {
        let now = core.now();
        let sends_full_states = core.has_fault(InjectedFault::AlwaysSendFullStates);
        let delta = if sends_full_states { None } else { StateDelta::between(&self.state, &state) };
        self.pending_write = Some(PendingWrite {
            state: state.clone(),
            delta: delta.clone(),
            missing_body: BTreeSet::new(),
            is_on_local_disk: false,
            written_by: BTreeSet::new(),
            last_progress_at: now,
            started_at: now,
            sent_at: now,
        });
        let effect = core.storage.state_effect(&core.context, delta, state);
        core.write(effect, core.local());
        self.send_pending_write(core);
    }

    /// Sends the pending write to the backups that have not written it.
    pub(super) fn send_pending_write(&self, core: &mut NodeCore) {
        let Some(write) = &self.pending_write else { return };
        let delta = write.delta.as_ref().filter(|delta| is_sent_as_delta(core, delta));
        let waiting = self.config.backups.iter().filter(|id| !write.written_by.contains(id));
        for backup in waiting.filter_map(|id| self.config.member(*id)) {
            match delta.filter(|_| !write.missing_body.contains(&backup.id)) {
                Some(delta) => {
                    core.send(backup.address, Message::ReplicateDelta { delta: delta.clone() });
                }
                None => core.send_state(*backup, StatePurpose::ReplicateState, write.state.clone()),
            }
        }
    }

    /// Returns true if the pending write is due to be sent again. If so, restarts the interval.
    pub(super) fn take_due_resend(&mut self, core: &NodeCore) -> bool {
        let Some(write) = &mut self.pending_write else { return false };
        let is_due = core.context.elapsed(write.sent_at) >= core.context.timings().state_resend_interval;
        if is_due {
            write.sent_at = core.now();
        }
        is_due
    }

    fn pending_write_of(&mut self, version: StateVersion) -> Option<&mut PendingWrite> {
        self.pending_write.as_mut().filter(|write| write.state.version() == version)
    }

    /// A backup is receiving the state, so it does not count as slow.
    pub(crate) fn record_transfer_progress(&mut self, core: &NodeCore, version: StateVersion) {
        let Some(write) = self.pending_write_of(version) else { return };
        if core.context.elapsed(write.started_at) < MAX_TRANSFER_TIME {
            write.last_progress_at = core.now();
        }
    }

    /// Handles a state that is durable on a node, possibly this one.
    pub(crate) fn on_state_written(&mut self, core: &mut NodeCore, id: MemberId, version: StateVersion) {
        let Some(write) = self.pending_write_of(version) else { return };
        if id == core.local().id {
            write.is_on_local_disk = true;
        } else {
            write.written_by.insert(id);
        }
        if self.is_written_everywhere(core) {
            self.commit(core);
        }
    }

    /// A node lacks the previous state: a backup gets the complete state, once.
    pub(crate) fn on_missing_body(&mut self, core: &mut NodeCore, from: Member, version: StateVersion) {
        let is_backup = self.config.backups.contains(&from.id);
        let Some(write) = self.pending_write_of(version) else { return };
        if is_backup && write.missing_body.insert(from.id) {
            core.send_state(from, StatePurpose::ReplicateState, write.state.clone());
        }
    }

    /// Returns true if the pending write is on the disks of the primary and of all backups.
    fn is_written_everywhere(&self, core: &NodeCore) -> bool {
        self.pending_write.as_ref().is_some_and(|write| {
            let by_backups = || self.config.backups.iter().all(|id| write.written_by.contains(id));
            write.is_on_local_disk && (core.has_fault(InjectedFault::CommitWithoutBackups) || by_backups())
        })
    }

    /// Commits the pending write and publishes its state.
    fn commit(&mut self, core: &mut NodeCore) {
        let Some(write) = self.pending_write.take() else { return };
        self.state = write.state.clone();
        let delta = write.delta.filter(|delta| is_sent_as_delta(core, delta));
        match delta.clone() {
            Some(delta) => core.delta_log.push(core.context.now(), delta),
            None => {
                self.first_heartbeat_after_full_state = self.next_heartbeat();
                core.delta_log.clear();
            }
        }
        core.publish(write.state.clone());
        // The backups have the state: the heartbeat notifies them that it is committed.
        self.send_heartbeats_to_all(core);
        self.send_committed(core, write.state, delta);
        core.requests.finish_write(&mut core.context);
    }

    /// Sends a committed state to all peers but the backups. Silent peers get it when they answer again.
    fn send_committed(&self, core: &mut NodeCore, state: ControlState, delta: Option<StateDelta>) {
        let (now, suspicion_timeout) = (core.now(), core.context.timings().suspicion_timeout);
        let mut recipients = Vec::new();
        for peer in core.peers.iter_mut() {
            let member = peer.member();
            let is_backup = self.config.backups.contains(&member.id);
            if !is_backup && peer.silence(now) <= suspicion_timeout {
                if delta.is_none() {
                    peer.record_state_sent(now);
                }
                recipients.push(member);
            }
        }
        for member in recipients {
            match delta.clone() {
                Some(delta) => {
                    core.send(member.address, Message::CommittedDeltas { deltas: vec![delta] });
                }
                None => core.send_state(member, StatePurpose::CommittedState, state.clone()),
            }
        }
    }
}

/// Returns true if the change is sent as its delta. A large delta is not sent, because a complete state can be fetched in
/// chunks.
fn is_sent_as_delta(core: &NodeCore, delta: &StateDelta) -> bool {
    delta.estimated_bytes() <= core.context.settings().chunk_sizes.large_state_bytes
}
