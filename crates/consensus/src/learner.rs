//! The committed state as this node knows it (a learner in the sense of Paxos). Every node has one, with or without a vote.

use mosshead_time::Instant;

use crate::context::Context;
use crate::control_state::ControlState;
use crate::delta_log::OutOfOrderDeltas;
use crate::event::Output;
use crate::injected_fault::InjectedFault;
use crate::lease_stamp::LeaseStamp;
use crate::read_lease::ReadLease;
use crate::state_delta::StateDelta;

/// Learns committed states and publishes them to the host.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Learner {
    /// The newest committed state; its revision never goes back.
    committed: Option<ControlState>,
    out_of_order_deltas: OutOfOrderDeltas,
    read_lease: ReadLease,
}

impl Learner {
    pub(crate) fn new(incarnation: u64) -> Learner {
        Learner {
            committed: None,
            out_of_order_deltas: OutOfOrderDeltas::default(),
            read_lease: ReadLease::new(incarnation),
        }
    }

    /// The newest committed state.
    pub(crate) fn committed(&self) -> Option<&ControlState> {
        self.committed.as_ref()
    }

    /// The revision of the newest committed state.
    pub(crate) fn revision(&self) -> Option<u64> {
        self.committed.as_ref().map(|state| state.revision)
    }

    /// Publishes a committed state, advanced by the committed deltas that follow it. An older state than before is never
    /// published.
    pub(crate) fn publish(&mut self, context: &mut Context, state: ControlState) {
        let state = self.out_of_order_deltas.advance(state);
        self.out_of_order_deltas.drop_up_to(state.revision);
        let is_newer = |known| {
            known < state.revision
                || context.has_fault(InjectedFault::PublishOlderState) && known != state.revision
        };
        if self.revision().is_none_or(is_newer) {
            context.output(Output::StateCommitted { state: state.clone() });
            self.read_lease.record_published(state.revision);
            self.committed = Some(state);
        }
    }

    /// Applies committed deltas to the durable state or to the committed one, and publishes the newest result.
    pub(crate) fn on_committed_deltas(
        &mut self,
        context: &mut Context,
        durable: Option<&ControlState>,
        deltas: Vec<StateDelta>,
    ) {
        if context.has_fault(InjectedFault::ApplyDeltaToAnyState) {
            return self.apply_last_unchecked(context, &deltas);
        }
        for delta in deltas {
            self.out_of_order_deltas.push(delta);
        }
        // A durable state that a committed delta follows was committed, too.
        let bases = [durable, self.committed.as_ref()].into_iter().flatten();
        let advanced = bases.map(|base| (base.revision, self.out_of_order_deltas.advance(base.clone())));
        let newer = advanced.filter(|(base, state)| state.revision > *base).map(|(_, state)| state);
        if let Some(state) = newer.max_by_key(|state| state.revision) {
            self.publish(context, state);
        }
    }

    /// Implements [`InjectedFault::ApplyDeltaToAnyState`].
    fn apply_last_unchecked(&mut self, context: &mut Context, deltas: &[StateDelta]) {
        let Some(committed) = &self.committed else { return };
        let last = deltas.last().filter(|delta| committed.revision < delta.request.revision);
        if let Some(state) = last.and_then(|delta| delta.apply_unchecked(committed)) {
            self.publish(context, state);
        }
    }

    /// The stamp for a heartbeat response that is sent now.
    pub(crate) fn lease_stamp(&self, context: &Context) -> LeaseStamp {
        self.read_lease.stamp(context.now())
    }

    /// When this node last had proven contact with a majority. A contact counts once this node has published the state
    /// that the primary then reported as committed.
    pub(crate) fn contact_confirmed_at(&self) -> Option<Instant> {
        self.read_lease.confirmed_at()
    }

    /// The instant after which a heartbeat with this stamp was sent; `None` if the stamp proves nothing.
    pub(crate) fn proven_instant(&self, context: &Context, stamp: Option<LeaseStamp>) -> Option<Instant> {
        if context.has_fault(InjectedFault::ConfirmReadLeaseOnArrival) {
            return Some(context.now());
        }
        let stamp = stamp?;
        if context.has_fault(InjectedFault::AcceptStampsOfOtherIncarnations) {
            return Some(stamp.answered_at).filter(|at| *at <= context.now());
        }
        self.read_lease.instant_of(stamp, context.now())
    }

    /// Records that the primary had contact with a majority after `contact_at`, and has committed this revision.
    pub(crate) fn confirm_contact(&mut self, context: &Context, contact_at: Instant, revision: u64) {
        let ignores_revision = context.has_fault(InjectedFault::ConfirmReadLeaseOnArrival)
            || context.has_fault(InjectedFault::ConfirmReadLeaseBeforePublish);
        let published = if ignores_revision { Some(u64::MAX) } else { self.revision() };
        self.read_lease.confirm_contact(contact_at, revision, published);
    }
}
