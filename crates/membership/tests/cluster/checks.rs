//! Checks of the views of the members of a simulated cluster.

use std::collections::BTreeMap;

use mosshead_membership::{Event, MemberState, Peer};
use mosshead_time::Duration;

use super::{Cluster, Process, millis};

/// The interval of the checks for agreement.
const CHECK_INTERVAL: Duration = millis(50);

impl Cluster {
    /// Runs until all members agree on the live members. Returns the elapsed time, or `None` if it exceeds `max`.
    pub(crate) fn run_until_agreed(&mut self, max: Duration) -> Option<Duration> {
        let start = self.now;
        while !self.is_agreed() {
            if self.now - start >= max {
                return None;
            }
            self.run(CHECK_INTERVAL);
        }
        Some(self.now - start)
    }

    /// The running processes.
    pub(crate) fn running(&self) -> impl Iterator<Item = &Process> {
        self.processes.iter().filter(|process| process.membership.is_some())
    }

    /// True if the view of each running process contains exactly the running processes, and suspects none.
    pub(crate) fn is_agreed(&self) -> bool {
        let mut live: Vec<(&str, u64)> =
            self.running().map(|process| (process.peer.name.as_str(), process.peer.instance_id)).collect();
        live.sort_unstable();
        self.running().all(|process| process.view.live_members().count() == live.len())
            && self.running().all(|process| {
                let known = process.view.live_members().zip(&live);
                known.into_iter().all(|((peer, state), (name, instance_id))| {
                    state == MemberState::Alive && peer.name == *name && peer.instance_id == *instance_id
                })
            })
    }

    /// The number of other running processes whose view contains the member as live.
    pub(crate) fn views_with_member(&self, index: usize) -> usize {
        let member = &self.processes[index].peer;
        let has_member = |other: &&Process| other.view.live_members().any(|(peer, _)| peer == member);
        self.running().filter(|other| other.peer.name != member.name).filter(has_member).count()
    }

    /// The number of running processes that have reported an event.
    pub(crate) fn processes_with_event(&self, event: &Event) -> usize {
        let has_observed = |process: &&Process| process.events.iter().any(|(_, known)| known == event);
        self.running().filter(has_observed).count()
    }

    /// Checks that each view equals the live members of its membership, and that the counts match.
    pub(crate) fn assert_views_match_members(&self) {
        for process in self.running() {
            let membership = process.membership.as_ref().expect("the process runs");
            let live: BTreeMap<String, (Peer, MemberState)> = membership
                .members()
                .filter(|(_, state)| state.is_live())
                .map(|(peer, state)| (peer.name.clone(), (peer.clone(), state)))
                .collect();
            let in_view: BTreeMap<String, (Peer, MemberState)> = process
                .view
                .live_members()
                .map(|(peer, state)| (peer.name.clone(), (peer.clone(), state)))
                .collect();
            assert_eq!(in_view, live, "the view of {}", process.peer.name);
            let count = |is_control_node| {
                live.values().filter(|(peer, _)| peer.is_control_node == is_control_node).count()
            };
            let counts = (membership.live_control_node_count(), membership.live_proxy_count());
            assert_eq!(counts, (count(true), count(false)));
        }
    }
}
