//! What a proxy stores about its fleet: the server list, the snapshot that one instance leaves to the next, and what the next
//! may still believe of it.
//!
//! Nothing here does I/O or reads a clock: bytes and instants are handed in.

pub mod restore;
pub mod server_list;
pub mod snapshot;
