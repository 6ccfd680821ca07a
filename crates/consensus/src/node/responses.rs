//! Handles the responses of other nodes to the role of this one. A response that arrives after the end of the role is
//! ignored.

use rand_core::RngCore;

use super::{Node, Role};
use crate::control_state::{ControlState, StateVersion};
use crate::heartbeat_response::HeartbeatResponse;
use crate::message::Message;
use crate::take_over::ReceivedPromise;
use crate::term::{Member, MemberId, Term};

impl<R: RngCore> Node<R> {
    pub(super) fn on_promise(&mut self, term: Term, promise: ReceivedPromise) {
        if let Role::TakingOver(take_over) = &mut self.role {
            let transition = take_over.on_promise(&mut self.core, term, promise);
            self.apply(transition);
        }
    }

    pub(super) fn on_reject(&mut self, term: Term, promised: Term) {
        self.core.epoch.observe_term(promised);
        match &mut self.role {
            Role::TakingOver(take_over) => {
                let transition = take_over.on_reject(term, promised);
                self.apply(transition);
            }
            Role::Primary(primary) => primary.on_reject(self.core.context.now(), term, promised),
            Role::Follower => {}
        }
    }

    pub(super) fn on_fetched_state(&mut self, term: Term, state: ControlState) {
        if let Role::TakingOver(take_over) = &mut self.role {
            take_over.on_fetched_state(&mut self.core, term, state);
        }
    }

    /// Handles a state that is durable on a node, possibly this one.
    pub(super) fn on_state_written(&mut self, id: MemberId, version: StateVersion) {
        match &mut self.role {
            Role::Primary(primary) => primary.on_state_written(&mut self.core, id, version),
            Role::TakingOver(take_over) => take_over.on_state_written(&mut self.core, id, version),
            Role::Follower => {}
        }
    }

    pub(super) fn on_missing_body(&mut self, from: Member, version: StateVersion) {
        match &mut self.role {
            Role::Primary(primary) => primary.on_missing_body(&mut self.core, from, version),
            Role::TakingOver(take_over) => take_over.on_missing_body(&mut self.core, from, version),
            Role::Follower => {}
        }
    }

    pub(super) fn on_accepted(&mut self, from: Member, term: Term, is_bootstrap_voter: bool) {
        if let Role::TakingOver(take_over) = &mut self.role {
            let transition = take_over.on_accepted(&self.core, from, term, is_bootstrap_voter);
            self.apply(transition);
        }
    }

    pub(super) fn on_heartbeat_response(&mut self, from: Member, message: &Message) {
        let Some(response) = HeartbeatResponse::from_message(message) else { return };
        self.core.epoch.observe_term(response.promised);
        if let Role::Primary(primary) = &mut self.role {
            primary.on_heartbeat_response(&mut self.core, from, &response);
        }
    }
}
