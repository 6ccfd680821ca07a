//! What a server says of itself.

use core::net::SocketAddrV4;

use minicbor::{Decode, Encode};
use mosshead_time::Duration;
use quick_error::quick_error;

const MOST_NAME: usize = 128;
const MOST_TEXT: usize = 8 * 1024;

/// Where a server is in its life. The order is the order of precedence at one sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(index_only)]
pub enum OperState {
    /// Takes requests.
    #[n(0)]
    Up,
    /// Is about to end and gets nothing new.
    #[n(1)]
    Draining,
    /// Deregistered, or silent for so long that it counts as ended: a tombstone.
    #[n(2)]
    Removed,
}

/// The part that a server plays for prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(index_only)]
pub enum Stage {
    /// Reads prompts.
    #[n(0)]
    Prefill,
    /// Makes tokens.
    #[n(1)]
    Decode,
}

/// A model that a server holds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Model {
    /// Name of the model.
    #[n(0)]
    pub name: String,
    /// Revision of its weights.
    #[n(1)]
    pub revision: u64,
    /// Adapters loaded with it.
    #[n(2)]
    pub adapters: Vec<String>,
}

/// One incarnation of a server.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Server {
    /// `instance_id`: new at every start.
    #[n(0)]
    pub id: String,
    /// `backend_service`. Empty in the tombstone of a server that was never heard.
    #[n(1)]
    pub service: String,
    /// Where it serves. After the server has ended, another may be given the same.
    #[n(2)]
    pub address: SocketAddrV4,
    /// Its zone.
    #[n(3)]
    pub zone: String,
    /// Revision of its software (`revision` on the wire).
    #[n(4)]
    pub software_revision: String,
    /// Requests that it works on at once.
    #[n(5)]
    pub slots: u32,
    /// `oper_state`.
    #[n(6)]
    pub state: OperState,
    /// Its beats have stopped: a mark, weighed by proxies with their own evidence.
    #[n(7)]
    pub is_suspected: bool,
    /// How long it stayed slow when the entry was made. No change by itself.
    #[cbor(n(8), with = "mosshead_time::duration_millis")]
    pub warmup_remaining: Duration,
    /// Its part, where its service has an engine.
    #[n(9)]
    pub stage: Option<Stage>,
    /// Models that it holds.
    #[n(10)]
    pub models: Vec<Model>,
    /// Number of the beat that the entry was made of; `u64::MAX` once deregistered.
    #[n(11)]
    pub sequence: u64,
}

impl Server {
    /// Whether it may be taken into a register: has an id, and all texts are of a bounded length.
    pub fn check(&self) -> Result<(), ServerError> {
        if self.id.is_empty() {
            return Err(ServerError::MissingId);
        }
        if [&self.id, &self.service, &self.zone, &self.software_revision]
            .iter()
            .any(|text| text.len() > MOST_NAME)
        {
            return Err(ServerError::NameTooLong);
        }
        let mut text = 0_usize;
        for model in &self.models {
            text = text.saturating_add(16).saturating_add(model.name.len());
            for adapter in &model.adapters {
                text = text.saturating_add(8).saturating_add(adapter.len());
            }
        }
        if text > MOST_TEXT {
            return Err(ServerError::ModelsTooLong);
        }
        Ok(())
    }

    /// Whether both say the same, sequence and warm-up left out.
    pub(crate) fn has_same_properties(&self, other: &Server) -> bool {
        self.state == other.state
            && self.is_suspected == other.is_suspected
            && self.address == other.address
            && self.stage == other.stage
            && self.slots == other.slots
            && self.service == other.service
            && self.zone == other.zone
            && self.software_revision == other.software_revision
            && self.models == other.models
    }

    pub(crate) fn is_removed(&self) -> bool {
        self.state == OperState::Removed
    }
}

quick_error! {
    /// Why a server is not taken into the register.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum ServerError {
        /// The instance has no id.
        MissingId {
            display("registry 1: instance without an id")
        }
        /// The id, service, zone or software is too long.
        NameTooLong {
            display("registry 2: id, service, zone or revision over {} bytes", MOST_NAME)
        }
        /// The list of models and adapters is too long.
        ModelsTooLong {
            display("registry 3: models and adapters over {} bytes", MOST_TEXT)
        }
        /// The register holds as many servers as it can.
        RegistryFull {
            display("registry 4: the register is full")
        }
    }
}

impl ServerError {
    /// The number of this fault.
    pub fn code(self) -> u16 {
        match self {
            ServerError::MissingId => 1,
            ServerError::NameTooLong => 2,
            ServerError::ModelsTooLong => 3,
            ServerError::RegistryFull => 4,
        }
    }
}
