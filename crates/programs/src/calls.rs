//! The calls between the fleet's own processes: pairs of a call and its answer.

use std::net::SocketAddrV4;

use minicbor::{Decode, Encode};
use mosshead_consensus::{Member, Message};
use mosshead_control_plane::serving::ConfigOffer;
use mosshead_registry::{Delta, Vector};
use mosshead_rpc::{Call, RetryPolicy};

use crate::config_transfer::{ChunkRequest, ConfigChunk};

/// What is newer than this? Answered when something is, or after `wait_ms`.
#[derive(Clone, Debug, Encode, Decode)]
pub struct WatchUpdates {
    /// Who asks: the machine's name and the life of its process.
    #[n(0)]
    pub name: String,
    /// Drawn anew at each start.
    #[n(1)]
    pub life: u64,
    /// A proxy asks, not a machine of the core.
    #[n(2)]
    pub proxy: bool,
    /// The configuration it has.
    #[n(3)]
    pub revision: u64,
    /// What it has of the register.
    #[n(4)]
    pub vector: Vector,
    /// It wants the register's entries, not only word of them.
    #[n(5)]
    pub entries: bool,
    /// The longest time to wait for news.
    #[n(6)]
    pub wait_ms: u64,
}

/// The news.
#[derive(Clone, Debug, Encode, Decode)]
pub struct Updates {
    /// The newest configuration that the answerer knows to be committed; 0 while it is not in touch.
    #[n(0)]
    pub revision: u64,
    /// Entries of the register above the asker's vector.
    #[n(1)]
    pub delta: Delta,
    /// The register has entries that the asker lacks.
    #[n(2)]
    pub behind: bool,
    /// The core's machines.
    #[n(3)]
    pub cores: Vec<SocketAddrV4>,
    /// Proxies that asked lately.
    #[n(4)]
    pub proxies: u32,
    /// The answerer lately heard from more than half of the core.
    #[n(5)]
    pub current: bool,
    /// The answerer lacks entries that the asker has.
    #[n(6)]
    pub wants: bool,
    /// The source that the answerer is.
    #[n(7)]
    pub source: u64,
}

impl Call for WatchUpdates {
    const NAME: &'static str = "Pull";
    const RETRY_POLICY: RetryPolicy = RetryPolicy::Always;
    type Response = Updates;
}

/// A piece of the configuration, from what the asker has.
#[derive(Clone, Copy, Debug, Encode, Decode)]
#[cbor(transparent)]
pub struct FetchConfig(#[n(0)] pub ChunkRequest);

/// The way to the newest configuration; none, and revision 0, from a machine that is not in touch or has none.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ConfigUpdate {
    /// Where the way leads.
    #[n(0)]
    pub revision: u64,
    /// Patches in order; or else
    #[n(1)]
    pub patches: Vec<String>,
    /// the whole.
    #[n(2)]
    pub whole: Option<String>,
}

impl ConfigUpdate {
    /// The answer on the wire for what is offered.
    pub fn from_offer(offer: ConfigOffer) -> ConfigUpdate {
        match offer {
            ConfigOffer::Withheld => ConfigUpdate { revision: 0, patches: Vec::new(), whole: None },
            ConfigOffer::Patches { revision, patches } => ConfigUpdate { revision, patches, whole: None },
            ConfigOffer::Whole { revision, text } => {
                ConfigUpdate { revision, patches: Vec::new(), whole: Some(text) }
            }
        }
    }

    /// What an answer offers.
    pub fn into_offer(self) -> ConfigOffer {
        match self {
            ConfigUpdate { revision, whole: Some(text), .. } => ConfigOffer::Whole { revision, text },
            ConfigUpdate { revision: 0, .. } => ConfigOffer::Withheld,
            ConfigUpdate { revision, patches, .. } => ConfigOffer::Patches { revision, patches },
        }
    }
}

impl Call for FetchConfig {
    const NAME: &'static str = "Fetch";
    const RETRY_POLICY: RetryPolicy = RetryPolicy::Always;
    type Response = ConfigChunk;
}

/// Entries of the register that the other should have: urgent ones, or all after it lost its memory.
#[derive(Clone, Debug, Encode, Decode)]
pub struct ReplicateEntries {
    /// The entries.
    #[n(0)]
    pub delta: Delta,
}

/// Taken.
#[derive(Clone, Debug, Encode, Decode)]
pub struct ReplicateAck {
    /// Something in it was new.
    #[n(0)]
    pub changed: bool,
    /// What the other has now.
    #[n(1)]
    pub vector: Vector,
}

impl Call for ReplicateEntries {
    const NAME: &'static str = "Hand";
    const RETRY_POLICY: RetryPolicy = RetryPolicy::Always;
    type Response = ReplicateAck;
}

/// Which servers a core machine still hears.
#[derive(Clone, Debug, Encode, Decode)]
pub struct CompareHeartbeats {
    /// The source.
    #[n(0)]
    pub source: u64,
    /// Servers by id, with the sequence last heard.
    #[n(1)]
    pub digest: Vec<(String, u64)>,
}

impl Call for CompareHeartbeats {
    const NAME: &'static str = "Hears";
    const RETRY_POLICY: RetryPolicy = RetryPolicy::OnlyIfNeverSent;
    type Response = ReplicateAck;
}

/// A message of the control state's machines.
#[derive(Clone, Debug, Encode, Decode)]
pub struct ConsensusMessage {
    /// Who sends it.
    #[n(0)]
    pub from: Member,
    /// The message.
    #[n(1)]
    pub message: Message,
}

impl Call for ConsensusMessage {
    const NAME: &'static str = "Epoch";
    const RETRY_POLICY: RetryPolicy = RetryPolicy::OnlyIfNeverSent;
    type Response = ();
}
