//! Responses to an operator's change or read of the configuration.

use core::net::SocketAddrV4;

use mosshead_config::ConfigError;
use mosshead_consensus::{ClientReply, ControlState};
use quick_error::quick_error;

/// The response to an operator's change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeResponse {
    /// The change was committed.
    Accepted {
        /// The revision that the change created.
        revision: u64,
    },
    /// The change is based on another revision than the current one, and will never be committed.
    Stale {
        /// The revision that a quorum has confirmed.
        current_revision: u64,
    },
    /// The change, or the configuration that results from it, is not valid.
    Invalid(ChangeError),
    /// The configuration that results from the change is too large, whatever revision it is based on.
    TooLarge,
    /// Another control node decides.
    Redirect {
        /// The internal address of the primary.
        primary: SocketAddrV4,
    },
    /// The result is unknown: the change is so old that it can't be distinguished from a committed change
    /// that is no longer remembered.
    Expired,
    /// The result is unknown: the change may or may not be committed.
    Unavailable,
}

quick_error! {
    /// Reason why an operator's change is invalid. The texts start with the number from `docs/codes.md`.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ChangeError {
        /// The request does not name the revision that the change is based on.
        MissingBaseRevision {
            display("C07 X-Base-Revision is missing")
        }
        /// The body does not name the revision that the change creates.
        MissingRevision {
            display("M08 at revision: is missing")
        }
        /// The body, or the configuration that results from it, is invalid.
        Config(error: ConfigError) {
            display("{}", error)
            source(error)
            from()
        }
    }
}

/// The response to an operator's read of the configuration.
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
    /// Unknown, because no quorum responded in time.
    Unavailable,
}

/// Returns the response to an operator's read, given the reply of consensus to an `Input::Read`.
pub fn read_response(reply: ClientReply) -> ReadResponse {
    match reply {
        ClientReply::CurrentState { state } if state.revision > 0 => ReadResponse::Current(state),
        ClientReply::CurrentState { .. } => ReadResponse::Empty,
        ClientReply::NotPrimary { primary: Some(primary) } => ReadResponse::Redirect { primary },
        _ => ReadResponse::Unavailable,
    }
}
