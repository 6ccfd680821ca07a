//! The checks that the simulation makes at every step.

use std::collections::VecDeque;

use mosshead_consensus::{EpochConfig, Input, Member, MemberId, Message, Node, Output, StateVersion, Term};
use mosshead_virtual_fleet::control_node_address;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::{CALLER_TIMEOUT, Simulation};
use crate::checker::SentRequest;

/// The number of a machine that is in no simulation.
const OUTSIDE_MACHINE: usize = 9_999;

impl Simulation {
    /// Checks that each request gets its reply while its caller still waits for it.
    pub(super) fn check_overdue_replies(&mut self, machine: usize) {
        let process = self.process_id(machine);
        let (now, resumed_at) = (self.now(), self.machines[machine].resumed_at);
        let is_overdue = |request: &SentRequest| {
            request.process == process && now > request.sent_at.max(resumed_at) + CALLER_TIMEOUT
        };
        let overdue = self.checker.open_requests().find(|(_, request)| is_overdue(request));
        let overdue = overdue.map(|(id, request)| (*id, request.sent_at));
        if let Some((id, sent_at)) = overdue {
            self.checker.report_violation("single reply", format!("request {id} is open since {sent_at}"));
        }
    }

    /// Checks that no node that reports contact with a quorum shows a state older than the documented bound.
    pub(super) fn check_staleness(&mut self) {
        for index in 0..self.machines.len() {
            let machine = &self.machines[index];
            let Some(node) = machine.node.as_ref().filter(|_| !machine.is_paused) else { continue };
            if !node.has_quorum_contact(self.clock(index)) {
                continue;
            }
            let shown = node.committed_state().map_or(0, |state| state.revision);
            let bound = machine.settings.timings.max_staleness();
            self.checker.check_claimed_contact(self.process_id(index), shown, bound);
        }
    }

    /// Checks that what a node reports about its disk is synced.
    pub(super) fn check_durable_before_sent(&mut self, machine: usize, message: &Message) {
        let term = match message {
            Message::Prepare { term } | Message::Promise { term, .. } | Message::Accepted { term, .. } => {
                term
            }
            Message::Replicated { version } => &version.write_term,
            _ => return,
        };
        let Ok(encoded_term) = minicbor::to_vec(term) else { return };
        let has_term = |record: &Vec<u8>| record.windows(encoded_term.len()).any(|part| part == encoded_term);
        let records = self.machines[machine].disk.log.records();
        if !records.iter().rev().any(has_term) {
            self.checker
                .report_violation("disk", format!("m{machine} says {message:?} before it is on disk"));
        }
    }

    /// Checks that the primary and the backups of a proposed configuration have the state of its epoch, or a newer one,
    /// on their disks. A disk that was lost meanwhile is no evidence against it.
    pub(super) fn check_proposed_config(&mut self, message: &Message) {
        let Message::Accept { config } = message else { return };
        if self.proposed.insert(config.term) {
            self.check_backup_disks(config);
        }
    }

    pub(super) fn check_backup_disks(&mut self, config: &EpochConfig) {
        if !self.checks_backup_disks {
            return;
        }
        for id in config.backups.iter().chain([&config.primary]) {
            let on_disk = (0..self.machines.len()).find_map(|machine| self.version_on_disk(machine, *id));
            let is_outdated = |version: &Option<StateVersion>| {
                version.is_none_or(|version| version.write_term < config.term)
            };
            if let Some(version) = on_disk.filter(is_outdated) {
                self.checker.report_violation(
                    "backup disk",
                    format!("{config:?} names {id:?}, whose disk has {version:?}"),
                );
            }
        }
    }

    /// The state that the disk with this id would report after a restart; none if this machine has another disk.
    fn version_on_disk(&self, machine: usize, id: MemberId) -> Option<Option<StateVersion>> {
        let (settings, log) = (&self.machines[machine].settings, &self.machines[machine].disk.log);
        let (now, random) = (self.now(), Pcg64Mcg::seed_from_u64(1));
        let mut node = Node::new(settings.clone(), log.records(), now, random).ok()?;
        if log.records().is_empty() || node.local_member().id != id {
            return None;
        }
        let requester = Member { id: MemberId(u64::MAX), address: control_node_address(OUTSIDE_MACHINE) };
        let term = Term { number: u64::MAX, proposer: requester.id };
        let mut inputs =
            VecDeque::from([Input::Message { from: requester, message: Message::Prepare { term } }]);
        while let Some(input) = inputs.pop_front() {
            for output in node.step(now, input) {
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
