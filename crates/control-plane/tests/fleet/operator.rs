//! Operators that race for one revision: each repeats a call unchanged, to any control node, until its result is known.

use std::collections::BTreeSet;

use mosshead_control_plane::{ChangeKind, ChangeResponse, ReadResponse};

use crate::checker::applied_changes;
use crate::messages::{Call, Party, PendingCall, Purpose, Response};
use crate::simulation::{Event, Simulation};

const TICK_INTERVAL_MS: u64 = 40;
/// How long an operator waits for a response.
const RESPONSE_TIMEOUT_MS: u64 = 1_000;
const MAX_REDIRECTS: usize = 2;

#[derive(Default)]
pub(crate) struct Operator {
    /// The change whose result it does not know it yet.
    change: Option<usize>,
    /// The revision that its next change builds on, and the changes that this one consists of.
    base: Option<(u64, BTreeSet<usize>)>,
    accepted: Vec<usize>,
    redirects: usize,
    is_waiting: bool,
    idle_until: u64,
    /// Reads the configuration back before its next new change.
    reads_next: bool,
}

impl Operator {
    /// Reads the configuration back before its next change.
    pub(crate) fn read_back_next(&mut self) {
        self.base = None;
        self.reads_next = true;
    }
}

impl Simulation {
    pub(crate) fn add_operator(&mut self) {
        self.operators.push(Operator::default());
        let operator = self.operators.len() - 1;
        self.after(800, Event::Operator { operator });
    }

    pub(crate) fn on_operator_timer(&mut self, index: usize) {
        self.after(TICK_INTERVAL_MS, Event::Operator { operator: index });
        let operator = &mut self.operators[index];
        if operator.is_waiting || self.now < operator.idle_until {
            return;
        }
        operator.redirects = 0;
        if operator.change.is_none() {
            self.next_change(index);
        }
        let members = self.members();
        if let Some(control_node) = self.pick(&members) {
            self.call(index, control_node);
        }
        // The same call twice at once, to two control nodes.
        if self.random_below(10) == 0
            && self.operators[index].change.is_some()
            && let Some(other) = self.pick(&members)
        {
            self.call(index, other);
        }
    }

    fn next_change(&mut self, index: usize) {
        let is_repeat = self.random_below(10) == 0;
        let accepted = self.operators[index].accepted.clone();
        if is_repeat && let Some(change) = self.pick(&accepted) {
            self.operators[index].change = Some(change);
            return;
        }
        let (draw, step) = (self.random_below(100), self.random_below(3));
        let Some((base, applied_changes)) = self.operators[index].base.take() else { return };
        let kind = if base == 0 || draw < 30 { ChangeKind::Replace } else { ChangeKind::Modify };
        let is_valid = draw % 12 != 0;
        let change = self.checker.new_change(kind, (base, &applied_changes), base + 1 + step / 2, is_valid);
        self.operators[index].change = Some(change);
    }

    fn call(&mut self, index: usize, control_node: usize) {
        let acknowledged = self.checker.highest_acknowledged();
        let (call, purpose) = match self.operators[index].change {
            Some(change) => (Call::ChangeConfig { change }, Purpose::OperatorChange { change, acknowledged }),
            None => (Call::ReadConfig, Purpose::OperatorRead { acknowledged }),
        };
        self.operators[index].is_waiting = true;
        self.request(
            Party::Operator(index),
            Party::Control(control_node),
            call,
            purpose,
            RESPONSE_TIMEOUT_MS,
        );
    }

    pub(crate) fn on_operator_response(
        &mut self,
        index: usize,
        pending: PendingCall,
        response: Option<Response>,
    ) {
        self.operators[index].is_waiting = false;
        let idle_time = 50 + self.random_below(150);
        self.operators[index].idle_until = self.now + idle_time;
        match (pending.purpose, response) {
            (Purpose::OperatorChange { change, acknowledged }, Some(Response::Change(response))) => {
                self.on_change_response(index, change, acknowledged, response);
            }
            (Purpose::OperatorRead { acknowledged }, Some(Response::Read(response))) => {
                self.on_read_response(index, acknowledged, response);
            }
            _ => {}
        }
    }

    fn on_change_response(
        &mut self,
        index: usize,
        change: usize,
        acknowledged: u64,
        response: ChangeResponse,
    ) {
        let is_current = self.operators[index].change == Some(change);
        match response {
            ChangeResponse::Accepted { revision } => {
                if revision != self.checker.changes[change].revision {
                    self.checker.report_violation("accepted", format!("change {change} as {revision}"));
                }
                self.checker.accepted(self.now, change);
                if is_current {
                    self.change_accepted(index, change);
                }
            }
            ChangeResponse::Stale { current_revision: current } => {
                self.checker.on_stale(change, current, acknowledged);
                self.forget_change(index, is_current);
            }
            ChangeResponse::Invalid { .. } => {
                self.checker.on_invalid(change);
                self.forget_change(index, is_current);
            }
            ChangeResponse::TooLarge => {
                self.checker.report_violation(
                    "rejected",
                    format!("change {change} is small, and rejected as too large"),
                );
            }
            ChangeResponse::Redirect { primary: leader } if is_current => self.redirect(index, leader),
            ChangeResponse::Redirect { .. } | ChangeResponse::Expired | ChangeResponse::Unavailable => {}
        }
    }

    fn change_accepted(&mut self, index: usize, change: usize) {
        let idle_time = 100 + self.random_below(600);
        let continues = self.random_below(3) > 0;
        let record = &self.checker.changes[change];
        let base = (record.revision, record.applied_changes.clone());
        let operator = &mut self.operators[index];
        operator.change = None;
        operator.idle_until = self.now + idle_time;
        let is_repeat = operator.accepted.contains(&change);
        operator.base = (continues && !is_repeat && !operator.reads_next).then_some(base);
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

    fn on_read_response(&mut self, index: usize, acknowledged: u64, response: ReadResponse) {
        if matches!(response, ReadResponse::Current(_) | ReadResponse::Empty) {
            self.operators[index].reads_next = false;
        }
        match response {
            ReadResponse::Current(state) => {
                let text = String::from_utf8_lossy(&state.body).into_owned();
                self.checker.on_read(state.revision, &text, acknowledged);
                self.operators[index].base = Some((state.revision, applied_changes(&text)));
            }
            ReadResponse::Empty => {
                self.checker.on_read(0, "", acknowledged);
                self.operators[index].base = Some((0, BTreeSet::new()));
            }
            ReadResponse::Redirect { primary: leader } => self.redirect(index, leader),
            ReadResponse::Unavailable => {}
        }
    }

    fn redirect(&mut self, index: usize, leader: std::net::SocketAddrV4) {
        self.operators[index].redirects += 1;
        if self.operators[index].redirects <= MAX_REDIRECTS
            && let Some(control_node) = self.control_node_at(leader)
        {
            self.call(index, control_node);
        }
    }
}
