//! Client requests that have not been replied to yet.

use core::net::SocketAddrV4;
use std::collections::VecDeque;
use std::sync::Arc;

use mosshead_time::{Duration, Instant};

use crate::context::Context;
use crate::control_state::{AppliedRequest, ControlState, RequestStatus};
use crate::event::ClientReply;
use crate::injected_fault::InjectedFault;

/// The maximum number of queued changes, and of unconfirmed replies. Further requests get
/// [`ClientReply::Unavailable`] at once.
const MAX_WAITING_REQUESTS: usize = 64;
/// By how much [`InjectedFault::ReplyLate`] extends the timeout of requests.
const INJECTED_TIMEOUT_EXTENSION: Duration = Duration::from_millis(350);

/// An operator's request to change the state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ChangeRequest {
    /// The id that the host has assigned to the request.
    pub(crate) request_id: u64,
    pub(crate) received_at: Instant,
    /// The revision that it builds on.
    pub(crate) base_revision: u64,
    /// The request's entry in [`ControlState::applied_requests`].
    pub(crate) request: AppliedRequest,
    /// The complete new body; at most [`crate::MAX_BODY_BYTES`].
    pub(crate) body: Arc<[u8]>,
}

/// The content of a reply, which is only correct if this node is still primary.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum ReplyContent {
    CurrentState,
    Stale { current_revision: u64 },
}

/// A reply that waits for a majority to confirm that this node is still primary.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct UnconfirmedReply {
    request_id: u64,
    received_at: Instant,
    /// The sequence number of the first heartbeat whose responses confirm the reply; none during a take-over. A
    /// heartbeat that was sent before the request arrived proves nothing, since another node may have become primary
    /// in between.
    heartbeat: Option<u64>,
    content: ReplyContent,
}

/// A change that is being written.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ChangeInProgress {
    change: ChangeRequest,
    /// True if the client has already got [`ClientReply::Unavailable`]; each request gets exactly one reply.
    is_answered: bool,
}

/// All requests that have not been replied to yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct PendingRequests {
    /// Changes that wait until the pending one is written, oldest first.
    queue: VecDeque<ChangeRequest>,
    pending_write: Option<ChangeInProgress>,
    /// Oldest first.
    unconfirmed: VecDeque<UnconfirmedReply>,
}

impl PendingRequests {
    /// Adds a change to the queue; replies [`ClientReply::Unavailable`] if the queue is full.
    pub(crate) fn add_change(&mut self, context: &mut Context, change: ChangeRequest) {
        if self.queue.len() >= MAX_WAITING_REQUESTS {
            context.reply(change.request_id, ClientReply::Unavailable);
        } else {
            self.queue.push_back(change);
        }
    }

    /// Adds a read. `heartbeat` is the sequence number of the next heartbeat, whose responses confirm the reply; none
    /// during a take-over.
    pub(crate) fn add_read(&mut self, context: &mut Context, request_id: u64, heartbeat: Option<u64>) {
        let received_at = context.now();
        let content = ReplyContent::CurrentState;
        self.await_confirmation(context, UnconfirmedReply { request_id, received_at, heartbeat, content });
    }

    fn await_confirmation(&mut self, context: &mut Context, reply: UnconfirmedReply) {
        if self.unconfirmed.len() >= MAX_WAITING_REQUESTS {
            context.reply(reply.request_id, ClientReply::Unavailable);
        } else {
            self.unconfirmed.push_back(reply);
        }
    }

    /// Removes and returns the oldest queued change, unless a change is being written.
    pub(crate) fn next_change(&mut self) -> Option<ChangeRequest> {
        if self.pending_write.is_some() { None } else { self.queue.pop_front() }
    }

    /// Applies a change to the current state. If it is acceptable, makes it the pending write and returns the
    /// resulting state; otherwise replies, at once or after confirmation.
    pub(crate) fn apply_change(
        &mut self,
        context: &mut Context,
        current: &ControlState,
        next_heartbeat: u64,
        change: ChangeRequest,
    ) -> Option<ControlState> {
        let current_revision = current.revision;
        let ChangeRequest { request_id, request, received_at, .. } = change;
        match classify(context, current, &change) {
            RequestStatus::AlreadyApplied => {
                context.reply(request_id, ClientReply::ChangeCommitted { revision: request.revision });
            }
            RequestStatus::Expired => context.reply(request_id, ClientReply::Expired),
            RequestStatus::Stale if context.has_fault(InjectedFault::StaleUnconfirmed) => {
                context.reply(request_id, ClientReply::Stale { current_revision });
            }
            RequestStatus::Stale => {
                let content = ReplyContent::Stale { current_revision };
                let heartbeat = Some(next_heartbeat);
                let reply = UnconfirmedReply { request_id, received_at, heartbeat, content };
                self.await_confirmation(context, reply);
            }
            RequestStatus::Acceptable => {
                let body = change.body.clone();
                self.pending_write = Some(ChangeInProgress { change, is_answered: false });
                return Some(current.with_request_applied(current.write_term, request, body));
            }
        }
        None
    }

    /// Sends the replies that are confirmed by `confirmed_heartbeat`, the last heartbeat that a majority has
    /// responded to.
    pub(crate) fn reply_confirmed(
        &mut self,
        context: &mut Context,
        current: &ControlState,
        confirmed_heartbeat: u64,
        last_heartbeat: u64,
    ) {
        for waiting in &mut self.unconfirmed {
            waiting.heartbeat.get_or_insert(last_heartbeat + 1);
        }
        let is_confirmed =
            |waiting: &UnconfirmedReply| waiting.heartbeat.is_some_and(|at| at <= confirmed_heartbeat);
        while let Some(waiting) = self.unconfirmed.pop_front_if(|waiting| is_confirmed(waiting)) {
            let reply = match waiting.content {
                ReplyContent::CurrentState => ClientReply::CurrentState { state: current.clone() },
                ReplyContent::Stale { current_revision } => ClientReply::Stale { current_revision },
            };
            context.reply(waiting.request_id, reply);
        }
    }

    /// Returns true if the oldest unconfirmed reply waits for a heartbeat that has not been sent yet.
    pub(crate) fn awaits_heartbeat_after(&self, last_heartbeat: u64) -> bool {
        let oldest = self.unconfirmed.front().and_then(|waiting| waiting.heartbeat);
        oldest.is_some_and(|heartbeat| heartbeat > last_heartbeat)
    }

    /// Replies to the pending write, which is committed.
    pub(crate) fn finish_write(&mut self, context: &mut Context) {
        if let Some(ChangeInProgress { change, is_answered: false }) = self.pending_write.take() {
            let revision = change.request.revision;
            context.reply(change.request_id, ClientReply::ChangeCommitted { revision });
        }
    }

    /// Resolves the pending write at the end of a renewal, when it either is part of the committed state or never
    /// will be. In the latter case, the change returns to the front of the queue, unless its client has already got a
    /// reply.
    pub(crate) fn resolve_pending_write(&mut self, context: &mut Context, committed: &ControlState) {
        let Some(write) = &self.pending_write else { return };
        if committed.has_applied(write.change.request) {
            self.finish_write(context);
        } else if let Some(ChangeInProgress { change, is_answered: false }) = self.pending_write.take() {
            self.queue.push_front(change);
        }
    }

    /// Resets the awaited heartbeats, since a new epoch numbers its heartbeats anew.
    pub(crate) fn reset_heartbeats(&mut self) {
        for waiting in &mut self.unconfirmed {
            waiting.heartbeat = None;
        }
    }

    /// Replies to all requests and removes them, since this node is no longer primary. `primary` is the address to
    /// which they are redirected, if known.
    pub(crate) fn drop_all(&mut self, context: &mut Context, primary: Option<SocketAddrV4>) {
        let PendingRequests { queue, pending_write, unconfirmed } = std::mem::take(self);
        if context.has_fault(InjectedFault::DropClientRequests) {
            return;
        }
        if let Some(ChangeInProgress { change, is_answered: false }) = pending_write {
            context.reply(change.request_id, ClientReply::Unavailable);
        }
        let queued = queue.iter().map(|change| change.request_id);
        for request_id in queued.chain(unconfirmed.iter().map(|waiting| waiting.request_id)) {
            context.reply(request_id, ClientReply::NotPrimary { primary });
        }
    }

    /// Redirects the changes whose base was found to be stale, since another node was primary in between and the
    /// result may be outdated.
    pub(crate) fn redirect_stale_replies(&mut self, context: &mut Context, primary: Option<SocketAddrV4>) {
        let is_read = |waiting: &UnconfirmedReply| matches!(waiting.content, ReplyContent::CurrentState);
        for waiting in self.unconfirmed.iter().filter(|waiting| !is_read(waiting)) {
            context.reply(waiting.request_id, ClientReply::NotPrimary { primary });
        }
        self.unconfirmed.retain(is_read);
    }

    /// Replies to the requests that have timed out.
    pub(crate) fn expire(&mut self, context: &mut Context) {
        let replies_late = context.has_fault(InjectedFault::ReplyLate);
        let extension = if replies_late { INJECTED_TIMEOUT_EXTENSION } else { Duration::ZERO };
        let (now, timeout) = (context.now(), context.timings().request_timeout + extension);
        let is_expired = |received_at: Instant| now - received_at >= timeout;
        let mut unavailable = |request_id| context.reply(request_id, ClientReply::Unavailable);
        if let Some(write) = &mut self.pending_write
            && !write.is_answered
            && is_expired(write.change.received_at)
        {
            write.is_answered = true;
            unavailable(write.change.request_id);
        }
        let queued = self.queue.iter().map(|change| (change.received_at, change.request_id));
        let unconfirmed = self.unconfirmed.iter().map(|reply| (reply.received_at, reply.request_id));
        let expired = queued.chain(unconfirmed).filter(|(received_at, _)| is_expired(*received_at));
        expired.for_each(|(_, request_id)| unavailable(request_id));
        self.queue.retain(|change| !is_expired(change.received_at));
        self.unconfirmed.retain(|waiting| !is_expired(waiting.received_at));
    }
}

fn classify(context: &Context, current: &ControlState, change: &ChangeRequest) -> RequestStatus {
    let forgets_applied = context.has_fault(InjectedFault::ForgetAppliedRequests);
    let rejects_expired = forgets_applied || context.has_fault(InjectedFault::RejectExpired);
    match current.classify_request(change.base_revision, change.request) {
        RequestStatus::AlreadyApplied if forgets_applied => RequestStatus::Stale,
        RequestStatus::Expired if rejects_expired => RequestStatus::Stale,
        status => status,
    }
}
