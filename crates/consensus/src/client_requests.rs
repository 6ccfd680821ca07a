use std::collections::VecDeque;
use std::sync::Arc;

use crate::event::{Output, Verdict};
use crate::node::{Node, Role};
use crate::settings::InjectedFault;
use crate::types::{Call, Judgement, State};
use rand_core::RngCore;

/// An operator's change, not judged yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Change {
    ask: u64,
    since: u64,
    base: u64,
    call: Call,
    body: Arc<[u8]>,
}

/// What is true if the ballot still holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Claim {
    Read,
    Stale { current: u64 },
}

/// An answer that waits until a majority has confirmed the ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Unconfirmed {
    ask: u64,
    since: u64,
    /// The first heartbeat that confirms; none while a take-over from oneself is under way.
    sequence: Option<u64>,
    claim: Claim,
}

/// The asks that have no answer yet.
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

    pub(crate) fn answer(&mut self, ask: u64, result: Verdict) {
        self.out.push(Output::Answer { ask, result });
    }

    fn refuse(&mut self, ask: u64) {
        let primary = self.hint();
        self.answer(ask, Verdict::NotPrimary { primary });
    }

    pub(crate) fn on_change(&mut self, ask: u64, base: u64, call: Call, body: Vec<u8>) {
        if !self.leads_or_may() {
            self.refuse(ask);
        } else if self.asks.queue.len() >= ClientRequests::MOST {
            self.answer(ask, Verdict::Unavailable);
        } else {
            let change = Change { ask, since: self.now, base, call, body: body.into() };
            self.asks.queue.push_back(change);
        }
    }

    pub(crate) fn on_read(&mut self, ask: u64) {
        if !self.leads_or_may() {
            self.refuse(ask);
        } else if self.settings.has(InjectedFault::ReadUnconfirmed)
            && let (Role::Primary(_), Some(state)) = (&self.role, self.committed.clone())
        {
            self.answer(ask, Verdict::Current { state });
        } else {
            self.await_confirmation(ask, self.now, Claim::Read);
        }
    }

    fn await_confirmation(&mut self, ask: u64, since: u64, claim: Claim) {
        if self.asks.unconfirmed.len() >= ClientRequests::MOST {
            self.answer(ask, Verdict::Unavailable);
            return;
        }
        let sequence = match &self.role {
            // Danger: only a heartbeat that leaves after the ask says anything about it.
            Role::Primary(lead) => Some(lead.sequence + 1),
            _ => None,
        };
        self.asks.unconfirmed.push_back(Unconfirmed { ask, since, sequence, claim });
    }

    /// Judges changes in turn, one being written at a time.
    pub(crate) fn pump(&mut self) {
        while matches!(self.role, Role::Primary(_)) {
            if self.asks.pending_write.is_some() || self.stopping.is_some() {
                break;
            }
            let Some(change) = self.asks.queue.pop_front() else { break };
            self.judge(change);
        }
        self.confirm();
    }

    fn judge(&mut self, change: Change) {
        let Role::Primary(lead) = &self.role else { return };
        let current = lead.state.revision;
        match self.judgement(&lead.state, &change) {
            Judgement::Taken => self.answer(change.ask, Verdict::Taken { revision: change.call.revision }),
            Judgement::Forgotten => self.answer(change.ask, Verdict::Forgotten),
            Judgement::Stale if self.settings.has(InjectedFault::StaleUnconfirmed) => {
                self.answer(change.ask, Verdict::Stale { current });
            }
            Judgement::Stale => {
                self.await_confirmation(change.ask, change.since, Claim::Stale { current });
            }
            Judgement::Acceptable => {
                let state = lead.state.after(lead.ballot, change.call, change.body.clone());
                self.asks.pending_write = Some((change, false));
                self.start_write(state);
            }
        }
    }

    fn judgement(&self, state: &State, change: &Change) -> Judgement {
        let forgets = self.settings.has(InjectedFault::ForgetTaken);
        match state.judge(change.base, change.call) {
            Judgement::Taken if forgets => Judgement::Stale,
            Judgement::Forgotten if forgets || self.settings.has(InjectedFault::RefuseForgotten) => {
                Judgement::Stale
            }
            judgement => judgement,
        }
    }

    /// Answers what a majority has confirmed, and asks it about the rest.
    pub(crate) fn confirm(&mut self) {
        let confirmed = self.confirmed_sequence();
        let Role::Primary(lead) = &self.role else { return };
        for waiting in &mut self.asks.unconfirmed {
            waiting.sequence.get_or_insert(lead.sequence + 1);
        }
        let (state, sent) = (lead.state.clone(), lead.sequence);
        while let Some(first) = self.asks.unconfirmed.front() {
            if first.sequence.is_none_or(|s| s > confirmed) {
                break;
            }
            let Some(first) = self.asks.unconfirmed.pop_front() else { break };
            match first.claim {
                Claim::Read => self.answer(first.ask, Verdict::Current { state: state.clone() }),
                Claim::Stale { current } => self.answer(first.ask, Verdict::Stale { current }),
            }
        }
        // One round at a time, whatever the number of asks.
        let waits_for_new = self.asks.unconfirmed.front().and_then(|w| w.sequence).is_some_and(|s| s > sent);
        if waits_for_new {
            self.send_heartbeats(false);
            if self.confirmed_sequence() > sent {
                self.confirm();
            }
        }
    }

    /// The pending_write is committed.
    pub(crate) fn finish_write(&mut self) {
        if let Some((change, answered)) = self.asks.pending_write.take()
            && !answered
        {
            self.answer(change.ask, Verdict::Taken { revision: change.call.revision });
        }
    }

    /// A take-over from oneself is done: the pending_write is in the committed state, or never will be.
    pub(crate) fn settle_pending_write(&mut self) {
        let Role::Primary(lead) = &self.role else { return };
        let Some((change, _)) = &self.asks.pending_write else { return };
        if lead.state.has_taken(change.call) {
            self.finish_write();
        } else if let Some((change, answered)) = self.asks.pending_write.take()
            && !answered
        {
            self.asks.queue.push_front(change);
        }
    }

    /// A new epoch has heartbeats of its own.
    pub(crate) fn renumber_client_requests(&mut self) {
        for waiting in &mut self.asks.unconfirmed {
            waiting.sequence = None;
        }
    }

    /// This node judges nothing any more.
    pub(crate) fn drop_client_requests(&mut self) {
        let asks = std::mem::take(&mut self.asks);
        if self.settings.has(InjectedFault::DropAsks) {
            return;
        }
        if let Some((change, false)) = asks.pending_write {
            self.answer(change.ask, Verdict::Unavailable);
        }
        let unjudged = asks.queue.iter().map(|c| c.ask).chain(asks.unconfirmed.iter().map(|u| u.ask));
        unjudged.for_each(|ask| self.refuse(ask));
    }

    /// Others led between: what was judged before them counts no more.
    pub(crate) fn refuse_unconfirmed(&mut self) {
        let stale = std::mem::take(&mut self.asks.unconfirmed);
        for waiting in stale {
            match waiting.claim {
                Claim::Read => self.asks.unconfirmed.push_back(waiting),
                Claim::Stale { .. } => self.refuse(waiting.ask),
            }
        }
    }

    pub(crate) fn expire_client_requests(&mut self) {
        let late_by = if self.settings.has(InjectedFault::AnswerLate) { 350 } else { 0 };
        let (now, most) = (self.now, self.settings.timings.ask + late_by);
        let late = |since: u64| now.saturating_sub(since) >= most;
        let mut expired = Vec::new();
        if let Some((change, answered)) = &mut self.asks.pending_write
            && !*answered
            && late(change.since)
        {
            *answered = true;
            expired.push(change.ask);
        }
        self.asks.queue.retain(|c| {
            !late(c.since) || {
                expired.push(c.ask);
                false
            }
        });
        self.asks.unconfirmed.retain(|u| {
            !late(u.since) || {
                expired.push(u.ask);
                false
            }
        });
        for ask in expired {
            self.answer(ask, Verdict::Unavailable);
        }
    }
}
