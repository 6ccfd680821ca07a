//! The role of a node that takes over (a candidate in Raft): collects promises, fetches the newest state, has it written
//! under its term, and proposes a configuration.

mod accept_phase;
mod promise_phase;
mod state_phase;

use core::time::Duration;
use std::collections::BTreeMap;

use mosshead_time::Instant;

use crate::control_state::{ControlState, StateVersion};
use crate::epoch_config::EpochConfig;
use crate::injected_fault::InjectedFault;
use crate::limits::MAX_TRANSFER_TIME;
use crate::node_core::NodeCore;
use crate::term::{Member, MemberId, Term};
use crate::transition::{TakeOverPlan, Transition};
use crate::votes::Votes;

/// A renewal is retried under a higher term after each of this many rejections in a row; the next one ends it.
const MAX_REJECTIONS: u8 = 3;

/// An attempt to become primary.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct TakeOver {
    term: Term,
    plan: TakeOverPlan,
    phase: Phase,
    /// When the phase last made progress.
    last_progress_at: Instant,
    phase_started_at: Instant,
    /// When the messages of the phase were last sent.
    sent_at: Instant,
    promises: BTreeMap<MemberId, ReceivedPromise>,
    /// The members that have promised, earliest first.
    promise_order: Vec<MemberId>,
    /// The term of the configuration that the new one follows; the lowest term until the promises are evaluated.
    base_term: Term,
    /// The members of the new configuration.
    next_members: NextMembers,
}

/// The promise of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ReceivedPromise {
    pub(crate) member: Member,
    pub(crate) is_bootstrap_voter: bool,
    pub(crate) is_healthy: bool,
    /// The state on its disk.
    pub(crate) version: Option<StateVersion>,
}

/// The members of the configuration to propose.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct NextMembers {
    /// The [`EpochConfig::outgoing_members`].
    outgoing: Vec<Member>,
    members: Vec<Member>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// This node's own promise is being written. The term is sent to others only once it is durable here, so that it is
    /// not used again after a power loss.
    LocalPromise,
    /// Promises are requested from the others.
    Prepare,
    /// The newest state is being fetched from a node that holds it. The backup candidates are
    /// those of the next phase.
    FetchState { version: StateVersion, backup_candidates: Vec<MemberId> },
    /// The newest state is being written under this term, on this node and on the future backups.
    RewriteState(RewritePhase),
    /// The configuration has been proposed to the voters.
    Accept { config: EpochConfig, state: ControlState, votes: Votes, is_on_local_disk: bool },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RewritePhase {
    state: ControlState,
    /// The members that may become backups, best first; without this node.
    backup_candidates: Vec<MemberId>,
    /// How many of the candidates, counted from the first one, were sent the state.
    contacted: usize,
    /// The candidates that have written the state, earliest first.
    written: Vec<MemberId>,
    /// The candidates that have reported the body as missing.
    missing_body: Vec<MemberId>,
    is_on_local_disk: bool,
}

impl TakeOver {
    pub(crate) fn new(term: Term, plan: TakeOverPlan, now: Instant) -> TakeOver {
        TakeOver {
            term,
            plan,
            phase: Phase::LocalPromise,
            last_progress_at: now,
            phase_started_at: now,
            sent_at: now,
            promises: BTreeMap::new(),
            promise_order: Vec::new(),
            base_term: Term::default(),
            next_members: NextMembers::default(),
        }
    }

    pub(crate) fn term(&self) -> Term {
        self.term
    }

    /// Returns true if a primary takes over from itself.
    pub(crate) fn is_renewal(&self) -> bool {
        self.plan.decided_term.is_some()
    }

    pub(crate) fn set_rejections(&mut self, rejections: u8) {
        self.plan.rejections = rejections;
    }

    /// The promises as votes.
    fn votes(&self) -> Votes {
        let mut votes = Votes::default();
        for promise in self.promises.values() {
            votes.add(promise.member, promise.is_bootstrap_voter);
        }
        votes
    }

    fn enter(&mut self, phase: Phase, now: Instant) {
        self.phase = phase;
        self.last_progress_at = now;
        self.phase_started_at = now;
        self.sent_at = now;
    }

    /// Returns true if the phase had timed out before this step, for example during a suspension of the process:
    /// responses that arrived meanwhile don't count.
    pub(crate) fn is_overdue(&self, core: &NodeCore) -> bool {
        core.context.elapsed(self.last_progress_at) > core.context.timings().take_over_step_timeout
            && !core.has_fault(InjectedFault::ResumeSuspendedTakeOver)
    }

    /// Handles the rejection by a node that has promised a higher term.
    pub(crate) fn on_reject(&self, term: Term, promised: Term) -> Transition {
        if self.term != term || promised <= term {
            return Transition::Stay;
        }
        let rejections = self.plan.rejections + 1;
        if !self.is_renewal() || rejections > MAX_REJECTIONS {
            return Transition::StepDown;
        }
        // The others still trust this primary, so nobody else will take over for a while.
        Transition::TakeOver(TakeOverPlan { rejections, ..self.plan.clone() })
    }

    /// A chunk of the state that this take-over waits for has arrived or was requested.
    pub(crate) fn record_transfer_progress(&mut self, core: &NodeCore, version: StateVersion) {
        let is_awaited = match &self.phase {
            Phase::FetchState { version: fetched, .. } => fetched.has_same_body(&version),
            Phase::RewriteState(rewrite) => rewrite.state.version() == version,
            _ => false,
        };
        let is_ignored = core.has_fault(InjectedFault::IgnoreTransferProgress);
        let max_phase = if is_ignored { Duration::ZERO } else { MAX_TRANSFER_TIME };
        if is_awaited && core.context.elapsed(self.phase_started_at) < max_phase {
            self.last_progress_at = core.now();
        }
    }

    pub(crate) fn run_timers(&mut self, core: &mut NodeCore) -> Transition {
        // A renewal is not aborted, so that the primary can name its successor.
        let is_aborted = core.removal.is_shutting_down() && !self.is_renewal();
        let without_progress = core.context.elapsed(self.last_progress_at);
        if without_progress >= core.context.timings().take_over_step_timeout || is_aborted {
            return Transition::StepDown;
        }
        let is_due = self.take_due_resend(core);
        match &mut self.phase {
            Phase::Prepare => {
                if is_due {
                    self.request_promises(core);
                }
                return self.evaluate_promises(core);
            }
            Phase::FetchState { .. } if is_due => self.fetch_state(core),
            Phase::RewriteState(_) => self.resend_rewrites(core, without_progress, is_due),
            Phase::Accept { .. } if is_due => self.send_accepts(core),
            _ => {}
        }
        Transition::Stay
    }

    /// Returns true if the messages of the phase are due to be sent again. If so, restarts the interval.
    fn take_due_resend(&mut self, core: &NodeCore) -> bool {
        let timings = core.context.timings();
        let interval = match self.phase {
            Phase::FetchState { .. } | Phase::RewriteState(_) => timings.state_resend_interval,
            _ => timings.resend_interval,
        };
        let is_due = core.context.elapsed(self.sent_at) >= interval;
        if is_due {
            self.sent_at = core.now();
        }
        is_due
    }
}
