//! What a core machine says of itself.

use mosshead_consensus::Node;
use mosshead_record_log::LogWriter;

use super::ControlNode;

impl ControlNode {
    /// What this machine knows, as JSON.
    pub fn status(&self) -> String {
        let node = self.node.borrow();
        let term = node.as_ref().map(Node::term);
        let members = node.as_ref().map_or(0, |node| node.members().len());
        format!(
            concat!(
                "{{\"primary\":{},\"primary_at\":\"{}\",\"round\":{},\"members\":{},\"in_touch\":{},\"revision\":{},",
                "\"servers\":{},\"proxies\":{},\"log_bytes\":{}}}"
            ),
            node.as_ref().is_some_and(|node| node.holds_primary_lease(self.now())),
            node.as_ref()
                .and_then(|node| node.primary_at(self.now()))
                .map_or(String::new(), |primary| primary.address.to_string()),
            term.map_or(0, |term| term.number),
            members,
            node.as_ref().is_some_and(|node| node.has_quorum_contact(self.now())),
            self.config().map_or(0, |config| config.revision),
            self.register.borrow().len(),
            self.gossip.live_proxies(),
            self.keeper.borrow().as_ref().map_or(0, LogWriter::length),
        )
    }
}
