//! The acceptor (as in Paxos): what this disk promises and accepts.
//!
//! A handler returns the write that a message requires, if any. The node first raises the promise, which ends a role
//! under a lower term, and then starts the write. No response is sent before the write is synced.

use mosshead_time::Instant;

use crate::context::Context;
use crate::control_state::{ControlState, StateVersion};
use crate::disk_writes::DurabilityEffect;
use crate::epoch_config::EpochConfig;
use crate::injected_fault::InjectedFault;
use crate::message::Message;
use crate::state_delta::StateDelta;
use crate::storage::Storage;
use crate::term::{Member, Term};

/// The promises of this disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Acceptor {
    /// Messages of lower terms are rejected. Never decreases. The promise is durable before its proposer gets the
    /// response.
    promised: Term,
    /// No pre-vote is granted until then, so that the proposer of the promised term can finish.
    withholds_pre_votes_until: Instant,
}

impl Acceptor {
    pub(crate) fn new(promised: Term) -> Acceptor {
        Acceptor { promised, withholds_pre_votes_until: Instant::ORIGIN }
    }

    pub(crate) fn promised(&self) -> Term {
        self.promised
    }

    /// Rejects lower terms from now on, even before the promise is durable.
    pub(crate) fn raise_promise(&mut self, term: Term) {
        self.promised = self.promised.max(term);
    }

    pub(crate) fn withholds_pre_votes(&self, now: Instant) -> bool {
        now < self.withholds_pre_votes_until
    }

    /// Grants no pre-votes for a while, so that the proposer of the promised term can finish.
    pub(crate) fn withhold_pre_votes(&mut self, context: &Context) {
        self.withholds_pre_votes_until = context.now() + context.timings().suspicion_timeout / 2;
    }

    /// Returns true if a message of this term may be accepted: the term is not below the promised one, it belongs to the
    /// sender, and not too many writes are pending. The sender of a lower term gets a rejection with the promised one.
    pub(crate) fn admits(&self, context: &mut Context, storage: &Storage, from: Member, term: Term) -> bool {
        if term < self.promised {
            context.send(from.address, Message::Reject { term, promised: self.promised });
        }
        // A term belongs to one disk: a write of another disk under it could not be told apart from that disk's writes.
        term >= self.promised && term.proposer == from.id && !storage.is_full()
    }

    /// Returns true if a term has another fencing token than the promised one, or is that one. Two primaries with the
    /// same token could not be told apart by those who receive their orders. The sender of such a term gets a rejection,
    /// and proposes a higher one.
    pub(crate) fn can_distinguish(&self, context: &mut Context, from: Member, term: Term) -> bool {
        let is_ambiguous = term != self.promised && term.fencing_token() == self.promised.fencing_token();
        if is_ambiguous {
            context.send(from.address, Message::Reject { term, promised: self.promised });
        }
        !is_ambiguous
    }

    /// The write for a promise; `None` if the term is not above the promised one.
    pub(crate) fn on_prepare(&mut self, context: &Context, term: Term) -> Option<DurabilityEffect> {
        if term <= self.promised {
            return None;
        }
        self.withhold_pre_votes(context);
        Some(DurabilityEffect::Promise(term))
    }

    /// Returns true if a state of the sender has to be written. If it is durable already, the response is sent.
    pub(crate) fn wants_state(
        &self,
        context: &mut Context,
        storage: &Storage,
        from: Member,
        version: &StateVersion,
    ) -> bool {
        self.admits(context, storage, from, version.write_term)
            && !respond_if_durable(context, storage, from, version)
    }

    /// Like [`Acceptor::wants_state`], but with [`InjectedFault::ForgetPromise`] also below the promised term.
    fn accepts_write(
        &self,
        context: &mut Context,
        storage: &Storage,
        from: Member,
        version: &StateVersion,
    ) -> bool {
        if context.has_fault(InjectedFault::ForgetPromise) && version.write_term.proposer == from.id {
            return !respond_if_durable(context, storage, from, version);
        }
        self.wants_state(context, storage, from, version)
    }

    /// The write for a complete state.
    pub(crate) fn on_replicate_state(
        &self,
        context: &mut Context,
        storage: &Storage,
        from: Member,
        state: ControlState,
    ) -> Option<DurabilityEffect> {
        self.accepts_write(context, storage, from, &state.version())
            .then(|| storage.state_effect(context, None, state))
    }

    /// The write for a delta to the previous state. If that state is missing here, the sender gets a
    /// [`Message::MissingBody`].
    pub(crate) fn on_replicate_delta(
        &self,
        context: &mut Context,
        storage: &Storage,
        from: Member,
        delta: StateDelta,
    ) -> Option<DurabilityEffect> {
        let version = delta.version();
        if !self.accepts_write(context, storage, from, &version) {
            return None;
        }
        let is_unchecked = context.has_fault(InjectedFault::ApplyDeltaToAnyState);
        let apply = |previous: &ControlState| match is_unchecked {
            true => delta.apply_unchecked(previous),
            false => delta.apply(previous),
        };
        let Some(state) = storage.latest_state().and_then(apply) else {
            context.send(from.address, Message::MissingBody { version });
            return None;
        };
        Some(storage.state_effect(context, Some(delta), state))
    }

    /// The write for a state whose body this node should have, under a new term. If the body is missing here, the sender
    /// gets a [`Message::MissingBody`]. `committed` is the newest committed state.
    pub(crate) fn on_rewrite_under_new_term(
        &self,
        context: &mut Context,
        storage: &Storage,
        committed: Option<&ControlState>,
        from: Member,
        version: StateVersion,
    ) -> Option<DurabilityEffect> {
        if !self.wants_state(context, storage, from, &version) {
            return None;
        }
        let has_body = |state: &&ControlState| state.version().has_same_body(&version);
        let durable = storage.state().filter(has_body);
        if durable.is_some() && storage.is_durable_state_last_in_log() {
            return Some(DurabilityEffect::RewriteUnderNewTerm(version));
        }
        let Some(state) = durable.or(committed.filter(has_body)) else {
            context.send(from.address, Message::MissingBody { version });
            return None;
        };
        Some(DurabilityEffect::State(state.rewritten_under(version.write_term)))
    }

    /// The write for a configuration that is not durable; `None` if it is being written already.
    pub(crate) fn on_accept(&self, storage: &Storage, config: EpochConfig) -> Option<DurabilityEffect> {
        (!storage.is_writing_config(config.term)).then_some(DurabilityEffect::Accept(config))
    }
}

/// Sends the response if the state is durable. Returns true if this state, or a newer one, is durable or being written.
fn respond_if_durable(
    context: &mut Context,
    storage: &Storage,
    from: Member,
    version: &StateVersion,
) -> bool {
    if storage.version() == Some(*version) {
        context.send(from.address, Message::Replicated { version: *version });
    }
    storage.includes_version(version)
}
