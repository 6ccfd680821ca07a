//! The tasks that watch the registries of the peers.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;

use tokio::task::JoinHandle;

use super::node::ControlNode;

/// One task for each peer. They end with this.
#[derive(Default)]
pub(crate) struct PeerFollowers {
    tasks: HashMap<SocketAddrV4, JoinHandle<()>>,
}

impl PeerFollowers {
    /// Starts to follow the peers that are not followed yet, or whose tasks have given up.
    pub(crate) fn follow_peers_of(&mut self, control_node: &Rc<ControlNode>) {
        self.tasks.retain(|_, task| !task.is_finished());
        for peer in control_node.peers() {
            self.tasks
                .entry(peer)
                .or_insert_with(|| tokio::task::spawn_local(control_node.clone().follow_peer(peer)));
        }
    }
}

impl Drop for PeerFollowers {
    fn drop(&mut self) {
        for task in self.tasks.values() {
            task.abort();
        }
    }
}
