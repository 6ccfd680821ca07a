//! Replication of the control state by consensus.
//!
//! A primary has its backups write every change before it acknowledges the change. Witnesses store only epoch
//! configurations, and vote on who becomes primary.
//!
//! [`Node`] is a state machine without I/O, clock or randomness of its own, as in raft-rs. The host passes events to
//! it as [`Input`]s, carries out its [`Output`]s in order, and confirms the writes in order. See
//! `docs/design/0007-fleet.md`, "Control state".
//!
//! # Differences from Raft
//!
//! There is no replicated log of entries; the log of a node (module `storage`) is its own, on its disk. The replicated
//! value is a single state; a write contains either the complete state or the delta from the previous one.
//!
//! A [`Term`] consists of a number and its proposer, like a ballot in Paxos. A node that takes over (module
//! `take_over`) corresponds to a candidate: it collects promises, rewrites the newest state under its own term on its
//! disk and those of its backups, and only then has an [`EpochConfig`] accepted by a majority. That configuration
//! names the primary and the backups. From then on, a change is committed once the primary and all of its backups
//! have written it. To move to a better configuration, the primary takes over from itself; this is called a renewal.
//!
//! Words that mean something else in raft-rs:
//!
//! - A [`MemberId`] identifies a disk: a machine whose disk was wiped is another member.
//! - A follower is any node that is neither primary nor taking over, even if it has no vote.
//! - A learner (module `learner`) is the component of every node that learns which states are committed.
//! - While the membership changes, a majority of [`EpochConfig::outgoing_members`] and a majority of
//!   [`EpochConfig::members`] have to agree, as in joint consensus.
//!
//! # Structure
//!
//! A node consists of components that own their state: the acceptor, the disk, the learner, the failure detector, the
//! transfers of large states and others. Components that outlive a role are in the core. The roles (follower,
//! take-over, primary) operate on the core, and return to the node a transition to another role.

mod acceptor;
mod body_delta;
mod context;
mod control_state;
mod delta_log;
mod disk_writes;
mod durable_state;
mod election_timer;
mod epoch_config;
mod epoch_view;
mod event;
mod failure_detector;
mod founding;
mod group_health;
mod heartbeat_response;
mod injected_fault;
mod join_requests;
mod known_primary;
mod leadership_transfer;
mod learner;
mod lease_stamp;
mod limits;
mod log_size;
mod member_removal;
mod message;
mod node;
mod node_core;
mod peers;
mod pending_requests;
mod pre_votes;
mod primary;
mod primary_lease;
mod random_delay;
mod read_lease;
mod settings;
mod shared_bytes;
mod snapshot;
mod snapshot_transfer;
mod state_delta;
mod storage;
mod stored_state;
mod take_over;
mod term;
mod timings;
mod transition;
mod votes;

pub use body_delta::BodyDelta;
pub use control_state::{
    AppliedRequest, ControlState, DEDUPLICATION_WINDOW, RequestDigest, RequestStatus, StateVersion,
};
pub use durable_state::StoredStateError;
pub use epoch_config::EpochConfig;
pub use event::{ClientReply, Input, Output};
pub use founding::{FOUNDING_TERM_STEP, Founding, FoundingError};
pub use group_health::{GroupHealth, LossRisk, MemberHealth, MemberRole};
#[doc(hidden)]
#[cfg(feature = "fault-injection")]
pub use injected_fault::InjectedFault;
pub use lease_stamp::LeaseStamp;
pub use limits::{MAX_BODY_BYTES, MAX_STATE_BYTES};
pub use member_removal::SHUTDOWN_TIMEOUT;
pub use message::Message;
pub use node::Node;
pub use settings::Settings;
pub use snapshot::{ChunkSizes, SnapshotChunk, SnapshotOffer, StatePurpose, checksum};
pub use state_delta::StateDelta;
pub use term::{Member, MemberId, Term};
pub use timings::Timings;
