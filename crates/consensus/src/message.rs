//! The messages that nodes send to each other.

use minicbor::{Decode, Encode};

use crate::control_state::{ControlState, StateVersion};
use crate::delta_log::MAX_DELTAS;
use crate::epoch_config::EpochConfig;
use crate::lease_stamp::LeaseStamp;
use crate::snapshot::{SnapshotChunk, SnapshotOffer};
use crate::state_delta::StateDelta;
use crate::term::Term;

/// A one-way message from one node to another. Any message may be lost, delayed, duplicated or reordered.
///
/// The indices of variants and fields are part of the encoding and must not change: during an update, processes of
/// the old and the new version exchange messages.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Message {
    /// Requests a pre-vote, which the receiver grants if it would promise a new term. Sent before the term is raised,
    /// so that an isolated node does not disrupt the others (Ongaro, "Consensus: Bridging Theory and Practice", 9.6).
    #[n(0)]
    PreVote,
    /// The response to a [`Message::PreVote`].
    #[n(1)]
    PreVoteResponse {
        /// True if the sender also suspects the primary, and would promise a new term.
        #[n(0)]
        granted: bool,
        /// True if the sender is a bootstrap voter.
        #[n(1)]
        is_bootstrap_voter: bool,
        /// The highest configuration that the sender has seen.
        #[n(2)]
        config: Option<EpochConfig>,
    },
    /// Requests a promise to accept nothing under a lower term.
    #[n(2)]
    Prepare {
        /// The term of the sender's take-over.
        #[n(0)]
        term: Term,
    },
    /// The response to a [`Message::Prepare`]: the promise is durable.
    #[n(3)]
    Promise {
        /// The promised term.
        #[n(0)]
        term: Term,
        /// True if the sender is a bootstrap voter.
        #[n(1)]
        is_bootstrap_voter: bool,
        /// True if the sender's disk accepts writes and it is not shutting down.
        #[n(2)]
        is_healthy: bool,
        /// The highest configuration that the sender has seen.
        #[n(3)]
        config: Option<EpochConfig>,
        /// The version of the state on the sender's disk; none if there is no state.
        #[n(4)]
        version: Option<StateVersion>,
    },
    /// The negative response to a request whose term is lower than the promised one.
    #[n(4)]
    Reject {
        /// The term of the rejected request.
        #[n(0)]
        term: Term,
        /// The term that the sender has promised.
        #[n(1)]
        promised: Term,
    },
    /// Requests the complete state that the receiver has reported in its [`Message::Promise`].
    #[n(5)]
    FetchState {
        /// The term of the take-over.
        #[n(0)]
        term: Term,
        /// The version of the requested state.
        #[n(1)]
        version: StateVersion,
    },
    /// The response to a [`Message::FetchState`].
    #[n(6)]
    FetchedState {
        /// The term of the take-over.
        #[n(0)]
        term: Term,
        /// The state.
        #[n(1)]
        state: ControlState,
    },
    /// Requests the receiver to write a state, whose `write_term` is the sender's term.
    #[n(7)]
    ReplicateState {
        /// The state.
        #[n(0)]
        state: ControlState,
    },
    /// Requests the receiver to write a state again, under the sender's term. Contains only the version, since the
    /// receiver is expected to have the body; a receiver without it responds with [`Message::MissingBody`].
    #[n(8)]
    RewriteUnderNewTerm {
        /// The version to write; its `write_term` is the sender's term.
        #[n(0)]
        version: StateVersion,
    },
    /// The positive response to a request to write a state or a delta: it is durable at the sender.
    #[n(9)]
    Replicated {
        /// The version that was written.
        #[n(0)]
        version: StateVersion,
    },
    /// The negative response to a request to write a state or a delta: the sender lacks the body that it builds on,
    /// and needs the complete state.
    #[n(10)]
    MissingBody {
        /// The version that the sender was requested to write.
        #[n(0)]
        version: StateVersion,
    },
    /// Requests the receiver to accept a configuration.
    #[n(11)]
    Accept {
        /// The configuration.
        #[n(0)]
        config: EpochConfig,
    },
    /// The response to a [`Message::Accept`]: the configuration is accepted and durable.
    #[n(12)]
    Accepted {
        /// The term of the configuration.
        #[n(0)]
        term: Term,
        /// True if the sender is a bootstrap voter.
        #[n(1)]
        is_bootstrap_voter: bool,
    },
    /// Sent by the primary at regular intervals while it holds its lease.
    #[n(13)]
    Heartbeat {
        /// The primary's term.
        #[n(0)]
        term: Term,
        /// The sequence number of this heartbeat within the term.
        #[n(1)]
        sequence: u64,
        /// The version of the committed state.
        #[n(2)]
        committed: StateVersion,
        /// The current configuration, if the receiver may not have seen it yet.
        #[n(3)]
        config: Option<EpochConfig>,
        /// The newest stamp from the receiver's heartbeat responses.
        #[n(4)]
        echoed_stamp: Option<LeaseStamp>,
    },
    /// The response to a [`Message::Heartbeat`].
    #[n(14)]
    HeartbeatResponse {
        /// The primary's term.
        #[n(0)]
        term: Term,
        /// The sequence number of the heartbeat.
        #[n(1)]
        sequence: u64,
        /// The highest term that the sender has promised.
        #[n(2)]
        promised: Term,
        /// The term of the configuration that the sender has accepted.
        #[n(3)]
        accepted_term: Term,
        /// The term of the highest configuration that the sender has seen.
        #[n(4)]
        known_term: Term,
        /// The highest revision that the sender knows to be committed.
        #[n(5)]
        committed_revision: Option<u64>,
        /// True if the sender's disk accepts writes and it is not shutting down.
        #[n(6)]
        is_healthy: bool,
        /// The time of the response by the sender's own clock; the primary returns it with the next heartbeat.
        #[n(7)]
        lease_stamp: LeaseStamp,
    },
    /// Announces a committed state.
    #[n(15)]
    CommittedState {
        /// The state.
        #[n(0)]
        state: ControlState,
    },
    /// Sent by a node that searches for the group, or that requests to become a member.
    #[n(16)]
    Join {
        /// True if the sender is a bootstrap voter.
        #[n(0)]
        is_bootstrap_voter: bool,
        /// The term of the highest configuration that the sender has seen.
        #[n(1)]
        known_term: Term,
    },
    /// The response to a [`Message::Join`] from a node that has only seen a lower configuration.
    #[n(17)]
    KnownConfig {
        /// The highest configuration that the sender has seen.
        #[n(0)]
        config: EpochConfig,
    },
    /// Sent by the primary to request the receiver to take over.
    #[n(18)]
    TransferLeadership {
        /// The primary's term.
        #[n(0)]
        term: Term,
    },
    /// Requests the removal of the sender, which shuts down. It remains an acceptor and a backup until the removal is
    /// granted.
    #[n(19)]
    RequestRemoval,
    /// The primary's response to a [`Message::RequestRemoval`]: the receiver's process may end.
    #[n(20)]
    RemovalGranted {
        /// The primary's term.
        #[n(0)]
        term: Term,
    },
    /// Requests the receiver to write a delta. A receiver without the state that the delta builds on responds with
    /// [`Message::MissingBody`].
    #[n(25)]
    ReplicateDelta {
        /// The delta.
        #[n(0)]
        delta: StateDelta,
    },
    /// Announces consecutive committed deltas.
    #[n(26)]
    CommittedDeltas {
        /// The deltas, oldest first.
        #[n(0)]
        deltas: Vec<StateDelta>,
    },
    /// Offers a large state, which the receiver can fetch in chunks.
    #[n(27)]
    OfferSnapshot {
        /// Identifies the state and what it is sent for.
        #[n(0)]
        offer: SnapshotOffer,
    },
    /// Requests the next chunk of an offered state.
    #[n(28)]
    FetchChunk {
        /// The version of the offered state.
        #[n(0)]
        version: StateVersion,
        /// The offset of the chunk in the encoded state, in bytes; equal to the number of bytes that the sender
        /// already has.
        #[n(1)]
        offset: u64,
    },
    /// The response to a [`Message::FetchChunk`].
    #[n(29)]
    SnapshotChunk {
        /// The chunk.
        #[n(0)]
        chunk: SnapshotChunk,
    },
}

impl Message {
    /// The approximate number of bytes of control states in the message.
    pub fn state_bytes(&self) -> usize {
        match self {
            Message::FetchedState { state, .. }
            | Message::ReplicateState { state }
            | Message::CommittedState { state } => state.body.len(),
            Message::ReplicateDelta { delta } => delta.estimated_bytes(),
            Message::CommittedDeltas { deltas } => deltas.iter().map(StateDelta::estimated_bytes).sum(),
            Message::SnapshotChunk { chunk } => chunk.bytes.len(),
            _ => 0,
        }
    }

    /// Returns true if no list in the message is longer than the limits that every sender observes.
    pub(crate) fn is_within_bounds(&self) -> bool {
        match self {
            Message::PreVoteResponse { config, .. }
            | Message::Promise { config, .. }
            | Message::Heartbeat { config, .. } => config.as_ref().is_none_or(EpochConfig::is_within_bounds),
            Message::Accept { config } | Message::KnownConfig { config } => config.is_within_bounds(),
            Message::FetchedState { state, .. }
            | Message::ReplicateState { state }
            | Message::CommittedState { state } => state.is_within_bounds(),
            Message::CommittedDeltas { deltas } => deltas.len() <= MAX_DELTAS,
            _ => true,
        }
    }
}
