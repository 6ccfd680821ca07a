//! Transfers of large control states in chunks.
//!
//! The sender offers a state, and retains its encoding while the receiver requests chunks of it. The receiver
//! requests one chunk at a time. So it controls the rate, requests a lost chunk again, and other messages don't queue
//! behind a complete state.

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

/// An outgoing transfer is dropped after this long without a request.
const OUTGOING_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The maximum number of different states whose encoding is retained.
const MAX_OUTGOING_STATES: usize = 3;
/// The maximum number of simultaneous outgoing transfers.
const MAX_OUTGOING_TRANSFERS: usize = 32;
/// An incoming transfer may be replaced by one that is not more urgent after this long without progress.
const INCOMING_STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// An incoming transfer is dropped after this long without progress.
const INCOMING_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The transfer of a state to another node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OutgoingTransfer {
    to: Member,
    offer: SnapshotOffer,
    /// Shared by all transfers of the state.
    encoded: Arc<[u8]>,
    /// The time of the last request for a chunk; initially that of the offer.
    last_active_at: Instant,
}

/// The transfer of a state to this node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct IncomingTransfer {
    from: Member,
    offer: SnapshotOffer,
    /// The chunks received so far; at most as long as the offered state.
    bytes: Vec<u8>,
    /// The time at which the last chunk arrived; initially that of the offer.
    last_progress_at: Instant,
    /// The time of the last request for a chunk.
    requested_at: Instant,
}

/// Identifies an outgoing transfer whose receiver has requested a chunk.
pub(crate) struct TransferProgress {
    pub(crate) purpose: StatePurpose,
    pub(crate) version: StateVersion,
}

/// A completely received state.
pub(crate) struct ReceivedState {
    pub(crate) from: Member,
    pub(crate) purpose: StatePurpose,
    pub(crate) state: ControlState,
}

/// The result of receiving a chunk.
pub(crate) struct ChunkOutcome {
    /// The version of the state, if it is transferred for a take-over.
    pub(crate) fetched_version: Option<StateVersion>,
    /// The complete state, if this was its last chunk and the checksum matches.
    pub(crate) received: Option<ReceivedState>,
}

/// All transfers in progress.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct SnapshotTransfers {
    outgoing: Vec<OutgoingTransfer>,
    incoming: Option<IncomingTransfer>,
}

impl SnapshotTransfers {
    /// Sends a complete state in one message; a large state is offered for a transfer in chunks instead.
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
        self.make_room_for_outgoing(to, purpose, version);
        let (length, checksum) = (encoded.len() as u64, checksum(&encoded));
        let offer = SnapshotOffer { purpose, version, length, checksum };
        self.outgoing.push(OutgoingTransfer { to, offer, encoded, last_active_at: now });
        context.send(to.address, Message::OfferSnapshot { offer });
    }

    /// Returns true if the state was offered to the receiver, or a chunk of it was requested, after `since`.
    fn is_active(&self, to: Member, purpose: StatePurpose, version: StateVersion, since: Instant) -> bool {
        let is_same = |transfer: &OutgoingTransfer| {
            // A peer that is receiving an older committed state learns the later changes from deltas.
            let is_same_state = purpose.is_committed() || transfer.offer.version == version;
            transfer.to.id == to.id && transfer.offer.purpose == purpose && is_same_state
        };
        self.outgoing.iter().any(|transfer| is_same(transfer) && transfer.last_active_at > since)
    }

    /// The encoded state, shared by all of its transfers.
    fn encode(&self, state: &ControlState) -> Arc<[u8]> {
        let known = self.outgoing.iter().find(|transfer| transfer.offer.version == state.version());
        // Writing to memory doesn't fail.
        let encode = || minicbor::to_vec(state).unwrap_or_default().into();
        known.map_or_else(encode, |transfer| transfer.encoded.clone())
    }

    /// Drops transfers, least recently active first, until a transfer of `version` fits the limits. Also drops the
    /// transfer to `to` that the new one replaces: a peer has at most one transfer of a committed state and one for
    /// another purpose, and neither replaces the other.
    fn make_room_for_outgoing(&mut self, to: Member, purpose: StatePurpose, version: StateVersion) {
        self.outgoing.retain(|transfer| {
            transfer.to.id != to.id || transfer.offer.purpose.is_committed() != purpose.is_committed()
        });
        while self.outgoing.len() >= MAX_OUTGOING_TRANSFERS
            || self.other_state_count(version) >= MAX_OUTGOING_STATES
        {
            let by_activity = self.outgoing.iter().enumerate().min_by_key(|(_, t)| t.last_active_at);
            let Some(least_recently_active) = by_activity.map(|(index, _)| index) else { break };
            self.outgoing.swap_remove(least_recently_active);
        }
    }

    fn other_state_count(&self, version: StateVersion) -> usize {
        let others = self.outgoing.iter().map(|t| t.offer.version).filter(|v| *v != version);
        others.collect::<BTreeSet<StateVersion>>().len()
    }

    /// Starts to fetch an offered state, unless a transfer for a purpose that is at least as urgent makes progress.
    pub(crate) fn on_offer(&mut self, context: &mut Context, from: Member, offer: SnapshotOffer) {
        let now = context.now();
        match &self.incoming {
            // A repeated offer: the request for a chunk may be lost.
            Some(known) if known.from.id == from.id && known.offer == offer => {}
            Some(known)
                if known.offer.purpose >= offer.purpose
                    && now - known.last_progress_at < INCOMING_STALL_TIMEOUT =>
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

    /// Sends the requested chunk. Returns the transfer that has made progress, if there is one.
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

    /// Stores a requested chunk, and requests the next one. Returns none if the chunk is not the expected one.
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
        let is_for_take_over = matches!(incoming.offer.purpose, StatePurpose::FetchedState { .. });
        let is_complete = incoming.bytes.len() as u64 >= incoming.offer.length;
        if !is_complete {
            self.request_chunk(context);
        }
        let received = if is_complete { self.finish_incoming() } else { None };
        Some(ChunkOutcome { fetched_version: is_for_take_over.then_some(chunk.version), received })
    }

    /// Ends the incoming transfer. Returns the state if it is the offered one.
    fn finish_incoming(&mut self) -> Option<ReceivedState> {
        let IncomingTransfer { from, offer, bytes, .. } = self.incoming.take()?;
        if checksum(&bytes) != offer.checksum {
            return None;
        }
        let state: ControlState = minicbor::decode(&bytes).ok()?;
        let is_offered = state.version() == offer.version && state.is_within_bounds();
        is_offered.then_some(ReceivedState { from, purpose: offer.purpose, state })
    }

    /// Returns true if a transfer for a take-over of this node is making progress.
    pub(crate) fn is_fetching(&self, now: Instant) -> bool {
        self.incoming.as_ref().is_some_and(|incoming| {
            let is_for_take_over = matches!(incoming.offer.purpose, StatePurpose::FetchedState { .. });
            is_for_take_over && now - incoming.last_progress_at < INCOMING_STALL_TIMEOUT
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
