//! Requests to the consensus node that wait for a reply.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use mosshead_consensus::ClientReply;
use tokio::sync::oneshot;

/// A request in flight.
pub(super) struct PendingRequest {
    /// The id that the consensus node uses in its reply.
    pub(super) id: u64,
    pub(super) reply: oneshot::Receiver<ClientReply>,
}

/// Requests in flight, by the id that the consensus node uses in its replies.
#[derive(Debug)]
pub(super) struct PendingConsensusRequests {
    /// Unique within the incarnation of the process.
    next_id: Cell<u64>,
    in_flight: RefCell<HashMap<u64, oneshot::Sender<ClientReply>>>,
}

impl Default for PendingConsensusRequests {
    fn default() -> PendingConsensusRequests {
        PendingConsensusRequests { next_id: Cell::new(1), in_flight: RefCell::default() }
    }
}

impl PendingConsensusRequests {
    /// Begins a request.
    pub(super) fn begin(&self) -> PendingRequest {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let (sender, reply) = oneshot::channel();
        self.in_flight.borrow_mut().insert(id, sender);
        PendingRequest { id, reply }
    }

    /// Replies to a request, unless it was abandoned.
    pub(super) fn reply(&self, id: u64, reply: ClientReply) {
        if let Some(sender) = self.in_flight.borrow_mut().remove(&id) {
            let _ = sender.send(reply);
        }
    }

    /// Removes a request whose reply is no longer needed.
    pub(super) fn abandon(&self, id: u64) {
        self.in_flight.borrow_mut().remove(&id);
    }
}
