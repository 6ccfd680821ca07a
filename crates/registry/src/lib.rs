//! The register of servers: sources, versions, and what a puller lacks.
//!
//! Every core process is a *source* with a random [`SourceId`] for its life. It numbers the changes of what it
//! heard; a beat that says nothing new makes no number. A puller shows a version [`VersionVector`] and is given the
//! entries above it as a [`Delta`]. Entries are joined by one total order (see [`Entry::supersedes`]), so that
//! all processes come to the same register whatever the order in which deltas arrive.
//!
//! Nothing here does I/O or reads a clock: `now` is milliseconds of any steady clock, never set back.

mod delta;
mod registry;
mod server;
mod server_record;
mod source_index;
mod version_vector;

pub use delta::{Delta, Entry};
pub use registry::{
    HeartbeatOutcome, MAX_SERVERS, MAX_TOMBSTONES, Registry, SOURCE_TIMEOUT, SUSPICION_TIMEOUT,
    TOMBSTONE_LIFETIME,
};
pub use server::{Model, OperState, Server, ServerError, Stage};

pub use version_vector::{MAX_VECTOR_SOURCES, SourceId, VersionVector};
