use minicbor::{Decode, Encode};

use crate::control_state::{ControlState, StateVersion};
use crate::delta_log::MAX_DELTAS;
use crate::epoch_config::EpochConfig;
use crate::lease_stamp::LeaseStamp;
use crate::snapshot::{SnapshotChunk, SnapshotOffer};
use crate::state_delta::StateDelta;
use crate::term::Term;

/// What nodes tell each other, one way; any of it may be lost, late, doubled or out of order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Message {
    /// Would you promise? Asked before a term is raised, so that a lone node disturbs nobody.
    #[n(0)]
    PreVote,
    /// The answer to a [`Message::PreVote`].
    #[n(1)]
    PreVoteResponse {
        /// Whether the sender misses a primary too.
        #[n(0)]
        granted: bool,
        /// Whether the sender is a bootstrap voter.
        #[n(1)]
        is_bootstrap_voter: bool,
        /// The highest record that the sender has seen.
        #[n(2)]
        config: Option<EpochConfig>,
    },
    /// Requests the promise to take nothing of a lower term.
    #[n(2)]
    Prepare {
        /// The term.
        #[n(0)]
        term: Term,
    },
    /// The promise, on disk.
    #[n(3)]
    Promise {
        /// The term.
        #[n(0)]
        term: Term,
        /// Whether the sender is a bootstrap voter.
        #[n(1)]
        is_bootstrap_voter: bool,
        /// Whether the sender's disk takes writes.
        #[n(2)]
        is_healthy: bool,
        /// The highest record that the sender has seen.
        #[n(3)]
        config: Option<EpochConfig>,
        /// The state on the sender's disk.
        #[n(4)]
        version: Option<StateVersion>,
    },
    /// A higher term was promised.
    #[n(4)]
    Reject {
        /// The term that is refused.
        #[n(0)]
        term: Term,
        /// The term that was promised.
        #[n(1)]
        promised: Term,
    },
    /// Requests a whole state.
    #[n(5)]
    FetchState {
        /// The term of the take-over.
        #[n(0)]
        term: Term,
        /// The state as the holder told it.
        #[n(1)]
        version: StateVersion,
    },
    /// The answer to a [`Message::FetchState`].
    #[n(6)]
    FetchedState {
        /// The term of the take-over.
        #[n(0)]
        term: Term,
        /// The state.
        #[n(1)]
        state: ControlState,
    },
    /// A state to be written; its term is the sender's.
    #[n(7)]
    ReplicateState {
        /// The state.
        #[n(0)]
        state: ControlState,
    },
    /// A state to be written whose body the backup has.
    #[n(8)]
    RewriteUnderNewTerm {
        /// The state; its stamp is the sender's term.
        #[n(0)]
        version: StateVersion,
    },
    /// The state is on disk.
    #[n(9)]
    Replicated {
        /// The state.
        #[n(0)]
        version: StateVersion,
    },
    /// The body is not there: it has to come whole.
    #[n(10)]
    MissingBody {
        /// The state.
        #[n(0)]
        version: StateVersion,
    },
    /// A record to be accepted.
    #[n(11)]
    Accept {
        /// The record.
        #[n(0)]
        config: EpochConfig,
    },
    /// The record is accepted, on disk.
    #[n(12)]
    Accepted {
        /// Its term.
        #[n(0)]
        term: Term,
        /// Whether the sender is a bootstrap voter.
        #[n(1)]
        is_bootstrap_voter: bool,
    },
    /// The primary lives, and is in touch with a majority.
    #[n(13)]
    Heartbeat {
        /// The primary's term.
        #[n(0)]
        term: Term,
        /// The number of this heartbeat.
        #[n(1)]
        sequence: u64,
        /// The committed state.
        #[n(2)]
        committed: StateVersion,
        /// The record, for those that lack it.
        #[n(3)]
        config: Option<EpochConfig>,
        /// The newest stamp that the receiver has sent to this primary.
        #[n(4)]
        echoed_stamp: Option<LeaseStamp>,
    },
    /// The answer to a [`Message::Heartbeat`].
    #[n(14)]
    HeartbeatResponse {
        /// The primary's term.
        #[n(0)]
        term: Term,
        /// The number of the heartbeat.
        #[n(1)]
        sequence: u64,
        /// What the sender has promised.
        #[n(2)]
        promised: Term,
        /// The record that the sender has accepted, by its term.
        #[n(3)]
        accepted_term: Term,
        /// The record that the sender has seen, by its term.
        #[n(4)]
        known_term: Term,
        /// The revision that the sender knows to be committed.
        #[n(5)]
        committed_revision: Option<u64>,
        /// Whether the sender's disk takes writes.
        #[n(6)]
        is_healthy: bool,
        /// When the sender answers, by its own clock; it wants this back.
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
    /// The sender looks for the others.
    #[n(16)]
    Join {
        /// Whether the sender is a bootstrap voter.
        #[n(0)]
        is_bootstrap_voter: bool,
        /// The record that the sender has seen, by its term.
        #[n(1)]
        known_term: Term,
    },
    /// The answer to a [`Message::Join`]: whom the sender knows.
    #[n(17)]
    KnownConfig {
        /// The highest record that the sender has seen.
        #[n(0)]
        config: EpochConfig,
    },
    /// The primary gives its place to the one that it sends this to.
    #[n(18)]
    TransferLeadership {
        /// The primary's term.
        #[n(0)]
        term: Term,
    },
    /// The sender's process is about to end, and serves on until it may.
    #[n(19)]
    RequestRemoval,
    /// The primary's answer to a [`Message::RequestRemoval`]: the process may end.
    #[n(20)]
    RemovalGranted {
        /// The primary's term.
        #[n(0)]
        term: Term,
    },
    /// A change to be written on top of the state before it; the stamp is the sender's term. One that has not that
    /// state answers [`Message::MissingBody`].
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
    /// A large state is there in pieces.
    #[n(27)]
    OfferSnapshot {
        /// Which one, and what for.
        #[n(0)]
        offer: SnapshotOffer,
    },
    /// Requests the next chunk of an offered state.
    #[n(28)]
    FetchChunk {
        /// The state.
        #[n(0)]
        version: StateVersion,
        /// How many bytes of it are there.
        #[n(1)]
        offset: u64,
    },
    /// The answer to a [`Message::FetchChunk`].
    #[n(29)]
    SnapshotChunk {
        /// The piece.
        #[n(0)]
        chunk: SnapshotChunk,
    },
}

impl Message {
    /// How many bytes of state it carries, about: what makes a message large.
    pub fn state_bytes(&self) -> usize {
        match self {
            Message::FetchedState { state, .. }
            | Message::ReplicateState { state }
            | Message::CommittedState { state } => state.body.len(),
            Message::ReplicateDelta { delta: change } => change.estimated_bytes(),
            Message::CommittedDeltas { deltas: changes } => {
                changes.iter().map(StateDelta::estimated_bytes).sum()
            }
            Message::SnapshotChunk { chunk: piece } => piece.bytes.len(),
            _ => 0,
        }
    }

    pub(crate) fn is_within_bounds(&self) -> bool {
        match self {
            Message::PreVoteResponse { config: record, .. }
            | Message::Promise { config: record, .. }
            | Message::Heartbeat { config: record, .. } => {
                record.as_ref().is_none_or(EpochConfig::is_within_bounds)
            }
            Message::Accept { config: record } | Message::KnownConfig { config: record } => {
                record.is_within_bounds()
            }
            Message::FetchedState { state, .. }
            | Message::ReplicateState { state }
            | Message::CommittedState { state } => state.is_within_bounds(),
            Message::CommittedDeltas { deltas: changes } => changes.len() <= MAX_DELTAS,
            _ => true,
        }
    }
}
