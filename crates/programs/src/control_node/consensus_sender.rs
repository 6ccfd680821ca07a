//! Sends consensus messages to other members.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;

use mosshead_consensus::{Member, Message};
use mosshead_rpc::{Caller, Transport};

use crate::calls::ConsensusMessage;
use crate::send_queues::{SendQueue, SendQueues};

/// Sends each message as a separate RPC call.
pub(super) struct ConsensusSender {
    caller: Caller,
    send_queues: RefCell<SendQueues>,
}

impl ConsensusSender {
    pub(super) fn new(caller: Caller) -> Rc<ConsensusSender> {
        Rc::new(ConsensusSender { caller, send_queues: RefCell::default() })
    }

    /// Sends a message, or drops it if too many are in flight. Messages to an unreachable member must not pile up,
    /// and the protocol tolerates their loss.
    pub(super) fn send(self: &Rc<Self>, from: Member, to: SocketAddrV4, message: Message) {
        let queue = SendQueue::of(message.state_bytes());
        if !self.send_queues.borrow_mut().enter(to, queue) {
            return;
        }
        let sender = self.clone();
        // The task ends with the timeout of its call.
        tokio::task::spawn_local(async move {
            let _ = sender.caller.call(to, &ConsensusMessage { from, message }, queue.timeout()).await;
            sender.send_queues.borrow_mut().leave(to, queue);
        });
    }
}
