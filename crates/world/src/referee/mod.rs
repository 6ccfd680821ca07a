//! The referee: it checks the rules by the record of what crossed the wire alone, never by what a proxy says of itself.

mod attempt_rules;
mod draining;
mod request_record;
mod response_rules;
mod rules;

use std::collections::{BTreeMap, HashMap};

use crate::Time;
use crate::events::{Event, EventKind};
use crate::scenario::{RepeatEffect, Scenario};
use crate::world::RequestId;

use attempt_rules::{AttemptLimits, WrittenAttempt};
use draining::Notifications;
use request_record::{AttemptRecord, Execution, RequestRecord, RequestRecords};
use response_rules::{record_client_timeout, record_response};
use rules::Finding;
pub use rules::{Rule, Violation};

/// So many violations are kept with their timelines; all are counted.
const MAX_KEPT_VIOLATIONS: usize = 50;

/// Checks the rules over the events of a day.
pub struct Referee {
    /// How long after its deadline a response still counts as in time.
    response_slack: Time,
    attempt_limits: AttemptLimits,
    requests: RequestRecords,
    notifications: Notifications,
    /// The proxies that are suspended, and since when.
    paused: HashMap<usize, Time>,
    violation_counts: BTreeMap<Rule, u64>,
    violations: Vec<Violation>,
}

impl Referee {
    /// A referee with the limits of this scenario.
    pub fn new(scenario: &Scenario) -> Self {
        Self {
            response_slack: scenario.rules.response_slack,
            attempt_limits: AttemptLimits::new(scenario),
            requests: RequestRecords::default(),
            notifications: Notifications::new(scenario.rules.drain_grace),
            paused: HashMap::new(),
            violation_counts: BTreeMap::new(),
            violations: Vec::new(),
        }
    }

    /// How often each rule was violated; only rules that were.
    pub fn violation_counts(&self) -> &BTreeMap<Rule, u64> {
        &self.violation_counts
    }

    /// The first violations, with their timelines.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Whether no rule was violated.
    pub fn has_no_violations(&self) -> bool {
        self.violation_counts.is_empty()
    }

    /// Takes an event in. Events come in the order of their time.
    pub fn record_event(&mut self, event: &Event) {
        let at = event.at;
        self.requests.forget_expired(at);
        self.requests.add_to_timeline(event);
        match event.kind {
            EventKind::RequestReceived { request, .. } => self.on_request(request, event),
            EventKind::AttemptStarted { request, proxy, server, .. } => {
                let finding = self.notifications.check_attempt_start(at, proxy, server);
                self.report(at, Some(request), finding);
            }
            EventKind::AttemptWritten { request, .. } => self.on_attempt_written(request, event),
            EventKind::AttemptEnded { request, connection, outcome } => {
                self.requests.end_attempt(request, connection, outcome.into());
            }
            EventKind::AttemptAbandoned { request, connection } => {
                self.requests.end_attempt(request, connection, Execution::Possible);
            }
            EventKind::ServerExecuted { request, .. } => self.on_execution(at, request),
            EventKind::ResponseSent { request, response } => {
                let slack = self.response_slack;
                let record = self.requests.get_mut(request);
                let findings = record.map(|record| record_response(record, at, response, slack));
                self.report(at, Some(request), findings.into_iter().flatten());
            }
            EventKind::ClientTimedOut { request } => {
                let slack = self.response_slack;
                let record = self.requests.get_mut(request);
                let finding = record.and_then(|record| record_client_timeout(record, at, slack));
                self.report(at, Some(request), finding);
            }
            EventKind::ServerStateNotified { proxy, server, state } => {
                self.notifications.record(at, proxy, server, state);
            }
            EventKind::ServerCollapsed { server } => {
                let description = format!("server {} fell over while it was cold", server.0);
                self.report(at, None, [Finding::new(Rule::NoColdServerCollapses, description)]);
            }
            EventKind::ProxyStarted { proxy } => self.notifications.forget_proxy(proxy),
            EventKind::ProxyStopped { proxy, expected } => self.on_proxy_stopped(at, proxy, expected),
            EventKind::ProxyMisbehaved { proxy, description } => {
                let description = format!("proxy {proxy}: {description}");
                self.report(at, None, [Finding::new(Rule::ProxyKeepsRunning, description)]);
            }
            EventKind::ProxyPaused { proxy } => {
                self.paused.insert(proxy, at);
                self.requests.excuse(proxy);
            }
            EventKind::ProxyResumed { proxy } => {
                if let Some(since) = self.paused.remove(&proxy) {
                    self.notifications.postpone(proxy, since, at);
                }
            }
            EventKind::ServerAccepted { .. }
            | EventKind::ServerStarted { .. }
            | EventKind::ServerEnded { .. }
            | EventKind::ServerCongested { .. }
            | EventKind::LinkFaultChanged { .. } => {}
        }
    }

    fn report(&mut self, at: Time, request: Option<RequestId>, findings: impl IntoIterator<Item = Finding>) {
        for Finding { rule, description } in findings {
            *self.violation_counts.entry(rule).or_default() += 1;
            if self.violations.len() >= MAX_KEPT_VIOLATIONS {
                continue;
            }
            let record = request.and_then(|request| self.requests.get(request));
            let timeline =
                record.map_or(Vec::new(), |record| record.timeline.iter().map(Event::to_string).collect());
            let (request, at_s) = (request.map(|request| request.0), at.as_seconds());
            self.violations.push(Violation { rule, at_s, request, description, timeline });
        }
    }

    fn on_request(&mut self, request: RequestId, event: &Event) {
        let EventKind::RequestReceived { proxy, class, effect, deadline, .. } = event.kind else { return };
        // A suspended proxy owes no response.
        let is_paused = self.paused.contains_key(&proxy);
        let record = RequestRecord {
            proxy,
            effect,
            class,
            deadline,
            attempts: Vec::new(),
            response: None,
            is_settled: is_paused,
            is_excused: is_paused,
            executions: 0,
            timeline: vec![*event],
        };
        self.requests.insert(request, record);
    }

    fn on_attempt_written(&mut self, request: RequestId, event: &Event) {
        let EventKind::AttemptWritten { connection, is_intact, deduplication_group, .. } = event.kind else {
            return;
        };
        let Some(record) = self.requests.get_mut(request) else { return };
        let attempt = WrittenAttempt { at: event.at, is_intact, deduplication_group };
        let findings = self.attempt_limits.check(record, &attempt);
        record.attempts.push(AttemptRecord {
            connection,
            written_at: event.at,
            deduplication_group,
            execution: Execution::InFlight,
        });
        self.report(event.at, Some(request), findings);
    }

    fn on_execution(&mut self, at: Time, request: RequestId) {
        let Some(record) = self.requests.get_mut(request) else { return };
        record.executions += 1;
        if record.executions > 1 && record.effect != RepeatEffect::Safe {
            let description = format!("it has run {} times", record.executions);
            self.report(at, Some(request), [Finding::new(Rule::NoRepeatedExecution, description)]);
        }
    }

    fn on_proxy_stopped(&mut self, at: Time, proxy: usize, expected: bool) {
        self.paused.remove(&proxy);
        self.requests.excuse(proxy);
        if !expected {
            let description = format!("proxy {proxy} ended by itself");
            self.report(at, None, [Finding::new(Rule::ProxyKeepsRunning, description)]);
        }
    }
}
