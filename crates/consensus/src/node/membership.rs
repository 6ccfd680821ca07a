//! Sends and handles join requests, and requests for the removal of members that shut down.

use rand_core::RngCore;

use super::{Node, Role};
use crate::join_requests::JoinRequest;
use crate::known_primary::KnownPrimary;
use crate::message::Message;
use crate::term::{Member, Term};

impl<R: RngCore> Node<R> {
    /// Sends join requests if the primary is unknown or silent, or this node is no member.
    pub(super) fn run_join_timers(&mut self) {
        if !self.role.is_follower() {
            return;
        }
        let core = &mut self.core;
        let is_member = core.epoch.has_member(core.context.local().id);
        let alive_at = core.failure_detector.primary().map(KnownPrimary::alive_at);
        if !core.joins.take_due(&core.context, is_member, alive_at) {
            return;
        }
        let is_bootstrap_voter = core.is_bootstrap_voter();
        let join = Message::Join { is_bootstrap_voter, known_term: core.epoch.term() };
        for address in core.epoch.addresses() {
            core.context.send(*address, join.clone());
        }
    }

    pub(super) fn on_join(&mut self, from: Member, is_bootstrap_voter: bool, known_term: Term) {
        let core = &mut self.core;
        let received_at = core.context.now();
        core.joins.record(JoinRequest { member: from, is_bootstrap_voter, received_at });
        core.epoch.add_address(from.address);
        if let Role::Primary(primary) = &self.role {
            primary.admit_peer(core, from);
        } else if let Some(config) = core.epoch.config().filter(|config| config.term > known_term) {
            core.context.send(from.address, Message::KnownConfig { config: config.clone() });
        }
    }

    pub(super) fn on_request_removal(&mut self, from: Member) {
        self.core.removal.record_departure(from.id, self.core.context.now());
        if let Role::Primary(primary) = &self.role {
            primary.on_removal_requested(&mut self.core, from);
        }
    }

    /// Requests the removal of this node from the membership if it is shutting down.
    pub(super) fn announce_shutdown(&mut self) {
        if self.core.removal.take_due_announcement(&self.core.context) {
            for member in self.core.known_voters() {
                self.core.send(member.address, Message::RequestRemoval);
            }
        }
    }
}
