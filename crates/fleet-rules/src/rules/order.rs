//! ORDER: the events of a stream come once each and in order, up to the last one if the stream looks complete.

use super::{Case, Findings};
use crate::history::{Request, RequestEnd, RequestKind};
use crate::violation::{Details, Rule};

pub(super) fn check(case: &Case<'_>, findings: &mut Findings) {
    for request in &case.history.requests {
        let RequestKind::Stream { is_resumable, events } = request.kind else { continue };
        if !request.head.as_ref().is_some_and(|head| head.is_success()) {
            continue;
        }
        findings.judge(Rule::Order);
        let attempt = request.attempt.clone();
        if !has_right_ids(request, events) {
            let ids = request.events.iter().map(|event| event.id).collect();
            findings.report(Rule::Order, request.ended_at, Details::WrongEvents { attempt, ids });
        } else if !is_resumable && has_several_runs(request) {
            findings.report(Rule::Order, request.ended_at, Details::JoinedRuns { attempt });
        }
    }
}

fn has_right_ids(request: &Request, events: u64) -> bool {
    let received = request.events.len() as u64;
    let are_in_order = request.events.iter().map(|event| event.id).eq(1..=received);
    let is_long_enough = request.end != RequestEnd::Complete || received == events;
    are_in_order && is_long_enough
}

fn has_several_runs(request: &Request) -> bool {
    request.events.windows(2).any(|pair| pair[0].instance != pair[1].instance)
}
