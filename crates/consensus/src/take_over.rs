//! The role of a node that attempts to become primary: it collects promises, fetches the newest state, has it written under
//! its term, and proposes a configuration.

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

/// A renewal is repeated under a higher term after each of this many rejections in a row; one more ends it.
const MAX_REJECTIONS: u8 = 3;

/// An attempt to become primary.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct TakeOver {
    term: Term,
    plan: TakeOverPlan,
    phase: Phase,
    /// Since when the phase has made no progress.
    last_progress_at: Instant,
    phase_started_at: Instant,
    /// When the messages of the phase were sent last.
    sent_at: Instant,
    promises: BTreeMap<MemberId, ReceivedPromise>,
    /// Those that have promised, earliest first.
    promise_order: Vec<MemberId>,
    /// The term of the configuration that the new one follows; the lowest one before the promises were evaluated.
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

/// The members of the configuration that is to be proposed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct NextMembers {
    /// The [`EpochConfig::outgoing_members`].
    outgoing: Vec<Member>,
    members: Vec<Member>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// The own promise is being written. The term is sent to others only when it is durable here, so that it isn't used
    /// twice after a loss of power.
    LocalPromise,
    /// Promises are requested from the others.
    Prepare,
    /// The newest state is fetched from one of those that hold it. The candidates are those of the next phase.
    FetchState { version: StateVersion, candidates: Vec<MemberId> },
    /// The newest state is written under this term, here and at the backups to be.
    RewriteState(RewritePhase),
    /// The configuration is proposed.
    Accept { config: EpochConfig, state: ControlState, votes: Votes, is_on_local_disk: bool },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RewritePhase {
    state: ControlState,
    /// The members that may be backups, best first; without this node.
    candidates: Vec<MemberId>,
    /// How many of the candidates were sent the state, from the first on.
    contacted: usize,
    /// Those that have written the state, earliest first.
    written: Vec<MemberId>,
    /// Those that have reported the body as missing.
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

    /// Whether a primary takes over from itself.
    pub(crate) fn is_renewal(&self) -> bool {
        self.plan.decided_term.is_some()
    }

    pub(crate) fn set_rejections(&mut self, rejections: u8) {
        self.plan.rejections = rejections;
    }

    /// Those that have promised.
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

    /// Whether the phase was overdue before this step, as after a suspension of the process: responses that arrived meanwhile
    /// don't count.
    pub(crate) fn is_overdue(&self, core: &NodeCore) -> bool {
        core.context.elapsed(self.last_progress_at) > core.context.timings().take_over_step_timeout
            && !core.has_fault(InjectedFault::ResumeSuspendedTakeOver)
    }

    /// Another node has promised a higher term.
    pub(crate) fn on_reject(&self, term: Term, promised: Term) -> Transition {
        if self.term != term || promised <= term {
            return Transition::Stay;
        }
        let rejections = self.plan.rejections + 1;
        if !self.is_renewal() || rejections > MAX_REJECTIONS {
            return Transition::StepDown;
        }
        // The others still trust this primary: nobody else will take over for a while.
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
        // A renewal finishes, so that the primary can name its successor.
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

    /// Whether the messages of the phase are to be sent again. If so, the next time is set.
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
