//! How a proxy keeps up with the control nodes: it watches a few of them at a time, and shows by a version vector which
//! entries of the registry it has.
//!
//! A slot is one of the [`WATCH_SLOTS`] tasks that do so. Each watches one control node at a time, and no two the same.

mod config_fetcher;
mod pauses;
mod sink;
mod watcher;

pub use self::pauses::{WATCH_SLOTS, requery_pause};
pub(crate) use self::sink::UpdateSink;
pub(crate) use self::watcher::{UpdateWatcher, WatcherIdentity};
