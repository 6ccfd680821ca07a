//! The status of a control node as JSON.

use super::config_store::ConfigStore;
use super::consensus_host::ConsensusHost;
use super::registry_host::RegistryHost;
use crate::gossip::Gossip;

/// The status as a JSON object; docs/operators/fleet.md documents the fields.
pub(super) fn status(
    consensus: &ConsensusHost,
    configs: &ConfigStore,
    registry: &RegistryHost,
    gossip: &Gossip,
) -> String {
    format!(
        concat!(
            "{{\"primary\":{},\"primary_at\":\"{}\",\"round\":{},\"members\":{},\"in_touch\":{},\"revision\":{},",
            "\"servers\":{},\"proxies\":{},\"log_bytes\":{}}}"
        ),
        consensus.is_primary(),
        consensus.primary().map_or(String::new(), |address| address.to_string()),
        consensus.term().map_or(0, |term| term.number),
        consensus.members().len(),
        consensus.quorum_contact().is_confirmed(),
        configs.current().map_or(0, |config| config.revision()),
        registry.len(),
        gossip.live_proxy_count(),
        consensus.log_bytes(),
    )
}
