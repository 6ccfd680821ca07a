//! The status of a control node.

use super::node::ControlNode;

impl ControlNode {
    /// The status as a JSON object; docs/operators/fleet.md documents the fields.
    pub(crate) fn status(&self) -> String {
        let consensus = &self.consensus;
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
            self.config().map_or(0, |config| config.revision),
            self.registry.len(),
            self.gossip.live_proxies(),
            consensus.log_bytes(),
        )
    }
}
