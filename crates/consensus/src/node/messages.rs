//! Dispatches the messages of other nodes to their handlers.

use rand_core::RngCore;

use super::Node;
use crate::epoch_config::EpochConfig;
use crate::message::Message;
use crate::take_over::ReceivedPromise;
use crate::term::Member;

impl<R: RngCore> Node<R> {
    /// Dispatches a message. The arms are in the order of the message numbers on the wire.
    pub(super) fn on_message(&mut self, from: Member, message: Message) {
        match message {
            Message::PreVote => self.on_pre_vote(from),
            Message::PreVoteResponse { granted, is_bootstrap_voter, config } => {
                self.observe_attached_config(config);
                if granted {
                    self.on_pre_vote_granted(from, is_bootstrap_voter);
                }
            }
            Message::Prepare { term } => self.on_prepare(from, term),
            Message::Promise { term, is_bootstrap_voter, is_healthy, config, version } => {
                self.observe_attached_config(config);
                let promise = ReceivedPromise { member: from, is_bootstrap_voter, is_healthy, version };
                self.on_promise(term, promise);
            }
            Message::Reject { term, promised } => self.on_reject(term, promised),
            Message::FetchState { term, version } => self.on_fetch_state(from, term, &version),
            Message::FetchedState { term, state } => self.on_fetched_state(term, state),
            Message::ReplicateState { state } => self.on_replicate_state(from, state),
            Message::RewriteUnderNewTerm { version } => self.on_rewrite_under_new_term(from, version),
            Message::Replicated { version } => self.on_state_written(from.id, version),
            Message::MissingBody { version } => self.on_missing_body(from, version),
            Message::Accept { config } => self.on_accept(from, config),
            Message::Accepted { term, is_bootstrap_voter } => {
                self.on_accepted(from, term, is_bootstrap_voter);
            }
            Message::Heartbeat { term, sequence, committed, config, echoed_stamp } => {
                self.observe_attached_config(config);
                self.on_heartbeat(from, term, &committed, echoed_stamp);
                self.send_heartbeat_response(from, term, sequence);
            }
            response @ Message::HeartbeatResponse { .. } => self.on_heartbeat_response(from, &response),
            Message::CommittedState { state } => self.core.publish(state),
            Message::Join { is_bootstrap_voter, known_term } => {
                self.on_join(from, is_bootstrap_voter, known_term);
            }
            Message::KnownConfig { config } => self.observe_config(&config),
            Message::TransferLeadership { term } => self.on_transfer_leadership(from, term),
            Message::RequestRemoval => self.on_request_removal(from),
            Message::RemovalGranted { term } => self.core.removal.grant(term),
            Message::ReplicateDelta { delta } => self.on_replicate_delta(from, delta),
            Message::CommittedDeltas { deltas } => self.on_committed_deltas(deltas),
            Message::OfferSnapshot { offer } => self.on_snapshot_offer(from, offer),
            Message::FetchChunk { version, offset } => self.on_fetch_chunk(from, version, offset),
            Message::SnapshotChunk { chunk } => self.on_snapshot_chunk(from, chunk),
        }
    }

    /// Records the configuration attached to a message.
    fn observe_attached_config(&mut self, config: Option<EpochConfig>) {
        if let Some(config) = config {
            self.observe_config(&config);
        }
    }
}
