//! Messages of the control state to other core machines.

use std::net::SocketAddrV4;
use std::rc::Rc;

use mosshead_consensus::{Message, Node};

use super::ControlNode;
use crate::calls::ConsensusMessage;
use crate::send_queues::SendQueue;

impl ControlNode {
    pub(super) fn send(self: &Rc<Self>, to: SocketAddrV4, message: Message) {
        let Some(from) = self.node.borrow().as_ref().map(Node::local_member) else { return };
        let lane = SendQueue::of(message.state_bytes());
        // Danger: messages to a machine that is gone must not pile up; the state is made for lost ones.
        if !self.message_lanes.borrow_mut().enter(to, lane) {
            return;
        }
        let core = self.clone();
        tokio::task::spawn_local(async move {
            let _ = core.caller.call(to, &ConsensusMessage { from, message }, lane.deadline()).await;
            core.message_lanes.borrow_mut().leave(to, lane);
        });
    }
}
