//! The client proxy on real sockets. Each server, each client connection, the endpoint list and the balancer has its
//! own actor.
//!
//! [`run`] is the whole program. `docs/client-proxy.md` follows a request through the actors. Public modules that are
//! hidden from the documentation are internal; `tests/parts` uses them to test what can't be tested over sockets.

mod admin;
mod balancer_actor;
#[doc(hidden)] // internal: used by `messages`
pub mod body;
#[doc(hidden)] // internal: limits of large machines can't be reached over sockets
pub mod budget;
#[doc(hidden)] // internal: over sockets, tests would have to wait until names expire
pub mod class_table;
mod client_connection;
mod config;
mod connection_log;
#[doc(hidden)] // internal: over sockets, tests would have to wait for the 30 s of the stale period
pub mod endpoint_list;
#[doc(hidden)] // internal: used by `class_table` and `messages`
pub mod errors;
#[doc(hidden)] // internal: tests try each way to split the bytes into reads
pub mod framing;
mod handover;
#[doc(hidden)] // internal: tests fix the order of the calls of two threads
pub mod lifecycle;
#[doc(hidden)] // internal: a client can't observe the effect of a single report
pub mod load_report;
pub mod log;
#[doc(hidden)] // internal: used by the actors that are tested alone
pub mod messages;
mod operators;
mod process;
#[doc(hidden)]
// internal: an id is kept for the longest time that a request may take; tests over sockets would have to wait for that
pub mod request_ids;
#[doc(hidden)] // internal: tests run one attempt without a proxy
pub mod server;
#[doc(hidden)] // internal: tests interrupt the writer at each step and use a full disk
pub mod snapshot_writer;
#[doc(hidden)] // internal: stored state has an effect only in the next incarnation
pub mod stored_state;

pub use config::Config;
pub use errors::{ConfigError, LoadConfigError};
pub use operators::OperatorConfig;

use std::io;
use std::time::Duration;

use mosshead_decide::interface::Seconds;
use thiserror::Error;
use tokio::task::LocalSet;

use crate::process::Signals;

/// The maximum wait, in seconds: an [`std::time::Instant`] further away may not be representable.
const MAX_WAIT: Seconds = 86_400.0;

/// Converts seconds to a duration that can be added to an instant: at most [`MAX_WAIT`], and zero for NaN.
#[doc(hidden)]
pub fn duration(seconds: Seconds) -> Duration {
    Duration::try_from_secs_f64(seconds.clamp(0.0, MAX_WAIT)).unwrap_or_default()
}

/// Why the proxy did not start, or ended.
#[derive(Debug, Error)]
pub enum RunError {
    /// The configuration can't be read, or is not valid.
    #[error(transparent)]
    Load(#[from] LoadConfigError),
    /// An address can't be bound, the process can't start its runtime or handle signals, the settings are not valid, or
    /// the balancer's actor has ended.
    #[error(transparent)]
    Serve(#[from] io::Error),
}

/// Serves until SIGTERM or SIGINT. When this returns, each accepted request has had its response. `read_config` is
/// called at the start, and on SIGHUP for the current configuration. `on_start` is called once the configuration is
/// read, and what it returns is dropped last.
///
/// # Errors
/// See [`RunError`].
pub fn run<G>(
    read_config: impl Fn() -> Result<Config, LoadConfigError> + Clone + Send + 'static,
    on_start: impl FnOnce() -> G,
) -> Result<(), RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let actors = LocalSet::new();
    let mut start_guard = None;
    let result = actors.block_on(&runtime, async {
        let signals = Signals::install()?;
        let config = read_config()?;
        start_guard = Some(on_start());
        Ok(process::serve(signals, config, read_config).await?)
    });
    connection_log::set_stopping();
    drop(actors);
    drop(start_guard);
    result
}
