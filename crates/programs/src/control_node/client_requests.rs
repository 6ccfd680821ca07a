//! The requests to the consensus group that wait for their replies.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use mosshead_consensus::ClientReply;
use tokio::sync::oneshot;

/// Requests in flight, by the id under which the consensus node knows them.
#[derive(Debug)]
pub(super) struct ClientRequests {
    /// Unique within the incarnation of the process.
    next_id: Cell<u64>,
    in_flight: RefCell<HashMap<u64, oneshot::Sender<ClientReply>>>,
}

impl Default for ClientRequests {
    fn default() -> ClientRequests {
        ClientRequests { next_id: Cell::new(1), in_flight: RefCell::default() }
    }
}

impl ClientRequests {
    /// Begins a request: its id, and the receiver of its reply.
    pub(super) fn begin(&self) -> (u64, oneshot::Receiver<ClientReply>) {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let (sender, receiver) = oneshot::channel();
        self.in_flight.borrow_mut().insert(id, sender);
        (id, receiver)
    }

    /// Replies to a request, unless it was abandoned.
    pub(super) fn reply(&self, id: u64, reply: ClientReply) {
        if let Some(sender) = self.in_flight.borrow_mut().remove(&id) {
            let _ = sender.send(reply);
        }
    }

    /// Nobody waits for the reply any more.
    pub(super) fn abandon(&self, id: u64) {
        self.in_flight.borrow_mut().remove(&id);
    }
}
