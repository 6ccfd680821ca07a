//! [`Invariant::ReportedStageHasList`].

use std::collections::HashSet;

use mosshead_emulator::proxy_links::ProcessEvent;

use super::{Invariant, InvariantViolation};
use crate::link_record::{LinkEventKind, LinkRecord};

/// Checks [`Invariant::ReportedStageHasList`].
pub fn check_reported_stage(record: &LinkRecord) -> Vec<InvariantViolation> {
    let mut proxies_with_list: HashSet<usize> = HashSet::new();
    let mut violations = Vec::new();
    for event in &record.link_events {
        match &event.kind {
            LinkEventKind::Process(ProcessEvent::Started) => _ = proxies_with_list.remove(&event.proxy),
            LinkEventKind::ListReceived { status: 200, .. } => _ = proxies_with_list.insert(event.proxy),
            LinkEventKind::StageReported { status: 200, stage }
                if matches!(stage.as_str(), "warming" | "full")
                    && !proxies_with_list.contains(&event.proxy) =>
            {
                let what = format!("it says {stage}");
                violations.push(InvariantViolation::new(Invariant::ReportedStageHasList, event, what));
            }
            _ => {}
        }
    }
    violations
}
