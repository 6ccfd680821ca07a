//! Renews the epoch when another configuration would be better, and transfers leadership when this node is not healthy.

use core::time::Duration;

use super::PrimaryState;
use super::membership_plan::MembershipPlan;
use crate::injected_fault::InjectedFault;
use crate::message::Message;
use crate::node_core::NodeCore;
use crate::peers::Peer;
use crate::term::Member;
use crate::transition::{TakeOverPlan, Transition};

/// The longest time that a primary waits for its pending write when it shuts down.
const MAX_SHUTDOWN_WRITE_WAIT: Duration = Duration::from_millis(300);

impl PrimaryState {
    /// Resigns, renews the epoch, or stays primary.
    pub(super) fn renew_if_needed(&self, core: &mut NodeCore) -> Transition {
        if self.must_resign(core) {
            return self.resign(core);
        }
        let has_other_writes = !core.storage.is_idle() && !self.is_writing();
        if core.removal.is_shutting_down() || has_other_writes {
            return Transition::Stay;
        }
        let plan = MembershipPlan { core, primary: self };
        if self.config.is_joint() || self.is_backup_slow(&plan) || self.is_superseded(core) {
            return self.renewal(None);
        }
        let is_new_epoch = core.context.elapsed(self.started_at) < core.context.timings().heartbeat_interval;
        if is_new_epoch || self.is_writing() {
            return Transition::Stay;
        }
        match plan.wanted_members() {
            Some(wanted) => self.renewal(Some(wanted)),
            None if plan.wants_other_backups() => self.renewal(None),
            None => Transition::Stay,
        }
    }

    fn renewal(&self, wanted_members: Option<Vec<Member>>) -> Transition {
        Transition::TakeOver(TakeOverPlan {
            decided_term: Some(self.term),
            wanted_members,
            ..TakeOverPlan::default()
        })
    }

    /// Returns true if a write is stalled, if the node is shutting down and its pending write is finished or takes too
    /// long, or if the last write failed and another member can take over.
    fn must_resign(&self, core: &NodeCore) -> bool {
        let write_age = core.storage.oldest_write_age(core.now());
        let is_stalled = write_age > core.context.timings().local_write_timeout
            && !core.has_fault(InjectedFault::KeepStalledPrimary);
        let is_shutdown_due = core
            .removal
            .shutdown_age(core.now())
            .is_some_and(|age| !self.is_writing() || age >= MAX_SHUTDOWN_WRITE_WAIT);
        is_stalled || is_shutdown_due || core.storage.has_failed() && self.successor(core).is_some()
    }

    /// Returns true if the pending write waits only for backups, and these make no progress in time or other backups are
    /// wanted.
    fn is_backup_slow(&self, plan: &MembershipPlan<'_>) -> bool {
        let core = plan.core;
        let timeout = core.context.timings().backup_write_timeout;
        self.pending_write.as_ref().is_some_and(|write| {
            write.awaits_only_backups()
                && (write.time_without_progress(core.now()) >= timeout || plan.wants_other_backups())
        }) && !core.has_fault(InjectedFault::KeepStalledBackup)
    }

    /// Returns true if a voter promised a higher term so long ago that its proposer must have failed.
    fn is_superseded(&self, core: &NodeCore) -> bool {
        let timeout = core.context.timings().suspicion_timeout / 2;
        self.higher_term_seen_since.is_some_and(|since| core.now() >= since + timeout)
    }

    /// The member that should be primary next: a healthy backup, or else another healthy member.
    fn successor(&self, core: &NodeCore) -> Option<Member> {
        let (now, lease) = (core.now(), core.context.timings().lease);
        let is_able = |member: &&Member| {
            let peer = core.peers.get(member.id);
            member.id != core.local().id
                && peer.is_some_and(|peer| peer.is_healthy() && peer.silence(now) <= lease)
        };
        let rank = |member: &&Member| {
            let received_at = core.peers.get(member.id).map(Peer::last_received_at);
            (self.config.backups.contains(&member.id), received_at)
        };
        self.config.members.iter().filter(is_able).max_by_key(rank).copied()
    }

    /// Steps down, and asks a successor to take over if there is one.
    pub(crate) fn resign(&self, core: &mut NodeCore) -> Transition {
        if let Some(successor) = self.successor(core) {
            core.leadership_transfer.start(&mut core.context, successor.address, self.term);
        }
        Transition::StepDown
    }

    /// Handles the shutdown of a member: grants its removal if nothing more is needed of it.
    pub(crate) fn on_removal_requested(&self, core: &mut NodeCore, from: Member) {
        let may_be_removed = MembershipPlan { core, primary: self }.may_be_removed(from.id);
        if let Some(peer) = core.peers.get_mut(from.id) {
            peer.record_shutdown();
        }
        if may_be_removed {
            core.send(from.address, Message::RemovalGranted { term: self.term });
        }
    }
}
