//! Handles states that other nodes send or request: committed deltas, and complete states, which are sent in chunks if
//! they are large.

use rand_core::RngCore;

use super::{Node, Role};
use crate::control_state::{ControlState, StateVersion};
use crate::limits::MAX_STATE_BYTES;
use crate::snapshot::{SnapshotChunk, SnapshotOffer, StatePurpose};
use crate::snapshot_transfer::TransferProgress;
use crate::state_delta::StateDelta;
use crate::term::{Member, Term};

impl<R: RngCore> Node<R> {
    pub(super) fn on_committed_deltas(&mut self, deltas: Vec<StateDelta>) {
        let core = &mut self.core;
        core.learner.on_committed_deltas(&mut core.context, core.storage.state(), deltas);
    }

    pub(super) fn on_fetch_state(&mut self, from: Member, term: Term, version: &StateVersion) {
        let state = self.core.find_state(version);
        if let Some(state) = state.map(|state| state.rewritten_under(version.write_term)) {
            self.core.send_state(from, StatePurpose::FetchedState { term }, state);
        }
    }

    pub(super) fn on_snapshot_offer(&mut self, from: Member, offer: SnapshotOffer) {
        if offer.length > MAX_STATE_BYTES as u64 || !self.wants_offered_state(from, &offer) {
            return;
        }
        let known = self.core.find_state(&offer.version);
        if let Some(state) = known.map(|state| state.rewritten_under(offer.version.write_term)) {
            return self.on_received_state(from, offer.purpose, state);
        }
        self.core.transfers.on_offer(&mut self.core.context, from, offer);
    }

    /// Returns true if this node needs the offered state.
    fn wants_offered_state(&mut self, from: Member, offer: &SnapshotOffer) -> bool {
        match offer.purpose {
            StatePurpose::CommittedState => {
                self.core.learner.revision().is_none_or(|known| known < offer.version.revision)
            }
            StatePurpose::ReplicateState => {
                let core = &mut self.core;
                core.epoch.observe_term(offer.version.write_term);
                core.acceptor.wants_state(&mut core.context, &core.storage, from, &offer.version)
            }
            StatePurpose::FetchedState { term } => match &self.role {
                Role::TakingOver(take_over) => take_over.is_fetching(term, &offer.version),
                _ => false,
            },
        }
    }

    pub(super) fn on_fetch_chunk(&mut self, from: Member, version: StateVersion, offset: u64) {
        let core = &mut self.core;
        let progress = core.transfers.on_fetch_chunk(&mut core.context, from, version, offset);
        if let Some(progress) = progress {
            self.on_transfer_progress(from, &progress);
        }
    }

    /// The receiver of a state has requested a chunk: extends the timeout of the write or the take-over that waits for it.
    fn on_transfer_progress(&mut self, to: Member, progress: &TransferProgress) {
        let core = &mut self.core;
        match (progress.purpose, &mut self.role) {
            (StatePurpose::ReplicateState, Role::Primary(primary)) => {
                primary.record_transfer_progress(core, progress.version);
            }
            (StatePurpose::ReplicateState, Role::TakingOver(take_over)) => {
                take_over.record_transfer_progress(core, progress.version);
            }
            // The node that fetches the newest state will soon be primary: no pre-votes for others meanwhile.
            (StatePurpose::FetchedState { term }, _)
                if term.proposer == to.id && term == core.acceptor.promised() =>
            {
                core.acceptor.withhold_pre_votes(&core.context);
            }
            _ => {}
        }
    }

    pub(super) fn on_snapshot_chunk(&mut self, from: Member, chunk: SnapshotChunk) {
        let core = &mut self.core;
        let Some(outcome) = core.transfers.on_chunk(&mut core.context, from, chunk) else { return };
        if let (Some(version), Role::TakingOver(take_over)) = (outcome.fetched_version, &mut self.role) {
            take_over.record_transfer_progress(core, version);
        }
        if let Some(received) = outcome.received {
            self.on_received_state(received.from, received.purpose, received.state);
        }
    }

    fn on_received_state(&mut self, from: Member, purpose: StatePurpose, state: ControlState) {
        match purpose {
            StatePurpose::CommittedState => self.core.publish(state),
            StatePurpose::ReplicateState => self.on_replicate_state(from, state),
            StatePurpose::FetchedState { term } => self.on_fetched_state(term, state),
        }
    }
}
