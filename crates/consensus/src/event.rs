use core::net::SocketAddrV4;

use crate::control_state::{ControlState, RequestDigest};
use crate::message::Message;
use crate::term::{Member, Term};

/// What happens to a node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// Time has passed; wanted every 50 ms or so.
    Tick,
    /// A message came in.
    Message {
        /// Who sent it.
        from: Member,
        /// What it says.
        message: Message,
    },
    /// A write is synced.
    Written {
        /// Which one.
        token: u64,
    },
    /// A write was refused. It may be on disk or not.
    WriteFailed {
        /// Which one.
        token: u64,
    },
    /// An operator's call, valid by what the host knows.
    Change {
        /// The number of the ask, unique within the node's life.
        request_id: u64,
        /// The revision that it builds on.
        base_revision: u64,
        /// The revision that it makes.
        revision: u64,
        /// The new body, whole.
        body: Vec<u8>,
        /// The digest of the call.
        digest: RequestDigest,
    },
    /// Requests the newest committed state.
    Read {
        /// The number of the ask, unique within the node's life.
        request_id: u64,
    },
    /// The process is about to end.
    ShutDown,
    /// The seeds have changed.
    Seeds(Vec<SocketAddrV4>),
}

/// What a node wants done, in this order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send a message; it may be lost.
    Send {
        /// To whom.
        to: SocketAddrV4,
        /// What.
        message: Message,
    },
    /// Append a record to the log and sync it. Writes and rewrites are done and answered in order.
    Write {
        /// The number of the write.
        token: u64,
        /// The record.
        record: Vec<u8>,
    },
    /// Replace the whole log by this record, or leave it as it is and say that it failed.
    Rewrite {
        /// The number of the write.
        token: u64,
        /// The record.
        record: Vec<u8>,
    },
    /// Answer an ask; each is answered once.
    Reply {
        /// Which one.
        request_id: u64,
        /// How.
        reply: ClientReply,
    },
    /// A newer state is committed; revisions rise.
    Committed {
        /// The state.
        state: ControlState,
    },
    /// This node is primary now.
    BecamePrimary {
        /// Its term.
        term: Term,
        /// Whether it was primary just before, and nobody between: its duties need no pause.
        continued: bool,
    },
    /// This node is primary no more.
    SteppedDown,
}

/// The answer to an ask.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClientReply {
    /// The change is committed.
    Committed {
        /// Its revision.
        revision: u64,
    },
    /// The change builds on another revision than the current one, and never will be taken.
    Stale {
        /// The current revision.
        current_revision: u64,
    },
    /// The change can't be told from one that was taken long ago: no clear answer.
    Expired,
    /// Another node is to be asked; nothing was done.
    NotPrimary {
        /// The primary's internal address, if known.
        primary: Option<SocketAddrV4>,
    },
    /// The body is longer than [`crate::MAX_BODY_BYTES`]; the change was not taken and never will be.
    TooLarge,
    /// No answer in time: the change may be taken or not.
    Unavailable,
    /// The newest committed state.
    CurrentState {
        /// The state.
        state: ControlState,
    },
}
