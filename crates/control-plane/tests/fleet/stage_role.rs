//! The stage role of a simulated control node, connected as in the real program.

use mosshead_consensus::Term;
use mosshead_stage_scheduler::{AssignmentOutcome, StagePolicy, StageScheduler, TakeoverDelay};
use mosshead_time::Duration;
use mosshead_virtual_fleet::{ProcessId, millis};

use crate::messages::{Call, Party, Purpose, Response};
use crate::simulation::Simulation;

/// The minimum time between assignments by two different holders of the role.
pub(crate) const LEASE: Duration = millis(3_000);
const ASSIGNMENT_TIMEOUT: Duration = millis(600);

#[derive(Default)]
pub(crate) struct StageRole {
    current: Option<ActiveRole>,
}

/// The stage role in one term.
struct ActiveRole {
    term: Term,
    takeover_delay: TakeoverDelay,
    scheduler: StageScheduler,
}

impl Simulation {
    fn term_of_lease(&self, control_node: usize) -> Option<Term> {
        let node = &self.control_nodes[control_node].process.as_ref()?.node;
        node.holds_primary_lease(self.now()).then(|| node.term())
    }

    pub(crate) fn run_stage_role(&mut self, control_node: usize) {
        let (now, term) = (self.now(), self.term_of_lease(control_node));
        let Some(process) = &mut self.control_nodes[control_node].process else { return };
        let Some(term) = term else {
            process.stage_role.current = None;
            return;
        };
        if process.stage_role.current.as_ref().is_none_or(|current| current.term != term) {
            let scheduler = StageScheduler::new(StagePolicy::default());
            let takeover_delay = TakeoverDelay::begin(now, LEASE);
            process.stage_role.current = Some(ActiveRole { term, takeover_delay, scheduler });
        }
        let Some(ActiveRole { takeover_delay, scheduler, .. }) = &mut process.stage_role.current else {
            return;
        };
        if !takeover_delay.may_send_commands(now) {
            return;
        }
        let token = match self.faults.token_without_term {
            true => 1,
            false => term.fencing_token(),
        };
        for assignment in scheduler.due_assignments(now, process.registry.servers()) {
            let incarnation = self.control_nodes[control_node].incarnation;
            self.checker.on_assignment(now, ProcessId { machine: control_node, incarnation }, token);
            let server = self.servers.iter().position(|server| server.reported.id == assignment.instance_id);
            let Some(server) = server else { continue };
            let call = Call::AssignStage { id: assignment.instance_id, stage: assignment.stage, token };
            self.request(
                Party::Control(control_node),
                Party::Server(server),
                call,
                Purpose::AssignStage,
                ASSIGNMENT_TIMEOUT,
            );
        }
    }

    pub(crate) fn on_assignment_response(&mut self, control_node: usize, response: Option<Response>) {
        let response = match response {
            Some(Response::Assignment(response)) => response,
            _ => AssignmentOutcome::Unknown,
        };
        let Some(process) = &mut self.control_nodes[control_node].process else { return };
        if let Some(role) = &mut process.stage_role.current {
            role.scheduler.record_outcome(response);
        }
    }
}
