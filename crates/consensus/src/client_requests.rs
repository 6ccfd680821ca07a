use std::collections::VecDeque;
use std::sync::Arc;

use crate::control_state::{AppliedRequest, ControlState, RequestStatus};
use crate::event::{ClientReply, Output};
use crate::node::{Node, Role};
use crate::settings::InjectedFault;
use rand_core::RngCore;

/// An operator's change, not judged yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Change {
    request_id: u64,
    since: u64,
    base: u64,
    call: AppliedRequest,
    body: Arc<[u8]>,
}

/// What is true if the term still holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Claim {
    Read,
    Stale { current: u64 },
}

/// An answer that waits until a majority has confirmed the term.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Unconfirmed {
    request_id: u64,
    since: u64,
    /// The first heartbeat that confirms; none while a take-over from oneself is under way.
    sequence: Option<u64>,
    claim: Claim,
}

/// The client requests that have no reply yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct ClientRequests {
    queue: VecDeque<Change>,
    /// The one that is being written; answered or not.
    pending_write: Option<(Change, bool)>,
    unconfirmed: VecDeque<Unconfirmed>,
}

impl ClientRequests {
    const MOST: usize = 64;
}

impl<R: RngCore> Node<R> {
    fn leads_or_may(&self) -> bool {
        !matches!(self.role, Role::Follower) && self.stopping.is_none()
    }

    pub(crate) fn answer(&mut self, request_id: u64, result: ClientReply) {
        self.out.push(Output::Reply { request_id, reply: result });
    }

    fn refuse(&mut self, request_id: u64) {
        let primary = self.hint();
        self.answer(request_id, ClientReply::NotPrimary { primary });
    }

    pub(crate) fn on_change(&mut self, request_id: u64, base: u64, call: AppliedRequest, body: Vec<u8>) {
        if !self.leads_or_may() {
            self.refuse(request_id);
        } else if self.client_requests.queue.len() >= ClientRequests::MOST {
            self.answer(request_id, ClientReply::Unavailable);
        } else {
            let change = Change { request_id, since: self.now, base, call, body: body.into() };
            self.client_requests.queue.push_back(change);
        }
    }

    pub(crate) fn on_read(&mut self, request_id: u64) {
        if !self.leads_or_may() {
            self.refuse(request_id);
        } else if self.settings.has(InjectedFault::ReadUnconfirmed)
            && let (Role::Primary(_), Some(state)) = (&self.role, self.committed.clone())
        {
            self.answer(request_id, ClientReply::CurrentState { state });
        } else {
            self.await_confirmation(request_id, self.now, Claim::Read);
        }
    }

    fn await_confirmation(&mut self, request_id: u64, since: u64, claim: Claim) {
        if self.client_requests.unconfirmed.len() >= ClientRequests::MOST {
            self.answer(request_id, ClientReply::Unavailable);
            return;
        }
        let sequence = match &self.role {
            // Danger: only a heartbeat that leaves after the ask says anything about it.
            Role::Primary(lead) => Some(lead.sequence + 1),
            _ => None,
        };
        self.client_requests.unconfirmed.push_back(Unconfirmed { request_id, since, sequence, claim });
    }

    /// Judges changes in turn, one being written at a time.
    pub(crate) fn pump(&mut self) {
        while matches!(self.role, Role::Primary(_)) {
            if self.client_requests.pending_write.is_some() || self.stopping.is_some() {
                break;
            }
            let Some(change) = self.client_requests.queue.pop_front() else { break };
            self.judge(change);
        }
        self.confirm();
    }

    fn judge(&mut self, change: Change) {
        let Role::Primary(lead) = &self.role else { return };
        let current = lead.state.revision;
        match self.judgement(&lead.state, &change) {
            RequestStatus::AlreadyApplied => {
                self.answer(change.request_id, ClientReply::Committed { revision: change.call.revision })
            }
            RequestStatus::Expired => self.answer(change.request_id, ClientReply::Expired),
            RequestStatus::Stale if self.settings.has(InjectedFault::StaleUnconfirmed) => {
                self.answer(change.request_id, ClientReply::Stale { current_revision: current });
            }
            RequestStatus::Stale => {
                self.await_confirmation(change.request_id, change.since, Claim::Stale { current });
            }
            RequestStatus::Acceptable => {
                let state = lead.state.with_request_applied(lead.term, change.call, change.body.clone());
                self.client_requests.pending_write = Some((change, false));
                self.start_write(state);
            }
        }
    }

    fn judgement(&self, state: &ControlState, change: &Change) -> RequestStatus {
        let forgets = self.settings.has(InjectedFault::ForgetAppliedRequests);
        match state.classify_request(change.base, change.call) {
            RequestStatus::AlreadyApplied if forgets => RequestStatus::Stale,
            RequestStatus::Expired if forgets || self.settings.has(InjectedFault::RejectExpired) => {
                RequestStatus::Stale
            }
            judgement => judgement,
        }
    }

    /// Answers what a majority has confirmed, and asks it about the rest.
    pub(crate) fn confirm(&mut self) {
        let confirmed = self.confirmed_sequence();
        let Role::Primary(lead) = &self.role else { return };
        for waiting in &mut self.client_requests.unconfirmed {
            waiting.sequence.get_or_insert(lead.sequence + 1);
        }
        let (state, sent) = (lead.state.clone(), lead.sequence);
        while let Some(first) = self.client_requests.unconfirmed.front() {
            if first.sequence.is_none_or(|s| s > confirmed) {
                break;
            }
            let Some(first) = self.client_requests.unconfirmed.pop_front() else { break };
            match first.claim {
                Claim::Read => {
                    self.answer(first.request_id, ClientReply::CurrentState { state: state.clone() })
                }
                Claim::Stale { current } => {
                    self.answer(first.request_id, ClientReply::Stale { current_revision: current })
                }
            }
        }
        // One round at a time, whatever the number of requests.
        let waits_for_new =
            self.client_requests.unconfirmed.front().and_then(|w| w.sequence).is_some_and(|s| s > sent);
        if waits_for_new {
            self.send_heartbeats(false);
            if self.confirmed_sequence() > sent {
                self.confirm();
            }
        }
    }

    /// The pending_write is committed.
    pub(crate) fn finish_write(&mut self) {
        if let Some((change, answered)) = self.client_requests.pending_write.take()
            && !answered
        {
            self.answer(change.request_id, ClientReply::Committed { revision: change.call.revision });
        }
    }

    /// A take-over from oneself is done: the pending_write is in the committed state, or never will be.
    pub(crate) fn settle_pending_write(&mut self) {
        let Role::Primary(lead) = &self.role else { return };
        let Some((change, _)) = &self.client_requests.pending_write else { return };
        if lead.state.has_applied(change.call) {
            self.finish_write();
        } else if let Some((change, answered)) = self.client_requests.pending_write.take()
            && !answered
        {
            self.client_requests.queue.push_front(change);
        }
    }

    /// A new epoch has heartbeats of its own.
    pub(crate) fn renumber_client_requests(&mut self) {
        for waiting in &mut self.client_requests.unconfirmed {
            waiting.sequence = None;
        }
    }

    /// This node judges nothing any more.
    pub(crate) fn drop_client_requests(&mut self) {
        let client_requests = std::mem::take(&mut self.client_requests);
        if self.settings.has(InjectedFault::DropClientRequests) {
            return;
        }
        if let Some((change, false)) = client_requests.pending_write {
            self.answer(change.request_id, ClientReply::Unavailable);
        }
        let unjudged = client_requests
            .queue
            .iter()
            .map(|c| c.request_id)
            .chain(client_requests.unconfirmed.iter().map(|u| u.request_id));
        unjudged.for_each(|request_id| self.refuse(request_id));
    }

    /// Others led between: what was judged before them counts no more.
    pub(crate) fn refuse_unconfirmed(&mut self) {
        let stale = std::mem::take(&mut self.client_requests.unconfirmed);
        for waiting in stale {
            match waiting.claim {
                Claim::Read => self.client_requests.unconfirmed.push_back(waiting),
                Claim::Stale { .. } => self.refuse(waiting.request_id),
            }
        }
    }

    pub(crate) fn expire_client_requests(&mut self) {
        let late_by = if self.settings.has(InjectedFault::ReplyLate) { 350 } else { 0 };
        let (now, most) = (self.now, self.settings.timings.request_timeout + late_by);
        let late = |since: u64| now.saturating_sub(since) >= most;
        let mut expired = Vec::new();
        if let Some((change, answered)) = &mut self.client_requests.pending_write
            && !*answered
            && late(change.since)
        {
            *answered = true;
            expired.push(change.request_id);
        }
        self.client_requests.queue.retain(|c| {
            !late(c.since) || {
                expired.push(c.request_id);
                false
            }
        });
        self.client_requests.unconfirmed.retain(|u| {
            !late(u.since) || {
                expired.push(u.request_id);
                false
            }
        });
        for request_id in expired {
            self.answer(request_id, ClientReply::Unavailable);
        }
    }
}
