//! The messages of nodes to each other.

use minicbor::{Decode, Encode};

use crate::control_state::{ControlState, StateVersion};
use crate::delta_log::MAX_DELTAS;
use crate::epoch_config::EpochConfig;
use crate::lease_stamp::LeaseStamp;
use crate::snapshot::{SnapshotChunk, SnapshotOffer};
use crate::state_delta::StateDelta;
use crate::term::Term;

/// A one-way message of one node to another. Any may be lost, delayed, duplicated or reordered.
///
/// The indices of variants and fields are the encoding; old and new processes meet during an update.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Message {
    /// Requests a pre-vote: whether the receiver would promise a term. Sent before a term is raised, so that an isolated
    /// node does not interrupt the others (Ongaro, "Consensus: Bridging Theory and Practice", 9.6).
    #[n(0)]
    PreVote,
    /// The response to a [`Message::PreVote`].
    #[n(1)]
    PreVoteResponse {
        /// Whether the sender suspects the primary, too, and would promise a term.
        #[n(0)]
        granted: bool,
        /// Whether the sender is a bootstrap voter.
        #[n(1)]
        is_bootstrap_voter: bool,
        /// The highest configuration that the sender has seen.
        #[n(2)]
        config: Option<EpochConfig>,
    },
    /// Requests the promise to accept nothing of a lower term.
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
        /// Whether the sender is a bootstrap voter.
        #[n(1)]
        is_bootstrap_voter: bool,
        /// Whether the sender's disk takes writes.
        #[n(2)]
        is_healthy: bool,
        /// The highest configuration that the sender has seen.
        #[n(3)]
        config: Option<EpochConfig>,
        /// The version of the state on the sender's disk; none if it has none.
        #[n(4)]
        version: Option<StateVersion>,
    },
    /// The response to a request to promise, write or accept under a term below the promised one.
    #[n(4)]
    Reject {
        /// The term that is rejected.
        #[n(0)]
        term: Term,
        /// The term that was promised.
        #[n(1)]
        promised: Term,
    },
    /// Requests a complete state.
    #[n(5)]
    FetchState {
        /// The term of the take-over.
        #[n(0)]
        term: Term,
        /// The version that the receiver has reported.
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
    /// A state to be written; its `write_term` is the sender's term.
    #[n(7)]
    ReplicateState {
        /// The state.
        #[n(0)]
        state: ControlState,
    },
    /// Requests to write a state again under the sender's term. Only its version is sent: the receiver is expected to have
    /// the body, and responds by [`Message::MissingBody`] if it does not.
    #[n(8)]
    RewriteUnderNewTerm {
        /// The version to be written; its `write_term` is the sender's term.
        #[n(0)]
        version: StateVersion,
    },
    /// The response to a state or a change to be written: it is durable at the sender.
    #[n(9)]
    Replicated {
        /// The version that was to be written.
        #[n(0)]
        version: StateVersion,
    },
    /// The sender lacks the body that the message refers to: it needs the complete state.
    #[n(10)]
    MissingBody {
        /// The version that was to be written.
        #[n(0)]
        version: StateVersion,
    },
    /// A configuration to be accepted.
    #[n(11)]
    Accept {
        /// The configuration.
        #[n(0)]
        config: EpochConfig,
    },
    /// The response to a [`Message::Accept`]: the configuration is accepted, and durable.
    #[n(12)]
    Accepted {
        /// The term of the configuration.
        #[n(0)]
        term: Term,
        /// Whether the sender is a bootstrap voter.
        #[n(1)]
        is_bootstrap_voter: bool,
    },
    /// The primary is alive and holds its lease.
    #[n(13)]
    Heartbeat {
        /// The primary's term.
        #[n(0)]
        term: Term,
        /// The sequence number of this heartbeat, within the term.
        #[n(1)]
        sequence: u64,
        /// The version of the committed state.
        #[n(2)]
        committed: StateVersion,
        /// The configuration, for those that have not seen it.
        #[n(3)]
        config: Option<EpochConfig>,
        /// The newest stamp that the receiver has sent to this primary.
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
        /// The revision that the sender knows to be committed.
        #[n(5)]
        committed_revision: Option<u64>,
        /// Whether the sender's disk takes writes.
        #[n(6)]
        is_healthy: bool,
        /// When the sender responds, by its own clock; to be returned with the next heartbeat.
        #[n(7)]
        lease_stamp: LeaseStamp,
    },
    /// This state is committed.
    #[n(15)]
    CommittedState {
        /// The state.
        #[n(0)]
        state: ControlState,
    },
    /// The sender looks for the others and wants to be a member.
    #[n(16)]
    Join {
        /// Whether the sender is a bootstrap voter.
        #[n(0)]
        is_bootstrap_voter: bool,
        /// The term of the highest configuration that the sender has seen.
        #[n(1)]
        known_term: Term,
    },
    /// The response to a [`Message::Join`] of a node that has seen a lower configuration.
    #[n(17)]
    KnownConfig {
        /// The highest configuration that the sender has seen.
        #[n(0)]
        config: EpochConfig,
    },
    /// The primary requests the receiver to take over.
    #[n(18)]
    TransferLeadership {
        /// The primary's term.
        #[n(0)]
        term: Term,
    },
    /// The sender shuts down, and stays acceptor and backup until its removal is granted.
    #[n(19)]
    RequestRemoval,
    /// The primary's response to a [`Message::RequestRemoval`]: the process may end.
    #[n(20)]
    RemovalGranted {
        /// The primary's term.
        #[n(0)]
        term: Term,
    },
    /// A change to be written on top of the state before it. A receiver without that state responds by
    /// [`Message::MissingBody`].
    #[n(25)]
    ReplicateDelta {
        /// The change.
        #[n(0)]
        delta: StateDelta,
    },
    /// These changes are committed, one after the other.
    #[n(26)]
    CommittedDeltas {
        /// The changes, oldest first.
        #[n(0)]
        deltas: Vec<StateDelta>,
    },
    /// A large state can be fetched in chunks.
    #[n(27)]
    OfferSnapshot {
        /// Which state, and what the receiver is to do with it.
        #[n(0)]
        offer: SnapshotOffer,
    },
    /// Requests the next chunk of an offered state.
    #[n(28)]
    FetchChunk {
        /// The version of the offered state.
        #[n(0)]
        version: StateVersion,
        /// The offset of the chunk in the encoded state: how many bytes of it the sender has.
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
    /// About how many bytes of states it carries; zero for messages that carry none.
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

    /// Whether its lists are no longer than any node makes them.
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
