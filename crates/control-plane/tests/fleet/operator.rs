//! Operators that race on one number: each sends a call unchanged, to any machine, until it has a clear answer.

use std::collections::BTreeSet;

use mosshead_control_plane::{ChangeKind, ChangeResponse, ReadResponse};

use crate::checker::marks;
use crate::messages::{Answer, Call, Party, Pending, Purpose};
use crate::simulation::{Event, World};

const TURN_MS: u64 = 40;
/// Callers move on after a second of silence.
const SILENCE_MS: u64 = 1_000;
const MOST_REDIRECTS: usize = 2;

#[derive(Default)]
pub struct Operator {
    /// The change that it wants a clear answer to.
    change: Option<usize>,
    /// The revision that it builds on, and what that is made of.
    base: Option<(u64, BTreeSet<usize>)>,
    accepted: Vec<usize>,
    redirects: usize,
    is_waiting: bool,
    rests_until: u64,
    /// Reads the configuration back before its next new change.
    reads_next: bool,
}

impl Operator {
    /// Reads the configuration back before its next change.
    pub fn read_back_next(&mut self) {
        self.base = None;
        self.reads_next = true;
    }
}

impl World {
    pub fn add_operator(&mut self) {
        self.operators.push(Operator::default());
        let operator = self.operators.len() - 1;
        self.after(800, Event::Operator { operator });
    }

    pub fn operator_timer(&mut self, index: usize) {
        self.after(TURN_MS, Event::Operator { operator: index });
        let operator = &mut self.operators[index];
        if operator.is_waiting || self.now < operator.rests_until {
            return;
        }
        operator.redirects = 0;
        if operator.change.is_none() {
            self.next_change(index);
        }
        let standing = self.standing();
        if let Some(core) = self.pick(&standing) {
            self.call(index, core);
        }
        // The same call twice at once, at two places.
        if self.below(10) == 0
            && self.operators[index].change.is_some()
            && let Some(other) = self.pick(&standing)
        {
            self.call(index, other);
        }
    }

    fn next_change(&mut self, index: usize) {
        let is_repeat = self.below(10) == 0;
        let accepted = self.operators[index].accepted.clone();
        if is_repeat && let Some(change) = self.pick(&accepted) {
            self.operators[index].change = Some(change);
            return;
        }
        let (draw, step) = (self.below(100), self.below(3));
        let Some((base, marks)) = self.operators[index].base.take() else { return };
        let kind = if base == 0 || draw < 30 { ChangeKind::Replace } else { ChangeKind::Modify };
        let is_valid = draw % 12 != 0;
        let change = self.ledger.new_change(kind, (base, &marks), base + 1 + step / 2, is_valid);
        self.operators[index].change = Some(change);
    }

    fn call(&mut self, index: usize, core: usize) {
        let acknowledged = self.ledger.highest_acknowledged();
        let (call, purpose) = match self.operators[index].change {
            Some(change) => (Call::Change { change }, Purpose::OperatorChange { change, acknowledged }),
            None => (Call::Show, Purpose::OperatorShow { acknowledged }),
        };
        self.operators[index].is_waiting = true;
        self.request(Party::Operator(index), Party::Control(core), call, purpose, SILENCE_MS);
    }

    pub fn operator_response(&mut self, index: usize, pending: Pending, answer: Option<Answer>) {
        self.operators[index].is_waiting = false;
        let rest = 50 + self.below(150);
        self.operators[index].rests_until = self.now + rest;
        match (pending.purpose, answer) {
            (Purpose::OperatorChange { change, acknowledged }, Some(Answer::Changed(answer))) => {
                self.change_answered(index, change, acknowledged, answer);
            }
            (Purpose::OperatorShow { acknowledged }, Some(Answer::Shown(answer))) => {
                self.show_answered(index, acknowledged, answer);
            }
            _ => {}
        }
    }

    fn change_answered(&mut self, index: usize, change: usize, acknowledged: u64, answer: ChangeResponse) {
        let is_current = self.operators[index].change == Some(change);
        match answer {
            ChangeResponse::Accepted { revision } => {
                if revision != self.ledger.changes[change].revision {
                    self.ledger.broken("accepted", format!("change {change} as {revision}"));
                }
                self.ledger.accepted(self.now, change);
                if is_current {
                    self.change_accepted(index, change);
                }
            }
            ChangeResponse::Stale { current_revision: current } => {
                self.ledger.stale(change, current, acknowledged);
                self.forget_change(index, is_current);
            }
            ChangeResponse::Invalid { .. } => {
                self.ledger.invalid(change);
                self.forget_change(index, is_current);
            }
            ChangeResponse::TooLarge => {
                self.ledger.broken("refused", format!("change {change} is small, and refused as too large"));
            }
            ChangeResponse::Redirect { primary: leader } if is_current => self.redirect(index, leader),
            ChangeResponse::Redirect { .. } | ChangeResponse::Expired | ChangeResponse::Unavailable => {}
        }
    }

    fn change_accepted(&mut self, index: usize, change: usize) {
        let rest = 100 + self.below(600);
        let goes_on = self.below(3) > 0;
        let record = &self.ledger.changes[change];
        let base = (record.revision, record.marks.clone());
        let operator = &mut self.operators[index];
        operator.change = None;
        operator.rests_until = self.now + rest;
        let is_repeat = operator.accepted.contains(&change);
        operator.base = (goes_on && !is_repeat && !operator.reads_next).then_some(base);
        operator.accepted.push(change);
        if operator.accepted.len() > 40 {
            operator.accepted.remove(0);
        }
    }

    fn forget_change(&mut self, index: usize, is_current: bool) {
        if is_current {
            self.operators[index].change = None;
            self.operators[index].base = None;
        }
    }

    fn show_answered(&mut self, index: usize, acknowledged: u64, answer: ReadResponse) {
        if matches!(answer, ReadResponse::Current(_) | ReadResponse::Empty) {
            self.operators[index].reads_next = false;
        }
        match answer {
            ReadResponse::Current(state) => {
                let text = String::from_utf8_lossy(&state.body).into_owned();
                self.ledger.shown(state.revision, &text, acknowledged);
                self.operators[index].base = Some((state.revision, marks(&text)));
            }
            ReadResponse::Empty => {
                self.ledger.shown(0, "", acknowledged);
                self.operators[index].base = Some((0, BTreeSet::new()));
            }
            ReadResponse::Redirect { primary: leader } => self.redirect(index, leader),
            ReadResponse::Unavailable => {}
        }
    }

    fn redirect(&mut self, index: usize, leader: std::net::SocketAddrV4) {
        self.operators[index].redirects += 1;
        if self.operators[index].redirects <= MOST_REDIRECTS
            && let Some(core) = self.core_at(leader)
        {
            self.call(index, core);
        }
    }
}
