//! Decision logic of the control nodes and of the proxies that follow them. It does no I/O and reads no
//! clock.
//!
//! The programs call it and carry out its decisions: [`ChangeAdmission`] decides how an operator's change is
//! answered, [`ConfigHistory`] which configuration a control node serves, [`ControlNodePool`] which control
//! nodes a proxy watches and from which one it fetches the configuration, [`ShutdownAcknowledgements`] when a
//! server's shutdown is acknowledged, and [`DurableEntries`] tracks which registry entries are durable in a
//! node's own log.

mod acknowledgement;
mod admission;
mod config_history;
mod config_offer;
mod control_node_pool;
mod durable_entries;
mod injected_fault;
mod quorum_contact;
mod response;

pub use acknowledgement::{
    ACKNOWLEDGEMENT_TIMEOUT, AcknowledgementDecision, EntryReplication, EntryVersion, ReplicaSet,
    ShutdownAcknowledgements, ShutdownStep, latest_local_entries,
};
pub use admission::{
    AdmissionStep, ChangeAdmission, ChangeKind, ChangeProposal, OperatorChange, PrimaryHint,
};
pub use config_history::ConfigHistory;
pub use config_offer::{AssembledConfig, ConfigOffer, assemble_config};
pub use control_node_pool::{ControlNodePool, WatchSession};
pub use durable_entries::{DurableEntries, RegistryRecord};
#[doc(hidden)]
#[cfg(feature = "fault-injection")]
pub use injected_fault::InjectedFault;
pub use quorum_contact::QuorumContact;
pub use response::{ChangeError, ChangeResponse, ReadResponse, read_response};
