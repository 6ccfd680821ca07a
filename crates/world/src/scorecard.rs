//! What came of a day: each client's operation ends in exactly one way and counts once, however many requests it led to.

use serde::Serialize;

use crate::Time;
use crate::scenario::Scenario;

/// How a client's operation ended, over all requests that it led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served within the latency target.
    InTime,
    /// Served after it.
    Late,
    /// Rejected, and not tried again.
    Rejected,
    /// Failed.
    Failed,
    /// There was no response before the client left.
    Unanswered,
    /// No proxy could be reached.
    Unreachable,
}

impl RequestOutcome {
    /// Its name in the tables of a day.
    pub fn label(self) -> &'static str {
        match self {
            RequestOutcome::InTime => "intime",
            RequestOutcome::Late => "late",
            RequestOutcome::Rejected => "refused",
            RequestOutcome::Failed => "failed",
            RequestOutcome::Unanswered => "unanswered",
            RequestOutcome::Unreachable => "unreachable",
        }
    }
}

/// All outcomes, in the order of [`OutcomeCounts::by_outcome`].
pub const REQUEST_OUTCOMES: [RequestOutcome; 6] = [
    RequestOutcome::InTime,
    RequestOutcome::Late,
    RequestOutcome::Rejected,
    RequestOutcome::Failed,
    RequestOutcome::Unanswered,
    RequestOutcome::Unreachable,
];

/// The length of the spans in [`Scorecard::by_quarter_second`].
pub const QUARTER_SECOND: Time = Time::from_millis(250);
const TENTH_OF_SECOND: Time = Time::from_millis(100);
const SECOND: Time = Time::from_millis(1000);

/// Operations and their value, by outcome.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct OutcomeCounts {
    /// How many operations there were.
    #[serde(rename = "asked")]
    pub operations: u64,
    /// Their value.
    #[serde(rename = "worth")]
    pub value: f64,
    /// The value of those that were served in time.
    #[serde(rename = "earned")]
    pub earned_value: f64,
    /// How many ended in each way, in the order of [`REQUEST_OUTCOMES`].
    #[serde(rename = "ended")]
    pub by_outcome: [u64; 6],
}

impl OutcomeCounts {
    fn record_operation(&mut self, value: f64) {
        self.operations += 1;
        self.value += value;
    }

    fn record_outcome(&mut self, outcome: RequestOutcome, value: f64) {
        self.by_outcome[outcome as usize] += 1;
        if outcome == RequestOutcome::InTime {
            self.earned_value += value;
        }
    }

    /// How many operations ended so.
    pub fn count(&self, outcome: RequestOutcome) -> u64 {
        self.by_outcome[outcome as usize]
    }

    /// The share of the value that was earned; 1 where there was nothing to earn.
    pub fn earned_share(&self) -> f64 {
        if self.value > 0.0 { self.earned_value / self.value } else { 1.0 }
    }

    /// Operations that have not ended.
    pub fn open_operations(&self) -> u64 {
        self.operations - self.by_outcome.iter().sum::<u64>()
    }
}

/// The value of the operations of a span.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpanValue {
    /// The value of all that began in it.
    pub value: f64,
    /// The value of those of them that were served in time.
    pub earned_value: f64,
}

/// What proxies began within a tenth of a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenthOfSecond {
    /// Calls to discovery.
    pub discovery_calls: u64,
    /// New connections to servers.
    pub connections_opened: u64,
}

/// The class, tenant and value of an operation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OperationKind {
    pub(crate) class: usize,
    pub(crate) tenant: Option<usize>,
    pub(crate) value: f64,
}

/// What came of a day, and what it cost.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Scorecard {
    /// All operations.
    #[serde(rename = "all")]
    pub total: OutcomeCounts,
    /// By class.
    #[serde(rename = "classes")]
    pub by_class: Vec<OutcomeCounts>,
    /// By tenant.
    #[serde(rename = "tenants")]
    pub by_tenant: Vec<OutcomeCounts>,
    /// By the second in which the operation began.
    #[serde(rename = "seconds")]
    pub by_second: Vec<OutcomeCounts>,
    /// By the quarter of a second in which the operation began.
    #[serde(skip)]
    pub by_quarter_second: Vec<SpanValue>,
    /// Calls and connections by the tenth of a second.
    #[serde(skip)]
    pub by_tenth_of_second: Vec<TenthOfSecond>,
    /// Requests that clients sent to proxies.
    #[serde(rename = "tries")]
    pub requests: u64,
    /// Attempts that left a proxy completely.
    pub attempts: u64,
    /// New connections to servers.
    #[serde(rename = "opened")]
    pub connections_opened: u64,
    /// Probes of servers.
    pub probes: u64,
    /// Calls to discovery.
    #[serde(rename = "asked_discovery")]
    pub discovery_calls: u64,
    /// How often a server became congested.
    #[serde(rename = "jams")]
    pub congestions: u64,
    /// Cold servers that collapsed.
    #[serde(rename = "fell")]
    pub collapses: u64,
    /// Work that servers accepted, in seconds on a standard core.
    pub work: f64,
    /// The part of `work` that served nobody.
    #[serde(rename = "wasted")]
    pub wasted_work: f64,
}

/// The element of a list that grows with the day.
fn element_at<T: Clone + Default>(list: &mut Vec<T>, index: usize) -> &mut T {
    if list.len() <= index {
        list.resize(index + 1, T::default());
    }
    &mut list[index]
}

fn span_index(at: Time, span: Time) -> usize {
    (at.0 / span.0) as usize
}

impl Scorecard {
    pub(crate) fn new(scenario: &Scenario) -> Self {
        Self {
            by_class: vec![OutcomeCounts::default(); scenario.classes.len()],
            by_tenant: vec![OutcomeCounts::default(); scenario.tenants.len()],
            ..Self::default()
        }
    }

    /// Updates all counts that an operation belongs to which began at `began_at`.
    fn update_counts(
        &mut self,
        began_at: Time,
        operation: OperationKind,
        update: impl Fn(&mut OutcomeCounts),
    ) {
        update(&mut self.total);
        update(&mut self.by_class[operation.class]);
        update(element_at(&mut self.by_second, span_index(began_at, SECOND)));
        if let Some(tenant) = operation.tenant {
            update(&mut self.by_tenant[tenant]);
        }
    }

    fn quarter_second(&mut self, at: Time) -> &mut SpanValue {
        element_at(&mut self.by_quarter_second, span_index(at, QUARTER_SECOND))
    }

    fn tenth_of_second(&mut self, at: Time) -> &mut TenthOfSecond {
        element_at(&mut self.by_tenth_of_second, span_index(at, TENTH_OF_SECOND))
    }

    /// An operation begins.
    pub(crate) fn record_operation(&mut self, began_at: Time, operation: OperationKind) {
        self.update_counts(began_at, operation, |counts| counts.record_operation(operation.value));
        self.quarter_second(began_at).value += operation.value;
    }

    /// An operation ends that began at `began_at`.
    pub(crate) fn record_outcome(
        &mut self,
        began_at: Time,
        operation: OperationKind,
        outcome: RequestOutcome,
    ) {
        self.update_counts(began_at, operation, |counts| counts.record_outcome(outcome, operation.value));
        let earned_value = if outcome == RequestOutcome::InTime { operation.value } else { 0.0 };
        self.quarter_second(began_at).earned_value += earned_value;
    }

    /// A proxy calls discovery.
    pub(crate) fn record_discovery_call(&mut self, at: Time) {
        self.discovery_calls += 1;
        self.tenth_of_second(at).discovery_calls += 1;
    }

    /// A proxy opens a connection to a server.
    pub(crate) fn record_connection(&mut self, at: Time) {
        self.connections_opened += 1;
        self.tenth_of_second(at).connections_opened += 1;
    }

    /// The score of the day, from 0 to 1, from shares of earned value: 45 % all operations, 5 % the worst ten seconds, 20 %
    /// the worst class, 30 % the worst tenant.
    pub fn score(&self) -> f64 {
        let worst_share = |counts: &[OutcomeCounts]| {
            let shares = counts.iter().filter(|counts| counts.value > 0.0).map(OutcomeCounts::earned_share);
            shares.fold(f64::INFINITY, f64::min).min(1.0)
        };
        let ten_seconds: Vec<OutcomeCounts> = self
            .by_second
            .chunks(10)
            .filter(|seconds| seconds.len() == 10)
            .map(|seconds| OutcomeCounts {
                value: seconds.iter().map(|second| second.value).sum(),
                earned_value: seconds.iter().map(|second| second.earned_value).sum(),
                ..OutcomeCounts::default()
            })
            .collect();
        let total = self.total.earned_share();
        let tenant = if self.by_tenant.is_empty() { total } else { worst_share(&self.by_tenant) };
        0.45 * total + 0.05 * worst_share(&ten_seconds) + 0.2 * worst_share(&self.by_class) + 0.3 * tenant
    }
}
