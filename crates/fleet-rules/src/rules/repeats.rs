//! TWICE and REFUSED: what requests that may run once do at servers.

use super::{Case, Findings};
use crate::history::{Request, RequestEnd};
use crate::violation::{Details, Rule};

/// The statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

pub(super) fn check(case: &Case<'_>, findings: &mut Findings) {
    for request in case.history.requests.iter().filter(|request| !request.kind.is_repeatable()) {
        check_runs(case, request, findings);
        check_promise(case, request, findings);
    }
}

fn check_runs(case: &Case<'_>, request: &Request, findings: &mut Findings) {
    findings.judge(Rule::Twice);
    let runs: Vec<_> = case.executed_runs_of(&request.attempt).collect();
    if let [_, second, ..] = runs.as_slice() {
        let instances = runs.iter().map(|run| run.instance.clone()).collect();
        let attempt = request.attempt.clone();
        findings.report(Rule::Twice, second.arrived_at, Details::RanTwice { attempt, instances });
    }
}

fn check_promise(case: &Case<'_>, request: &Request, findings: &mut Findings) {
    let Some(head) = request.head.as_ref().filter(|head| PROMISES.contains(&head.status)) else { return };
    if request.end != RequestEnd::Complete {
        return;
    }
    findings.judge(Rule::Refused);
    if case.executed_runs_of(&request.attempt).next().is_some() {
        let details = Details::RanThoughRefused { attempt: request.attempt.clone(), status: head.status };
        findings.report(Rule::Refused, request.ended_at, details);
    }
}
