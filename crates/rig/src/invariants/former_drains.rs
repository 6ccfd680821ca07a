//! [`Invariant::HonorsFormerDrains`].

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use mosshead_emulator::proxy_links::ProcessEvent;
use mosshead_world::Time;
use mosshead_world::scenario::StoredStateCondition;

use super::known_servers::KnownServers;
use super::{Invariant, InvariantViolation};
use crate::link_record::{LinkEvent, LinkEventKind, LinkRecord};

/// What is received has been written to the state folder after this, also on a machine that plays other days at the same time.
const WRITE_TIME: Time = Time::from_millis(500);

/// What a former incarnation knew of a server.
struct FormerServer {
    address: SocketAddr,
    is_serving: bool,
}

/// One incarnation of a proxy.
#[derive(Default)]
struct Incarnation {
    /// What it has received itself.
    servers: KnownServers,
    /// Whether the state folder takes what this incarnation receives.
    folder_is_writable: bool,
    /// By id, what the incarnations before knew; nothing once this one has received a list itself.
    former: BTreeMap<String, FormerServer>,
    /// The condition in which the next incarnation finds the folder; `None` where there is no folder.
    next_condition: Option<StoredStateCondition>,
}

impl Incarnation {
    /// The incarnation that follows this one.
    fn succeeded_at(self, at: Time) -> Self {
        let Self { servers, folder_is_writable, mut former, next_condition } = self;
        // What may not have been written is taken as serving: that excuses what is sent there.
        former.extend(servers.into_entries().map(|(id, known)| {
            let is_serving = known.is_serving || !folder_is_writable || known.since + WRITE_TIME > at;
            (id, FormerServer { address: known.address, is_serving })
        }));
        let (is_complete, folder_is_writable) = match next_condition {
            Some(StoredStateCondition::Kept) => (true, true),
            Some(StoredStateCondition::DiskFull | StoredStateCondition::Unwritable) => (true, false),
            _ => (false, true),
        };
        let former = if is_complete { former } else { BTreeMap::new() };
        Self { folder_is_writable, former, ..Self::default() }
    }

    /// What was received in the last instants before the end may not have been written.
    fn excuse_last_instants(&mut self, ended_at: Time) {
        for known in self.servers.servers_mut() {
            if known.since + WRITE_TIME > ended_at {
                known.is_serving = true;
            }
        }
    }

    fn check_attempt(&self, event: &LinkEvent, id: &str) -> Option<InvariantViolation> {
        let address = event.endpoint?.address;
        let there = || self.former.iter().filter(|(_, former)| former.address == address);
        let (server, _) = there().next()?;
        if there().any(|(_, former)| former.is_serving) {
            return None;
        }
        let what = format!("{id} to {server}");
        Some(InvariantViolation::new(Invariant::HonorsFormerDrains, event, what))
    }
}

/// Checks [`Invariant::HonorsFormerDrains`]. What was received shortly before an end need not have been written. A proxy that
/// finds an older folder, or whose folder takes nothing more, knows less: the invariant does not bind it.
pub fn check_former_drains(record: &LinkRecord) -> Vec<InvariantViolation> {
    let mut incarnations: HashMap<usize, Incarnation> = HashMap::new();
    let mut violations = Vec::new();
    for event in &record.link_events {
        let incarnation = incarnations.entry(event.proxy).or_default();
        match &event.kind {
            LinkEventKind::Process(ProcessEvent::StateFolderPrepared(condition)) => {
                incarnation.next_condition = Some(*condition);
            }
            LinkEventKind::Process(ProcessEvent::Started) => {
                *incarnation = std::mem::take(incarnation).succeeded_at(event.at);
            }
            LinkEventKind::Process(ProcessEvent::Ended) => incarnation.excuse_last_instants(event.at),
            LinkEventKind::ListReceived { status: 200, is_full, entries, .. } => {
                incarnation.former.clear();
                incarnation.servers.apply_list(event.at, *is_full, entries);
            }
            LinkEventKind::AttemptSent { id, .. } => violations.extend(incarnation.check_attempt(event, id)),
            _ => {}
        }
    }
    violations
}
