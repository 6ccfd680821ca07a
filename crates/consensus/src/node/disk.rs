//! The disk of a node: confirmed and failed writes, and what is written without being asked for.

use rand_core::RngCore;

use super::{Node, Role};
use crate::disk_writes::{DurabilityEffect, PendingDiskWrite};
use crate::message::Message;
use crate::term::{Member, Term};

impl<R: RngCore> Node<R> {
    pub(super) fn on_written(&mut self, token: u64) {
        if let Some(write) = self.core.storage.writes.take(token) {
            self.core.storage.writes.failed_at = None;
            self.complete(write);
        }
    }

    /// A failed write is on disk or not: what it was for is given up.
    pub(super) fn on_write_failed(&mut self, token: u64) {
        let Some(write) = self.core.storage.writes.take(token) else { return };
        self.core.storage.fail(self.core.context.now, &write);
        if write.requester.is_none_or(|requester| requester.id != self.core.local().id) {
            return;
        }
        if let Role::Primary(primary) = &self.role {
            let transition = primary.resign(&mut self.core);
            self.apply(transition);
        } else {
            self.step_down();
        }
    }

    /// A write is durable: whoever has asked for it is answered.
    fn complete(&mut self, write: PendingDiskWrite) {
        self.core.storage.complete(&write);
        let Some(requester) = write.requester else { return };
        if requester.id == self.core.local().id {
            self.on_local_write(&write.effect);
        } else {
            self.answer_write(requester, &write.effect);
        }
    }

    fn answer_write(&mut self, requester: Member, effect: &DurabilityEffect) {
        match effect {
            // With a higher promise meanwhile, the answer would be of no use.
            DurabilityEffect::Promise(term) if self.core.acceptor.promised() == *term => {
                self.send_promise(requester, *term);
            }
            DurabilityEffect::Accept(config) => self.send_accepted(requester, config.term),
            effect => {
                if let Some(version) = effect.version() {
                    self.core.send(requester.address, Message::Replicated { version });
                }
            }
        }
    }

    /// A write of a role is durable.
    fn on_local_write(&mut self, effect: &DurabilityEffect) {
        let id = self.core.local().id;
        match (effect, &mut self.role) {
            (DurabilityEffect::Promise(term), _) => self.on_local_promise_written(*term),
            (DurabilityEffect::Accept(config), Role::TakingOver(take_over)) => {
                let transition = take_over.on_local_config_written(&self.core, config.term);
                self.apply(transition);
            }
            (effect, role) => match (effect.version(), role) {
                (Some(version), Role::Primary(primary)) => {
                    primary.on_state_written(&mut self.core, id, version);
                }
                (Some(version), Role::TakingOver(take_over)) => {
                    take_over.on_state_written(&mut self.core, id, version);
                }
                _ => {}
            },
        }
    }

    pub(super) fn on_local_promise_written(&mut self, term: Term) {
        if let Role::TakingOver(take_over) = &mut self.role {
            let transition = take_over.on_local_promise_written(&mut self.core, term);
            self.apply(transition);
        }
    }

    /// Writes what the disk needs. Where it needs nothing, a follower without a vote writes the newest configuration, so that
    /// it finds the others after its next start.
    pub(super) fn run_disk_timers(&mut self) {
        let core = &mut self.core;
        let is_idle = core.storage.run_timers(&mut core.context, core.acceptor.promised());
        if is_idle
            && self.role.is_follower()
            && let Some(config) = core.unwritten_config()
        {
            core.storage.append(&mut core.context, DurabilityEffect::Learned(config), None);
        }
    }

    /// With [`crate::InjectedFault::RespondUnsynced`], writes are answered in the step that starts them; without it there are
    /// none here.
    pub(super) fn complete_unsynced_writes(&mut self) {
        while let Some(write) = self.core.storage.take_unsynced() {
            self.complete(write);
            self.serve_requests();
        }
    }
}
