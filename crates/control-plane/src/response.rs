//! Responses to an operator's change or read-back.

use core::net::SocketAddrV4;

use mosshead_config::ConfigError;
use mosshead_consensus::{ClientReply, ControlState};
use quick_error::quick_error;

/// The response to an operator's change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeResponse {
    /// The change is committed.
    Accepted {
        /// The revision that it has made.
        revision: u64,
    },
    /// The change builds on another revision than the current one, and will never be committed.
    Stale {
        /// The revision that a quorum has confirmed.
        current_revision: u64,
    },
    /// The change does not lead to a valid configuration.
    Invalid(ChangeError),
    /// The configuration that the change leads to is too large, on whatever revision it builds.
    TooLarge,
    /// Another control node decides.
    Redirect {
        /// The internal address of the primary.
        primary: SocketAddrV4,
    },
    /// Unknown result: the change is so old that it cannot be distinguished from one that was committed and is not
    /// remembered any more.
    Expired,
    /// Unknown result: the change may be committed or not.
    Unavailable,
}

quick_error! {
    /// What is wrong with an operator's change. The texts start with the number from `docs/codes.md`.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ChangeError {
        /// The call does not name the revision that the change builds on.
        MissingBaseRevision {
            display("C07 X-Base-Revision is missing")
        }
        /// The body lacks the revision that the change makes.
        MissingRevision {
            display("M08 at revision: is missing")
        }
        /// The body, or the configuration that it leads to, is invalid.
        Config(error: ConfigError) {
            display("{}", error)
            source(error)
            from()
        }
    }
}

/// The response to a read-back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadResponse {
    /// The state that a quorum has confirmed.
    Current(ControlState),
    /// A quorum has confirmed that there is no configuration yet.
    Empty,
    /// Another control node decides.
    Redirect {
        /// The internal address of the primary.
        primary: SocketAddrV4,
    },
    /// Unknown: no quorum has responded in time.
    Unavailable,
}

/// The response to an operator's read-back, by the reply of consensus to an `Input::Read`.
pub fn read_response(reply: ClientReply) -> ReadResponse {
    match reply {
        ClientReply::CurrentState { state } if state.revision > 0 => ReadResponse::Current(state),
        ClientReply::CurrentState { .. } => ReadResponse::Empty,
        ClientReply::NotPrimary { primary: Some(primary) } => ReadResponse::Redirect { primary },
        _ => ReadResponse::Unavailable,
    }
}
