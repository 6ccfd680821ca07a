//! The simulator's wire protocol for `mosshead-decide`: it parses lines of text into events and writes actions as lines
//! of a reply. It makes no decisions itself.
//!
//! A [`Session`] takes the input line by line. A line consists of the name of a message and its members, each written
//! as `name=text`. The lines between `turn` and `commit` form a batch, which contains numbered lists of servers
//! (`list`, then one `item` per line), `about`, which selects the instance for the messages that follow, and messages
//! for that instance. After `commit` the session replies for all instances.
//!
//! An *instance* is a balancer with its own settings: the simulator runs several proxies at a time.

mod error;
mod fields;
mod instance;
mod replies;
mod session;

pub use error::{LineError, WireError};
pub use session::Session;
