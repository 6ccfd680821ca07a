//! Handles confirmed and failed disk writes, and starts the writes that no member has requested.

use rand_core::RngCore;

use super::{Node, Role};
use crate::disk_writes::{DurabilityEffect, PendingDiskWrite};
use crate::term::Term;

impl<R: RngCore> Node<R> {
    pub(super) fn on_written(&mut self, token: u64) {
        if let Some(write) = self.core.storage.take_synced(token) {
            self.complete(write);
        }
    }

    /// A failed write may or may not be on disk, so the role that requested it ends.
    pub(super) fn on_write_failed(&mut self, token: u64) {
        let Some(write) = self.core.storage.take_failed(self.core.context.now(), token) else { return };
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

    /// Completes a durable write and notifies its requester.
    fn complete(&mut self, write: PendingDiskWrite) {
        self.core.storage.complete(&write);
        let Some(requester) = write.requester else { return };
        if requester.id == self.core.local().id {
            self.on_local_write(&write.effect);
        } else {
            self.respond_to_write(requester, &write.effect);
        }
    }

    /// Handles a durable write that the role of this node has requested.
    fn on_local_write(&mut self, effect: &DurabilityEffect) {
        match (effect, &mut self.role) {
            (DurabilityEffect::Promise(term), _) => self.on_local_promise_written(*term),
            (DurabilityEffect::Accept(config), Role::TakingOver(take_over)) => {
                let transition = take_over.on_local_config_written(&self.core, config.term);
                self.apply(transition);
            }
            (effect, _) => {
                if let Some(version) = effect.version() {
                    self.on_state_written(self.core.local().id, version);
                }
            }
        }
    }

    pub(super) fn on_local_promise_written(&mut self, term: Term) {
        if let Role::TakingOver(take_over) = &mut self.role {
            let transition = take_over.on_local_promise_written(&mut self.core, term);
            self.apply(transition);
        }
    }

    /// Starts the writes that no member has requested, see [`crate::storage::Storage::run_timers`]. If none is due, a
    /// follower without a vote writes the newest configuration, so that it finds the others after a restart.
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

    /// With [`crate::InjectedFault::RespondUnsynced`], responds to a write in the step that starts it. Without that fault
    /// there is nothing to complete here.
    #[cfg(feature = "fault-injection")]
    pub(super) fn complete_unsynced_writes(&mut self) {
        while let Some(write) = self.core.storage.take_unsynced() {
            self.complete(write);
            self.serve_requests();
        }
    }
}
