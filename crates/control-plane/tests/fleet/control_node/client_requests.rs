//! Operators' changes and reads at a control node.

use mosshead_consensus::{ClientReply, Input};
use mosshead_control_plane::{
    AdmissionStep, ChangeAdmission, ChangeResponse, InjectedFault, OperatorChange, PrimaryHint, ReadResponse,
    read_response,
};
use mosshead_time::Duration;

use crate::messages::{ReplyTo, Response};
use crate::simulation::{Event, Simulation};

/// A request to consensus that waits for its reply.
pub(super) enum ClientRequest {
    Read(ReplyTo),
    Confirm(ReplyTo, Box<ChangeAdmission<Vec<u8>>>),
    Submit(ReplyTo, Box<ChangeAdmission<Vec<u8>>>),
}

impl Simulation {
    pub(super) fn admit(&mut self, control_node: usize, reply_to: ReplyTo, change: usize) {
        let change = &self.checker.changes[change];
        let request = OperatorChange {
            kind: change.kind,
            base_revision: Some(change.base),
            body: change.body.clone(),
            digest: change.digest,
        };
        let injected: Option<InjectedFault> = self.faults.control;
        let Some(process) = &self.control_nodes[control_node].process else { return };
        let (state, config) = (process.node.committed_state().cloned(), process.history.current().cloned());
        let begun = ChangeAdmission::begin_with_injected_fault(
            request,
            process.known_primary(self.now(), self.faults.primary_by_role),
            state.as_ref(),
            config,
            injected,
        );
        match begun {
            Ok((admission, step)) => self.next_step(control_node, reply_to, Box::new(admission), step),
            Err(response) => self.reply(control_node, reply_to, Response::Change(response)),
        }
    }

    pub(super) fn next_step(
        &mut self,
        control_node: usize,
        reply_to: ReplyTo,
        admission: Box<ChangeAdmission<Vec<u8>>>,
        step: AdmissionStep,
    ) {
        match step {
            AdmissionStep::Respond(response) => {
                self.reply(control_node, reply_to, Response::Change(response));
            }
            AdmissionStep::ConfirmState => {
                let request_id =
                    self.new_client_request(control_node, ClientRequest::Confirm(reply_to, admission));
                self.step_consensus(control_node, Input::Read { request_id });
            }
            AdmissionStep::Submit(proposal) => {
                let request_id =
                    self.new_client_request(control_node, ClientRequest::Submit(reply_to, admission));
                let (base_revision, revision) = (proposal.base_revision, proposal.revision);
                let (body, digest) = (proposal.body, proposal.digest);
                self.step_consensus(
                    control_node,
                    Input::Change { request_id, base_revision, revision, body, digest },
                );
            }
        }
    }

    pub(super) fn read_config(&mut self, control_node: usize, reply_to: ReplyTo) {
        let Some(process) = &self.control_nodes[control_node].process else { return };
        let response = match process.known_primary(self.now(), self.faults.primary_by_role) {
            PrimaryHint::Local => {
                let request_id = self.new_client_request(control_node, ClientRequest::Read(reply_to));
                return self.step_consensus(control_node, Input::Read { request_id });
            }
            PrimaryHint::Remote(primary) => ReadResponse::Redirect { primary },
            PrimaryHint::Unknown => ReadResponse::Unavailable,
        };
        self.reply(control_node, reply_to, Response::Read(response));
    }

    pub(super) fn new_client_request(&mut self, control_node: usize, request: ClientRequest) -> u64 {
        let Some(process) = &mut self.control_nodes[control_node].process else { return 0 };
        process.next_request_id += 1;
        process.client_requests.insert(process.next_request_id, request);
        process.next_request_id
    }

    pub(super) fn on_client_reply(&mut self, control_node: usize, request_id: u64, reply: ClientReply) {
        let Some(process) = &mut self.control_nodes[control_node].process else { return };
        match process.client_requests.remove(&request_id) {
            None => {}
            Some(ClientRequest::Read(reply_to)) => {
                self.reply(control_node, reply_to, Response::Read(read_response(reply)));
            }
            Some(ClientRequest::Confirm(reply_to, admission)) => {
                let step = admission.on_state_confirmed(reply);
                self.next_step(control_node, reply_to, admission, step);
            }
            Some(ClientRequest::Submit(reply_to, admission)) => {
                let response = admission.on_proposal_result(reply);
                let is_accepted = matches!(response, ChangeResponse::Accepted { .. });
                self.reply(control_node, reply_to, Response::Change(response));
                if is_accepted && let Some(action) = self.after_change.take() {
                    self.after(Duration::ZERO, Event::Fault(action));
                }
            }
        }
    }
}
