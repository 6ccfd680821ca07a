//! The simulator's wire for the decisions of `mosshead-decide`: lines of text are read as events, and actions are written as
//! lines of a reply. Nothing is decided here.
//!
//! A [`Session`] takes the input line by line. A line is the name of a message and its members, `name=text` each. The lines
//! between `turn` and `commit` are a batch: lists of servers by number (`list`, then one `item` a line), `about`, which selects
//! the instance that the next messages are for, and messages for it. After `commit` the session replies for all instances.
//!
//! An *instance* is a balancer with settings of its own: the simulator plays several proxies at a time.

mod error;
mod fields;
mod instance;
mod replies;
mod session;

pub use error::{LineError, WireError};
pub use session::Session;
