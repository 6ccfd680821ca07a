//! The first phase of a take-over: collects the promises of a majority, and chooses the members and the newest state.

use core::time::Duration;

use super::{NextMembers, Phase, ReceivedPromise, TakeOver};
use crate::control_state::{ControlState, StateVersion};
use crate::epoch_config::EpochConfig;
use crate::injected_fault::InjectedFault;
use crate::message::Message;
use crate::node_core::NodeCore;
use crate::term::{Member, MemberId, Term};
use crate::transition::Transition;

/// More promises than this are ignored.
const MAX_PROMISES: usize = 64;
/// How long a take-over waits for enough healthy backups before it chooses others.
const HEALTHY_BACKUP_WAIT: Duration = Duration::from_millis(200);

impl TakeOver {
    /// This node's own promise is durable: requests those of the others.
    pub(crate) fn on_local_promise_written(&mut self, core: &mut NodeCore, term: Term) -> Transition {
        if self.term != term || self.phase != Phase::LocalPromise {
            return Transition::Stay;
        }
        self.enter(Phase::Prepare, core.now());
        self.request_promises(core);
        let promise = ReceivedPromise {
            member: core.local(),
            is_bootstrap_voter: core.is_bootstrap_voter(),
            is_healthy: core.is_healthy(),
            version: core.storage.version(),
        };
        self.on_promise(core, term, promise)
    }

    pub(super) fn request_promises(&self, core: &mut NodeCore) {
        let members = self.plan.founding_members.clone().unwrap_or_else(|| prepare_recipients(core));
        let promised = self.votes();
        for member in members.iter().filter(|member| !promised.includes(member)) {
            core.send(member.address, Message::Prepare { term: self.term });
        }
    }

    pub(crate) fn on_promise(
        &mut self,
        core: &mut NodeCore,
        term: Term,
        promise: ReceivedPromise,
    ) -> Transition {
        let id = promise.member.id;
        if self.term != term || self.promises.len() >= MAX_PROMISES || self.promises.contains_key(&id) {
            return Transition::Stay;
        }
        self.promises.insert(id, promise);
        self.promise_order.push(id);
        self.evaluate_promises(core)
    }

    /// Once there are enough promises, chooses members and backup candidates, and rewrites or fetches the newest state.
    pub(super) fn evaluate_promises(&mut self, core: &mut NodeCore) -> Transition {
        if self.phase != Phase::Prepare {
            return Transition::Stay;
        }
        // A configuration that was only seen counts like an accepted one: a node has proposed it, so it may have been
        // decided.
        let base = core.epoch.config().filter(|config| config.term < self.term).cloned();
        let is_founding = self.plan.founding_members.is_some();
        if !is_founding && base.as_ref().is_some_and(|config| !config.has_member(core.local().id)) {
            return Transition::StepDown;
        }
        if !self.has_enough_promises(core, base.as_ref()) {
            return Transition::Stay;
        }
        let next_members = self.choose_members(core, base.as_ref());
        let Some(backup_candidates) = self.choose_backups(core, &next_members.members) else {
            return Transition::Stay;
        };
        let newest = self.newest_version(core);
        let state = match newest {
            // Only bootstrap voters, and a forced recovery of nodes without a state, start with an empty state.
            None => (base.is_none() || is_founding).then(ControlState::default),
            Some(newest) => core.find_state(&newest).cloned(),
        };
        self.base_term = base.map(|config| config.term).unwrap_or_default();
        self.next_members = next_members;
        match (state, newest) {
            (Some(state), _) => self.rewrite_state(core, state, backup_candidates),
            (None, Some(version)) => {
                self.enter(Phase::FetchState { version, backup_candidates }, core.now());
                self.fetch_state(core);
            }
            (None, None) => return Transition::StepDown,
        }
        Transition::Stay
    }

    fn has_enough_promises(&self, core: &NodeCore, base: Option<&EpochConfig>) -> bool {
        let votes = self.votes();
        if let Some(members) = &self.plan.founding_members {
            return members.iter().all(|member| votes.includes(member));
        }
        match base {
            Some(base) => votes.are_quorum_of(base, core.quorum_rule()) && votes.include_state_holder(base),
            None => votes.are_majority_of(&core.known_voters()),
        }
    }

    /// The highest of the state versions that the promises report.
    fn newest_version(&self, core: &NodeCore) -> Option<StateVersion> {
        // In a forced recovery, the state that this node knows to be committed may be on none of the remaining disks.
        let is_founding = self.plan.founding_members.is_some();
        let committed = core.learner.committed().filter(|_| is_founding).map(ControlState::version);
        let versions = self.promises.values().filter_map(|promise| promise.version).chain(committed);
        match core.has_fault(InjectedFault::NewestByRevision) {
            true => versions.max_by_key(|v| (v.revision, v.write_term, v.first_write_term)),
            false => versions.max(),
        }
    }

    /// Chooses the members of the new configuration.
    fn choose_members(&self, core: &NodeCore, base: Option<&EpochConfig>) -> NextMembers {
        if let Some(members) = self.plan.founding_members.clone() {
            return NextMembers { outgoing: members.clone(), members };
        }
        let Some(base) = base else { return self.choose_first_members(core) };
        // Members change only from a configuration that is known to be decided. Any other one may have to be completed first.
        if self.plan.decided_term != Some(base.term) {
            let (outgoing, members) = (base.outgoing_members.clone(), base.members.clone());
            return NextMembers { outgoing, members };
        }
        let wanted = self.plan.wanted_members.clone().filter(|_| !base.is_joint());
        let members = wanted.unwrap_or_else(|| base.members.clone());
        NextMembers { outgoing: base.members.clone(), members }
    }

    /// Chooses the first members: this node, then the bootstrap voters whose disks are known, then others. The outgoing
    /// members are the bootstrap voters by their addresses, so that these decide on the first configuration.
    fn choose_first_members(&self, core: &NodeCore) -> NextMembers {
        let voters = core.bootstrap_voters().unwrap_or_default();
        let mut known: Vec<(bool, Member)> =
            core.joins.recent(core.now()).map(|join| (join.is_bootstrap_voter, join.member)).collect();
        known.extend(self.promises.values().map(|p| (p.is_bootstrap_voter, p.member)));
        known.sort_by_key(|(is_bootstrap_voter, member)| (!is_bootstrap_voter, *member));
        let mut members = vec![core.local()];
        for (_, member) in known {
            let is_new = members.iter().all(|m| m.id != member.id && m.address != member.address);
            if is_new && members.len() < core.context.settings().member_count() {
                members.push(member);
            }
        }
        NextMembers { outgoing: voters.iter().copied().map(Member::bootstrap_voter).collect(), members }
    }

    /// The members that may become backups, best first: healthy ones, then those with the state of this node, then those
    /// that promised first. `None` while there are too few, or while waiting for healthy ones.
    fn choose_backups(&self, core: &NodeCore, members: &[Member]) -> Option<Vec<MemberId>> {
        let wanted = core.context.settings().max_failures;
        let local_version = core.storage.version();
        let mut eligible: Vec<(&MemberId, &ReceivedPromise)> = self.promises.iter().collect();
        eligible.retain(|(id, _)| **id != core.local().id && members.iter().any(|m| m.id == **id));
        let rank = |id: &MemberId| self.promise_order.iter().position(|promised| promised == id);
        eligible.sort_by_key(|(id, p)| {
            (!p.is_healthy, p.version.is_none() || p.version != local_version, rank(id))
        });
        let healthy = eligible.iter().filter(|(_, promise)| promise.is_healthy).count();
        let has_waited = core.context.elapsed(self.last_progress_at) >= HEALTHY_BACKUP_WAIT;
        let is_enough = healthy >= wanted || eligible.len() >= wanted && has_waited;
        is_enough.then(|| eligible.into_iter().map(|(id, _)| *id).collect())
    }
}

/// The nodes that promises are requested from: the voters. Before there is a configuration, also other nodes that have
/// sent join requests.
fn prepare_recipients(core: &NodeCore) -> Vec<Member> {
    let mut members = core.known_voters();
    if core.epoch.config().is_none() {
        let joining = core.joins.recent(core.now()).filter(|join| !join.is_bootstrap_voter);
        members.extend(joining.map(|join| join.member));
    }
    members
}
