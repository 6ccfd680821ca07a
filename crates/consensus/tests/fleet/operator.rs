//! Operators that race: each call is repeated unchanged until it has a clear answer.

use mosshead_consensus::ClientReply;

use crate::checker::{Change, Kind, digest};
use crate::world::{Event, World, body};

#[derive(Default)]
pub(crate) struct Operator {
    /// What it wants an answer to.
    call: Option<Kind>,
    /// The ask that is open, and since when.
    request_id: Option<(u64, u64)>,
    hops: usize,
    wait_until: u64,
    /// Calls that were taken, to be repeated now and then.
    taken: Vec<Change>,
    base: Option<u64>,
}

impl World {
    pub(crate) fn hire(&mut self, operators: usize) {
        for index in 0..operators {
            self.operators.push(Operator::default());
            self.after(index as u64, Event::Operator(index));
        }
    }

    pub(crate) fn dismiss(&mut self) {
        self.operators.clear();
    }

    pub(crate) fn operate(&mut self, index: usize) {
        if index >= self.operators.len() {
            return;
        }
        self.after(20, Event::Operator(index));
        let now = self.now;
        let operator = &mut self.operators[index];
        if operator.request_id.is_some_and(|(_, at)| now < at + 1_000) || now < operator.wait_until {
            return;
        }
        operator.request_id = None;
        operator.hops = 0;
        if operator.call.is_none() {
            self.next_call(index);
        }
        let running = self.running();
        if running.is_empty() {
            return;
        }
        let target = running[self.below(running.len() as u64) as usize];
        self.call(index, target);
        // The same call twice at once, at two places.
        if self.below(10) == 0
            && let Some(kind @ Kind::Change(_)) = self.operators[index].call.clone()
        {
            let other = running[self.below(running.len() as u64) as usize];
            self.send_request(other, kind);
        }
    }

    fn next_call(&mut self, index: usize) {
        let repeat = self.below(12) == 0;
        let (number, step, length) = (self.rng_u64(), self.below(self.revision_steps), self.below(4));
        let operator = &mut self.operators[index];
        let kind = match operator.base.take() {
            _ if repeat && !operator.taken.is_empty() => {
                let which = number as usize % operator.taken.len();
                Kind::Change(operator.taken[which].clone())
            }
            Some(base) => {
                let body = body(number, length as usize);
                Kind::Change(Change { base, revision: base + 1 + step, digest: digest(number), body })
            }
            None => Kind::Read,
        };
        operator.call = Some(kind);
    }

    pub(crate) fn rng_u64(&mut self) -> u64 {
        use rand_core::RngCore;
        self.rng.next_u64()
    }

    fn call(&mut self, index: usize, target: usize) {
        let Some(kind) = self.operators[index].call.clone() else { return };
        // The answer may come within the ask.
        let id = self.peek_request_id();
        self.operators[index].request_id = Some((id, self.now));
        self.send_request(target, kind);
    }

    /// An answer has come: on to the next step, at the operator's next look.
    pub(crate) fn answered(&mut self, request_id: u64) {
        let Some(index) =
            self.operators.iter().position(|o| o.request_id.is_some_and(|(id, _)| id == request_id))
        else {
            return;
        };
        let Some(reply) = self.checker.reply(request_id).cloned() else { return };
        let pause = 100 + self.below(200);
        let now = self.now;
        let hint = match &reply {
            ClientReply::NotPrimary { primary: Some(address) } => self.at(*address),
            _ => None,
        };
        let hint = hint.filter(|m| self.machines[*m].node.is_some());
        let operator = &mut self.operators[index];
        operator.request_id = None;
        match (reply, &operator.call) {
            (ClientReply::CurrentState { state }, _) => {
                operator.base = Some(state.revision);
                operator.call = None;
            }
            (ClientReply::ChangeCommitted { revision }, Some(Kind::Change(change))) => {
                if operator.taken.len() >= 1_000 {
                    operator.taken.remove(0);
                }
                operator.taken.push(change.clone());
                // Most go on from what they wrote, so that others are behind at times.
                operator.base = (revision % 3 != 0).then_some(revision);
                operator.call = None;
                operator.wait_until = now + pause;
            }
            (ClientReply::Stale { current_revision: current }, _) => {
                operator.base = Some(current);
                operator.call = None;
            }
            // Neither taken nor refused, however often it comes.
            (ClientReply::Expired, _) => operator.call = None,
            (ClientReply::NotPrimary { .. }, _) if operator.hops < 2 && hint.is_some() => {
                operator.hops += 1;
                if let Some(target) = hint {
                    self.call(index, target);
                }
            }
            _ => operator.wait_until = now + pause,
        }
    }
}
