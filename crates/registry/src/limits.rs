//! Bounds of what a server may report, in bytes.

/// The longest id, service, zone or software revision.
pub(crate) const MAX_NAME_BYTES: usize = 128;
/// The bound on the size of a server's models with their adapters, as [`Server::validate`](crate::Server::validate) counts
/// it.
pub(crate) const MAX_MODEL_BYTES: usize = 8 * 1024;
