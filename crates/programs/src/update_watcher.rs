//! Keeps a proxy up to date: it watches several control nodes at a time by long polls, and sends its version vector
//! to get only the registry entries it lacks.
//!
//! A slot is one of the [`WATCH_SLOTS`] watch tasks. Each slot watches a different control node.

mod config_fetcher;
mod pauses;
mod sink;
mod watcher;

pub use self::pauses::{WATCH_SLOTS, requery_pause};
pub(crate) use self::sink::UpdateSink;
pub(crate) use self::watcher::{UpdateWatcher, WatcherIdentity};
