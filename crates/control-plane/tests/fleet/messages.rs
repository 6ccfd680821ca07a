//! What crosses the network, as typed calls and answers.

use std::net::SocketAddrV4;

use mosshead_consensus::{Member, Message};
use mosshead_control_plane::ConfigOffer;
use mosshead_control_plane::QuorumContact;
use mosshead_control_plane::{ChangeResponse, ReadResponse};
use mosshead_registry::{Delta, Server, Stage, VersionVector};
use mosshead_stage_scheduler::AssignmentOutcome;

/// Who sends and receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    Control(usize),
    Proxy(usize),
    Operator(usize),
    Server(usize),
}

#[derive(Clone, Debug)]
pub enum Packet {
    Consensus { from: Member, message: Message },
    Request(Inbound, Call),
    Response { request: u64, answer: Answer },
}

/// Whom to answer, and under which number.
#[derive(Clone, Copy, Debug)]
pub struct Inbound {
    pub request: u64,
    pub from: Party,
}

#[derive(Clone, Debug)]
pub enum Call {
    Pull {
        vector: VersionVector,
        is_proxy: bool,
    },
    Fetch {
        have: u64,
    },
    Hand {
        delta: Delta,
    },
    Hears {
        source: u64,
        digest: Vec<(String, u64)>,
    },
    /// An operator's change, by its place in the ledger.
    Change {
        change: usize,
    },
    Show,
    Beat(Server),
    Deregister {
        id: String,
    },
    Order {
        id: String,
        stage: Stage,
        fence: u64,
    },
}

#[derive(Clone, Debug)]
pub enum Answer {
    Pulled(Pulled),
    Fetched(Fetched),
    Handed(VersionVector),
    Changed(ChangeResponse),
    Shown(ReadResponse),
    Heard(Heard),
    Ordered(AssignmentOutcome),
}

#[derive(Clone, Debug)]
pub struct Pulled {
    pub revision: u64,
    pub delta: Delta,
    pub cores: Vec<SocketAddrV4>,
    pub contact: QuorumContact,
    pub wants: bool,
}

#[derive(Clone, Debug)]
pub struct Fetched {
    pub offer: ConfigOffer,
    /// How long the machine had been cut off from a majority when it answered: the network's truth, for the checker.
    pub isolated_ms: u64,
}

/// The answer to a server's word.
#[derive(Clone, Copy, Debug)]
pub struct Heard {
    pub is_acknowledged: bool,
    /// As with [`Fetched`].
    pub isolated_ms: u64,
}

/// What a request was sent for.
#[derive(Clone, Debug)]
pub enum Purpose {
    ProxyPull {
        slot: usize,
        core: SocketAddrV4,
    },
    ProxyFetch {
        core: SocketAddrV4,
        whole: bool,
    },
    Copy {
        collection: u64,
        other: SocketAddrV4,
        again: bool,
    },
    Follow {
        other: SocketAddrV4,
    },
    /// With the highest revision that was acknowledged when it was sent.
    OperatorChange {
        change: usize,
        acknowledged: u64,
    },
    OperatorShow {
        acknowledged: u64,
    },
    /// A heartbeat or a deregistration; whether it says that the server leaves.
    ServerWord {
        leaves: bool,
    },
    Order,
    Nothing,
}

/// A request that has no answer yet.
#[derive(Clone, Debug)]
pub struct Pending {
    pub from: Party,
    pub life: u64,
    pub purpose: Purpose,
}
