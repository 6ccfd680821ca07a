//! The control nodes that this node knows.

use std::net::SocketAddrV4;
use std::rc::Rc;

use super::consensus_host::ConsensusHost;
use crate::gossip::Gossip;

/// The known control nodes, from the consensus group, the membership protocol and the settings.
pub(super) struct ControlNodeDirectory {
    local_address: SocketAddrV4,
    /// The seeds from the settings at the start. They are used only while no other control node is known.
    seeds: Vec<SocketAddrV4>,
    consensus: Rc<ConsensusHost>,
    gossip: Rc<Gossip>,
}

impl ControlNodeDirectory {
    pub(super) fn new(
        local_address: SocketAddrV4,
        seeds: Vec<SocketAddrV4>,
        consensus: Rc<ConsensusHost>,
        gossip: Rc<Gossip>,
    ) -> Rc<ControlNodeDirectory> {
        Rc::new(ControlNodeDirectory { local_address, seeds, consensus, gossip })
    }

    /// The internal address of this control node.
    pub(super) fn local_address(&self) -> SocketAddrV4 {
        self.local_address
    }

    /// The other control nodes.
    pub(super) fn peers(&self) -> Vec<SocketAddrV4> {
        let mut peers = self.control_nodes();
        peers.retain(|peer| *peer != self.local_address);
        peers
    }

    /// The members of the consensus group and the live control nodes of the membership protocol; the seeds while both
    /// are empty.
    pub(super) fn control_nodes(&self) -> Vec<SocketAddrV4> {
        let mut addresses = self.consensus.members();
        self.gossip.append_control_nodes(&mut addresses);
        if addresses.is_empty() {
            addresses.clone_from(&self.seeds);
        }
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }
}
