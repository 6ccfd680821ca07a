//! The checks of a history, a module for each rule.

mod config;
mod drain;
mod lost;
mod mixed;
mod one;
mod order;
mod process_ends;
mod repeats;

use std::collections::BTreeMap;

use mosshead_time::Instant;

use crate::contact::Contact;
use crate::history::{AttemptId, History, Request, Run};
use crate::violation::{Details, Rule, Violation};

/// How many facts were judged by each rule: a rule that judged nothing has not held, it was not tried.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Judged {
    counts: BTreeMap<Rule, usize>,
}

impl Judged {
    /// The number of facts that a rule judged.
    pub fn count(&self, rule: Rule) -> usize {
        self.counts.get(&rule).copied().unwrap_or(0)
    }

    fn add(&mut self, rule: Rule) {
        *self.counts.entry(rule).or_default() += 1;
    }
}

/// The result of all checks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// What broke a rule, in the order of time.
    pub violations: Vec<Violation>,
    /// How much was judged.
    pub judged: Judged,
}

impl Findings {
    fn judge(&mut self, rule: Rule) {
        self.judged.add(rule);
    }

    fn report(&mut self, rule: Rule, at: Instant, details: Details) {
        self.violations.push(Violation { rule, at, details });
    }
}

/// A history, sorted for the checks.
struct Case<'a> {
    history: &'a History,
    contact: Contact<'a>,
    runs: BTreeMap<&'a AttemptId, Vec<&'a Run>>,
    requests: BTreeMap<&'a AttemptId, &'a Request>,
}

impl<'a> Case<'a> {
    fn new(history: &'a History) -> Case<'a> {
        let mut runs: BTreeMap<&AttemptId, Vec<&Run>> = BTreeMap::new();
        for run in &history.runs {
            runs.entry(&run.attempt).or_default().push(run);
        }
        let requests = history.requests.iter().map(|request| (&request.attempt, request)).collect();
        Case { history, contact: Contact::new(history), runs, requests }
    }

    /// The arrivals of an attempt at servers.
    fn runs_of(&self, attempt: &AttemptId) -> &[&'a Run] {
        self.runs.get(attempt).map_or(&[], Vec::as_slice)
    }

    /// The runs of an attempt, without rejections and prefills.
    fn executed_runs_of(&self, attempt: &AttemptId) -> impl Iterator<Item = &'a Run> {
        self.runs_of(attempt).iter().copied().filter(|run| run.is_executed())
    }
}

/// Checks a history against all rules.
pub fn check(history: &History) -> Findings {
    let case = Case::new(history);
    let mut findings = Findings::default();
    lost::check(&case, &mut findings);
    repeats::check(&case, &mut findings);
    mixed::check(&case, &mut findings);
    order::check(&case, &mut findings);
    drain::check(&case, &mut findings);
    config::check(&case, &mut findings);
    one::check(&case, &mut findings);
    process_ends::check(&case, &mut findings);
    findings.violations.sort_by_key(|violation| violation.at);
    findings
}
