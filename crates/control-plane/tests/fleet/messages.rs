//! The messages of the simulated network: typed calls and responses.

use std::net::SocketAddrV4;

use mosshead_consensus::{Member, Message};
use mosshead_control_plane::{ChangeResponse, ConfigOffer, QuorumContact, ReadResponse};
use mosshead_registry::{Delta, ReceivedHeartbeat, Server, Stage, VersionVector};
use mosshead_stage_scheduler::AssignmentOutcome;
use mosshead_time::Duration;

/// A process that sends and receives messages, by its index among those of its kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Party {
    Control(usize),
    Proxy(usize),
    Operator(usize),
    Server(usize),
}

#[derive(Clone, Debug)]
pub(crate) enum Packet {
    Consensus { from: Member, message: Message },
    Request(ReplyTo, Call),
    Response { request: u64, response: Response },
}

/// The sender of a call and the number of the call, for the response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplyTo {
    pub(crate) request: u64,
    pub(crate) from: Party,
}

#[derive(Clone, Debug)]
pub(crate) enum Call {
    WatchUpdates {
        vector: VersionVector,
        is_proxy: bool,
    },
    FetchConfig {
        known_revision: u64,
    },
    ReplicateEntries {
        delta: Delta,
    },
    /// Entries to merge. The receiver responds once they are on its disk.
    PersistEntries {
        delta: Delta,
    },
    CompareHeartbeats {
        source: u64,
        digest: Vec<ReceivedHeartbeat>,
    },
    /// An operator's change, by its index in the checker.
    ChangeConfig {
        change: usize,
    },
    ReadConfig,
    Heartbeat(Server),
    Deregister {
        id: String,
    },
    AssignStage {
        id: String,
        stage: Stage,
        token: u64,
    },
}

#[derive(Clone, Debug)]
pub(crate) enum Response {
    Updates(Updates),
    Config(FetchedConfig),
    Persisted(PersistedEntries),
    Change(ChangeResponse),
    Read(ReadResponse),
    Server(ServerResponse),
    Assignment(AssignmentOutcome),
}

#[derive(Clone, Debug)]
pub(crate) struct Updates {
    pub(crate) revision: u64,
    pub(crate) delta: Delta,
    pub(crate) control_nodes: Vec<SocketAddrV4>,
    pub(crate) contact: QuorumContact,
    pub(crate) wants_entries: bool,
}

/// The versions up to which a control node has the entries, and up to which they are on its disk.
#[derive(Clone, Debug)]
pub(crate) struct PersistedEntries {
    pub(crate) vector: VersionVector,
    pub(crate) durable: VersionVector,
}

#[derive(Clone, Debug)]
pub(crate) struct FetchedConfig {
    pub(crate) offer: ConfigOffer,
    /// How long the node had been isolated from a quorum when it responded. Only the checker uses it.
    pub(crate) isolated_for: Duration,
}

/// The response to a heartbeat or a deregistration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerResponse {
    pub(crate) is_acknowledged: bool,
    /// See [`FetchedConfig::isolated_for`].
    pub(crate) isolated_for: Duration,
}

/// The purpose of a call, by which its response is handled.
#[derive(Clone, Debug)]
pub(crate) enum Purpose {
    ProxyWatch {
        watch_slot: usize,
        control_node: SocketAddrV4,
    },
    ProxyFetch {
        control_node: SocketAddrV4,
        is_full: bool,
    },
    Replicate {
        acknowledgement: u64,
        other: SocketAddrV4,
        is_second: bool,
    },
    WatchPeer {
        other: SocketAddrV4,
    },
    /// `acknowledged` is the highest revision that was acknowledged when the call was sent.
    OperatorChange {
        change: usize,
        acknowledged: u64,
    },
    OperatorRead {
        acknowledged: u64,
    },
    /// A heartbeat or a deregistration. `is_shutdown` is true if it announces the server's shutdown.
    ServerCall {
        is_shutdown: bool,
    },
    AssignStage,
    Ignore,
}

/// A call that waits for its response.
#[derive(Clone, Debug)]
pub(crate) struct PendingCall {
    pub(crate) from: Party,
    pub(crate) incarnation: u64,
    pub(crate) purpose: Purpose,
}
