//! What a proxy stores about its fleet: the server list, the snapshot that one instance leaves to the next, and what the next
//! may still believe of it.
//!
//! Nothing here does I/O or reads a clock: bytes and times are handed in. [`snapshot`] has the file's content and its format,
//! [`server_list`] the list within it, [`restore`] what a new instance makes of both, and [`part_report`] what it says of that.

pub mod part_report;
pub mod restore;
pub mod server_list;
pub mod snapshot;
pub mod unix_time;
