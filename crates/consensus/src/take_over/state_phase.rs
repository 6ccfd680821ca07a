//! The middle phases of a take-over: fetch the newest state and have it written under the term of the take-over.

use core::time::Duration;

use super::{Phase, ReceivedPromise, RewritePhase, TakeOver};
use crate::control_state::{ControlState, StateVersion};
use crate::disk_writes::DurabilityEffect;
use crate::injected_fault::InjectedFault;
use crate::message::Message;
use crate::node_core::NodeCore;
use crate::snapshot::StatePurpose;
use crate::term::{Member, MemberId, Term};

/// The state is sent to one more candidate after each such interval in which not enough of them have written it.
const SLOW_BACKUP_WAIT: Duration = Duration::from_millis(150);

impl TakeOver {
    /// Requests the newest state from its holders in turn, one at a time, since it may be large.
    pub(super) fn fetch_state(&self, core: &mut NodeCore) {
        if core.transfers.is_fetching(core.now()) {
            return;
        }
        let Phase::FetchState { version, .. } = self.phase else { return };
        let is_holder = |p: &&ReceivedPromise| p.version.is_some_and(|stored| stored.has_same_body(&version));
        let holders: Vec<Member> = self.promises.values().filter(is_holder).map(|p| p.member).collect();
        let waited = core.context.elapsed(self.last_progress_at);
        let interval = core.context.timings().state_resend_interval;
        let turn = (waited.as_millis() / interval.as_millis()) as usize;
        if let Some(holder) = holders.get(turn % holders.len().max(1)) {
            core.send(holder.address, Message::FetchState { term: self.term, version });
        }
    }

    /// Returns true if the take-over is fetching this state.
    pub(crate) fn is_fetching(&self, term: Term, wanted: &StateVersion) -> bool {
        let Phase::FetchState { version, .. } = &self.phase else { return false };
        self.term == term && version.has_same_body(wanted)
    }

    pub(crate) fn on_fetched_state(&mut self, core: &mut NodeCore, term: Term, state: ControlState) {
        let Phase::FetchState { version, backup_candidates } = &self.phase else { return };
        if self.term == term && state.version().has_same_body(version) {
            let backup_candidates = backup_candidates.clone();
            self.rewrite_state(core, state, backup_candidates);
        }
    }

    /// Writes the state under this term, on this node and on the future backups.
    pub(super) fn rewrite_state(
        &mut self,
        core: &mut NodeCore,
        state: ControlState,
        backup_candidates: Vec<MemberId>,
    ) {
        let is_skipped = core.has_fault(InjectedFault::SkipRewriteUnderNewTerm);
        let wanted = core.context.settings().max_failures;
        let state = state.rewritten_under(self.term);
        let written = if is_skipped { wanted } else { 0 };
        let rewrite = RewritePhase {
            state: state.clone(),
            contacted: wanted.min(backup_candidates.len()),
            written: backup_candidates.iter().take(written).copied().collect(),
            missing_body: Vec::new(),
            backup_candidates,
            is_on_local_disk: false,
        };
        self.enter(Phase::RewriteState(rewrite), core.now());
        let durable = core.storage.version();
        let is_durable = durable.is_some_and(|durable| durable.has_same_body(&state.version()));
        let effect = match is_durable && core.storage.is_durable_state_last_in_log() {
            true => DurabilityEffect::RewriteUnderNewTerm(state.version()),
            false => DurabilityEffect::State(state),
        };
        core.write(effect, core.local());
        if !is_skipped {
            self.send_rewrites(core, 0);
        }
    }

    /// Sends the state to the contacted candidates that have not written it, from the given candidate on.
    fn send_rewrites(&self, core: &mut NodeCore, first: usize) {
        let Phase::RewriteState(rewrite) = &self.phase else { return };
        let version = rewrite.state.version();
        // A node that has not written the state may know it as committed, so a large state is sent only if the node lacks it.
        let is_large = rewrite.state.body.len() > core.context.settings().chunk_sizes.large_state_bytes;
        let sends_version_first = is_large && !core.has_fault(InjectedFault::AlwaysSendFullStates);
        let recipients = rewrite.backup_candidates.iter().take(rewrite.contacted).skip(first);
        for id in recipients.filter(|id| !rewrite.written.contains(id)) {
            let Some(promise) = self.promises.get(id) else { continue };
            let holds_body = promise.version.is_some_and(|stored| stored.has_same_body(&version));
            if !rewrite.missing_body.contains(id) && (holds_body || sends_version_first) {
                core.send(promise.member.address, Message::RewriteUnderNewTerm { version });
            } else {
                core.send_state(promise.member, StatePurpose::ReplicateState, rewrite.state.clone());
            }
        }
    }

    /// Sends the state to more candidates if the first ones are slow, or again to all contacted ones.
    pub(super) fn resend_rewrites(&mut self, core: &mut NodeCore, waited: Duration, is_due: bool) {
        let Phase::RewriteState(rewrite) = &mut self.phase else { return };
        let slow = (waited.as_millis() / SLOW_BACKUP_WAIT.as_millis()) as usize;
        let wanted = (core.context.settings().max_failures + slow).min(rewrite.backup_candidates.len());
        let first_new = rewrite.contacted;
        if wanted > first_new {
            rewrite.contacted = wanted;
            self.send_rewrites(core, first_new);
        } else if is_due {
            self.send_rewrites(core, 0);
        }
    }

    /// A candidate lacks the body of the state: sends it the complete state, once.
    pub(crate) fn on_missing_body(&mut self, core: &mut NodeCore, from: Member, version: StateVersion) {
        let Phase::RewriteState(rewrite) = &mut self.phase else { return };
        let is_known = rewrite.missing_body.contains(&from.id) || !self.promises.contains_key(&from.id);
        if rewrite.state.version() != version || is_known {
            return;
        }
        rewrite.missing_body.push(from.id);
        core.send_state(from, StatePurpose::ReplicateState, rewrite.state.clone());
    }

    /// A state under this term is durable on a member. Once enough members have it, the configuration is proposed.
    pub(crate) fn on_state_written(&mut self, core: &mut NodeCore, id: MemberId, version: StateVersion) {
        let Phase::RewriteState(rewrite) = &mut self.phase else { return };
        if rewrite.state.version() != version {
            return;
        }
        if id == core.local().id {
            rewrite.is_on_local_disk = true;
        } else if rewrite.backup_candidates.contains(&id) && !rewrite.written.contains(&id) {
            rewrite.written.push(id);
        }
        let wanted = core.context.settings().max_failures;
        if rewrite.is_on_local_disk && rewrite.written.len() >= wanted {
            let (state, backups) = (rewrite.state.clone(), rewrite.written.iter().take(wanted).copied());
            let backups = backups.collect();
            self.propose_config(core, state, backups);
        }
    }
}
