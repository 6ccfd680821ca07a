//! The holder of the stages duty on a control machine, wired as the program wires it.

use mosshead_consensus::Term;
use mosshead_stage_scheduler::{AssignmentOutcome, StagePolicy, StageScheduler, fencing_token};
use mosshead_time::Instant;

use crate::messages::{Answer, Call, Party, Purpose};
use crate::simulation::World;

const LEASE_MS: u64 = 3_000;
const MARGIN_MS: u64 = 500;
const ORDER_MS: u64 = 600;

#[derive(Default)]
pub struct Duty {
    held: Option<(Term, u64, StageScheduler)>,
}

impl World {
    fn holds(&self, core: usize) -> Option<Term> {
        let node = &self.cores[core].process.as_ref()?.node;
        node.holds_primary_lease(Instant::from_millis(self.now)).then(|| node.term())
    }

    pub fn duty_turn(&mut self, core: usize) {
        let (now, ballot) = (self.now, self.holds(core));
        let Some(process) = &mut self.cores[core].process else { return };
        let Some(ballot) = ballot else {
            process.duty.held = None;
            return;
        };
        if process.duty.held.as_ref().is_none_or(|held| held.0 != ballot) {
            process.duty.held = Some((ballot, now, StageScheduler::new(StagePolicy::default())));
        }
        let Some((_, since, scheduler)) = &mut process.duty.held else { return };
        if now < *since + LEASE_MS + MARGIN_MS {
            return;
        }
        let fence = match self.mutant.fence_without_ballot {
            true => 1,
            false => fencing_token(ballot.number, ballot.proposer.0),
        };
        for order in scheduler.due_assignments(Instant::from_millis(now), process.register.servers()) {
            self.ledger.order_sent((core, self.cores[core].life), fence);
            let server = self.servers.iter().position(|server| server.word.id == order.instance_id);
            let Some(server) = server else { continue };
            let call = Call::Order { id: order.instance_id, stage: order.stage, fence };
            self.request(Party::Control(core), Party::Server(server), call, Purpose::Order, ORDER_MS);
        }
    }

    pub fn order_answered(&mut self, core: usize, answer: Option<Answer>) {
        let answer = match answer {
            Some(Answer::Ordered(answer)) => answer,
            _ => AssignmentOutcome::Unknown,
        };
        let Some(process) = &mut self.cores[core].process else { return };
        if let Some((_, _, scheduler)) = &mut process.duty.held {
            scheduler.record_outcome(answer);
        }
    }
}
