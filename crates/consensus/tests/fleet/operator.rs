//! Simulated operators whose requests race. Each request is retried unchanged until its result is known.

use mosshead_consensus::ClientReply;
use mosshead_time::{Duration, Instant};
use mosshead_virtual_fleet::millis;

use crate::checker::{Change, RequestKind, digest};
use crate::simulation::{Event, Simulation, body};

const TICK_INTERVAL: Duration = millis(20);
/// How long an operator waits for a reply.
const REPLY_TIMEOUT: Duration = millis(1_000);
/// The pause from a reply to the next request: the shortest one, and the bound of the random time that is added.
const MIN_PAUSE: Duration = millis(100);
const PAUSE_VARIATION: Duration = millis(200);
const MAX_REDIRECTS: usize = 2;
/// The number of accepted changes that an operator remembers, to repeat them.
const MAX_REMEMBERED_CHANGES: usize = 1_000;

struct OpenRequest {
    id: u64,
    sent_at: Instant,
}

#[derive(Default)]
pub(crate) struct Operator {
    /// The request whose result it does not know yet.
    request: Option<RequestKind>,
    /// The request that waits for a reply.
    open_request: Option<OpenRequest>,
    redirects: usize,
    idle_until: Instant,
    /// Changes that were accepted, to be repeated occasionally.
    accepted: Vec<Change>,
    /// The revision that its next change is based on.
    base: Option<u64>,
}

impl Simulation {
    pub(crate) fn add_operators(&mut self, count: usize) {
        for index in 0..count {
            self.operators.push(Operator::default());
            self.after(millis(index as u64), Event::Operator(index));
        }
    }

    pub(crate) fn remove_operators(&mut self) {
        self.operators.clear();
    }

    pub(crate) fn on_operator_timer(&mut self, index: usize) {
        if index >= self.operators.len() {
            return;
        }
        self.after(TICK_INTERVAL, Event::Operator(index));
        let now = self.now();
        let operator = &mut self.operators[index];
        let is_waiting =
            operator.open_request.as_ref().is_some_and(|open| now < open.sent_at + REPLY_TIMEOUT);
        if is_waiting || now < operator.idle_until {
            return;
        }
        operator.open_request = None;
        operator.redirects = 0;
        if operator.request.is_none() {
            self.next_request(index);
        }
        let running = self.running();
        if running.is_empty() {
            return;
        }
        let target = running[self.random.index(running.len())];
        self.call(index, target);
        // Sometimes sends the same change to two machines at once.
        if self.random.is_one_in(10)
            && let Some(kind @ RequestKind::Change(_)) = self.operators[index].request.clone()
        {
            let other = running[self.random.index(running.len())];
            self.send_request(other, kind);
        }
    }

    fn next_request(&mut self, index: usize) {
        let is_repeat = self.random.is_one_in(12);
        let number = self.random.next_u64();
        let (step, length) = (self.random_below(self.revision_steps), self.random_below(4));
        let operator = &mut self.operators[index];
        let request = match operator.base.take() {
            _ if is_repeat && !operator.accepted.is_empty() => {
                let repeated = number as usize % operator.accepted.len();
                RequestKind::Change(operator.accepted[repeated].clone())
            }
            Some(base) => {
                let body = body(number, length as usize);
                RequestKind::Change(Change { base, revision: base + 1 + step, digest: digest(number), body })
            }
            None => RequestKind::Read,
        };
        operator.request = Some(request);
    }

    fn call(&mut self, index: usize, target: usize) {
        let Some(kind) = self.operators[index].request.clone() else { return };
        // Set before the request is sent, because the reply may come in the same call.
        let id = self.next_request_id();
        self.operators[index].open_request = Some(OpenRequest { id, sent_at: self.now() });
        self.send_request(target, kind);
    }

    /// Passes a reply to the operator that waits for it, if there is one.
    pub(crate) fn on_operator_reply(&mut self, request_id: u64) {
        let waits =
            |operator: &Operator| operator.open_request.as_ref().is_some_and(|open| open.id == request_id);
        let Some(index) = self.operators.iter().position(waits) else { return };
        let Some(reply) = self.checker.reply(request_id).cloned() else { return };
        let idle_until = self.now() + MIN_PAUSE + self.random_duration_below(PAUSE_VARIATION);
        let redirect = match &reply {
            ClientReply::NotPrimary { primary: Some(address) } => self.machine_at(*address),
            _ => None,
        };
        let redirect = redirect.filter(|machine| self.node(*machine).is_some());
        let operator = &mut self.operators[index];
        operator.open_request = None;
        match (reply, &operator.request) {
            (ClientReply::CurrentState { state }, _) => {
                operator.base = Some(state.revision);
                operator.request = None;
            }
            (ClientReply::ChangeCommitted { revision }, Some(RequestKind::Change(change))) => {
                if operator.accepted.len() >= MAX_REMEMBERED_CHANGES {
                    operator.accepted.remove(0);
                }
                operator.accepted.push(change.clone());
                // Most operators base their next change on their own one, so that others are sometimes stale.
                operator.base = (revision % 3 != 0).then_some(revision);
                operator.request = None;
                operator.idle_until = idle_until;
            }
            (ClientReply::Stale { current_revision }, _) => {
                operator.base = Some(current_revision);
                operator.request = None;
            }
            // It is neither accepted nor rejected, however often it is sent.
            (ClientReply::Expired, _) => operator.request = None,
            (ClientReply::NotPrimary { .. }, _)
                if operator.redirects < MAX_REDIRECTS && redirect.is_some() =>
            {
                operator.redirects += 1;
                if let Some(target) = redirect {
                    self.call(index, target);
                }
            }
            _ => operator.idle_until = idle_until,
        }
    }
}
