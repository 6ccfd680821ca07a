//! The log on the disk of a node: its durable state, and the writes that are in progress.

use core::time::Duration;
#[cfg(feature = "fault-injection")]
use std::collections::VecDeque;

use mosshead_time::Instant;

use crate::context::Context;
use crate::control_state::{ControlState, StateVersion};
use crate::disk_writes::{DurabilityEffect, PendingDiskWrite, PendingDiskWrites};
use crate::durable_state::{DiskIdentity, DurableState, LogRecord, Replay, StoredStateError};
use crate::epoch_config::EpochConfig;
use crate::event::Output;
use crate::injected_fault::InjectedFault;
use crate::log_size::LogSize;
use crate::state_delta::StateDelta;
use crate::term::{Member, Term};

/// The durable state of a node and its pending writes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Storage {
    /// The first record of the log; nothing else is written before it is durable.
    identity: DiskIdentity,
    durable: DurableState,
    writes: PendingDiskWrites,
    log_size: LogSize,
    /// With [`InjectedFault::RespondUnsynced`]: writes to respond to before they are synced.
    #[cfg(feature = "fault-injection")]
    unsynced: VecDeque<PendingDiskWrite>,
}

impl Storage {
    /// Replays the records of a log, oldest first. An empty log gets a new identity.
    ///
    /// # Errors
    ///
    /// If a record can't be decoded or does not follow from the previous ones, or if the records lack the identity.
    pub(crate) fn open(
        records: &[Vec<u8>],
        new_identity: impl FnOnce() -> DiskIdentity,
    ) -> Result<Storage, StoredStateError> {
        let Replay { durable, rebuilt_bytes } = DurableState::replay(records)?;
        let identity = match durable.identity() {
            Some(identity) => identity.clone(),
            None if records.is_empty() => new_identity(),
            None => return Err(StoredStateError::MissingIdentity),
        };
        Ok(Storage {
            identity,
            durable,
            writes: PendingDiskWrites::default(),
            log_size: LogSize::from_replayed_log(records, rebuilt_bytes),
            #[cfg(feature = "fault-injection")]
            unsynced: VecDeque::new(),
        })
    }

    /// The identity of the disk, which may not be durable yet.
    pub(crate) fn identity(&self) -> &DiskIdentity {
        &self.identity
    }

    /// The durable control state; none before the first one is written.
    pub(crate) fn state(&self) -> Option<&ControlState> {
        self.durable.state()
    }

    /// The version of the durable state.
    pub(crate) fn version(&self) -> Option<StateVersion> {
        self.durable.version()
    }

    /// The highest durable promise.
    pub(crate) fn promised(&self) -> Term {
        self.durable.promised()
    }

    /// The term of the durable accepted configuration; the lowest term if there is none.
    pub(crate) fn accepted_term(&self) -> Term {
        self.durable.accepted_term()
    }

    /// The durable configurations: the accepted one, then the learned one.
    pub(crate) fn configs(&self) -> impl Iterator<Item = &EpochConfig> {
        self.durable.configs()
    }

    /// Returns true if the identity is durable. Before that, the node promises nothing and responds to nothing.
    pub(crate) fn is_open(&self) -> bool {
        self.durable.identity().is_some()
    }

    /// Returns true if the last write succeeded and no pending write has exceeded its timeout.
    pub(crate) fn is_healthy(&self, context: &Context) -> bool {
        !self.has_failed()
            && self.oldest_write_age(context.now()) <= context.timings().unhealthy_write_timeout
    }

    /// Returns true if the last write failed.
    pub(crate) fn has_failed(&self) -> bool {
        self.writes.failed_at().is_some()
    }

    /// Returns true if no write is pending.
    pub(crate) fn is_idle(&self) -> bool {
        self.writes.is_empty()
    }

    /// Returns true if there are too many pending writes to accept one from another node.
    pub(crate) fn is_full(&self) -> bool {
        self.writes.is_full()
    }

    /// The age of the oldest pending write; zero if there is none.
    pub(crate) fn oldest_write_age(&self, now: Instant) -> Duration {
        self.writes.oldest_age(now)
    }

    /// Returns true if the acceptance of the configuration of `term` is being written.
    pub(crate) fn is_writing_config(&self, term: Term) -> bool {
        self.writes.includes_accept(term)
    }

    /// A record that replaces the whole log: the durable state, with the given promise.
    pub(crate) fn snapshot_record(&self, promised: Term) -> Vec<u8> {
        LogRecord::Snapshot(Box::new(self.durable.with_promise(promised))).encode()
    }

    /// Appends the record of an effect to the log. Once it is synced, `requester` is notified, see
    /// [`PendingDiskWrite::requester`].
    pub(crate) fn append(
        &mut self,
        context: &mut Context,
        effect: DurabilityEffect,
        requester: Option<Member>,
    ) {
        let Some(record) = effect.to_record().map(|record| record.encode()) else { return };
        self.log_size.record_append(record.len());
        if let DurabilityEffect::Delta { state, .. } = &effect {
            self.log_size.record_rebuilt_body(state.body.len());
        }
        let token = self.enqueue(context, effect, requester);
        context.output(Output::Write { token, record });
    }

    /// Replaces the log with a snapshot.
    fn rewrite_log(&mut self, context: &mut Context, promised: Term) {
        let record = self.snapshot_record(promised);
        self.log_size.start_rewrite(record.len());
        let token = self.enqueue(context, DurabilityEffect::LogRewrite, None);
        context.output(Output::Rewrite { token, record });
    }

    fn enqueue(&mut self, context: &Context, effect: DurabilityEffect, requester: Option<Member>) -> u64 {
        let token = self.writes.take_token();
        let write = PendingDiskWrite { token, started_at: context.now(), effect, requester };
        #[cfg(feature = "fault-injection")]
        let write = self.respond_unsynced(context, write);
        self.writes.push(write);
        token
    }

    /// With [`InjectedFault::RespondUnsynced`]: moves the write to `unsynced`, to be responded to early, and returns
    /// a write without effect that takes its place in the queue until the host confirms it. Without the fault,
    /// returns the write.
    #[cfg(feature = "fault-injection")]
    fn respond_unsynced(&mut self, context: &Context, write: PendingDiskWrite) -> PendingDiskWrite {
        let is_identity = matches!(write.effect, DurabilityEffect::Identity(_));
        if !context.has_fault(InjectedFault::RespondUnsynced) || is_identity {
            return write;
        }
        self.unsynced.push_back(write.clone());
        PendingDiskWrite { effect: DurabilityEffect::Promise(Term::default()), requester: None, ..write }
    }

    /// With [`InjectedFault::RespondUnsynced`]: the next write to respond to before it is synced. None without the
    /// fault.
    #[cfg(feature = "fault-injection")]
    pub(crate) fn take_unsynced(&mut self) -> Option<PendingDiskWrite> {
        self.unsynced.pop_front()
    }

    /// Removes and returns a write that the host has confirmed. [`Storage::complete`] then makes its effect durable.
    pub(crate) fn take_synced(&mut self, token: u64) -> Option<PendingDiskWrite> {
        self.writes.take_synced(token)
    }

    /// Removes and returns a write that the host has reported as failed.
    pub(crate) fn take_failed(&mut self, now: Instant, token: u64) -> Option<PendingDiskWrite> {
        self.writes.take_failed(now, token)
    }

    /// Applies the effect of a synced write to the durable state.
    pub(crate) fn complete(&mut self, write: &PendingDiskWrite) {
        match write.effect.to_durable_record() {
            Some(record) => {
                self.durable.apply(record);
            }
            None => self.log_size.finish_rewrite(),
        }
        if matches!(write.effect, DurabilityEffect::State(_) | DurabilityEffect::LogRewrite) {
            self.writes.clear_uncertainty();
        }
    }

    /// Returns true if the durable state is certainly the last state in the log, so that a new record can refer to
    /// it. False while another state is being written, and after a failed write of a state, since its record may be
    /// in the log.
    pub(crate) fn is_durable_state_last_in_log(&self) -> bool {
        !self.writes.is_last_state_uncertain() && !self.writes.includes_state()
    }

    /// The effect that writes `state`: a delta if its previous state is certainly the last one in the log, otherwise
    /// the complete state.
    pub(crate) fn state_effect(
        &self,
        context: &Context,
        delta: Option<StateDelta>,
        state: ControlState,
    ) -> DurabilityEffect {
        let is_certain = self.is_durable_state_last_in_log()
            || context.has_fault(InjectedFault::WriteDeltaOnUncertainState);
        let durable = self.durable.version();
        let is_next = |delta: &StateDelta| durable.is_some_and(|v| v.has_same_body(&delta.previous));
        match delta.filter(|delta| is_certain && is_next(delta)) {
            Some(delta) => DurabilityEffect::Delta { delta, state },
            None => DurabilityEffect::State(state),
        }
    }

    /// The latest state that is durable or being written.
    pub(crate) fn latest_state(&self) -> Option<&ControlState> {
        self.writes.latest_state().or(self.state())
    }

    /// Returns true if this version or a higher one is durable or being written.
    pub(crate) fn includes_version(&self, version: &StateVersion) -> bool {
        self.durable.version().is_some_and(|durable| durable >= *version)
            || self.writes.includes_version(version)
    }

    /// If no write is pending, starts the next maintenance write: the identity, a probe after a failed write, or a
    /// rewrite of the log. Returns true if no write is pending afterwards.
    pub(crate) fn run_timers(&mut self, context: &mut Context, promised: Term) -> bool {
        let retry_interval = context.timings().disk_retry_interval;
        let is_backing_off = self.writes.failed_at().is_some_and(|at| context.elapsed(at) < retry_interval);
        if !self.is_idle() || is_backing_off {
            return false;
        }
        if !self.is_open() {
            self.append(context, DurabilityEffect::Identity(self.identity.clone()), None);
        } else if self.has_failed() {
            // Probes the disk with a write that changes nothing.
            self.append(context, DurabilityEffect::Promise(promised), None);
        } else if self.log_size.is_rewrite_due(context.settings().log_rewrite_bytes) {
            self.rewrite_log(context, promised);
        }
        self.is_idle()
    }
}
