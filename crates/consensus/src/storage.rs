//! The disk of a node: what it holds for certain, and what is being written.

use std::collections::VecDeque;

use mosshead_time::Instant;

use crate::context::Context;
use crate::control_state::{ControlState, StateVersion};
use crate::disk_writes::{DurabilityEffect, PendingDiskWrite, PendingDiskWrites};
use crate::durable_state::{DiskIdentity, DurableState, LogRecord};
use crate::event::Output;
use crate::injected_fault::InjectedFault;
use crate::state_delta::StateDelta;
use crate::term::{Member, Term};

/// The log is rewritten when its replay has to rebuild more bytes of bodies than this.
const MAX_REBUILT_BYTES: usize = 128 << 20;
/// The log is rewritten when it is this many times as long as after the last rewrite, and long enough by the settings.
const REWRITE_FACTOR: usize = 4;

/// The disk of a node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Storage {
    /// Written first; nothing else is written before it is durable.
    identity: DiskIdentity,
    pub(crate) durable: DurableState,
    pub(crate) writes: PendingDiskWrites,
    /// With [`InjectedFault::RespondUnsynced`]: writes that are answered before they are synced.
    unsynced: VecDeque<PendingDiskWrite>,
}

impl Storage {
    /// The disk with a replayed log of these records.
    pub(crate) fn new(
        identity: DiskIdentity,
        durable: DurableState,
        records: &[Vec<u8>],
        rebuilt_bytes: usize,
    ) -> Storage {
        let log_bytes = records.iter().map(Vec::len).sum();
        let writes = PendingDiskWrites { log_bytes, rebuilt_bytes, ..PendingDiskWrites::default() };
        Storage { identity, durable, writes, unsynced: VecDeque::new() }
    }

    pub(crate) fn identity(&self) -> &DiskIdentity {
        &self.identity
    }

    /// Whether the identity is durable: nothing is promised or answered before.
    pub(crate) fn is_open(&self) -> bool {
        self.durable.identity.is_some()
    }

    /// Whether the disk takes writes, and in time.
    pub(crate) fn is_healthy(&self, context: &Context, now: Instant) -> bool {
        self.writes.failed_at.is_none()
            && self.writes.oldest_age(now) <= context.timings().unhealthy_write_timeout
    }

    /// One record that replaces the whole log.
    pub(crate) fn snapshot_record(&self, promised: Term) -> Vec<u8> {
        let durable = DurableState { promised, ..self.durable.clone() };
        LogRecord::Snapshot(Box::new(durable)).encode()
    }

    /// Appends the record of an effect to the log; `requester` is answered when it is synced.
    pub(crate) fn append(
        &mut self,
        context: &mut Context,
        effect: DurabilityEffect,
        requester: Option<Member>,
    ) {
        let Some(record) = effect.to_record().map(|record| record.encode()) else { return };
        self.writes.log_bytes += record.len();
        if let DurabilityEffect::Delta(_, state) = &effect {
            self.writes.rebuilt_bytes = self.writes.rebuilt_bytes.saturating_add(state.body.len());
        }
        let token = self.enqueue(context, effect, requester);
        context.output(Output::Write { token, record });
    }

    /// Replaces the whole log by a snapshot.
    fn rewrite_log(&mut self, context: &mut Context, promised: Term) {
        let record = self.snapshot_record(promised);
        self.writes.snapshot_bytes = record.len();
        let token = self.enqueue(context, DurabilityEffect::LogRewrite, None);
        context.output(Output::Rewrite { token, record });
    }

    fn enqueue(&mut self, context: &Context, effect: DurabilityEffect, requester: Option<Member>) -> u64 {
        let token = self.writes.next_token;
        self.writes.next_token += 1;
        let mut write = PendingDiskWrite { token, started_at: context.now, effect, requester };
        let is_identity = matches!(write.effect, DurabilityEffect::Identity(_));
        if context.has_fault(InjectedFault::RespondUnsynced) && !is_identity {
            self.unsynced.push_back(write.clone());
            (write.effect, write.requester) = (DurabilityEffect::Promise(Term::default()), None);
        }
        self.writes.queue.push_back(write);
        token
    }

    pub(crate) fn take_unsynced(&mut self) -> Option<PendingDiskWrite> {
        self.unsynced.pop_front()
    }

    /// Takes over the effect of a write that is synced.
    pub(crate) fn complete(&mut self, write: &PendingDiskWrite) {
        match write.effect.to_durable_record() {
            Some(record) => {
                self.durable.apply(record);
            }
            None => {
                self.writes.log_bytes = self.writes.snapshot_bytes;
                self.writes.rebuilt_bytes = 0;
                self.writes.is_last_state_uncertain = false;
            }
        }
        if matches!(write.effect, DurabilityEffect::State(_)) {
            self.writes.is_last_state_uncertain = false;
        }
    }

    /// A write failed: it is on disk or not.
    pub(crate) fn fail(&mut self, now: Instant, write: &PendingDiskWrite) {
        self.writes.failed_at = Some(now);
        if write.effect.state().is_some() {
            self.writes.is_last_state_uncertain = true;
        }
    }

    /// Whether a record may refer to the state on disk: not while another state is being written, nor after a write of a
    /// state that failed and may stand in the log all the same, as either would come between the two.
    pub(crate) fn may_refer_to_durable_state(&self) -> bool {
        !self.writes.is_last_state_uncertain && !self.writes.includes_state()
    }

    /// How a state is written: as a delta only where the state before it stands in the log for certain.
    pub(crate) fn state_effect(
        &self,
        context: &Context,
        delta: Option<StateDelta>,
        state: ControlState,
    ) -> DurabilityEffect {
        let is_certain =
            self.may_refer_to_durable_state() || context.has_fault(InjectedFault::WriteDeltaOnUncertainState);
        let durable = self.durable.version();
        let is_next = |delta: &StateDelta| durable.is_some_and(|v| v.has_same_body(&delta.previous));
        match delta.filter(|delta| is_certain && is_next(delta)) {
            Some(delta) => DurabilityEffect::Delta(delta, state),
            None => DurabilityEffect::State(state),
        }
    }

    /// The latest state that is durable or being written.
    pub(crate) fn latest_state(&self) -> Option<&ControlState> {
        self.writes.latest_state().or(self.durable.state.as_ref())
    }

    /// Whether a state, or a newer one, is durable or being written.
    pub(crate) fn includes_version(&self, version: &StateVersion) -> bool {
        self.durable.version().is_some_and(|durable| durable >= *version)
            || self.writes.includes_version(version)
    }

    /// Starts what the disk needs while no write is pending. Returns whether it is idle.
    pub(crate) fn run_timers(&mut self, context: &mut Context, promised: Term) -> bool {
        let retry_interval = context.timings().disk_retry_interval;
        let is_backing_off = self.writes.failed_at.is_some_and(|at| context.elapsed(at) < retry_interval);
        if !self.writes.queue.is_empty() || is_backing_off {
            return false;
        }
        if !self.is_open() {
            self.append(context, DurabilityEffect::Identity(self.identity.clone()), None);
        } else if self.writes.failed_at.is_some() {
            self.append(context, DurabilityEffect::Promise(promised), None);
        } else if self.is_rewrite_due(context) {
            self.rewrite_log(context, promised);
        }
        self.writes.queue.is_empty()
    }

    fn is_rewrite_due(&self, context: &Context) -> bool {
        let max_log_bytes =
            context.settings.log_rewrite_bytes.max(REWRITE_FACTOR * self.writes.snapshot_bytes);
        self.writes.log_bytes > max_log_bytes || self.writes.rebuilt_bytes > MAX_REBUILT_BYTES
    }
}
