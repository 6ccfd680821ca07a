//! Manages the tasks that watch the registries of the peers.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;

use tokio::task::JoinHandle;

use super::peer_exchange::PeerExchange;

/// One watch task for each peer. The tasks are aborted when this is dropped.
pub(crate) struct PeerFollowers {
    exchange: Rc<PeerExchange>,
    tasks: HashMap<SocketAddrV4, JoinHandle<()>>,
}

impl PeerFollowers {
    pub(super) fn new(exchange: Rc<PeerExchange>) -> PeerFollowers {
        PeerFollowers { exchange, tasks: HashMap::new() }
    }

    /// Starts a task for each peer that has none, or whose task has given up.
    pub(crate) fn follow_new_peers(&mut self) {
        self.tasks.retain(|_, task| !task.is_finished());
        for peer in self.exchange.peers() {
            self.tasks
                .entry(peer)
                .or_insert_with(|| tokio::task::spawn_local(self.exchange.clone().follow_peer(peer)));
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
