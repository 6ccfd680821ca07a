//! What the members of a simulated cluster believe.

use std::collections::BTreeMap;

use mosshead_membership::{Event, MemberState, Peer};
use mosshead_time::Duration;

use super::{Cluster, Process, millis};

/// How often it is checked whether all agree.
const CHECK_INTERVAL: Duration = millis(50);

impl Cluster {
    /// Runs until all agree on who is live, and how long that took; `None` if it takes longer than `max`.
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

    /// The processes that run.
    pub(crate) fn running(&self) -> impl Iterator<Item = &Process> {
        self.processes.iter().filter(|process| process.membership.is_some())
    }

    /// Whether all that run believe in exactly those that run, and suspect none.
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

    /// How many of those that run, without the member itself, believe that it is live.
    pub(crate) fn believers(&self, index: usize) -> usize {
        let member = &self.processes[index].peer;
        let believes = |other: &&Process| other.view.live_members().any(|(peer, _)| peer == member);
        self.running().filter(|other| other.peer.name != member.name).filter(believes).count()
    }

    /// How many of those that run have had an event.
    pub(crate) fn observers(&self, event: &Event) -> usize {
        let has_observed = |process: &&Process| process.events.iter().any(|(_, known)| known == event);
        self.running().filter(has_observed).count()
    }

    /// Checks that each view equals the members that it was built from, and that the counts agree with it.
    pub(crate) fn assert_views_match_members(&self) {
        for process in self.running() {
            let membership = process.membership.as_ref().expect("the process runs");
            let live: BTreeMap<String, (Peer, MemberState)> = membership
                .members()
                .filter(|(_, state)| state.is_live())
                .map(|(peer, state)| (peer.name.clone(), (peer.clone(), state)))
                .collect();
            let viewed: BTreeMap<String, (Peer, MemberState)> = process
                .view
                .live_members()
                .map(|(peer, state)| (peer.name.clone(), (peer.clone(), state)))
                .collect();
            assert_eq!(viewed, live, "the view of {}", process.peer.name);
            let count = |is_control_node| {
                live.values().filter(|(peer, _)| peer.is_control_node == is_control_node).count()
            };
            let counts = (membership.live_control_nodes(), membership.live_proxies());
            assert_eq!(counts, (count(true), count(false)));
        }
    }
}
