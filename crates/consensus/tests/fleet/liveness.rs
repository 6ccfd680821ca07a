//! Liveness checks: the fleet replies without faults and under lasting ones, and all nodes converge after a long time
//! without faults.

use mosshead_consensus::ClientReply;
use mosshead_time::Duration;
use mosshead_virtual_fleet::{Noise, millis};

use crate::checker::RequestKind;
use crate::fault_actions::FaultAction;
use crate::simulation::Simulation;

/// The time in which a fleet without faults, or with as many lasting ones as it tolerates, elects a primary.
const TIME_TO_PRIMARY: Duration = millis(2_500);
/// The time in which the primary replies.
const TIME_TO_REPLY: Duration = millis(700);
/// The time in which the fleet recovers after a fault is healed.
const TIME_TO_RETURN: Duration = millis(700);
/// The time in which a fleet without faults replaces lost members, and all nodes converge.
const TIME_TO_CONVERGE: Duration = millis(5_000);

impl Simulation {
    /// Checks that a change that is sent to the primary gets a reply, that some operator's change is accepted, and that a
    /// read returns a state. Messages are neither lost nor late meanwhile.
    pub(crate) fn check_liveness(&mut self) -> Result<(), String> {
        let noise = std::mem::replace(&mut self.noise, Noise::NONE);
        self.run(TIME_TO_PRIMARY)?;
        let Some(primary) = self.primary() else {
            return Err(format!("at {}: liveness: no primary", self.now()));
        };
        // Operators race, so any accepted change counts.
        let accepted = self.checker.accepted_count;
        let change = self.new_change(primary);
        let change_id = self.send_request(primary, RequestKind::Change(change));
        let read_id = self.send_request(primary, RequestKind::Read);
        self.run(TIME_TO_REPLY)?;
        let (change, read) = (self.checker.reply(change_id), self.checker.reply(read_id));
        let is_change_answered =
            matches!(change, Some(ClientReply::ChangeCommitted { .. } | ClientReply::Stale { .. }));
        let is_read = matches!(read, Some(ClientReply::CurrentState { .. }));
        if !is_change_answered || !is_read || self.checker.accepted_count == accepted {
            return Err(format!("at {}: liveness: m{primary} replied {change:?}, {read:?}", self.now()));
        }
        self.noise = noise;
        Ok(())
    }

    /// Checks that the other machines go on while as many as may be lost have a lasting fault.
    pub(crate) fn check_liveness_under_fault(&mut self) -> Result<(), String> {
        let faulty = self.pick_some(self.tolerated_failures);
        let others: Vec<usize> =
            self.remaining().into_iter().filter(|machine| !faulty.contains(machine)).collect();
        let out = faulty.iter().flat_map(|from| others.iter().map(move |to| (*from, *to)));
        let back = faulty.iter().flat_map(|to| others.iter().map(move |from| (*from, *to)));
        let action = match self.random_below(9) {
            8 => FaultAction::BufferLinks(out.chain(back).collect()),
            0 => FaultAction::Kill(faulty),
            1 => FaultAction::Pause(faulty),
            2 => FaultAction::CutLinks(out.chain(back).collect()),
            3 => FaultAction::CutLinks(out.collect()),
            4 => FaultAction::CutLinks(back.collect()),
            5 => FaultAction::FillDisks(faulty),
            6 => FaultAction::Terminate(faulty[0]),
            _ => FaultAction::StallDisks(faulty, millis(8_000)),
        };
        let (pause, description) = (self.random_duration_below(millis(400)), format!("{action:?}"));
        self.run(pause)?;
        self.apply(action);
        self.check_liveness().map_err(|violation| format!("{violation} with {description:.60}"))?;
        let more = self.random_duration_below(millis(3_000));
        self.run(more)?;
        self.heal();
        self.run(TIME_TO_RETURN)
    }

    /// Checks that after a long time without faults every machine runs, knows the newest state, all members and the
    /// primary, and has contact with a quorum, and that the primary replies to a read.
    pub(crate) fn check_convergence(&mut self) -> Result<(), String> {
        self.remove_operators();
        self.after_commit = None;
        self.noise = Noise::NONE;
        self.run(TIME_TO_CONVERGE)?;
        for machine in self.remaining() {
            self.check_converged(machine)?;
        }
        let read = self.primary().map(|primary| self.send_request(primary, RequestKind::Read));
        self.run(millis(300))?;
        match read.and_then(|read| self.checker.reply(read)) {
            Some(ClientReply::CurrentState { .. }) => Ok(()),
            other => Err(format!("at {}: convergence: read {other:?}", self.now())),
        }
    }

    fn check_converged(&self, machine: usize) -> Result<(), String> {
        let Some(node) = self.node(machine) else { return Err(format!("m{machine} doesn't run")) };
        let (newest, primary) = (self.checker.acknowledged, self.primary());
        let committed = node.committed_state().map(|state| state.revision);
        let member_count = node.members().len();
        let is_member = |other: &usize| {
            self.node(*other).is_some_and(|other| node.members().contains(&other.local_member()))
        };
        let live_count = self.remaining().iter().filter(|other| is_member(other)).count();
        let wanted = self.remaining().len().min(2 * self.tolerated_failures + 1);
        let knows_primary = node.primary().map(|known| known.address)
            == primary.map(|primary| self.machines[primary].address);
        let has_contact = self.has_quorum_contact(machine);
        if committed >= Some(newest)
            && member_count == wanted
            && live_count == wanted
            && has_contact
            && knows_primary
        {
            return Ok(());
        }
        Err(format!(
            "at {}: convergence: m{machine} has {committed:?} of {newest}, {member_count} members, {live_count} live, \
             knows the primary: {knows_primary}, has quorum contact: {has_contact}",
            self.now()
        ))
    }
}
