//! The data that a proxy stores about its fleet: the server list, the snapshot that one instance writes for the next,
//! and the rules for what the next instance may still use of it.
//!
//! An *instance* is one run of a proxy's process; instances with the same name run one after another. At its start an
//! instance gets a server list from its *platform*, which may be out of date. Later lists come from *discovery*, the
//! service that knows all servers.
//!
//! This crate does no I/O and reads no clock: bytes and times are arguments. [`snapshot`] defines the file's content
//! and format, [`server_list`] the list within it, [`restore`] what a new instance uses of both, and [`part_report`]
//! how it reports that in its log.

pub mod part_report;
pub mod restore;
pub mod server_list;
pub mod snapshot;
pub mod unix_time;
