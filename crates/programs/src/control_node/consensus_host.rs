//! The node's member of the consensus group, and the log that it writes.

use std::cell::RefCell;
use std::net::SocketAddrV4;

use mosshead_consensus::{ControlState, Input, Member, Node, Output, Term};
use mosshead_control_plane::QuorumContact;
use mosshead_record_log::LogWriter;
use rand_pcg::Pcg64Mcg;

use crate::clock::Clock;

/// The consensus node with its clock and its log. Both are absent until the log is opened.
pub(super) struct ConsensusHost {
    clock: Clock,
    node: RefCell<Option<Node<Pcg64Mcg>>>,
    log: RefCell<Option<LogWriter>>,
}

impl ConsensusHost {
    pub(super) fn new(clock: Clock) -> ConsensusHost {
        ConsensusHost { clock, node: RefCell::default(), log: RefCell::default() }
    }

    pub(super) fn set_log(&self, log: LogWriter) {
        self.log.replace(Some(log));
    }

    pub(super) fn set_node(&self, node: Node<Pcg64Mcg>) {
        self.node.replace(Some(node));
    }

    /// Steps the node. `None` while there is none.
    pub(super) fn step(&self, input: Input) -> Option<Vec<Output>> {
        self.node.borrow_mut().as_mut().map(|node| node.step(self.clock.now(), input))
    }

    /// Queues a record for the log; false if it can't be written.
    pub(super) fn append(&self, token: u64, record: Vec<u8>) -> bool {
        self.log.borrow().as_ref().is_some_and(|log| log.append(token, record).is_ok())
    }

    /// Queues the replacement of the log by one record; false if it can't be written.
    pub(super) fn rewrite(&self, token: u64, record: Vec<u8>) -> bool {
        self.log.borrow().as_ref().is_some_and(|log| log.rewrite(token, vec![record]).is_ok())
    }

    /// The length of the log at its last write in bytes; 0 while it is not open.
    pub(super) fn log_bytes(&self) -> u64 {
        self.log.borrow().as_ref().map_or(0, LogWriter::length)
    }

    pub(super) fn local_member(&self) -> Option<Member> {
        self.node.borrow().as_ref().map(Node::local_member)
    }

    /// The addresses of the members; empty while none are known.
    pub(super) fn members(&self) -> Vec<SocketAddrV4> {
        let node = self.node.borrow();
        node.iter().flat_map(|node| node.members()).map(|member| member.address).collect()
    }

    /// Whether this node is the primary and its lease holds at this moment.
    pub(super) fn is_primary(&self) -> bool {
        self.node.borrow().as_ref().is_some_and(|node| node.holds_primary_lease(self.clock.now()))
    }

    /// The address of the primary, as far as this node knows.
    pub(super) fn primary(&self) -> Option<SocketAddrV4> {
        let node = self.node.borrow();
        node.as_ref().and_then(|node| node.primary_at(self.clock.now())).map(|primary| primary.address)
    }

    /// Whether a quorum of the members was recently in contact with this node.
    pub(super) fn quorum_contact(&self) -> QuorumContact {
        let node = self.node.borrow();
        QuorumContact::from_flag(node.as_ref().is_some_and(|node| node.has_quorum_contact(self.clock.now())))
    }

    /// The newest term that is known here.
    pub(super) fn term(&self) -> Option<Term> {
        self.node.borrow().as_ref().map(Node::term)
    }

    /// The newest committed state that is known here.
    pub(super) fn committed_state(&self) -> Option<ControlState> {
        self.node.borrow().as_ref().and_then(|node| node.committed_state().cloned())
    }

    /// Whether the other members can do without this process.
    pub(super) fn may_shut_down(&self) -> bool {
        self.node.borrow().as_ref().is_none_or(Node::may_shut_down)
    }
}
