//! What the world checks at every step, whatever happens in it.

use std::collections::VecDeque;

use mosshead_consensus::{EpochConfig, Input, Member, MemberId, Message, Node, Output, StateVersion, Term};
use mosshead_time::{Instant, whole_millis};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::{CALLER_TIMEOUT, World, address};
use crate::checker::SentRequest;

impl World {
    /// An ask is answered while its caller still listens.
    pub(super) fn check_overdue_replies(&mut self, machine: usize) {
        let incarnation = (machine, self.machines[machine].incarnation);
        let limit = CALLER_TIMEOUT;
        let (now, thawed) = (self.now, self.machines[machine].thawed);
        let is_late = |a: &SentRequest| a.incarnation == incarnation && now > a.at.max(thawed) + limit;
        let late = self.checker.open().find(|(_, a)| is_late(a)).map(|(id, a)| (*id, a.clone()));
        if let Some((id, request_id)) = late {
            self.checker.report_violation("one answer", format!("ask {id} is open since {}", request_id.at));
        }
    }

    /// Whoever says that it is in touch shows no state older than the documented bound.
    pub(super) fn check_staleness(&mut self) {
        for machine in 0..self.machines.len() {
            let m = &self.machines[machine];
            let Some(node) = m.node.as_ref().filter(|_| !m.frozen) else { continue };
            if !node.has_quorum_contact(self.clock(machine)) {
                continue;
            }
            let shown = node.committed_state().map_or(0, |s| s.revision);
            let (incarnation, bound) = ((machine, m.incarnation), m.settings.timings.max_staleness());
            self.checker.claimed_contact(incarnation, shown, whole_millis(bound));
        }
    }

    /// What a node tells of its disk is on it, synced.
    pub(super) fn check_durable_before_sent(&mut self, machine: usize, message: &Message) {
        let term = match message {
            Message::Prepare { term } | Message::Promise { term, .. } | Message::Accepted { term, .. } => {
                term
            }
            Message::Replicated { version } => &version.write_term,
            _ => return,
        };
        let Ok(word) = minicbor::to_vec(term) else { return };
        let records = &self.machines[machine].disk.records;
        if !records.iter().rev().any(|r| r.windows(word.len()).any(|w| w == word)) {
            self.checker
                .report_violation("disk", format!("m{machine} says {message:?} before it is on disk"));
        }
    }

    /// A record that is proposed names holders that have the state of its epoch, or a newer one, on their disks. A disk that
    /// was lost meanwhile is no witness against it.
    pub(super) fn check_proposed_config(&mut self, message: &Message) {
        let Message::Accept { config: record } = message else { return };
        if self.proposed.insert(record.term) {
            self.check_holders(record);
        }
    }

    pub(super) fn check_holders(&mut self, record: &EpochConfig) {
        if !self.checks_holders {
            return;
        }
        let holders = record.backups.iter().chain([&record.primary]);
        for id in holders {
            let holds_and_finds = (0..self.machines.len()).find_map(|m| self.version_on_disk(m, *id));
            if let Some(version) = holds_and_finds.filter(|v| v.is_none_or(|v| v.write_term < record.term)) {
                self.checker.report_violation(
                    "holders",
                    format!("{record:?} names {id:?}, whose disk holds {version:?}"),
                );
            }
        }
    }

    /// The state that the disk of that number would tell of after a restart; none if this machine has another disk.
    pub(super) fn version_on_disk(&self, machine: usize, id: MemberId) -> Option<Option<StateVersion>> {
        let m = &self.machines[machine];
        let rng = Pcg64Mcg::seed_from_u64(1);
        let mut node =
            Node::new(m.settings.clone(), &m.disk.records, Instant::from_millis(self.now), rng).ok()?;
        if m.disk.records.is_empty() || node.local_member().id != id {
            return None;
        }
        let asker = Member { id: MemberId(u64::MAX), address: address(9_999) };
        let term = Term { number: u64::MAX, proposer: asker.id };
        let mut inputs = VecDeque::from([Input::Message { from: asker, message: Message::Prepare { term } }]);
        while let Some(input) = inputs.pop_front() {
            for output in node.step(Instant::from_millis(self.now), input) {
                match output {
                    Output::Write { token, .. } | Output::Rewrite { token, .. } => {
                        inputs.push_back(Input::Written { token });
                    }
                    Output::Send { message: Message::Promise { version, .. }, .. } => return Some(version),
                    _ => {}
                }
            }
        }
        None
    }
}
