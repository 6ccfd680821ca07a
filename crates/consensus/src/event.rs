//! The inputs and outputs of a node.

use core::net::SocketAddrV4;

use crate::control_state::{ControlState, RequestDigest};
use crate::message::Message;
use crate::term::{Member, Term};

/// What happens to a node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// Time has passed; expected about every 50 ms.
    Tick,
    /// A message has arrived.
    Message {
        /// Who sent it.
        from: Member,
        /// What was sent, decoded by the host.
        message: Message,
    },
    /// A write is synced.
    Written {
        /// The token of the [`Output::Write`] or [`Output::Rewrite`].
        token: u64,
    },
    /// A write has failed. It may be on disk or not.
    WriteFailed {
        /// The token of the [`Output::Write`] or [`Output::Rewrite`].
        token: u64,
    },
    /// An operator's change, valid as far as the host knows.
    Change {
        /// The number of the request, unique within the incarnation of the node.
        request_id: u64,
        /// The revision that it builds on.
        base_revision: u64,
        /// The revision that it makes.
        revision: u64,
        /// The complete new body.
        body: Vec<u8>,
        /// Distinguishes a repeat of this request from another one.
        digest: RequestDigest,
    },
    /// Requests the newest committed state.
    Read {
        /// The number of the request, unique within the incarnation of the node.
        request_id: u64,
    },
    /// The process is to shut down, once [`crate::Node::may_shut_down`].
    ShutDown,
    /// An operator has decided to found the fleet anew, as [`crate::Node::founding`] says. Without effect where that is an
    /// error.
    FoundAnew,
    /// The seeds have changed.
    Seeds(Vec<SocketAddrV4>),
}

/// What the host is to do; the outputs of a step are carried out in their order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send a message; it may be lost.
    Send {
        /// The internal address of the receiver.
        to: SocketAddrV4,
        /// The message.
        message: Message,
    },
    /// Append a record to the log and sync it. Writes and rewrites are carried out and confirmed in order.
    Write {
        /// To be returned with the confirmation; rises from write to write of an incarnation.
        token: u64,
        /// Opaque to the host, which passes it to [`crate::Node::new`] at the next start.
        record: Vec<u8>,
    },
    /// Replace the log by this record, or leave it as it is and report a failure.
    Rewrite {
        /// As in [`Output::Write`].
        token: u64,
        /// As in [`Output::Write`].
        record: Vec<u8>,
    },
    /// Answer a client's request; each is answered exactly once.
    Reply {
        /// As in [`Input::Change`] or [`Input::Read`].
        request_id: u64,
        /// What is known of the outcome.
        reply: ClientReply,
    },
    /// A newer state is committed; revisions rise from one output to the next.
    StateCommitted {
        /// The state.
        state: ControlState,
    },
    /// This node is primary now.
    BecamePrimary {
        /// The term of the epoch; its number is the fencing token.
        term: Term,
        /// Whether it was primary just before and nobody was in between: its singleton roles need no pause.
        continued: bool,
    },
    /// This node is no primary any more.
    SteppedDown,
}

/// The reply to a client's request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClientReply {
    /// The change is committed.
    ChangeCommitted {
        /// The revision that the change made.
        revision: u64,
    },
    /// The change builds on another revision than the current one, and will never be applied.
    Stale {
        /// The current revision.
        current_revision: u64,
    },
    /// The change can't be distinguished from one that was applied long ago: its outcome is unknown.
    Expired,
    /// Another node is primary; nothing was done.
    NotPrimary {
        /// The primary's internal address, if known.
        primary: Option<SocketAddrV4>,
    },
    /// The body is longer than [`crate::MAX_BODY_BYTES`]; the change was not applied and never will be.
    TooLarge,
    /// No confirmation in time, or too many requests wait already: a change may be applied or not.
    Unavailable,
    /// The newest committed state.
    CurrentState {
        /// The state.
        state: ControlState,
    },
}
