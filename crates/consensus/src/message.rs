use minicbor::{Decode, Encode};

use crate::change::{MOST_CHANGES, StateChange};
use crate::contact::ContactStamp;
use crate::transfer::{Offer, Piece};
use crate::types::{Ballot, Record, State, Version};

/// What nodes tell each other, one way; any of it may be lost, late, doubled or out of order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Message {
    /// Would you promise? Asked before a ballot is raised, so that a lone node disturbs nobody.
    #[n(0)]
    PreVote,
    /// The answer to a [`Message::PreVote`].
    #[n(1)]
    PreVoteAnswer {
        /// Whether the sender misses a primary too.
        #[n(0)]
        willing: bool,
        /// Whether the sender is a founder.
        #[n(1)]
        founder: bool,
        /// The highest record that the sender has seen.
        #[n(2)]
        record: Option<Record>,
    },
    /// ClientRequests for the promise to take nothing of a lower ballot.
    #[n(2)]
    Prepare {
        /// The ballot.
        #[n(0)]
        ballot: Ballot,
    },
    /// The promise, on disk.
    #[n(3)]
    Promise {
        /// The ballot.
        #[n(0)]
        ballot: Ballot,
        /// Whether the sender is a founder.
        #[n(1)]
        founder: bool,
        /// Whether the sender's disk takes writes.
        #[n(2)]
        fit: bool,
        /// The highest record that the sender has seen.
        #[n(3)]
        record: Option<Record>,
        /// The state on the sender's disk.
        #[n(4)]
        version: Option<Version>,
    },
    /// A higher ballot was promised.
    #[n(4)]
    Reject {
        /// The ballot that is refused.
        #[n(0)]
        ballot: Ballot,
        /// The ballot that was promised.
        #[n(1)]
        promised: Ballot,
    },
    /// ClientRequests for a state whole.
    #[n(5)]
    Fetch {
        /// The ballot of the take-over.
        #[n(0)]
        ballot: Ballot,
        /// The state as the holder told it.
        #[n(1)]
        version: Version,
    },
    /// The answer to a [`Message::Fetch`].
    #[n(6)]
    Fetched {
        /// The ballot of the take-over.
        #[n(0)]
        ballot: Ballot,
        /// The state.
        #[n(1)]
        state: State,
    },
    /// A state to be written; its ballot is the sender's.
    #[n(7)]
    Replicate {
        /// The state.
        #[n(0)]
        state: State,
    },
    /// A state to be written whose body the backup has.
    #[n(8)]
    Restamp {
        /// The state; its stamp is the sender's ballot.
        #[n(0)]
        version: Version,
    },
    /// The state is on disk.
    #[n(9)]
    Replicated {
        /// The state.
        #[n(0)]
        version: Version,
    },
    /// The body is not there: it has to come whole.
    #[n(10)]
    LacksBody {
        /// The state.
        #[n(0)]
        version: Version,
    },
    /// A record to be accepted.
    #[n(11)]
    Accept {
        /// The record.
        #[n(0)]
        record: Record,
    },
    /// The record is accepted, on disk.
    #[n(12)]
    Accepted {
        /// Its ballot.
        #[n(0)]
        ballot: Ballot,
        /// Whether the sender is a founder.
        #[n(1)]
        founder: bool,
    },
    /// The primary lives, and is in touch with a majority.
    #[n(13)]
    Heartbeat {
        /// The primary's ballot.
        #[n(0)]
        ballot: Ballot,
        /// The number of this heartbeat.
        #[n(1)]
        sequence: u64,
        /// The committed state.
        #[n(2)]
        committed: Version,
        /// The record, for those that lack it.
        #[n(3)]
        record: Option<Record>,
        /// The newest stamp that the receiver has sent to this primary.
        #[n(4)]
        echo: Option<ContactStamp>,
    },
    /// The answer to a [`Message::Heartbeat`].
    #[n(14)]
    HeartbeatAnswer {
        /// The primary's ballot.
        #[n(0)]
        ballot: Ballot,
        /// The number of the heartbeat.
        #[n(1)]
        sequence: u64,
        /// What the sender has promised.
        #[n(2)]
        promised: Ballot,
        /// The record that the sender has accepted, by its ballot.
        #[n(3)]
        accepted: Ballot,
        /// The record that the sender has seen, by its ballot.
        #[n(4)]
        seen: Ballot,
        /// The revision that the sender knows to be committed.
        #[n(5)]
        committed: Option<u64>,
        /// Whether the sender's disk takes writes.
        #[n(6)]
        fit: bool,
        /// When the sender answers, by its own clock; it wants this back.
        #[n(7)]
        stamp: ContactStamp,
    },
    /// This state is committed.
    #[n(15)]
    Committed {
        /// The state.
        #[n(0)]
        state: State,
    },
    /// The sender looks for the others.
    #[n(16)]
    Join {
        /// Whether the sender is a founder.
        #[n(0)]
        founder: bool,
        /// The record that the sender has seen, by its ballot.
        #[n(1)]
        seen: Ballot,
    },
    /// The answer to a [`Message::Join`]: whom the sender knows.
    #[n(17)]
    Members {
        /// The highest record that the sender has seen.
        #[n(0)]
        record: Record,
    },
    /// The primary gives its place to the one that it sends this to.
    #[n(18)]
    HandOver {
        /// The primary's ballot.
        #[n(0)]
        ballot: Ballot,
    },
    /// The sender's process is about to end, and serves on until it may.
    #[n(19)]
    Leaving,
    /// The primary's answer to a [`Message::Leaving`]: the process may end.
    #[n(20)]
    MayLeave {
        /// The primary's ballot.
        #[n(0)]
        ballot: Ballot,
    },
    /// A change to be written on top of the state before it; the stamp is the sender's ballot. One that has not that
    /// state answers [`Message::LacksBody`].
    #[n(25)]
    ReplicateChange {
        /// The change.
        #[n(0)]
        change: StateChange,
    },
    /// These changes are committed, one after the other.
    #[n(26)]
    CommittedChanges {
        /// The changes, oldest first.
        #[n(0)]
        changes: Vec<StateChange>,
    },
    /// A large state is there in pieces.
    #[n(27)]
    OfferState {
        /// Which one, and what for.
        #[n(0)]
        offer: Offer,
    },
    /// ClientRequests for the next piece of an offered state.
    #[n(28)]
    FetchPiece {
        /// The state.
        #[n(0)]
        version: Version,
        /// How many bytes of it are there.
        #[n(1)]
        offset: u64,
    },
    /// The answer to a [`Message::FetchPiece`].
    #[n(29)]
    Piece {
        /// The piece.
        #[n(0)]
        piece: Piece,
    },
}

impl Message {
    /// How many bytes of state it carries, about: what makes a message large.
    pub fn state_bytes(&self) -> usize {
        match self {
            Message::Fetched { state, .. } | Message::Replicate { state } | Message::Committed { state } => {
                state.body.len()
            }
            Message::ReplicateChange { change } => change.bytes(),
            Message::CommittedChanges { changes } => changes.iter().map(StateChange::bytes).sum(),
            Message::Piece { piece } => piece.bytes.len(),
            _ => 0,
        }
    }

    pub(crate) fn is_sane(&self) -> bool {
        match self {
            Message::PreVoteAnswer { record, .. }
            | Message::Promise { record, .. }
            | Message::Heartbeat { record, .. } => record.as_ref().is_none_or(Record::is_sane),
            Message::Accept { record } | Message::Members { record } => record.is_sane(),
            Message::Fetched { state, .. } | Message::Replicate { state } | Message::Committed { state } => {
                state.is_sane()
            }
            Message::CommittedChanges { changes } => changes.len() <= MOST_CHANGES,
            _ => true,
        }
    }
}
