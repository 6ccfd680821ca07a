//! Why a day could not be played on loopback.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;

/// Why a day could not be played.
#[derive(Debug, Error)]
pub enum EmulatorError {
    /// No command was given.
    #[error("no command: give the program and its words behind `--`")]
    NoCommand,
    /// The command could not be started.
    #[error("cannot start `{command}`: {error}")]
    Start {
        /// The command with its arguments.
        command: String,
        /// Why it was not started.
        error: io::Error,
    },
    /// A proxy did not get ready.
    #[error("proxy {proxy} ({command}) did not answer 200 on /_health within {within:?}: {reason}")]
    NotReady {
        /// The number of the proxy, from 0.
        proxy: usize,
        /// The command with its arguments.
        command: String,
        /// The time limit.
        within: Duration,
        /// What the last health check came to.
        reason: NotReady,
    },
    /// The machine does not give what the emulator needs.
    #[error("{resource}: {error}")]
    Machine {
        /// What was wanted.
        resource: &'static str,
        /// Why it is not there.
        error: io::Error,
    },
}

/// What a health check came to that was not answered with 200.
#[derive(Debug, Error)]
pub enum NotReady {
    /// No connection was established.
    #[error("{address}: {error}")]
    Unreachable {
        /// Where the proxy should listen.
        address: SocketAddr,
        /// Why there is no connection.
        error: io::Error,
    },
    /// The connection was closed before the request was written.
    #[error("{address}: closed")]
    Closed {
        /// Where the proxy listens.
        address: SocketAddr,
    },
    /// The connection was closed without a response.
    #[error("{address}: closed without an answer")]
    NoResponse {
        /// Where the proxy listens.
        address: SocketAddr,
    },
    /// The response had another status.
    #[error("{address}: answered {status}")]
    Status {
        /// Where the proxy listens.
        address: SocketAddr,
        /// The status of the response.
        status: u16,
    },
    /// No response came until the time limit.
    #[error("{address}: silent")]
    Silent {
        /// Where the proxy listens.
        address: SocketAddr,
    },
    /// The process has ended.
    #[error("it has ended")]
    ProcessEnded,
}
