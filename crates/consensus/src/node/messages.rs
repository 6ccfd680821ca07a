//! Messages of other nodes.

use rand_core::RngCore;

use super::{Node, Role};
use crate::control_state::ControlState;
use crate::disk_writes::DurabilityEffect;
use crate::injected_fault::InjectedFault;
use crate::join_requests::JoinRequest;
use crate::message::Message;
use crate::primary::heartbeats::HeartbeatResponse;
use crate::snapshot::{SnapshotChunk, SnapshotOffer, StatePurpose};
use crate::snapshot_transfer::TransferProgress;
use crate::take_over::ReceivedPromise;
use crate::term::{Member, Term};
use crate::transition::TakeOverPlan;

impl<R: RngCore> Node<R> {
    pub(super) fn on_message(&mut self, from: Member, message: Message) {
        match message {
            Message::PreVote
            | Message::PreVoteResponse { .. }
            | Message::TransferLeadership { .. }
            | Message::Heartbeat { .. } => self.on_election_message(from, message),
            Message::Prepare { term } => self.on_prepare(from, term),
            Message::ReplicateState { state } => self.on_replicate_state(from, state),
            Message::ReplicateDelta { delta } => {
                let core = &mut self.core;
                core.epoch.observe_term(delta.term);
                let effect = core.acceptor.on_replicate_delta(&mut core.context, &core.storage, from, delta);
                self.accept_state(from, effect);
            }
            Message::RewriteUnderNewTerm { version } => {
                let core = &mut self.core;
                core.epoch.observe_term(version.write_term);
                let committed = core.learner.committed.as_ref();
                let (context, storage) = (&mut core.context, &core.storage);
                let effect =
                    core.acceptor.on_rewrite_under_new_term(context, storage, committed, from, version);
                self.accept(from, effect);
            }
            Message::Accept { config } => self.on_accept(from, config),
            Message::CommittedState { state } => self.core.publish(state),
            Message::CommittedDeltas { deltas } => {
                let core = &mut self.core;
                let durable = core.storage.durable.state.as_ref();
                core.learner.on_committed_deltas(&mut core.context, durable, deltas);
            }
            Message::Join { is_bootstrap_voter, known_term } => {
                self.on_join(from, is_bootstrap_voter, known_term);
            }
            Message::KnownConfig { config } => self.observe_config(&config),
            Message::RequestRemoval => self.on_request_removal(from),
            Message::RemovalGranted { term } => self.core.removal.grant(term),
            Message::FetchState { term, version } => {
                let state = self.core.find_state(&version);
                if let Some(state) = state.map(|state| state.rewritten_under(version.write_term)) {
                    self.core.send_state(from, StatePurpose::FetchedState { term }, state);
                }
            }
            Message::OfferSnapshot { offer } => self.on_offer(from, offer),
            Message::FetchChunk { version, offset } => {
                let core = &mut self.core;
                let progress = core.transfers.on_fetch_chunk(&mut core.context, from, version, offset);
                if let Some(progress) = progress {
                    self.on_transfer_progress(from, &progress);
                }
            }
            Message::SnapshotChunk { chunk } => self.on_chunk(from, chunk),
            response => self.on_response(from, response),
        }
    }

    /// Answers to what this node has asked in a role.
    fn on_response(&mut self, from: Member, response: Message) {
        let core = &mut self.core;
        match response {
            Message::Promise { term, is_bootstrap_voter, is_healthy, config, version } => {
                if let Some(config) = config {
                    self.observe_config(&config);
                }
                let promise = ReceivedPromise { member: from, is_bootstrap_voter, is_healthy, version };
                self.on_promise(term, promise);
            }
            Message::Reject { term, promised } => self.on_reject(term, promised),
            Message::FetchedState { term, state } => self.on_fetched_state(term, state),
            Message::Replicated { version } => match &mut self.role {
                Role::Primary(primary) => primary.on_state_written(core, from.id, version),
                Role::TakingOver(take_over) => take_over.on_state_written(core, from.id, version),
                Role::Follower => {}
            },
            Message::MissingBody { version } => match &mut self.role {
                Role::Primary(primary) => primary.on_missing_body(core, from, version),
                Role::TakingOver(take_over) => take_over.on_missing_body(core, from, version),
                Role::Follower => {}
            },
            Message::Accepted { term, is_bootstrap_voter } => {
                if let Role::TakingOver(take_over) = &mut self.role {
                    let transition = take_over.on_accepted(core, from, term, is_bootstrap_voter);
                    self.apply(transition);
                }
            }
            Message::HeartbeatResponse {
                term,
                sequence,
                promised,
                accepted_term,
                known_term,
                committed_revision,
                is_healthy,
                lease_stamp,
            } => {
                core.epoch.observe_term(promised);
                if let Role::Primary(primary) = &mut self.role {
                    let response = HeartbeatResponse {
                        term,
                        sequence,
                        promised,
                        accepted_term,
                        known_term,
                        committed_revision,
                        is_healthy,
                        lease_stamp,
                    };
                    primary.on_heartbeat_response(core, from, &response);
                }
            }
            _ => {}
        }
    }

    fn on_prepare(&mut self, from: Member, term: Term) {
        if !self.admits(from, term) {
            return;
        }
        let effect = self.core.acceptor.on_prepare(&self.core.context, term);
        if effect.is_none() && self.core.storage.durable.promised == term {
            return self.send_promise(from, term);
        }
        self.accept(from, effect);
    }

    fn on_accept(&mut self, from: Member, config: crate::EpochConfig) {
        if config.primary != from.id || !self.admits(from, config.term) {
            return;
        }
        self.observe_config(&config);
        if self.core.storage.durable.accepted_term() == config.term {
            return self.send_accepted(from, config.term);
        }
        let effect = self.core.acceptor.on_accept(&self.core.storage, config);
        self.accept(from, effect);
    }

    fn admits(&mut self, from: Member, term: Term) -> bool {
        let core = &mut self.core;
        core.epoch.observe_term(term);
        core.acceptor.admits(&mut core.context, &core.storage, from, term)
    }

    fn on_replicate_state(&mut self, from: Member, state: ControlState) {
        let core = &mut self.core;
        core.epoch.observe_term(state.write_term);
        let effect = core.acceptor.on_replicate_state(&mut core.context, &core.storage, from, state);
        self.accept_state(from, effect);
    }

    fn accept_state(&mut self, from: Member, effect: Option<DurabilityEffect>) {
        if self.core.has_fault(InjectedFault::PublishUncommitted)
            && let Some(state) = effect.as_ref().and_then(DurabilityEffect::state)
        {
            self.core.publish(state.clone());
        }
        self.accept(from, effect);
    }

    /// Raises the promise, which ends a role under a lower term, and writes.
    fn accept(&mut self, from: Member, effect: Option<DurabilityEffect>) {
        let Some(effect) = effect else { return };
        if let Some(term) = effect.term() {
            self.core.acceptor.raise_promise(term);
            self.step_down_below(term);
        }
        self.core.write(effect, from);
    }

    pub(super) fn send_promise(&mut self, to: Member, term: Term) {
        let promise = Message::Promise {
            term,
            is_bootstrap_voter: self.core.is_bootstrap_voter(),
            is_healthy: self.core.is_healthy(),
            config: self.core.epoch.config().cloned(),
            version: self.core.storage.durable.version(),
        };
        self.core.send(to.address, promise);
    }

    pub(super) fn send_accepted(&mut self, to: Member, term: Term) {
        let is_bootstrap_voter = self.core.is_bootstrap_voter();
        self.core.send(to.address, Message::Accepted { term, is_bootstrap_voter });
    }

    fn on_promise(&mut self, term: Term, promise: ReceivedPromise) {
        if let Role::TakingOver(take_over) = &mut self.role {
            let transition = take_over.on_promise(&mut self.core, term, promise);
            self.apply(transition);
        }
    }

    fn on_reject(&mut self, term: Term, promised: Term) {
        self.core.epoch.observe_term(promised);
        match &mut self.role {
            Role::TakingOver(take_over) => {
                let transition = take_over.on_reject(term, promised);
                self.apply(transition);
            }
            Role::Primary(primary) => primary.on_reject(self.core.context.now, term, promised),
            Role::Follower => {}
        }
    }

    fn on_fetched_state(&mut self, term: Term, state: ControlState) {
        if let Role::TakingOver(take_over) = &mut self.role {
            take_over.on_fetched_state(&mut self.core, term, state);
        }
    }

    fn on_join(&mut self, from: Member, is_bootstrap_voter: bool, known_term: Term) {
        let core = &mut self.core;
        core.joins.record(JoinRequest { member: from, is_bootstrap_voter, received_at: core.context.now });
        core.epoch.add_address(from.address);
        if let Role::Primary(primary) = &self.role {
            primary.admit_member(core, from);
        } else if let Some(config) = core.epoch.config().filter(|config| config.term > known_term) {
            core.context.send(from.address, Message::KnownConfig { config: config.clone() });
        }
    }

    fn on_request_removal(&mut self, from: Member) {
        self.core.removal.record_departure(from.id, self.core.context.now);
        if let Role::Primary(primary) = &self.role {
            primary.on_removal_requested(&mut self.core, from);
        }
    }

    fn on_offer(&mut self, from: Member, offer: SnapshotOffer) {
        if offer.length > crate::MAX_STATE_BYTES as u64 || !self.wants_offered_state(from, &offer) {
            return;
        }
        let held = self.core.find_state(&offer.version);
        if let Some(state) = held.map(|state| state.rewritten_under(offer.version.write_term)) {
            return self.on_received_state(from, offer.purpose, state);
        }
        self.core.transfers.on_offer(&mut self.core.context, from, offer);
    }

    /// Whether the offered state is of use.
    fn wants_offered_state(&mut self, from: Member, offer: &SnapshotOffer) -> bool {
        match offer.purpose {
            StatePurpose::CommittedState => {
                self.core.learner.revision().is_none_or(|known| known < offer.version.revision)
            }
            StatePurpose::ReplicateState => {
                let core = &mut self.core;
                core.epoch.observe_term(offer.version.write_term);
                core.acceptor.wants_state(&mut core.context, &core.storage, from, &offer.version)
            }
            StatePurpose::FetchedState { term } => match &self.role {
                Role::TakingOver(take_over) => take_over.is_fetching(term, &offer.version),
                _ => false,
            },
        }
    }

    fn on_chunk(&mut self, from: Member, chunk: SnapshotChunk) {
        let core = &mut self.core;
        let Some(outcome) = core.transfers.on_chunk(&mut core.context, from, chunk) else { return };
        if let (Some(version), Role::TakingOver(take_over)) = (outcome.fetched_version, &mut self.role) {
            take_over.record_transfer_progress(core, version);
        }
        if let Some(received) = outcome.received {
            self.on_received_state(received.from, received.purpose, received.state);
        }
    }

    fn on_received_state(&mut self, from: Member, purpose: StatePurpose, state: ControlState) {
        match purpose {
            StatePurpose::CommittedState => self.core.publish(state),
            StatePurpose::ReplicateState => self.on_replicate_state(from, state),
            StatePurpose::FetchedState { term } => self.on_fetched_state(term, state),
        }
    }

    /// The receiver of a state has requested a chunk: what waits for it is given more time.
    fn on_transfer_progress(&mut self, to: Member, progress: &TransferProgress) {
        let core = &mut self.core;
        match (progress.purpose, &mut self.role) {
            (StatePurpose::ReplicateState, Role::Primary(primary)) => {
                primary.record_transfer_progress(core, progress.version);
            }
            (StatePurpose::ReplicateState, Role::TakingOver(take_over)) => {
                take_over.record_transfer_progress(core, progress.version);
            }
            // Whoever fetches the newest state is about to be primary: others are promised nothing meanwhile.
            (StatePurpose::FetchedState { term }, _)
                if term.proposer == to.id && term == core.acceptor.promised() =>
            {
                core.acceptor.withhold_pre_votes(&core.context);
            }
            _ => {}
        }
    }

    fn on_election_message(&mut self, from: Member, message: Message) {
        match message {
            Message::PreVote => self.on_pre_vote(from),
            Message::PreVoteResponse { granted, is_bootstrap_voter, config } => {
                if let Some(config) = config {
                    self.observe_config(&config);
                }
                self.on_pre_vote_response(from, granted, is_bootstrap_voter);
            }
            Message::TransferLeadership { term } => {
                let config = self.core.epoch.config();
                let is_primary = config.is_some_and(|c| c.term == term && c.primary == from.id);
                if is_primary && self.may_take_over() && self.core.acceptor.promised() <= term {
                    self.start_take_over(TakeOverPlan::default());
                }
            }
            Message::Heartbeat { term, sequence, committed, config, echoed_stamp } => {
                if let Some(config) = config {
                    self.observe_config(&config);
                }
                self.on_heartbeat(from, term, &committed, echoed_stamp);
                self.send_heartbeat_response(from, term, sequence);
            }
            _ => {}
        }
    }
}
