//! Control state: a primary writes to its backups before it answers, witnesses that keep only epochs decide who takes over.
//!
//! [`Node`] is a state machine without I/O, clock or randomness of its own: a host hands in what happens, carries out the
//! outputs in their order, and answers every write in order. See `docs/design/0007-fleet.md`, "Control state".

mod acceptor;
mod body_delta;
mod client_requests;
mod control_state;
mod durable_state;
mod election;
mod event;
mod join_requests;
mod limits;
mod member_removal;
mod membership_change;
mod message;
mod node;
mod read_lease;
mod replication;
mod settings;
mod snapshot_transfer;
mod state_delta;
mod stored_state;
mod take_over;
mod votes;

pub use body_delta::BodyDelta;
pub use control_state::{
    AppliedRequest, ControlState, DEDUPLICATION_WINDOW, EpochConfig, Member, MemberId, RequestDigest,
    RequestStatus, StateVersion, Term,
};
pub use durable_state::StoredStateError;
pub use event::{ClientReply, Input, Output};
pub use limits::{MAX_BODY_BYTES, MAX_STATE_BYTES};
pub use member_removal::SHUTDOWN_TIMEOUT;
pub use message::Message;
pub use node::Node;
pub use read_lease::LeaseStamp;
#[doc(hidden)]
pub use settings::InjectedFault;
pub use settings::{Settings, Timings};
pub use snapshot_transfer::{ChunkSizes, SnapshotChunk, SnapshotOffer, StatePurpose, checksum};
pub use state_delta::StateDelta;
