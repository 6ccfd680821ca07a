//! The state of a model server as it reports it.

use core::net::{Ipv4Addr, SocketAddrV4};

use minicbor::{Decode, Encode};
use mosshead_time::Duration;

use crate::RegistrationError;
use crate::limits::{MAX_MODEL_BYTES, MAX_NAME_BYTES};

/// The counted size of a model in addition to its name, in bytes.
const MODEL_OVERHEAD_BYTES: usize = 16;
/// The counted size of an adapter in addition to its name, in bytes.
const ADAPTER_OVERHEAD_BYTES: usize = 8;

/// The sequence number of a deregistered server, above that of every heartbeat.
pub(crate) const DEREGISTERED_SEQUENCE: u64 = u64::MAX;

/// The operational state of a server. Of two entries with the same sequence number, the one with the greater
/// state takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(index_only)]
pub enum OperState {
    /// Accepts requests.
    #[n(0)]
    Up,
    /// Shutting down gracefully: it finishes its requests and must not receive new ones.
    #[n(1)]
    Draining,
    /// Deregistered, or suspected for so long that it is considered dead. The entry is a tombstone.
    #[n(2)]
    Removed,
}

/// The stage of inference that a server performs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(index_only)]
pub enum Stage {
    /// Computes the KV cache of prompts.
    #[n(0)]
    Prefill,
    /// Generates tokens.
    #[n(1)]
    Decode,
}

/// A model that a server has loaded.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Model {
    /// Name of the model.
    #[n(0)]
    pub name: String,
    /// Revision of its weights.
    #[n(1)]
    pub revision: u64,
    /// Names of the adapters that are loaded with it.
    #[n(2)]
    pub adapters: Vec<String>,
}

/// One instance of a model server: a process from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Server {
    /// `instance_id` on the wire; new at each start of the process.
    #[n(0)]
    pub id: String,
    /// `backend_service` on the wire. Empty in a tombstone if the server was not known when it deregistered.
    #[n(1)]
    pub service: String,
    /// The address where it serves requests. A later instance may get the same address.
    #[n(2)]
    pub address: SocketAddrV4,
    /// Name of the zone that it runs in.
    #[n(3)]
    pub zone: String,
    /// Revision of its software; `revision` on the wire.
    #[n(4)]
    pub software_revision: String,
    /// The number of requests that it processes concurrently.
    #[n(5)]
    pub slots: u32,
    /// `oper_state` on the wire.
    #[n(6)]
    pub state: OperState,
    /// True if its heartbeats have stopped, or another instance has taken its address. It may still serve
    /// requests: proxies also consider the results of their own attempts.
    #[n(7)]
    pub is_suspected: bool,
    /// The remaining warm-up time when the entry was created. A difference in this field alone is not a
    /// change.
    #[cbor(n(8), with = "mosshead_time::duration_millis")]
    pub warmup_remaining: Duration,
    /// Its stage, if its service splits prefill and decode.
    #[n(9)]
    pub stage: Option<Stage>,
    /// The models that it has loaded. Empty in a tombstone.
    #[n(10)]
    pub models: Vec<Model>,
    /// Sequence number of the heartbeat that the entry was created from; `u64::MAX` once deregistered.
    #[n(11)]
    pub sequence: u64,
}

impl Server {
    /// Returns the deregistered instance with this id, of which nothing else is known.
    pub(crate) fn deregistered(id: &str) -> Server {
        Server {
            id: id.to_owned(),
            service: String::new(),
            address: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
            zone: String::new(),
            software_revision: String::new(),
            slots: 0,
            state: OperState::Removed,
            is_suspected: false,
            warmup_remaining: Duration::ZERO,
            stage: None,
            models: Vec::new(),
            sequence: DEREGISTERED_SEQUENCE,
        }
    }

    /// Checks that the server may be registered: that it has an id, and that its texts are within their
    /// limits.
    ///
    /// # Errors
    ///
    /// The first limit that is exceeded; never [`RegistrationError::RegistryFull`].
    pub fn validate(&self) -> Result<(), RegistrationError> {
        if self.id.is_empty() {
            return Err(RegistrationError::MissingId);
        }
        let names = [&self.id, &self.service, &self.zone, &self.software_revision];
        if names.iter().any(|name| name.len() > MAX_NAME_BYTES) {
            return Err(RegistrationError::NameTooLong);
        }
        if self.model_bytes() > MAX_MODEL_BYTES {
            return Err(RegistrationError::ModelsTooLong);
        }
        Ok(())
    }

    /// Keeps the first models and adapters that are within the limit of
    /// [`validate`](Server::validate), and returns how many were left out. A server is registered with them, since a
    /// server that is not registered gets no requests.
    pub fn limit_models(&mut self) -> usize {
        let count = |models: &[Model]| models.iter().map(|model| 1 + model.adapters.len()).sum::<usize>();
        let reported = count(&self.models);
        let mut remaining_bytes = MAX_MODEL_BYTES;
        let mut fits = |bytes: usize| {
            let left = remaining_bytes.checked_sub(bytes);
            remaining_bytes = left.unwrap_or(0);
            left.is_some()
        };
        self.models.retain_mut(|model| {
            let is_kept = fits(model_bytes(model));
            model.adapters.retain(|adapter| is_kept && fits(adapter_bytes(adapter)));
            is_kept
        });
        reported - count(&self.models)
    }

    /// Returns the counted size of the models with their adapters, in bytes: the names, plus a constant for
    /// each model and each adapter.
    fn model_bytes(&self) -> usize {
        let sizes = self.models.iter().map(|model| {
            let adapters = model.adapters.iter().map(|adapter| adapter_bytes(adapter));
            adapters.fold(model_bytes(model), usize::saturating_add)
        });
        sizes.fold(0, usize::saturating_add)
    }

    /// Returns true if two reports of one instance differ in nothing but the sequence number and the warm-up
    /// time. The later one is then not a change, and is not published.
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

/// The counted size of a model without its adapters.
fn model_bytes(model: &Model) -> usize {
    MODEL_OVERHEAD_BYTES.saturating_add(model.name.len())
}

/// The counted size of an adapter with this name.
fn adapter_bytes(name: &str) -> usize {
    ADAPTER_OVERHEAD_BYTES.saturating_add(name.len())
}
