//! Handlers of the messages that request a promise, a write or an acceptance from this node (as an acceptor of Paxos).

use rand_core::RngCore;

use super::Node;
use crate::control_state::{ControlState, StateVersion};
use crate::disk_writes::DurabilityEffect;
use crate::epoch_config::EpochConfig;
use crate::injected_fault::InjectedFault;
use crate::message::Message;
use crate::state_delta::StateDelta;
use crate::term::{Member, Term};

impl<R: RngCore> Node<R> {
    pub(super) fn on_prepare(&mut self, from: Member, term: Term) {
        if !self.admits(from, term) {
            return;
        }
        let core = &mut self.core;
        if !core.acceptor.can_distinguish(&mut core.context, from, term) {
            return;
        }
        let effect = self.core.acceptor.on_prepare(&self.core.context, term);
        if effect.is_none() && self.core.storage.promised() == term {
            return self.send_promise(from, term);
        }
        self.write_for(from, effect);
    }

    pub(super) fn on_accept(&mut self, from: Member, config: EpochConfig) {
        if config.primary != from.id || !self.admits(from, config.term) {
            return;
        }
        self.observe_config(&config);
        if self.core.storage.accepted_term() == config.term {
            return self.send_accepted(from, config.term);
        }
        let effect = self.core.acceptor.on_accept(&self.core.storage, config);
        self.write_for(from, effect);
    }

    /// Returns true if a message of this term may be accepted, see [`crate::acceptor::Acceptor::admits`].
    fn admits(&mut self, from: Member, term: Term) -> bool {
        let core = &mut self.core;
        core.epoch.observe_term(term);
        core.acceptor.admits(&mut core.context, &core.storage, from, term)
    }

    pub(super) fn on_replicate_state(&mut self, from: Member, state: ControlState) {
        let core = &mut self.core;
        core.epoch.observe_term(state.write_term);
        let effect = core.acceptor.on_replicate_state(&mut core.context, &core.storage, from, state);
        self.write_state_for(from, effect);
    }

    pub(super) fn on_replicate_delta(&mut self, from: Member, delta: StateDelta) {
        let core = &mut self.core;
        core.epoch.observe_term(delta.term);
        let effect = core.acceptor.on_replicate_delta(&mut core.context, &core.storage, from, delta);
        self.write_state_for(from, effect);
    }

    pub(super) fn on_rewrite_under_new_term(&mut self, from: Member, version: StateVersion) {
        let core = &mut self.core;
        core.epoch.observe_term(version.write_term);
        let (context, storage, committed) = (&mut core.context, &core.storage, core.learner.committed());
        let effect = core.acceptor.on_rewrite_under_new_term(context, storage, committed, from, version);
        self.write_for(from, effect);
    }

    fn write_state_for(&mut self, from: Member, effect: Option<DurabilityEffect>) {
        if self.core.has_fault(InjectedFault::PublishUncommitted)
            && let Some(state) = effect.as_ref().and_then(DurabilityEffect::state)
        {
            self.core.publish(state.clone());
        }
        self.write_for(from, effect);
    }

    /// Raises the promise, which ends a role under a lower term, and starts the write. `from` gets the response once the
    /// write is durable.
    fn write_for(&mut self, from: Member, effect: Option<DurabilityEffect>) {
        let Some(effect) = effect else { return };
        if let Some(term) = effect.term() {
            self.core.acceptor.raise_promise(term);
            self.step_down_below(term);
        }
        self.core.write(effect, from);
    }

    /// Sends the response to a node whose write is durable.
    pub(super) fn respond_to_write(&mut self, requester: Member, effect: &DurabilityEffect) {
        match effect {
            // After a higher promise, the proposer can't use this one any more.
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

    fn send_promise(&mut self, to: Member, term: Term) {
        let promise = Message::Promise {
            term,
            is_bootstrap_voter: self.core.is_bootstrap_voter(),
            is_healthy: self.core.is_healthy(),
            config: self.core.epoch.config().cloned(),
            version: self.core.storage.version(),
        };
        self.core.send(to.address, promise);
    }

    fn send_accepted(&mut self, to: Member, term: Term) {
        let is_bootstrap_voter = self.core.is_bootstrap_voter();
        self.core.send(to.address, Message::Accepted { term, is_bootstrap_voter });
    }
}
