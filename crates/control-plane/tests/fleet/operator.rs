//! Simulated operators that concurrently change the configuration. Each repeats a call unchanged, to any
//! control node, until its result is known.

use std::net::SocketAddrV4;

use mosshead_control_plane::{ChangeKind, ChangeResponse, ReadResponse};
use mosshead_time::{Duration, Instant};
use mosshead_virtual_fleet::millis;

use crate::checker::{KnownConfig, applied_changes};
use crate::messages::{Call, Party, PendingCall, Purpose, Response};
use crate::simulation::{Event, Simulation};

/// The delay before an operator's first call.
const FIRST_CALL_DELAY: Duration = millis(800);
const TICK_INTERVAL: Duration = millis(40);
/// How long an operator waits for a response.
const RESPONSE_TIMEOUT: Duration = millis(1_000);
/// The maximum number of accepted changes that an operator remembers in order to repeat them.
const MAX_REMEMBERED_CHANGES: usize = 40;
const MAX_REDIRECTS: usize = 2;

#[derive(Default)]
pub(crate) struct Operator {
    /// The change whose result is not known yet.
    change: Option<usize>,
    /// The configuration that its next change is based on.
    base: Option<KnownConfig>,
    accepted: Vec<usize>,
    redirects: usize,
    is_waiting: bool,
    idle_until: Instant,
    /// True if it reads the configuration before its next new change.
    reads_next: bool,
}

impl Operator {
    /// Makes the operator read the configuration before its next change.
    pub(crate) fn read_back_next(&mut self) {
        self.base = None;
        self.reads_next = true;
    }
}

impl Simulation {
    pub(crate) fn add_operator(&mut self) {
        self.operators.push(Operator::default());
        let operator = self.operators.len() - 1;
        self.after(FIRST_CALL_DELAY, Event::Operator { operator });
    }

    pub(crate) fn on_operator_timer(&mut self, index: usize) {
        self.after(TICK_INTERVAL, Event::Operator { operator: index });
        let now = self.now();
        let operator = &mut self.operators[index];
        if operator.is_waiting || now < operator.idle_until {
            return;
        }
        operator.redirects = 0;
        if operator.change.is_none() {
            self.next_change(index);
        }
        let members = self.members();
        if let Some(control_node) = self.random.pick(&members) {
            self.call(index, control_node);
        }
        // Sometimes the same call is sent twice at once, to two control nodes.
        if self.random.is_one_in(10)
            && self.operators[index].change.is_some()
            && let Some(other) = self.random.pick(&members)
        {
            self.call(index, other);
        }
    }

    fn next_change(&mut self, index: usize) {
        let is_repeat = self.random.is_one_in(10);
        let accepted = self.operators[index].accepted.clone();
        if is_repeat && let Some(change) = self.random.pick(&accepted) {
            self.operators[index].change = Some(change);
            return;
        }
        let (draw, step) = (self.random_below(100), self.random_below(3));
        let Some(base) = self.operators[index].base.take() else { return };
        let kind = if base.revision == 0 || draw < 30 { ChangeKind::Replace } else { ChangeKind::Modify };
        let is_valid = draw % 12 != 0;
        let revision = base.revision + 1 + step / 2;
        let change = self.checker.new_change(kind, &base, revision, is_valid);
        self.operators[index].change = Some(change);
    }

    fn call(&mut self, index: usize, control_node: usize) {
        let acknowledged = self.checker.highest_acknowledged();
        let (call, purpose) = match self.operators[index].change {
            Some(change) => (Call::ChangeConfig { change }, Purpose::OperatorChange { change, acknowledged }),
            None => (Call::ReadConfig, Purpose::OperatorRead { acknowledged }),
        };
        self.operators[index].is_waiting = true;
        self.request(Party::Operator(index), Party::Control(control_node), call, purpose, RESPONSE_TIMEOUT);
    }

    pub(crate) fn on_operator_response(
        &mut self,
        index: usize,
        pending: PendingCall,
        response: Option<Response>,
    ) {
        self.operators[index].is_waiting = false;
        let idle_time = millis(50) + self.random_duration_below(millis(150));
        self.operators[index].idle_until = self.now() + idle_time;
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
                    self.checker.report_violation(
                        "accepted",
                        format!("change {change} was accepted as revision {revision}"),
                    );
                }
                self.checker.on_accepted(self.now(), change);
                if is_current {
                    self.change_accepted(index, change);
                }
            }
            ChangeResponse::Stale { current_revision } => {
                self.checker.on_stale(change, current_revision, acknowledged);
                self.forget_change(index, is_current);
            }
            ChangeResponse::Invalid { .. } => {
                self.checker.on_invalid(change);
                self.forget_change(index, is_current);
            }
            ChangeResponse::TooLarge => {
                self.checker
                    .report_violation("rejected", format!("small change {change} was rejected as too large"));
            }
            ChangeResponse::Redirect { primary } if is_current => self.redirect(index, primary),
            ChangeResponse::Redirect { .. } | ChangeResponse::Expired | ChangeResponse::Unavailable => {}
        }
    }

    fn change_accepted(&mut self, index: usize, change: usize) {
        let idle_until = self.now() + millis(100) + self.random_duration_below(millis(600));
        let continues = self.random_below(3) > 0;
        let record = &self.checker.changes[change];
        let base = KnownConfig { revision: record.revision, applied_changes: record.applied_changes.clone() };
        let operator = &mut self.operators[index];
        operator.change = None;
        operator.idle_until = idle_until;
        let is_repeat = operator.accepted.contains(&change);
        operator.base = (continues && !is_repeat && !operator.reads_next).then_some(base);
        operator.accepted.push(change);
        if operator.accepted.len() > MAX_REMEMBERED_CHANGES {
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
                self.operators[index].base =
                    Some(KnownConfig { revision: state.revision, applied_changes: applied_changes(&text) });
            }
            ReadResponse::Empty => {
                self.checker.on_read(0, "", acknowledged);
                self.operators[index].base = Some(KnownConfig::default());
            }
            ReadResponse::Redirect { primary } => self.redirect(index, primary),
            ReadResponse::Unavailable => {}
        }
    }

    fn redirect(&mut self, index: usize, primary: SocketAddrV4) {
        self.operators[index].redirects += 1;
        if self.operators[index].redirects <= MAX_REDIRECTS
            && let Some(control_node) = self.control_node_at(primary)
        {
            self.call(index, control_node);
        }
    }
}
