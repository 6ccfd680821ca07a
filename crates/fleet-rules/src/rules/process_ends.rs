//! Faults: processes that end by themselves, and a fleet that does not serve once it is left alone.

use mosshead_time::Instant;

use super::{Case, Findings};
use crate::history::{ProcessEventKind, Request, RequestEnd, RequestKind};
use crate::violation::{Details, Rule};

/// In the final calm at least one of so many requests has to be served.
const SERVED_DIVISOR: usize = 4;

pub(super) fn check(case: &Case<'_>, findings: &mut Findings) {
    for event in &case.history.process_events {
        if event.kind == ProcessEventKind::Started {
            findings.judge(Rule::Fault);
        } else if event.kind == ProcessEventKind::EndedByItself {
            findings.report(Rule::Fault, event.at, Details::EndedByItself { machine: event.machine });
        }
    }
    if let Some(from) = case.history.final_calm_at {
        check_final_calm(case, from, findings);
    }
}

fn check_final_calm(case: &Case<'_>, from: Instant, findings: &mut Findings) {
    let requests: Vec<&Request> = case
        .history
        .requests
        .iter()
        .filter(|request| request.sent_at >= from && !is_probe(request))
        .collect();
    let is_served = |request: &&&Request| {
        request.end == RequestEnd::Complete && request.head.as_ref().is_some_and(|head| head.is_success())
    };
    let served = requests.iter().filter(is_served).count();
    if served * SERVED_DIVISOR < requests.len() || requests.is_empty() {
        findings.report(Rule::Fault, from, Details::NotServed { requests: requests.len(), served });
    }
}

/// Probes of former revisions are not served.
fn is_probe(request: &Request) -> bool {
    matches!(request.kind, RequestKind::Probe { .. })
}
