//! [`Invariant::HonorsDrains`].

use std::collections::HashMap;

use mosshead_emulator::proxy_links::ProcessEvent;
use mosshead_world::Time;

use super::known_servers::KnownServers;
use super::suspensions::Suspensions;
use super::{Invariant, InvariantViolation};
use crate::link_record::{LinkEvent, LinkEventKind, LinkRecord};

/// What one incarnation of a proxy has received.
#[derive(Default)]
struct ReceivedLists {
    servers: KnownServers,
    /// The version of the last list; `None` before the first.
    version: Option<u64>,
}

/// Checks [`Invariant::HonorsDrains`]. What reached a proxy while it was suspended counts from its resumption; a list that is
/// older than one before says nothing.
pub fn check_drains(record: &LinkRecord, grace: Time) -> Vec<InvariantViolation> {
    let suspensions = Suspensions::of(record);
    let mut lists_by_proxy: HashMap<usize, ReceivedLists> = HashMap::new();
    let mut violations = Vec::new();
    for event in &record.link_events {
        let lists = lists_by_proxy.entry(event.proxy).or_default();
        match &event.kind {
            LinkEventKind::Process(ProcessEvent::Started) => *lists = ReceivedLists::default(),
            LinkEventKind::ListReceived { status: 200, version, is_full, entries }
                if lists.version.is_none_or(|former| former <= *version) =>
            {
                lists.version = Some(*version);
                lists.servers.apply_list(event.at, *is_full, entries);
            }
            LinkEventKind::AttemptSent { id, started_at, .. } => {
                let violation = check_attempt(event, id, *started_at, lists, &suspensions, grace);
                violations.extend(violation);
            }
            _ => {}
        }
    }
    violations
}

fn check_attempt(
    event: &LinkEvent,
    id: &str,
    started_at: Time,
    lists: &ReceivedLists,
    suspensions: &Suspensions,
    grace: Time,
) -> Option<InvariantViolation> {
    let there = lists.servers.at_address(event.endpoint?.address);
    if there.clone().any(|(_, known)| known.is_serving) {
        return None;
    }
    // Of servers that had the address one after the other, the last one counts.
    let (server, known) = there.max_by_key(|(_, known)| known.since)?;
    let since = suspensions.readable_at(event.proxy, known.since);
    (started_at > since + grace).then(|| {
        let what = format!("{id} to {server}, read {} before its first byte", started_at - since);
        InvariantViolation::new(Invariant::HonorsDrains, event, what)
    })
}
