//! The calls between processes of the fleet, each with its response.
//!
//! Names, field indices and encodings are the wire format: processes of two releases meet while the fleet is updated.

use std::net::SocketAddrV4;

use minicbor::{Decode, Encode};
use mosshead_consensus::{Member, Message};
use mosshead_registry::{Delta, ReceivedHeartbeat, VersionVector};
use mosshead_rpc::{Call, RetryPolicy};
use mosshead_time::Duration;

use crate::config_transfer::{ChunkRequest, ConfigChunk};

/// Requests from a control node what is newer than the caller's configuration and registry (a long poll).
///
/// The response is sent as soon as there is something new, or after [`wait`](WatchUpdates::wait).
#[derive(Clone, Debug, Encode, Decode)]
pub struct WatchUpdates {
    /// The node name of the caller.
    #[n(0)]
    pub name: String,
    /// The incarnation of the calling process, drawn at random at each start.
    #[n(1)]
    pub incarnation: u64,
    /// Whether the caller is a proxy; otherwise it is a control node.
    #[n(2)]
    pub is_proxy: bool,
    /// The revision of the configuration that the caller has; 0: none.
    #[n(3)]
    pub revision: u64,
    /// Up to which version of each source the caller has the registry entries.
    #[n(4)]
    pub vector: VersionVector,
    /// Whether the response is to carry entries, and not only whether there are newer ones.
    #[n(5)]
    pub wants_entries: bool,
    /// The longest time to wait for something new, in milliseconds on the wire. The responder may wait less.
    #[cbor(n(6), with = "mosshead_time::duration_millis")]
    pub wait: Duration,
}

impl WatchUpdates {
    /// The [`revision`](WatchUpdates::revision) of a caller that is not interested in configurations: none is newer.
    pub const NO_CONFIG_WANTED: u64 = u64::MAX;
}

/// What a control node has that the caller of [`WatchUpdates`] lacks.
#[derive(Clone, Debug, Encode, Decode)]
pub struct Updates {
    /// The revision of the newest configuration that the responder knows to be committed; 0 while it has no contact with
    /// a quorum.
    #[n(0)]
    pub revision: u64,
    /// Registry entries above the caller's vector; empty if the caller wants none.
    #[n(1)]
    pub delta: Delta,
    /// Whether the responder has registry entries that the caller lacks, in `delta` or not.
    #[n(2)]
    pub has_newer_entries: bool,
    /// The control nodes that the responder knows.
    #[n(3)]
    pub control_nodes: Vec<SocketAddrV4>,
    /// How many proxies are alive, as far as the responder knows.
    #[n(4)]
    pub proxy_count: u32,
    /// Whether the responder recently had contact with a quorum of the members.
    #[n(5)]
    pub has_quorum_contact: bool,
    /// Whether the responder lacks registry entries that the caller has.
    #[n(6)]
    pub needs_entries: bool,
    /// The id under which the responder is a source of registry entries ([`SourceId`](mosshead_registry::SourceId)).
    #[n(7)]
    pub source: u64,
}

impl Call for WatchUpdates {
    const NAME: &'static str = "Pull";
    const RETRY_POLICY: RetryPolicy = RetryPolicy::Always;
    type Response = Updates;
}

/// Requests one chunk of the transfer that leads from the caller's configuration to the newest.
#[derive(Clone, Copy, Debug, Encode, Decode)]
#[cbor(transparent)]
pub struct FetchConfig(#[n(0)] pub ChunkRequest);

impl Call for FetchConfig {
    const NAME: &'static str = "Fetch";
    const RETRY_POLICY: RetryPolicy = RetryPolicy::Always;
    type Response = ConfigChunk;
}

/// Sends registry entries that the receiver should have: all of them to a control node that lacks entries after its
/// restart. Control nodes of earlier releases also send those that must be replicated before a server gets its
/// acknowledgement.
#[derive(Clone, Debug, Encode, Decode)]
pub struct ReplicateEntries {
    /// Complete above its base vector, so that the receiver can merge it into what it has.
    #[n(0)]
    pub delta: Delta,
}

/// The receiver of [`ReplicateEntries`] has merged the entries.
#[derive(Clone, Debug, Encode, Decode)]
pub struct ReplicateAck {
    /// Whether an entry was new to the receiver.
    #[n(0)]
    pub changed: bool,
    /// Up to which version of each source the receiver has the entries now.
    #[n(1)]
    pub vector: VersionVector,
}

impl Call for ReplicateEntries {
    const NAME: &'static str = "Hand";
    const RETRY_POLICY: RetryPolicy = RetryPolicy::Always;
    type Response = ReplicateAck;
}

/// Sends registry entries that must be on the receiver's disk before a server gets its acknowledgement.
#[derive(Clone, Debug, Encode, Decode)]
pub struct PersistEntries {
    /// As with [`ReplicateEntries`].
    #[n(0)]
    pub delta: Delta,
    /// How long the receiver waits for its disk, in milliseconds on the wire. The receiver may wait less.
    #[cbor(n(1), with = "mosshead_time::duration_millis")]
    pub wait: Duration,
}

/// The receiver of [`PersistEntries`] has merged the entries, and has waited for its disk.
#[derive(Clone, Debug, Encode, Decode)]
pub struct PersistAck {
    /// Up to which version of each source the receiver has the entries now.
    #[n(0)]
    pub vector: VersionVector,
    /// Up to which version of each source all entries in force are on its disk.
    #[n(1)]
    pub durable: VersionVector,
}

impl Call for PersistEntries {
    const NAME: &'static str = "Persist";
    const RETRY_POLICY: RetryPolicy = RetryPolicy::Always;
    type Response = PersistAck;
}

/// Reports which servers still send heartbeats to a control node, so that other control nodes don't time them out.
#[derive(Clone, Debug, Encode, Decode)]
pub struct CompareHeartbeats {
    /// The id under which the caller is a source of registry entries ([`SourceId`](mosshead_registry::SourceId)).
    #[n(0)]
    pub source: u64,
    /// The last heartbeats that the caller has received.
    #[n(1)]
    pub heartbeats: Vec<ReceivedHeartbeat>,
}

impl Call for CompareHeartbeats {
    const NAME: &'static str = "Hears";
    const RETRY_POLICY: RetryPolicy = RetryPolicy::OnlyIfNeverSent;
    /// Carries nothing: `changed` is false and the vector empty. Processes of earlier releases expect this type.
    type Response = ReplicateAck;
}

/// A message between the members of the consensus group.
#[derive(Clone, Debug, Encode, Decode)]
pub struct ConsensusMessage {
    /// The member that has sent it, by the identity and address under which it can be answered.
    #[n(0)]
    pub from: Member,
    /// What the receiver's consensus node is stepped with.
    #[n(1)]
    pub message: Message,
}

impl Call for ConsensusMessage {
    const NAME: &'static str = "Epoch";
    const RETRY_POLICY: RetryPolicy = RetryPolicy::OnlyIfNeverSent;
    type Response = ();
}
