//! A control node: its member of the consensus group, its replica of the registry, and what it serves to proxies and
//! other control nodes.

mod acknowledgement;
mod change_notifier;
mod client_requests;
mod config_store;
mod consensus_host;
mod consensus_sender;
mod consensus_storage;
mod handlers;
mod log_directory;
mod node;
mod peer_exchange;
mod peer_followers;
mod proxy_presence;
mod registry_host;
mod registry_log;
mod registry_storage;
mod status;
mod updates;

pub(crate) use self::consensus_storage::run_consensus;
pub(crate) use self::handlers::handlers;
pub(crate) use self::node::ControlNode;
pub(crate) use self::peer_followers::PeerFollowers;
pub(crate) use self::registry_storage::restore_registry;
