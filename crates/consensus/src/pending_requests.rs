//! The clients' requests that have no reply yet.

use core::net::SocketAddrV4;
use std::collections::VecDeque;
use std::sync::Arc;

use mosshead_time::{Duration, Instant};

use crate::context::Context;
use crate::control_state::{AppliedRequest, ControlState, RequestStatus};
use crate::event::ClientReply;
use crate::injected_fault::InjectedFault;

/// The most changes that wait, and the most unconfirmed replies; a request beyond that is answered as unavailable at once.
const MAX_WAITING: usize = 64;
/// With [`InjectedFault::ReplyLate`], requests expire this much later.
const INJECTED_DELAY: Duration = Duration::from_millis(350);

/// An operator's change of the state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ChangeRequest {
    /// The number that the host has given it.
    pub(crate) request_id: u64,
    pub(crate) received_at: Instant,
    /// The revision that it builds on.
    pub(crate) base_revision: u64,
    /// What the state will remember of it.
    pub(crate) request: AppliedRequest,
    /// The complete new body; at most [`crate::MAX_BODY_BYTES`].
    pub(crate) body: Arc<[u8]>,
}

/// What the reply states, if the term is still in force.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Claim {
    CurrentState,
    Stale { current_revision: u64 },
}

/// A reply that waits until a majority has confirmed the term.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct UnconfirmedReply {
    request_id: u64,
    received_at: Instant,
    /// The first heartbeat whose responses confirm the reply; none during a take-over. A heartbeat that was sent before the
    /// request arrived proves nothing: another node may have become primary in between.
    heartbeat: Option<u64>,
    claim: Claim,
}

/// The change that is being written.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ChangeInProgress {
    change: ChangeRequest,
    /// Whether the client was answered already, by [`ClientReply::Unavailable`]; each request is answered once.
    is_answered: bool,
}

/// The requests that have no reply yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct PendingRequests {
    /// Changes that wait for the one before them, oldest first.
    queue: VecDeque<ChangeRequest>,
    pending_write: Option<ChangeInProgress>,
    /// Oldest first.
    unconfirmed: VecDeque<UnconfirmedReply>,
}

impl PendingRequests {
    /// Queues a change.
    pub(crate) fn add_change(&mut self, context: &mut Context, change: ChangeRequest) {
        if self.queue.len() >= MAX_WAITING {
            context.reply(change.request_id, ClientReply::Unavailable);
        } else {
            self.queue.push_back(change);
        }
    }

    /// Queues a read until `heartbeat`, the next one to be sent, confirms the term; none during a take-over.
    pub(crate) fn add_read(&mut self, context: &mut Context, request_id: u64, heartbeat: Option<u64>) {
        let received_at = context.now();
        let claim = Claim::CurrentState;
        self.await_confirmation(context, UnconfirmedReply { request_id, received_at, heartbeat, claim });
    }

    fn await_confirmation(&mut self, context: &mut Context, reply: UnconfirmedReply) {
        if self.unconfirmed.len() >= MAX_WAITING {
            context.reply(reply.request_id, ClientReply::Unavailable);
        } else {
            self.unconfirmed.push_back(reply);
        }
    }

    /// The next change, if none is being written.
    pub(crate) fn next_change(&mut self) -> Option<ChangeRequest> {
        if self.pending_write.is_some() { None } else { self.queue.pop_front() }
    }

    /// Answers a change by the current state, or makes it the pending write and returns the state after it.
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
                let claim = Claim::Stale { current_revision };
                let heartbeat = Some(next_heartbeat);
                let reply = UnconfirmedReply { request_id, received_at, heartbeat, claim };
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

    /// Sends the replies that a heartbeat answered by a majority confirms.
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
            let reply = match waiting.claim {
                Claim::CurrentState => ClientReply::CurrentState { state: current.clone() },
                Claim::Stale { current_revision } => ClientReply::Stale { current_revision },
            };
            context.reply(waiting.request_id, reply);
        }
    }

    /// Whether the oldest unconfirmed reply waits for a heartbeat that was not sent yet.
    pub(crate) fn awaits_heartbeat_after(&self, last_heartbeat: u64) -> bool {
        let oldest = self.unconfirmed.front().and_then(|waiting| waiting.heartbeat);
        oldest.is_some_and(|heartbeat| heartbeat > last_heartbeat)
    }

    /// The pending write is committed.
    pub(crate) fn finish_write(&mut self, context: &mut Context) {
        if let Some(ChangeInProgress { change, is_answered: false }) = self.pending_write.take() {
            let revision = change.request.revision;
            context.reply(change.request_id, ClientReply::ChangeCommitted { revision });
        }
    }

    /// A renewal has ended: the pending write is part of the committed state, or never will be. In the latter case the change
    /// is queued again as the next one, unless its client was answered.
    pub(crate) fn resolve_pending_write(&mut self, context: &mut Context, committed: &ControlState) {
        let Some(write) = &self.pending_write else { return };
        if committed.has_applied(write.change.request) {
            self.finish_write(context);
        } else if let Some(ChangeInProgress { change, is_answered: false }) = self.pending_write.take() {
            self.queue.push_front(change);
        }
    }

    /// A new epoch has heartbeats of its own.
    pub(crate) fn reset_heartbeats(&mut self) {
        for waiting in &mut self.unconfirmed {
            waiting.heartbeat = None;
        }
    }

    /// This node is no primary any more: all requests are answered.
    pub(crate) fn drop_all(&mut self, context: &mut Context, primary: Option<SocketAddrV4>) {
        let PendingRequests { queue, pending_write, unconfirmed } = std::mem::take(self);
        if context.has_fault(InjectedFault::DropClientRequests) {
            return;
        }
        if let Some(ChangeInProgress { change, is_answered: false }) = pending_write {
            context.reply(change.request_id, ClientReply::Unavailable);
        }
        let not_written = queue.iter().map(|change| change.request_id);
        for request_id in not_written.chain(unconfirmed.iter().map(|waiting| waiting.request_id)) {
            context.reply(request_id, ClientReply::NotPrimary { primary });
        }
    }

    /// Another node was primary in between: claims of a stale base may be outdated, so their changes are redirected.
    pub(crate) fn redirect_stale_replies(&mut self, context: &mut Context, primary: Option<SocketAddrV4>) {
        let is_read = |waiting: &UnconfirmedReply| matches!(waiting.claim, Claim::CurrentState);
        for waiting in self.unconfirmed.iter().filter(|waiting| !is_read(waiting)) {
            context.reply(waiting.request_id, ClientReply::NotPrimary { primary });
        }
        self.unconfirmed.retain(is_read);
    }

    /// Answers the requests that have waited for too long.
    pub(crate) fn expire(&mut self, context: &mut Context) {
        let is_late = context.has_fault(InjectedFault::ReplyLate);
        let delay = if is_late { INJECTED_DELAY } else { Duration::ZERO };
        let (now, timeout) = (context.now(), context.timings().request_timeout + delay);
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
    let forgets = context.has_fault(InjectedFault::ForgetAppliedRequests);
    let rejects_expired = forgets || context.has_fault(InjectedFault::RejectExpired);
    match current.classify_request(change.base_revision, change.request) {
        RequestStatus::AlreadyApplied if forgets => RequestStatus::Stale,
        RequestStatus::Expired if rejects_expired => RequestStatus::Stale,
        status => status,
    }
}
