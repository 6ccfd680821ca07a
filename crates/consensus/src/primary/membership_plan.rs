//! Plans the members of the next epoch, and detects when it should have other backups.

use core::time::Duration;

use super::PrimaryState;
use crate::injected_fault::InjectedFault;
use crate::node_core::NodeCore;
use crate::peers::Peer;
use crate::term::{Member, MemberId, Term};
use crate::timings::Timings;

/// Plans the next epoch from what the primary knows about its peers.
pub(super) struct MembershipPlan<'a> {
    pub(super) core: &'a NodeCore,
    pub(super) primary: &'a PrimaryState,
}

impl MembershipPlan<'_> {
    fn peer(&self, id: MemberId) -> Option<&Peer> {
        self.core.peers.get(id)
    }

    fn has_recent_message(&self, peer: &Peer) -> bool {
        peer.has_recent_message(self.core.now())
    }

    fn is_departing(&self, id: MemberId) -> bool {
        self.core.removal.is_departing(id, self.core.now())
    }

    /// Returns true if the peer could take part in the next epoch.
    fn is_available(&self, peer: &Peer) -> bool {
        peer.is_healthy() && self.has_recent_message(peer) && !self.is_departing(peer.member().id)
    }

    fn has_lost_backup(&self) -> bool {
        let suspicion_timeout = self.core.context.timings().suspicion_timeout;
        let is_present = |peer: &Peer| {
            peer.is_healthy()
                && !self.is_departing(peer.member().id)
                && peer.silence(self.core.now()) <= suspicion_timeout
        };
        self.primary.config.backups.iter().any(|id| !self.peer(*id).is_some_and(is_present))
    }

    /// Returns true if a backup is lost and a witness is available to replace it.
    pub(super) fn wants_other_backups(&self) -> bool {
        let config = &self.primary.config;
        let is_available_witness = |member: &Member| {
            member.id != self.core.local().id
                && !config.backups.contains(&member.id)
                && self.peer(member.id).is_some_and(|peer| self.is_available(peer))
        };
        !self.core.has_fault(InjectedFault::KeepStalledBackup)
            && self.has_lost_backup()
            && config.members.iter().any(is_available_witness)
    }

    /// The members that the next epoch should have; `None` if no change is needed. Several may change at once, because
    /// both the outgoing and the new members decide on the complete list.
    pub(super) fn wanted_members(&self) -> Option<Vec<Member>> {
        if self.core.has_fault(InjectedFault::NeverReplaceMembers) {
            return None;
        }
        let mut members = self.primary.config.members.clone();
        let one_at_a_time = self.core.has_fault(InjectedFault::OneNewcomerAtATime);
        let (mut has_changed, mut has_unassigned_newcomer) = (false, false);
        for newcomer in self.newcomers() {
            match self.assign_slot(&mut members, newcomer) {
                true => has_changed = true,
                false => has_unassigned_newcomer = true,
            }
            if has_changed && one_at_a_time {
                break;
            }
        }
        let is_deferred = has_unassigned_newcomer
            && !one_at_a_time
            && members.iter().any(|m| self.is_nearly_replaceable(m));
        (has_changed && !is_deferred).then_some(members)
    }

    /// The nodes that may become members. Those at the address of a member come first, since they replace its disk. Of two
    /// disks at one address, the one that has sent the most recent message comes last, and so gets the slot in the end.
    fn newcomers(&self) -> Vec<Member> {
        let config = &self.primary.config;
        // The last message of a disk that was wiped may be recent, too. Only a response in this epoch shows that the disk
        // exists.
        let exists = |peer: &Peer| {
            peer.answered_term() == self.primary.term || self.core.has_fault(InjectedFault::StaleNewcomer)
        };
        let mut newcomers: Vec<&Peer> = self
            .core
            .peers
            .iter()
            .filter(|peer| !config.has_member(peer.member().id))
            .filter(|peer| peer.member().address != self.core.local().address)
            .filter(|peer| self.is_available(peer) && exists(peer))
            .collect();
        let replaces_disk = |p: &Peer| config.members.iter().any(|m| m.address == p.member().address);
        newcomers.sort_by_key(|peer| (!replaces_disk(peer), peer.last_received_at()));
        newcomers.into_iter().map(Peer::member).collect()
    }

    /// Assigns a slot to a newcomer: that of the former disk at its address, a free one, or that of a member whose
    /// last healthy report is too old or that is shutting down. Returns true if there was one.
    fn assign_slot(&self, members: &mut Vec<Member>, newcomer: Member) -> bool {
        if let Some(slot) = members.iter_mut().find(|m| m.address == newcomer.address) {
            *slot = newcomer;
            return true;
        }
        if members.len() < self.core.context.settings().member_count() {
            members.push(newcomer);
            return true;
        }
        let Some(replaced) =
            self.longest_unhealthy(members).or_else(|| self.departing_member_to_replace(members))
        else {
            return false;
        };
        let Some(slot) = members.iter_mut().find(|m| m.id == replaced) else { return false };
        *slot = newcomer;
        true
    }

    /// The time since the member last reported that it is healthy; [`Duration::MAX`] if nothing is known about it.
    fn time_since_healthy(&self, member: &Member) -> Duration {
        self.peer(member.id).map_or(Duration::MAX, |p| self.core.context.elapsed(p.last_healthy_at()))
    }

    /// Returns true if the member becomes replaceable within one heartbeat interval. A change waits for it if newcomers are
    /// left over, so that members that failed together are replaced by one change.
    fn is_nearly_replaceable(&self, member: &Member) -> bool {
        let timings = self.core.context.timings();
        let elapsed = self.time_since_healthy(member);
        member.id != self.core.local().id
            && elapsed <= timings.replacement_timeout
            && elapsed + timings.heartbeat_interval > timings.replacement_timeout
    }

    /// The member whose last healthy report is the oldest, if it is older than the replacement timeout.
    fn longest_unhealthy(&self, members: &[Member]) -> Option<MemberId> {
        let others = members.iter().filter(|m| m.id != self.core.local().id);
        let longest = others.max_by_key(|m| self.time_since_healthy(m))?;
        let replacement_timeout = match self.core.has_fault(InjectedFault::IgnoreJoinDeadline) {
            true => Timings::default().replacement_timeout,
            false => self.core.context.timings().replacement_timeout,
        };
        (self.time_since_healthy(longest) > replacement_timeout).then_some(longest.id)
    }

    /// A member that is shutting down, if enough of the remaining members can be backups.
    fn departing_member_to_replace(&self, members: &[Member]) -> Option<MemberId> {
        if self.core.has_fault(InjectedFault::KeepDepartingMembers) {
            return None;
        }
        let others = || members.iter().filter(|m| m.id != self.core.local().id);
        let departing = others().find(|m| self.is_departing(m.id))?;
        let has_recent_message =
            |m: &Member| self.peer(m.id).is_some_and(|peer| self.has_recent_message(peer));
        let remains = |m: &&Member| {
            m.id != departing.id && self.primary.config.has_member(m.id) && has_recent_message(m)
        };
        let remaining_count = others().filter(remains).count();
        (remaining_count >= self.core.context.settings().max_failures).then_some(departing.id)
    }

    /// Returns true if the member may shut down: it has no vote; or it holds no state, the members are not changing, and
    /// no newcomer waits for its slot.
    ///
    /// A member that shuts down while no newcomer waits for its slot remains in the configuration: the membership must
    /// not shrink, so that the return of the member compensates for the next loss at once.
    pub(super) fn may_be_removed(&self, id: MemberId) -> bool {
        let config = &self.primary.config;
        if !config.has_voter(id) {
            return true;
        }
        !config.is_joint() && !config.holds_state(id) && !self.has_newcomer_waiting()
    }

    /// Returns true if a node that is no member has sent a recent message, and could become a member or has not reported
    /// yet whether it could.
    fn has_newcomer_waiting(&self) -> bool {
        self.core.peers.iter().any(|peer| {
            let is_unknown = peer.answered_term() == Term::default();
            !self.primary.config.has_member(peer.member().id)
                && !self.is_departing(peer.member().id)
                && self.has_recent_message(peer)
                && (peer.is_healthy() || is_unknown)
        })
    }
}
