//! Handles the requests of clients: changes and reads.

use rand_core::RngCore;

use super::{Node, Role};
use crate::control_state::AppliedRequest;
use crate::event::ClientReply;
use crate::injected_fault::InjectedFault;
use crate::limits::MAX_BODY_BYTES;
use crate::pending_requests::ChangeRequest;

impl<R: RngCore> Node<R> {
    /// Returns true if this node accepts requests: it is primary or taking over, and is not shutting down.
    fn accepts_requests(&self) -> bool {
        !self.role.is_follower() && !self.core.removal.is_shutting_down()
    }

    pub(super) fn on_change(
        &mut self,
        request_id: u64,
        base_revision: u64,
        request: AppliedRequest,
        body: Vec<u8>,
    ) {
        if body.len() > MAX_BODY_BYTES {
            return self.core.context.reply(request_id, ClientReply::TooLarge);
        }
        if !self.accepts_requests() {
            return self.redirect(request_id);
        }
        let received_at = self.core.now();
        let change = ChangeRequest { request_id, received_at, base_revision, request, body: body.into() };
        self.core.requests.add_change(&mut self.core.context, change);
    }

    pub(super) fn on_read(&mut self, request_id: u64) {
        if !self.accepts_requests() {
            return self.redirect(request_id);
        }
        let core = &mut self.core;
        let next_heartbeat = match &self.role {
            Role::Primary(primary) => Some(primary.next_heartbeat()),
            _ => None,
        };
        if core.has_fault(InjectedFault::ReadUnconfirmed)
            && next_heartbeat.is_some()
            && let Some(state) = core.learner.committed().cloned()
        {
            return core.context.reply(request_id, ClientReply::CurrentState { state });
        }
        core.requests.add_read(&mut core.context, request_id, next_heartbeat);
    }

    fn redirect(&mut self, request_id: u64) {
        let primary = self.redirect_address();
        self.core.context.reply(request_id, ClientReply::NotPrimary { primary });
    }

    pub(super) fn serve_requests(&mut self) {
        if let Role::Primary(primary) = &mut self.role {
            primary.serve_requests(&mut self.core);
        }
    }
}
