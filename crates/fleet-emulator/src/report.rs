//! What the clients saw, second by second and over all.

use std::fmt;
use std::time::Duration;

/// What a client must never see.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A stream ended as complete without all of its events, each once and in order.
    IncompleteStream {
        /// The attempt of the client.
        attempt: String,
        /// The ids of the events that arrived.
        events: Vec<u64>,
    },
    /// A success without the seal of a server.
    Unsealed {
        /// The attempt of the client.
        attempt: String,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::IncompleteStream { attempt, events } => {
                write!(f, "attempt {attempt} ended as complete with the events {events:?}")
            }
            Violation::Unsealed { attempt } => write!(f, "attempt {attempt} succeeded without a seal"),
        }
    }
}

/// What became of one request.
#[derive(Clone, Debug)]
pub(crate) enum RequestOutcome {
    /// Its stream was complete; its first event came after this time.
    Completed { first_event: Duration },
    /// No attempt succeeded.
    Failed,
}

/// The requests that began in one second.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SecondReport {
    /// All of them.
    pub requests: u64,
    /// Those whose streams were complete.
    pub completed: u64,
    /// Those whose first event came within the target latency.
    pub in_target: u64,
    first_events: Vec<Duration>,
    /// What was done to the fleet in this second.
    pub disturbances: Vec<String>,
}

impl SecondReport {
    /// The median time to the first event; none without a completed request.
    pub fn median_first_event(&self) -> Option<Duration> {
        quantile(&self.first_events, 0.5)
    }
}

/// What the clients saw.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetReport {
    /// By the second in which requests began.
    pub seconds: Vec<SecondReport>,
    /// Attempts beyond the first one of each request.
    pub retries: u64,
    /// What must never happen.
    pub violations: Vec<Violation>,
    /// Whether it was ended before its time.
    pub is_interrupted: bool,
}

impl FleetReport {
    /// All requests.
    pub fn requests(&self) -> u64 {
        self.seconds.iter().map(|second| second.requests).sum()
    }

    /// The requests whose streams were complete.
    pub fn completed(&self) -> u64 {
        self.seconds.iter().map(|second| second.completed).sum()
    }

    /// The requests whose first event came within the target latency.
    pub fn in_target(&self) -> u64 {
        self.seconds.iter().map(|second| second.in_target).sum()
    }

    /// The time to the first event that this share of the completed requests did not exceed.
    pub fn first_event_quantile(&self, share: f64) -> Option<Duration> {
        let all: Vec<Duration> = self.seconds.iter().flat_map(|second| second.first_events.clone()).collect();
        quantile(&all, share)
    }

    /// Whether no rule was broken, and requests were served.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty() && self.completed() > 0
    }

    pub(crate) fn second(&mut self, second: usize) -> &mut SecondReport {
        if self.seconds.len() <= second {
            self.seconds.resize_with(second + 1, SecondReport::default);
        }
        &mut self.seconds[second]
    }

    pub(crate) fn record(&mut self, second: usize, target: Duration, outcome: &RequestOutcome) {
        let report = self.second(second);
        report.requests += 1;
        if let RequestOutcome::Completed { first_event } = outcome {
            report.completed += 1;
            report.in_target += u64::from(*first_event <= target);
            report.first_events.push(*first_event);
        }
    }
}

fn quantile(times: &[Duration], share: f64) -> Option<Duration> {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    let index = (share * sorted.len() as f64) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied()
}
