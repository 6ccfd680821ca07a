//! The inputs and outputs of a node.

use core::net::SocketAddrV4;

use crate::control_state::{ControlState, RequestDigest};
use crate::message::Message;
use crate::term::{Member, Term};

/// An event that the host passes to [`crate::Node::step`].
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
    /// A change that an operator requests; the host considers it valid.
    Change {
        /// The number of the request, unique within the incarnation of the node.
        request_id: u64,
        /// The revision that the change is based on.
        base_revision: u64,
        /// The revision after the change.
        revision: u64,
        /// The complete new body.
        body: Vec<u8>,
        /// Distinguishes a retry of this request from another request.
        digest: RequestDigest,
    },
    /// Requests the newest committed state.
    Read {
        /// The number of the request, unique within the incarnation of the node.
        request_id: u64,
    },
    /// Requests a graceful shutdown. The process may end once [`crate::Node::may_shut_down`] returns true.
    ShutDown,
    /// An operator requests the forced recovery that [`crate::Node::founding`] plans. Has no effect if that returns an error.
    FoundAnew,
    /// The seeds have changed.
    Seeds(Vec<SocketAddrV4>),
}

/// An action that the host carries out. It carries out the outputs of a step in their order.
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
        /// Returned by the host with the confirmation. Increases with each write of an incarnation.
        token: u64,
        /// Opaque to the host, which passes it to [`crate::Node::new`] at the next start.
        record: Vec<u8>,
    },
    /// Replace the log by this record, or leave the log as it is and report a failure.
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
        /// The outcome, as far as it is known.
        reply: ClientReply,
    },
    /// A newer state is committed. Revisions increase from one output to the next.
    StateCommitted {
        /// The state.
        state: ControlState,
    },
    /// This node is primary now.
    BecamePrimary {
        /// The term of the epoch; its number is the fencing token.
        term: Term,
        /// True if this node was primary just before and no other node was in between: its singleton tasks need no pause.
        continued: bool,
    },
    /// This node is no longer primary.
    SteppedDown,
}

/// The reply to a client's request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClientReply {
    /// The change is committed.
    ChangeCommitted {
        /// The revision after the change.
        revision: u64,
    },
    /// The change is based on another revision than the current one, and will never be applied.
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
    /// There was no confirmation in time, or too many requests are waiting. The change may or may not be applied.
    Unavailable,
    /// The newest committed state.
    CurrentState {
        /// The state.
        state: ControlState,
    },
}
