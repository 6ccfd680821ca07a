//! The control state, replicated with a majority: a primary has every change written by its backups before it acknowledges
//! it, and witnesses that keep only the configurations of epochs decide who becomes primary.
//!
//! [`Node`] is a state machine without I/O, clock or randomness of its own, as in raft-rs: a host passes what happens as
//! [`Input`]s, carries out the [`Output`]s in their order, and confirms every write in order. See
//! `docs/design/0007-fleet.md`, "Control state".
//!
//! For readers of raft-rs: there is no log of entries. The replicated value is one state; a write carries all of it, or the
//! delta from the state before. A [`Term`] belongs to one proposer (a ballot of Paxos), and a candidate is a node that takes
//! over (module `take_over`). It collects promises, has the newest state written under its term by itself and its backups,
//! and only then has an [`EpochConfig`] accepted by a majority: the primary with the nodes that hold the state. From then on
//! a change is committed when the primary and all of its backups have written it. Where another configuration
//! would be better, the primary takes over from itself, which is called a renewal.
//!
//! Words that mean something else in raft-rs: a [`MemberId`] stands for a disk, so that a machine whose disk was wiped is
//! another member; a [`Term`] has a number and its proposer; a follower is any node that is neither primary nor taking over,
//! also one without a vote; a learner (module `learner`) is the part of a node that learns what is committed. While members
//! change, [`EpochConfig::outgoing_members`] and `members` decide together, as in joint consensus.
//!
//! A node consists of parts that own their state: the acceptor, the disk, the learner of committed states, the failure
//! detector, the transfers of large states and others. What outlives a role is in the core; the roles (follower, take-over,
//! primary) work on it, and return to the node a transition to another role.

mod acceptor;
mod body_bytes;
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
