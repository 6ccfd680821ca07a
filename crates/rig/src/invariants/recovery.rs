//! [`Invariant::ReportsFullService`].

use std::collections::{BTreeMap, HashMap};

use mosshead_emulator::proxy_links::{ProcessEvent, ProcessSignal};
use mosshead_world::Time;

use super::{Invariant, InvariantViolation};
use crate::link_record::{LinkEvent, LinkEventKind, LinkRecord};

/// On a day without faults at its end, a proxy is in full service this long after its first list.
const RECOVERY_TIME: Time = Time::from_millis(7000);

/// Checks [`Invariant::ReportsFullService`] by the last report of each proxy.
pub fn check_recovery(record: &LinkRecord) -> Vec<InvariantViolation> {
    let mut first_lists: HashMap<usize, Time> = HashMap::new();
    let mut last_reports: BTreeMap<usize, &LinkEvent> = BTreeMap::new();
    for event in &record.link_events {
        match &event.kind {
            LinkEventKind::Process(
                ProcessEvent::Started | ProcessEvent::Signalled(ProcessSignal::Suspend),
            ) => {
                first_lists.remove(&event.proxy);
                last_reports.remove(&event.proxy);
            }
            LinkEventKind::ListReceived { status: 200, .. } => {
                first_lists.entry(event.proxy).or_insert(event.at);
            }
            LinkEventKind::StageReported { .. } => _ = last_reports.insert(event.proxy, event),
            _ => {}
        }
    }
    let check_report = |(proxy, event): (usize, &LinkEvent)| {
        let first_list = *first_lists.get(&proxy)?;
        let LinkEventKind::StageReported { stage, .. } = &event.kind else { return None };
        if first_list + RECOVERY_TIME > event.at || stage == "full" {
            return None;
        }
        let what = format!("{} after its first list it says {stage}", event.at - first_list);
        Some(InvariantViolation::new(Invariant::ReportsFullService, event, what))
    };
    last_reports.into_iter().filter_map(check_report).collect()
}
