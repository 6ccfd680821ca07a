//! The registry of model servers: a replicated set of entries, one per server instance.
//!
//! Each control node that receives heartbeats is a *source*, identified by a [`SourceId`] that it draws at
//! random for each of its incarnations. It publishes each change that it observes as an [`Entry`] under its
//! next *version*; a heartbeat that changes nothing gets no version. A process catches up by sending its
//! [`VersionVector`] and receiving the entries above it as a [`Delta`]. Of two entries for one server, the
//! one that [supersedes](Entry::supersedes) the other is stored: it is the entry *in force*. This is a total
//! order, so all processes converge to the same registry in whatever order the deltas arrive.
//!
//! Nothing here does I/O or reads a clock. The host passes the current instant of its monotonic clock.

mod delta;
mod divergence;
mod entry;
mod ids_by_instant;
mod limits;
mod published_versions;
mod received_heartbeat;
mod registration_error;
mod registry;
mod server;
mod server_index;
mod server_record;
mod source_index;
mod uptime;
mod version_vector;

pub use delta::Delta;
pub use entry::Entry;
pub use received_heartbeat::ReceivedHeartbeat;
pub use registration_error::RegistrationError;
pub use registry::{
    HeartbeatOutcome, MAX_SERVERS, MAX_TOMBSTONES, Registry, SUSPICION_TIMEOUT, TOMBSTONE_LIFETIME,
};
pub use server::{Model, OperState, Server, Stage};
pub use source_index::SOURCE_TIMEOUT;
pub use version_vector::{MAX_VECTOR_SOURCES, SourceId, VersionVector};
