//! Large states in chunks: the receiver requests one chunk after the other, so that it sets the pace, a lost chunk is
//! requested again, and other messages don't wait behind a complete state.
//!
//! The sender offers a state. It retains the encoded state while the receiver requests chunks of it.

use core::time::Duration;
use std::collections::BTreeSet;
use std::sync::Arc;

use mosshead_time::Instant;

use crate::context::Context;
use crate::control_state::{ControlState, StateVersion};
use crate::injected_fault::InjectedFault;
use crate::message::Message;
use crate::snapshot::{SnapshotChunk, SnapshotOffer, StatePurpose, checksum};
use crate::term::Member;

/// An outgoing transfer without a request for this long is dropped.
const OUTGOING_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The most different states that are retained in encoded form.
const MAX_OUTGOING_STATES: usize = 3;
/// The most outgoing transfers at a time.
const MAX_OUTGOING: usize = 32;
/// An incoming transfer without progress for this long may be replaced by another.
const INCOMING_STALL: Duration = Duration::from_millis(500);
/// An incoming transfer without progress for this long is dropped.
const INCOMING_TIMEOUT: Duration = Duration::from_millis(3_000);

/// A state that is being sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OutgoingTransfer {
    to: Member,
    offer: SnapshotOffer,
    /// Shared by all transfers of the state.
    encoded: Arc<[u8]>,
    /// When a chunk was requested last, or the offer was made.
    last_active_at: Instant,
}

/// A state that is being received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct IncomingTransfer {
    from: Member,
    offer: SnapshotOffer,
    /// The chunks so far; never longer than the offered length.
    bytes: Vec<u8>,
    /// When the last chunk arrived.
    last_progress_at: Instant,
    /// When a chunk was requested last.
    requested_at: Instant,
}

/// The receiver of a state has requested a chunk.
pub(crate) struct TransferProgress {
    pub(crate) purpose: StatePurpose,
    pub(crate) version: StateVersion,
}

/// A state that has arrived completely.
pub(crate) struct ReceivedState {
    pub(crate) from: Member,
    pub(crate) purpose: StatePurpose,
    pub(crate) state: ControlState,
}

/// The outcome of a chunk.
pub(crate) struct ChunkOutcome {
    /// The version that a take-over fetches, if the chunk is of one.
    pub(crate) fetched_version: Option<StateVersion>,
    /// The state, if this was its last chunk and the checksum matches.
    pub(crate) received: Option<ReceivedState>,
}

/// The transfers in progress.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct SnapshotTransfers {
    outgoing: Vec<OutgoingTransfer>,
    incoming: Option<IncomingTransfer>,
}

impl SnapshotTransfers {
    /// Sends a complete state: in one message, or by an offer where it is large.
    pub(crate) fn send_state(
        &mut self,
        context: &mut Context,
        to: Member,
        purpose: StatePurpose,
        state: ControlState,
    ) {
        let is_large = state.body.len() > context.settings().chunk_sizes.large_state_bytes;
        if !is_large || context.has_fault(InjectedFault::AlwaysSendFullStates) {
            let message = match purpose {
                StatePurpose::CommittedState => Message::CommittedState { state },
                StatePurpose::ReplicateState => Message::ReplicateState { state },
                StatePurpose::FetchedState { term } => Message::FetchedState { term, state },
            };
            return context.send(to.address, message);
        }
        let (version, now) = (state.version(), context.now());
        if self.is_active(to, purpose, version, now - context.timings().state_resend_interval) {
            return;
        }
        let encoded = self.encode(&state);
        self.drop_idle_outgoing(to, purpose, version);
        let (length, checksum) = (encoded.len() as u64, checksum(&encoded));
        let offer = SnapshotOffer { purpose, version, length, checksum };
        self.outgoing.push(OutgoingTransfer { to, offer, encoded, last_active_at: now });
        context.send(to.address, Message::OfferSnapshot { offer });
    }

    /// Whether the state was offered to the receiver, or a chunk of it requested, after `since`.
    fn is_active(&self, to: Member, purpose: StatePurpose, version: StateVersion, since: Instant) -> bool {
        let is_same = |transfer: &OutgoingTransfer| {
            // A peer that receives a committed state learns the later changes without a transfer.
            let is_same_state = purpose.is_committed() || transfer.offer.version == version;
            transfer.to.id == to.id && transfer.offer.purpose == purpose && is_same_state
        };
        self.outgoing.iter().any(|transfer| is_same(transfer) && transfer.last_active_at > since)
    }

    /// The encoded state; shared by all transfers of it.
    fn encode(&self, state: &ControlState) -> Arc<[u8]> {
        let known = self.outgoing.iter().find(|transfer| transfer.offer.version == state.version());
        // Writing to memory doesn't fail.
        let encode = || minicbor::to_vec(state).unwrap_or_default().into();
        known.map_or_else(encode, |transfer| transfer.encoded.clone())
    }

    /// Drops transfers so that one more of the version can be added; the one that was idle for longest first. A peer has at
    /// most one transfer of a committed state and one for another purpose, which the first must not end.
    fn drop_idle_outgoing(&mut self, to: Member, purpose: StatePurpose, version: StateVersion) {
        self.outgoing.retain(|transfer| {
            transfer.to.id != to.id || transfer.offer.purpose.is_committed() != purpose.is_committed()
        });
        while self.outgoing.len() >= MAX_OUTGOING || self.states_beside(version) >= MAX_OUTGOING_STATES {
            let by_activity = self.outgoing.iter().enumerate().min_by_key(|(_, t)| t.last_active_at);
            let Some(idlest) = by_activity.map(|(index, _)| index) else { break };
            self.outgoing.swap_remove(idlest);
        }
    }

    fn states_beside(&self, version: StateVersion) -> usize {
        let others = self.outgoing.iter().map(|t| t.offer.version).filter(|v| *v != version);
        others.collect::<BTreeSet<StateVersion>>().len()
    }

    /// Starts to fetch an offered state that is of use, unless a transfer for a purpose as urgent is in progress.
    pub(crate) fn on_offer(&mut self, context: &mut Context, from: Member, offer: SnapshotOffer) {
        let now = context.now();
        match &self.incoming {
            // The offer was sent again: the request for a chunk may be lost.
            Some(known) if known.from.id == from.id && known.offer == offer => {}
            Some(known)
                if known.offer.purpose >= offer.purpose && now - known.last_progress_at < INCOMING_STALL =>
            {
                return;
            }
            _ => {
                let bytes = Vec::new();
                let incoming =
                    IncomingTransfer { from, offer, bytes, last_progress_at: now, requested_at: now };
                self.incoming = Some(incoming);
            }
        }
        self.request_chunk(context);
    }

    fn request_chunk(&mut self, context: &mut Context) {
        let Some(incoming) = &mut self.incoming else { return };
        incoming.requested_at = context.now();
        let (version, offset) = (incoming.offer.version, incoming.bytes.len() as u64);
        context.send(incoming.from.address, Message::FetchChunk { version, offset });
    }

    /// Sends a chunk; returns which transfer has made progress.
    pub(crate) fn on_fetch_chunk(
        &mut self,
        context: &mut Context,
        from: Member,
        version: StateVersion,
        offset: u64,
    ) -> Option<TransferProgress> {
        let is_requested = |t: &&mut OutgoingTransfer| t.to.id == from.id && t.offer.version == version;
        let transfers = self.outgoing.iter_mut().filter(is_requested);
        let transfer = transfers.max_by_key(|transfer| transfer.offer.purpose)?;
        transfer.last_active_at = context.now();
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        let rest = transfer.encoded.get(start..).unwrap_or_default();
        let length = context.settings().chunk_sizes.chunk_bytes.max(1).min(rest.len());
        let bytes: Arc<[u8]> = rest.get(..length).unwrap_or_default().into();
        if !bytes.is_empty() {
            let chunk = SnapshotChunk { version, offset, bytes };
            context.send(from.address, Message::SnapshotChunk { chunk });
        }
        Some(TransferProgress { purpose: transfer.offer.purpose, version })
    }

    /// Adds the chunk that was requested, and requests the next one.
    pub(crate) fn on_chunk(
        &mut self,
        context: &mut Context,
        from: Member,
        chunk: SnapshotChunk,
    ) -> Option<ChunkOutcome> {
        let incoming = self.incoming.as_mut()?;
        let is_expected = incoming.from.id == from.id && incoming.offer.version == chunk.version;
        let missing = incoming.offer.length.saturating_sub(incoming.bytes.len() as u64);
        let is_next = chunk.offset == incoming.bytes.len() as u64 && chunk.bytes.len() as u64 <= missing;
        if !is_expected || !is_next || chunk.bytes.is_empty() {
            return None;
        }
        incoming.bytes.extend_from_slice(&chunk.bytes);
        incoming.last_progress_at = context.now();
        let is_fetched = matches!(incoming.offer.purpose, StatePurpose::FetchedState { .. });
        let is_complete = incoming.bytes.len() as u64 >= incoming.offer.length;
        if !is_complete {
            self.request_chunk(context);
        }
        let received = if is_complete { self.finish_incoming() } else { None };
        Some(ChunkOutcome { fetched_version: is_fetched.then_some(chunk.version), received })
    }

    /// The state that has arrived completely, if it is the one that was offered.
    fn finish_incoming(&mut self) -> Option<ReceivedState> {
        let IncomingTransfer { from, offer, bytes, .. } = self.incoming.take()?;
        if checksum(&bytes) != offer.checksum {
            return None;
        }
        let state: ControlState = minicbor::decode(&bytes).ok()?;
        let is_offered = state.version() == offer.version && state.is_within_bounds();
        is_offered.then_some(ReceivedState { from, purpose: offer.purpose, state })
    }

    /// Whether a state for a take-over is being received.
    pub(crate) fn is_fetching(&self, now: Instant) -> bool {
        self.incoming.as_ref().is_some_and(|incoming| {
            let is_fetched = matches!(incoming.offer.purpose, StatePurpose::FetchedState { .. });
            is_fetched && now - incoming.last_progress_at < INCOMING_STALL
        })
    }

    pub(crate) fn run_timers(&mut self, context: &mut Context) {
        let now = context.now();
        self.outgoing.retain(|transfer| now - transfer.last_active_at < OUTGOING_TIMEOUT);
        let Some(incoming) = &self.incoming else { return };
        if now - incoming.last_progress_at >= INCOMING_TIMEOUT {
            self.incoming = None;
        } else if now - incoming.requested_at >= context.timings().state_resend_interval {
            self.request_chunk(context);
        }
    }
}
