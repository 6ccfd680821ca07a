//! MIXED: each answer is the one that a server made for this very request.

use super::{Case, Findings};
use crate::history::{InstanceId, Request, RequestEnd, RequestKind, ResponseHead, Run, RunOutcome};
use crate::violation::{Details, Rule};

pub(super) fn check(case: &Case<'_>, findings: &mut Findings) {
    for request in &case.history.requests {
        let Some(head) = &request.head else { continue };
        if request.end != RequestEnd::Complete {
            continue;
        }
        findings.judge(Rule::Mixed);
        if let Some(details) = mismatch(case, request, head) {
            findings.report(Rule::Mixed, request.ended_at, details);
        }
    }
}

fn mismatch(case: &Case<'_>, request: &Request, head: &ResponseHead) -> Option<Details> {
    let attempt = request.attempt.clone();
    if head.attempt.as_ref().is_some_and(|found| *found != attempt) {
        return Some(Details::ForeignAnswer { attempt });
    }
    let Some(seal) = &head.seal else {
        return head.is_success().then_some(Details::NotSealed { attempt });
    };
    let Some(run) = executed_run_at(case, request, seal) else {
        return Some(Details::NotSealed { attempt });
    };
    let RunOutcome::Executed { status, body, .. } = run.outcome else { return None };
    // The events of a stream are judged by ORDER.
    let is_stream = matches!(request.kind, RequestKind::Stream { .. });
    let is_body_changed = !is_stream && body != request.body;
    (status != head.status || is_body_changed).then_some(Details::ChangedAnswer { attempt })
}

fn executed_run_at<'a>(case: &Case<'a>, request: &Request, instance: &InstanceId) -> Option<&'a Run> {
    case.executed_runs_of(&request.attempt).find(|run| run.instance == *instance)
}
