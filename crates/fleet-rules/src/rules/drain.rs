//! DRAIN: once a machine in touch has acknowledged that a server leaves, requests no longer reach that server.

use std::collections::BTreeMap;

use super::{Case, Findings};
use crate::history::{InstanceId, MachineId, Run, RunOutcome};
use crate::violation::{Details, Rule};
use mosshead_time::Instant;

/// The status by which a server says that it is another instance.
const WRONG_INSTANCE: u16 = 421;

pub(super) fn check(case: &Case<'_>, findings: &mut Findings) {
    let acknowledged = first_acknowledgements(case, findings);
    for run in &case.history.runs {
        let Some(acknowledged_at) = acknowledged.get(&run.instance) else { continue };
        let is_late = run.arrived_at > *acknowledged_at + case.history.bounds.drain;
        if is_late && counts(run) && is_sent_by_machine_in_touch(case, run) {
            let details = Details::ReachedDrained {
                attempt: run.attempt.clone(),
                instance: run.instance.clone(),
                late_millis: (run.arrived_at - *acknowledged_at).as_millis() as u64,
            };
            findings.report(Rule::Drain, run.arrived_at, details);
        }
    }
}

/// The first acknowledgement of each leaving server that a control node in touch gave.
fn first_acknowledgements<'a>(case: &Case<'a>, findings: &mut Findings) -> BTreeMap<&'a InstanceId, Instant> {
    let mut first = BTreeMap::new();
    for drain in &case.history.drains {
        let acknowledgement = drain.acknowledgement;
        let control_node = MachineId::control_node(acknowledgement.control_node);
        if case.contact.is_in_touch(control_node, acknowledgement.at) {
            findings.judge(Rule::Drain);
            let at = first.entry(&drain.instance).or_insert(acknowledgement.at);
            *at = acknowledgement.at.min(*at);
        }
    }
    first
}

fn counts(run: &Run) -> bool {
    !matches!(run.outcome, RunOutcome::Rejected { status: WRONG_INSTANCE })
}

fn is_sent_by_machine_in_touch(case: &Case<'_>, run: &Run) -> bool {
    let request = case.requests.get(&run.attempt);
    request.is_some_and(|request| case.contact.is_in_touch(MachineId::proxy(request.proxy), run.arrived_at))
}
