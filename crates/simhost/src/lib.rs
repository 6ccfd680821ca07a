//! The simulator's wire for the decisions of `mosshead-decide`: lines of text are read as events, and actions are written as
//! lines of a reply. Nothing is decided here.
//!
//! A [`Session`] takes the input line by line. Between `turn` and `commit`, a batch, come the messages: lists of servers by
//! number, which instance the next events are for, and its events. After `commit` the session replies for all instances.

mod error;
mod fields;
mod instance;
mod replies;
mod session;

pub use error::{LineError, WireError};
pub use session::Session;
