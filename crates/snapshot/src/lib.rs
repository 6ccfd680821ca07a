//! What a proxy stores about its fleet: the server list, the snapshot that one instance leaves to the next, and what the next
//! instance may still use of it.
//!
//! An *instance* is one run of a proxy's process; those of one name follow each other. At its start it has a server list from
//! its *platform*, which may be out of date; later lists come from *discovery*, the service that knows all servers.
//!
//! Nothing here does I/O or reads a clock: bytes and times are handed in. [`snapshot`] has the file's content and its format,
//! [`server_list`] the list within it, [`restore`] what a new instance makes of both, and [`part_report`] how it reports that
//! in its log.

pub mod part_report;
pub mod restore;
pub mod server_list;
pub mod snapshot;
pub mod unix_time;
