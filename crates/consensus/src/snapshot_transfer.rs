//! Large states in pieces: the receiver asks for one piece after the other, so that it sets the pace, a lost piece is
//! asked for again, and nothing else has to wait behind a whole state.
//!
//! The sender offers a state. It keeps the encoded state for as long as the receiver asks for pieces of it.

use std::sync::Arc;

use minicbor::{Decode, Encode};
use rand_core::RngCore;

use crate::control_state::{ControlState, Member, StateVersion, Term, decode_body, encode_body};
use crate::limits::MAX_STATE_BYTES;
use crate::message::Message;
use crate::node::{Node, Role};
use crate::settings::InjectedFault;

/// An outgoing transfer that nobody asked for pieces of for so long is forgotten.
const OUTGOING_LASTS: u64 = 2_000;
/// So many different states are kept encoded.
const MOST_OUTGOING_STATES: usize = 3;
/// So many transfers go out at a time.
const MOST_OUTGOING: usize = 32;
/// An incoming transfer without progress for so long gives way to another.
const INCOMING_STALLS: u64 = 500;
/// An incoming transfer without progress for so long is given up.
const INCOMING_LASTS: u64 = 3_000;

/// What the receiver of a state is to do with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum StatePurpose {
    /// It is committed: show it.
    #[n(0)]
    Committed,
    /// Write it and answer [`Message::Replicated`].
    #[n(1)]
    ReplicateState,
    /// It was fetched for a take-over.
    #[n(2)]
    FetchedState {
        /// The term of the take-over.
        #[n(0)]
        term: Term,
    },
}

impl StatePurpose {
    fn is_committed(self) -> bool {
        self == StatePurpose::Committed
    }
}

/// A state that is there in pieces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct SnapshotOffer {
    /// What to do with it.
    #[n(0)]
    pub purpose: StatePurpose,
    /// Which state it is.
    #[n(1)]
    pub version: StateVersion,
    /// The bytes of the encoded state.
    #[n(2)]
    pub length: u64,
    /// The [`checksum`] of the encoded state.
    #[n(3)]
    pub checksum: u64,
}

/// A piece of an encoded state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct SnapshotChunk {
    /// Which state it is of.
    #[n(0)]
    pub version: StateVersion,
    /// Where it begins.
    #[n(1)]
    pub offset: u64,
    /// The bytes.
    #[cbor(n(2), encode_with = "encode_body", decode_with = "decode_body")]
    pub bytes: Arc<[u8]>,
}

/// From which length on states go in pieces, and how long those are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ChunkSizes {
    /// Bodies and deltas that are longer are large.
    pub large_state_bytes: usize,
    /// The bytes of a piece.
    pub chunk_bytes: usize,
}

impl Default for ChunkSizes {
    fn default() -> ChunkSizes {
        ChunkSizes { large_state_bytes: 256 << 10, chunk_bytes: 256 << 10 }
    }
}

/// FNV-1a with 64 bits: tells a state that was put together wrongly.
pub fn checksum(bytes: &[u8]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    bytes.iter().fold(OFFSET_BASIS, |sum, byte| (sum ^ u64::from(*byte)).wrapping_mul(PRIME))
}

/// A state on its way out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Outgoing {
    to: Member,
    offer: SnapshotOffer,
    encoded: Arc<[u8]>,
    /// When a piece was asked for last, or the offer was made.
    touched: u64,
}

/// A state on its way in.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Incoming {
    from: Member,
    offer: SnapshotOffer,
    bytes: Vec<u8>,
    /// When the last piece came.
    progress: u64,
    /// When a piece was asked for last.
    asked: u64,
}

/// The transfers under way.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Transfers {
    outgoing: Vec<Outgoing>,
    incoming: Option<Incoming>,
}

impl Transfers {
    fn is_under_way(&self, to: Member, purpose: StatePurpose, version: StateVersion, since: u64) -> bool {
        let same = |o: &Outgoing| o.to.id == to.id && o.offer.purpose == purpose;
        // Whoever gets a committed state learns the changes after it on its own.
        let state = |o: &Outgoing| purpose.is_committed() || o.offer.version == version;
        self.outgoing.iter().any(|o| same(o) && state(o) && o.touched > since)
    }

    /// The encoded state; shared by all that get it.
    fn encoded(&self, state: &ControlState) -> Arc<[u8]> {
        let known = self.outgoing.iter().find(|o| o.offer.version == state.version());
        // Writing to memory doesn't fail.
        known.map_or_else(|| minicbor::to_vec(state).unwrap_or_default().into(), |o| o.encoded.clone())
    }

    /// Makes room for one more transfer of the version; the one that was idle for longest gives way. A peer has one of a
    /// committed state and another one at most, which the first must not end.
    fn make_room(&mut self, to: Member, purpose: StatePurpose, version: StateVersion) {
        self.outgoing
            .retain(|o| o.to.id != to.id || o.offer.purpose.is_committed() != purpose.is_committed());
        while self.outgoing.len() >= MOST_OUTGOING || self.states_beside(version) >= MOST_OUTGOING_STATES {
            let oldest = self.outgoing.iter().enumerate().min_by_key(|(_, o)| o.touched).map(|(i, _)| i);
            let Some(oldest) = oldest else { break };
            self.outgoing.swap_remove(oldest);
        }
    }

    fn states_beside(&self, version: StateVersion) -> usize {
        let others = self.outgoing.iter().map(|o| o.offer.version).filter(|v| *v != version);
        others.collect::<std::collections::BTreeSet<StateVersion>>().len()
    }
}

impl<R: RngCore> Node<R> {
    /// Sends a state whole: in one message, or by an offer where it is large.
    pub(crate) fn send_state(&mut self, to: Member, purpose: StatePurpose, state: ControlState) {
        if state.body.len() <= self.settings.chunk_sizes.large_state_bytes
            || self.settings.has(InjectedFault::WholeStates)
        {
            let message = match purpose {
                StatePurpose::Committed => Message::CommittedState { state },
                StatePurpose::ReplicateState => Message::ReplicateState { state },
                StatePurpose::FetchedState { term } => Message::FetchedState { term, state },
            };
            return self.send(to.address, message);
        }
        let (version, now) = (state.version(), self.now);
        let pause = self.settings.timings.state_resend_interval;
        if self.transfers.is_under_way(to, purpose, version, now.saturating_sub(pause)) {
            return;
        }
        let encoded = self.transfers.encoded(&state);
        self.transfers.make_room(to, purpose, version);
        let (length, checksum) = (encoded.len() as u64, checksum(&encoded));
        let offer = SnapshotOffer { purpose, version, length, checksum };
        self.transfers.outgoing.push(Outgoing { to, offer, encoded, touched: now });
        self.send(to.address, Message::OfferSnapshot { offer });
    }

    pub(crate) fn on_offer(&mut self, from: Member, offer: SnapshotOffer) {
        if offer.length > MAX_STATE_BYTES as u64 || !self.wants(from, &offer) {
            return;
        }
        let held = [self.stable.state.as_ref(), self.committed.as_ref()];
        let held = held.into_iter().flatten().find(|s| s.version().same_body(&offer.version));
        if let Some(state) = held.map(|s| s.stamped(offer.version.write_term)) {
            return self.take_state(from, offer.purpose, state);
        }
        let now = self.now;
        match &self.transfers.incoming {
            // The offer came again: what was asked for may be lost.
            Some(known) if known.from.id == from.id && known.offer == offer => {}
            Some(known) if known.offer.purpose >= offer.purpose && now - known.progress < INCOMING_STALLS => {
                return;
            }
            _ => {
                let incoming = Incoming { from, offer, bytes: Vec::new(), progress: now, asked: now };
                self.transfers.incoming = Some(incoming);
            }
        }
        self.ask_for_piece();
    }

    /// Whether the offered state is of use.
    fn wants(&mut self, from: Member, offer: &SnapshotOffer) -> bool {
        match offer.purpose {
            StatePurpose::Committed => {
                self.committed.as_ref().is_none_or(|s| s.revision < offer.version.revision)
            }
            StatePurpose::ReplicateState => {
                self.admit(from, offer.version.write_term) && !self.is_known(from, &offer.version)
            }
            StatePurpose::FetchedState { term } => self.fetches(term, &offer.version),
        }
    }

    fn ask_for_piece(&mut self) {
        let now = self.now;
        let Some(incoming) = &mut self.transfers.incoming else { return };
        incoming.asked = now;
        let (to, version, offset) =
            (incoming.from.address, incoming.offer.version, incoming.bytes.len() as u64);
        self.send(to, Message::FetchChunk { version, offset });
    }

    pub(crate) fn on_fetch_piece(&mut self, from: Member, version: StateVersion, offset: u64) {
        let (now, piece_bytes) = (self.now, self.settings.chunk_sizes.chunk_bytes.max(1));
        let asked = |o: &&mut Outgoing| o.to.id == from.id && o.offer.version == version;
        let outgoing = self.transfers.outgoing.iter_mut().filter(asked).max_by_key(|o| o.offer.purpose);
        let Some(outgoing) = outgoing else { return };
        outgoing.touched = now;
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        let rest = outgoing.encoded.get(start..).unwrap_or_default();
        let bytes: Arc<[u8]> = rest.get(..piece_bytes.min(rest.len())).unwrap_or_default().into();
        let purpose = outgoing.offer.purpose;
        if !bytes.is_empty() {
            self.send(
                from.address,
                Message::SnapshotChunk { chunk: SnapshotChunk { version, offset, bytes } },
            );
        }
        self.transfer_progressed(from, purpose, version);
    }

    pub(crate) fn on_piece(&mut self, from: Member, piece: SnapshotChunk) {
        let now = self.now;
        let Some(incoming) = &mut self.transfers.incoming else { return };
        let expected = incoming.from.id == from.id && incoming.offer.version == piece.version;
        let missing = incoming.offer.length.saturating_sub(incoming.bytes.len() as u64);
        let fits = piece.offset == incoming.bytes.len() as u64 && piece.bytes.len() as u64 <= missing;
        if !expected || !fits || piece.bytes.is_empty() {
            return;
        }
        incoming.bytes.extend_from_slice(&piece.bytes);
        incoming.progress = now;
        if let StatePurpose::FetchedState { .. } = incoming.offer.purpose {
            self.take_over_progressed(piece.version);
        }
        let complete =
            self.transfers.incoming.as_ref().is_some_and(|i| i.bytes.len() as u64 >= i.offer.length);
        if complete { self.finish_transfer() } else { self.ask_for_piece() }
    }

    fn finish_transfer(&mut self) {
        let Some(incoming) = self.transfers.incoming.take() else { return };
        let SnapshotOffer { purpose, version, checksum: expected, .. } = incoming.offer;
        if checksum(&incoming.bytes) != expected {
            return;
        }
        let Ok(state) = minicbor::decode::<ControlState>(&incoming.bytes) else { return };
        if state.version() == version && state.is_within_bounds() {
            self.take_state(incoming.from, purpose, state);
        }
    }

    fn take_state(&mut self, from: Member, purpose: StatePurpose, state: ControlState) {
        match purpose {
            StatePurpose::Committed => self.show(state),
            StatePurpose::ReplicateState => self.on_replicate(from, state),
            StatePurpose::FetchedState { term } => self.on_fetched(term, state),
        }
    }

    /// The receiver of a state has asked for a piece: what waits for it is given more time.
    fn transfer_progressed(&mut self, to: Member, purpose: StatePurpose, version: StateVersion) {
        match (purpose, &self.role) {
            (StatePurpose::ReplicateState, Role::Primary(_)) => self.flight_progressed(version),
            (StatePurpose::ReplicateState, Role::TakingOver(_)) => self.take_over_progressed(version),
            // Whoever fetches the newest state is about to lead: others are not promised anything meanwhile.
            (StatePurpose::FetchedState { term }, _) if term.proposer == to.id && term == self.promised => {
                self.election.quiet_until = self.now + self.settings.timings.suspicion_timeout / 2;
            }
            _ => {}
        }
    }

    /// Whether the newest state is on its way in for a take-over.
    pub(crate) fn is_fetching(&self) -> bool {
        let fetched = |i: &Incoming| matches!(i.offer.purpose, StatePurpose::FetchedState { .. });
        let lately = |i: &Incoming| self.now.saturating_sub(i.progress) < INCOMING_STALLS;
        self.transfers.incoming.as_ref().is_some_and(|i| fetched(i) && lately(i))
    }

    pub(crate) fn transfer_timers(&mut self) {
        let now = self.now;
        self.transfers.outgoing.retain(|o| now.saturating_sub(o.touched) < OUTGOING_LASTS);
        let Some(incoming) = &self.transfers.incoming else { return };
        if now.saturating_sub(incoming.progress) >= INCOMING_LASTS {
            self.transfers.incoming = None;
        } else if now.saturating_sub(incoming.asked) >= self.settings.timings.state_resend_interval {
            self.ask_for_piece();
        }
    }
}
