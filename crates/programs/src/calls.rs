//! The RPC calls between processes of the fleet, each with its response.
//!
//! Names, field indices and encodings are the wire format. They must stay compatible, because processes of two releases
//! talk to each other during a rolling update.

use std::net::SocketAddrV4;

use minicbor::{Decode, Encode};
use mosshead_consensus::{Member, Message};
use mosshead_registry::{Delta, ReceivedHeartbeat, VersionVector};
use mosshead_rpc::{Call, RetryPolicy};
use mosshead_time::Duration;

use crate::config_transfer::{ChunkRequest, ConfigChunk};

/// A long poll of a control node for changes that the caller's configuration and registry do not have yet.
///
/// The response is sent as soon as there is a change, or after [`wait`](WatchUpdates::wait).
#[derive(Clone, Debug, Encode, Decode)]
pub struct WatchUpdates {
    /// The node name of the caller.
    #[n(0)]
    pub name: String,
    /// The incarnation of the calling process, drawn at random at each start.
    #[n(1)]
    pub incarnation: u64,
    /// True if the caller is a proxy, false if it is a control node.
    #[n(2)]
    pub is_proxy: bool,
    /// The revision of the caller's configuration; 0 if it has none.
    #[n(3)]
    pub revision: u64,
    /// For each source, the version up to which the caller has its registry entries.
    #[n(4)]
    pub vector: VersionVector,
    /// True if the response must contain the newer entries; otherwise it only tells whether there are any.
    #[n(5)]
    pub wants_entries: bool,
    /// The maximum time to wait for a change, in milliseconds on the wire. The responder may wait for a shorter time.
    #[cbor(n(6), with = "mosshead_time::duration_millis")]
    pub wait: Duration,
}

impl WatchUpdates {
    /// The [`revision`](WatchUpdates::revision) of a caller that wants no configuration: no revision is newer.
    pub const NO_CONFIG_WANTED: u64 = u64::MAX;
}

/// The response to [`WatchUpdates`]: the changes that the caller does not have yet.
#[derive(Clone, Debug, Encode, Decode)]
pub struct Updates {
    /// The revision of the newest configuration that the responder knows to be committed; 0 while it has no contact
    /// with a quorum.
    #[n(0)]
    pub revision: u64,
    /// Registry entries newer than the caller's version vector; empty if the caller wants none.
    #[n(1)]
    pub delta: Delta,
    /// True if the responder has registry entries that the caller lacks, even if `delta` does not contain them.
    #[n(2)]
    pub has_newer_entries: bool,
    /// The control nodes that the responder knows.
    #[n(3)]
    pub control_nodes: Vec<SocketAddrV4>,
    /// The number of live proxies that the responder knows.
    #[n(4)]
    pub proxy_count: u32,
    /// True if the responder recently had contact with a quorum of the consensus members.
    #[n(5)]
    pub has_quorum_contact: bool,
    /// True if the responder lacks registry entries that the caller has.
    #[n(6)]
    pub needs_entries: bool,
    /// The id of the responder as a source of registry entries ([`SourceId`](mosshead_registry::SourceId)).
    #[n(7)]
    pub source: u64,
}

impl Call for WatchUpdates {
    const NAME: &'static str = "Pull";
    const RETRY_POLICY: RetryPolicy = RetryPolicy::Always;
    type Response = Updates;
}

/// Requests one chunk of the transfer that updates the caller's configuration to the newest one.
#[derive(Clone, Copy, Debug, Encode, Decode)]
#[cbor(transparent)]
pub struct FetchConfig(#[n(0)] pub ChunkRequest);

impl Call for FetchConfig {
    const NAME: &'static str = "Fetch";
    const RETRY_POLICY: RetryPolicy = RetryPolicy::Always;
    type Response = ConfigChunk;
}

/// Sends all registry entries to a control node that lacks entries after its restart.
///
/// Control nodes of earlier releases also use this call for entries that must be replicated before a server's
/// heartbeat is acknowledged; newer ones use [`PersistEntries`].
#[derive(Clone, Debug, Encode, Decode)]
pub struct ReplicateEntries {
    /// Contains every entry newer than its base vector, so that the receiver can merge it.
    #[n(0)]
    pub delta: Delta,
}

/// The response to [`ReplicateEntries`], sent after the entries are merged.
#[derive(Clone, Debug, Encode, Decode)]
pub struct ReplicateAck {
    /// True if an entry was new to the receiver.
    #[n(0)]
    pub changed: bool,
    /// For each source, the version up to which the receiver now has the entries.
    #[n(1)]
    pub vector: VersionVector,
}

impl Call for ReplicateEntries {
    const NAME: &'static str = "Hand";
    const RETRY_POLICY: RetryPolicy = RetryPolicy::Always;
    type Response = ReplicateAck;
}

/// Sends registry entries that must be on the receiver's disk before a server's shutdown is acknowledged.
#[derive(Clone, Debug, Encode, Decode)]
pub struct PersistEntries {
    /// As in [`ReplicateEntries`].
    #[n(0)]
    pub delta: Delta,
    /// How long the receiver waits for its disk, in milliseconds on the wire. It may wait for a shorter time.
    #[cbor(n(1), with = "mosshead_time::duration_millis")]
    pub wait: Duration,
}

/// The response to [`PersistEntries`], sent after the entries are merged and the wait for the disk is over.
#[derive(Clone, Debug, Encode, Decode)]
pub struct PersistAck {
    /// For each source, the version up to which the receiver now has the entries.
    #[n(0)]
    pub vector: VersionVector,
    /// For each source, the version up to which all current entries are on the receiver's disk.
    #[n(1)]
    pub durable: VersionVector,
}

impl Call for PersistEntries {
    const NAME: &'static str = "Persist";
    const RETRY_POLICY: RetryPolicy = RetryPolicy::Always;
    type Response = PersistAck;
}

/// Reports which servers still send heartbeats to the caller, so that other control nodes don't time them out.
#[derive(Clone, Debug, Encode, Decode)]
pub struct CompareHeartbeats {
    /// The id of the caller as a source of registry entries ([`SourceId`](mosshead_registry::SourceId)).
    #[n(0)]
    pub source: u64,
    /// The last heartbeat of each server that sends heartbeats to the caller.
    #[n(1)]
    pub heartbeats: Vec<ReceivedHeartbeat>,
}

impl Call for CompareHeartbeats {
    const NAME: &'static str = "Hears";
    const RETRY_POLICY: RetryPolicy = RetryPolicy::OnlyIfNeverSent;
    /// Carries no information: `changed` is false and the vector is empty. Earlier releases expect this type.
    type Response = ReplicateAck;
}

/// A message between the members of the consensus group.
#[derive(Clone, Debug, Encode, Decode)]
pub struct ConsensusMessage {
    /// The sender, with the id and address that replies go to.
    #[n(0)]
    pub from: Member,
    /// The message for the receiver's consensus node.
    #[n(1)]
    pub message: Message,
}

impl Call for ConsensusMessage {
    const NAME: &'static str = "Epoch";
    const RETRY_POLICY: RetryPolicy = RetryPolicy::OnlyIfNeverSent;
    type Response = ();
}
