//! Limits on what a server may report.

/// The maximum length of an id, service, zone or software revision.
pub(crate) const MAX_NAME_BYTES: usize = 128;
/// The maximum size of a server's models and their adapters, as [`Server::validate`](crate::Server::validate)
/// counts it.
pub(crate) const MAX_MODEL_BYTES: usize = 8 * 1024;
