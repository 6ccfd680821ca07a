//! [`Invariant::ListVersionNeverDecreases`].

use std::collections::HashMap;

use mosshead_emulator::proxy_links::ProcessEvent;
use mosshead_world::Time;

use super::suspensions::Suspensions;
use super::{Invariant, InvariantViolation};
use crate::link_record::{LinkEventKind, LinkRecord};

/// What reached a process so shortly before it was suspended it may not have read.
const UNREAD_BEFORE_SUSPENSION: Time = Time::from_millis(50);

/// Checks [`Invariant::ListVersionNeverDecreases`] by the lists that discovery has sent within an incarnation. The version of
/// a saved list does not count, and a call without a version asks for the full list.
pub fn check_list_version(record: &LinkRecord) -> Vec<InvariantViolation> {
    let suspensions = Suspensions::of(record);
    let mut received_versions: HashMap<usize, u64> = HashMap::new();
    let mut violations = Vec::new();
    for event in &record.link_events {
        match event.kind {
            LinkEventKind::Process(ProcessEvent::Started) => _ = received_versions.remove(&event.proxy),
            // What reached the machine of a process that was suspended, the process need not have read.
            LinkEventKind::ListReceived { status: 200, version, .. }
                if !suspensions.cover(event.proxy, event.at, UNREAD_BEFORE_SUSPENSION) =>
            {
                let received = received_versions.entry(event.proxy).or_default();
                *received = version.max(*received);
            }
            LinkEventKind::ListRequested { from: Some(from) } => {
                if let Some(received) =
                    received_versions.get(&event.proxy).filter(|received| **received > from)
                {
                    let what = format!("it goes on from version {from}, and was told {received}");
                    let invariant = Invariant::ListVersionNeverDecreases;
                    violations.push(InvariantViolation::new(invariant, event, what));
                }
            }
            _ => {}
        }
    }
    violations
}
