//! Decisions of the control nodes and of the proxies that follow them, without I/O and without a clock.
//!
//! The programs carry these decisions out: [`ChangeAdmission`] decides on the response to an operator's change,
//! [`ConfigHistory`] which configuration a control node offers, [`ControlNodePool`] which control nodes a proxy watches
//! and whose configuration it fetches, [`ShutdownAcknowledgements`] when a server that shuts down is acknowledged, and
//! [`DurableEntries`] which registry entries a node has on its disk.

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
