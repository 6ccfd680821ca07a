//! Control state: a primary writes to its backups before it answers, witnesses that keep only epochs decide who takes over.
//!
//! [`Node`] is a state machine without I/O, clock or randomness of its own: a host hands in what happens, carries out the
//! outputs in their order, and answers every write in order. See `docs/design/0007-fleet.md`, "Control state".

mod acceptor;
mod change;
mod client_requests;
mod contact;
mod delta;
mod election;
mod event;
mod join;
mod leaving;
mod limits;
mod log;
mod message;
mod node;
mod primary;
mod quorum;
mod renewal;
mod settings;
mod stored;
mod take_over;
mod transfer;
mod types;

pub use change::StateDelta;
pub use contact::LeaseStamp;
pub use delta::BodyDelta;
pub use event::{ClientReply, Input, Output};
pub use leaving::SHUTDOWN_TIMEOUT;
pub use limits::{MAX_BODY_BYTES, MAX_STATE_BYTES};
pub use log::StoredStateError;
pub use message::Message;
pub use node::Node;
#[doc(hidden)]
pub use settings::InjectedFault;
pub use settings::{Settings, Timings};
pub use transfer::{ChunkSizes, SnapshotChunk, SnapshotOffer, StatePurpose, checksum};
pub use types::{
    AppliedRequest, ControlState, DEDUPLICATION_WINDOW, EpochConfig, Member, MemberId, RequestDigest,
    RequestStatus, StateVersion, Term,
};
