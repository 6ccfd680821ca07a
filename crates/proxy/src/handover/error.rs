//! Errors of a handover, on either side.

use std::io;
use std::net::SocketAddr;
use std::string::FromUtf8Error;

use mosshead_settings::JsonError;
use thiserror::Error;

/// Why a predecessor that responded has not handed over; the new process then starts without it.
#[derive(Debug, Error)]
pub(crate) enum HandoverError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("the predecessor did not answer")]
    NoReply,
    #[error("the socket that was handed over does not listen")]
    NotListening,
    #[error("the socket that was handed over listens at {0}")]
    WrongAddress(SocketAddr),
    #[error("the predecessor has ended")]
    PredecessorEnded,
    #[error("the length of the list is missing or too large")]
    NoListLength,
    #[error(transparent)]
    NotText(#[from] FromUtf8Error),
    /// The list is not JSON or not a server list; the message names the key.
    #[error(transparent)]
    InvalidList(#[from] JsonError),
}

/// Why nothing was handed to a successor that connected.
#[derive(Debug, Error)]
pub(super) enum SendStateError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("the link ended before the request to take over")]
    Ended,
    #[error("not a request to take over")]
    UnknownRequest,
    #[error("connections are no longer accepted here")]
    NotListening,
    #[error("the endpoint list is not known")]
    NoList,
    #[error("the successor did not take the state in time")]
    TimedOut,
}
