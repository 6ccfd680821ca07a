//! The rules, and their violations.

use std::fmt;

use serde::Serialize;

/// A rule that every proxy has to keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Rule {
    /// A request that a proxy received has its response by its deadline.
    #[serde(rename = "answered")]
    AnsweredByDeadline,
    /// A request has one response.
    #[serde(rename = "one-answer")]
    SingleResponse,
    /// A response that says that the request was served is one that a server made for it.
    #[serde(rename = "genuine")]
    GenuineResponse,
    /// What must not be executed twice is not sent again once it may have been executed; a request with an idempotency key
    /// only where and while servers drop its repeat.
    #[serde(rename = "never-twice")]
    NoRepeatedExecution,
    /// What may have been executed is never rejected as harmless to try again.
    #[serde(rename = "honest-refusal")]
    RejectedOnlyIfNotExecuted,
    /// No attempt starts at a server past the grace after the proxy was notified that it drains or is gone.
    #[serde(rename = "drains")]
    NothingToDrainingServers,
    /// No cold server collapses.
    #[serde(rename = "cold-servers")]
    NoColdServerCollapses,
    /// Method, target, id and body are forwarded unchanged.
    #[serde(rename = "intact")]
    RequestUnchanged,
    /// There are no more attempts than allowed, and no hedged attempt where none is allowed.
    #[serde(rename = "attempts")]
    AttemptLimit,
    /// Nothing is sent once the request has its response.
    #[serde(rename = "finished")]
    NothingAfterResponse,
    /// The proxy keeps running, and follows signals.
    #[serde(rename = "alive")]
    ProxyKeepsRunning,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Rule::AnsweredByDeadline => "a job taken has its answer by its deadline",
            Rule::SingleResponse => "a job has one answer",
            Rule::GenuineResponse => "an answer that says served was made by a server for this job",
            Rule::NoRepeatedExecution => "what must not run twice is not sent again once it may have run",
            Rule::RejectedOnlyIfNotExecuted => "what may have run is never called harmless to try again",
            Rule::NothingToDrainingServers => "nothing new goes to a server that was told to drain or gone",
            Rule::NoColdServerCollapses => "no cold server is pushed over",
            Rule::RequestUnchanged => "method, target, id and body pass on unchanged",
            Rule::AttemptLimit => "no more attempts or copies than allowed",
            Rule::NothingAfterResponse => "nothing is sent once the job has its answer",
            Rule::ProxyKeepsRunning => "the proxy keeps running, and does as it is told",
        })
    }
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When it was violated, in seconds of the day.
    pub at_s: f64,
    /// The request that it is about.
    #[serde(rename = "job")]
    pub request: Option<u64>,
    /// What happened.
    #[serde(rename = "what")]
    pub description: String,
    /// All events on record of that request, in order.
    pub timeline: Vec<String>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "BROKEN at {:.6} s: {}: {}", self.at_s, self.rule, self.description)?;
        if let Some(request) = self.request {
            write!(f, "\n  job {request}:")?;
        }
        self.timeline.iter().try_for_each(|line| write!(f, "\n  {line}"))
    }
}

/// What a checker has found: a rule that an event violates.
#[derive(Debug)]
pub(super) struct Finding {
    pub(super) rule: Rule,
    pub(super) description: String,
}

impl Finding {
    pub(super) fn new(rule: Rule, description: impl Into<String>) -> Self {
        Self { rule, description: description.into() }
    }
}
