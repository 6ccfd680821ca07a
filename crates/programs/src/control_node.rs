//! A control node: a member of the consensus group with a replica of the registry, which serves proxies, other control
//! nodes, model servers and the operator.
//!
//! Each concern is a component that owns its state. [`ControlNode`] is composed of them.

mod change_notifier;
mod config_store;
mod consensus_host;
mod consensus_sender;
mod consensus_storage;
mod directory;
mod fleet_service;
mod handlers;
mod log_directory;
mod node;
mod operator_service;
mod peer_exchange;
mod peer_followers;
mod pending_requests;
mod proxy_presence;
mod registration;
mod registry_host;
mod registry_log;
mod registry_storage;
mod stage_role;
mod stage_targets;
mod status;
mod update_service;

pub(crate) use self::fleet_service::founding_json;
pub(crate) use self::node::ControlNode;
pub(crate) use self::peer_followers::PeerFollowers;
