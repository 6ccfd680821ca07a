use rand_core::RngCore;

use crate::control_state::{Member, MemberId, Term};
use crate::event::Output;
use crate::message::Message;
use crate::node::{Handing, Node, Role};
use crate::replication::{Lead, Peer};
use crate::settings::{InjectedFault, Timings};

const LATELY: u64 = 350;

impl<R: RngCore> Node<R> {
    /// A primary takes over from itself when its epoch doesn't fit any more, and gives its place away when it isn't fit.
    pub(crate) fn renewal_timers(&mut self) {
        let timings = self.settings.timings.clone();
        let now = self.now;
        let Role::Primary(lead) = &self.role else { return };
        let stalled = self.writes.age(now) > timings.local_write_timeout
            && !self.settings.has(InjectedFault::KeepStalledPrimary);
        let stops = self.stopping.is_some_and(|at| lead.pending_write.is_none() || now - at >= 300);
        let refused = self.writes.failed.is_some() && self.successor().is_some();
        if stalled || stops || refused {
            return self.resign();
        }
        if self.stopping.is_some() || !self.writes.queue.is_empty() && lead.pending_write.is_none() {
            return;
        }
        let decided = Some(lead.term);
        let late = |since| now - since >= timings.backup_write_timeout || self.wants_other_backups();
        let slow = lead.pending_write.as_ref().is_some_and(|f| f.own && late(f.since));
        let slow = slow && !self.settings.has(InjectedFault::KeepStalledBackup);
        let outbid = lead.outbid.is_some_and(|at| now - at >= timings.suspicion_timeout / 2);
        if lead.record.is_joint() || slow || outbid {
            return self.start_take_over(decided, None);
        }
        if now - lead.since < timings.heartbeat_interval || lead.pending_write.is_some() {
            return;
        }
        if let Some(wish) = self.wanted_members() {
            self.start_take_over(decided, Some(wish));
        } else if self.wants_other_backups() {
            self.start_take_over(decided, None);
        }
    }

    pub(crate) fn is_heard_lately(&self, peer: &Peer) -> bool {
        self.now.saturating_sub(peer.heard) <= LATELY
    }

    fn is_near(&self, peer: &Peer) -> bool {
        peer.is_healthy && self.is_heard_lately(peer) && !self.leaving.includes(peer.member.id, self.now)
    }

    fn lost_backup(&self, lead: &Lead) -> bool {
        let suspect = self.settings.timings.suspicion_timeout;
        let good = |p: &Peer| {
            let leaves = self.leaving.includes(p.member.id, self.now);
            p.is_healthy && !leaves && self.now.saturating_sub(p.heard) <= suspect
        };
        lead.record.backups.iter().any(|id| !self.peers.get(id).is_some_and(good))
    }

    /// Whether a backup is lost and a witness is there for its place.
    fn wants_other_backups(&self) -> bool {
        let Role::Primary(lead) = &self.role else { return false };
        let spare = |m: &Member| {
            m.id != self.me.id
                && !lead.record.backups.contains(&m.id)
                && self.peers.get(&m.id).is_some_and(|p| self.is_near(p))
        };
        !self.settings.has(InjectedFault::KeepStalledBackup)
            && self.lost_backup(lead)
            && lead.record.members.iter().any(spare)
    }

    /// The members as they should be, if other than they are. Several may change at once: the old and the new ones decide
    /// on the whole list.
    fn wanted_members(&self) -> Option<Vec<Member>> {
        let Role::Primary(lead) = &self.role else { return None };
        if self.settings.has(InjectedFault::KeepMembers) {
            return None;
        }
        let mut members = lead.record.members.clone();
        let one_at_a_time = self.settings.has(InjectedFault::OneNewcomerAtATime);
        let (mut changed, mut unplaced) = (false, false);
        for newcomer in self.newcomers(lead) {
            match self.find_place(&mut members, newcomer) {
                true => changed = true,
                false => unplaced = true,
            }
            if changed && one_at_a_time {
                break;
            }
        }
        let waits = unplaced && members.iter().any(|m| self.is_nearly_replaceable(m)) && !one_at_a_time;
        (changed && !waits).then_some(members)
    }

    /// Those that may become members: first those at the address of one, whose disk they follow; of two disks at one
    /// address the one heard last takes the place in the end.
    fn newcomers(&self, lead: &Lead) -> Vec<Member> {
        // Danger: a disk that was wiped is heard lately, too. Only what has answered in this epoch is there.
        let is_here = |p: &Peer| p.answered == lead.term || self.settings.has(InjectedFault::StaleNewcomer);
        let mut found: Vec<&Peer> = self
            .peers
            .values()
            .filter(|p| lead.record.member(p.member.id).is_none() && p.member.address != self.me.address)
            .filter(|p| self.is_near(p) && is_here(p))
            .collect();
        let follows = |p: &Peer| lead.record.members.iter().any(|m| m.address == p.member.address);
        found.sort_by_key(|p| (!follows(p), p.heard));
        found.into_iter().map(|p| p.member).collect()
    }

    /// Gives a newcomer the place of the disk before it at its address, an empty one, or that of a member that is gone.
    fn find_place(&self, members: &mut Vec<Member>, newcomer: Member) -> bool {
        if let Some(place) = members.iter_mut().find(|m| m.address == newcomer.address) {
            *place = newcomer;
            return true;
        }
        if members.len() < 2 * self.settings.max_failures + 1 {
            members.push(newcomer);
            return true;
        }
        let Some(gone) = self.most_silent(members).or_else(|| self.leaver_to_replace(members)) else {
            return false;
        };
        let Some(place) = members.iter_mut().find(|m| m.id == gone) else { return false };
        *place = newcomer;
        true
    }

    fn silence(&self, member: &Member) -> u64 {
        self.peers.get(&member.id).map_or(u64::MAX, |p| self.now.saturating_sub(p.well))
    }

    /// Whether the member was lost along with one that may be replaced now: both are, a moment later.
    fn is_nearly_replaceable(&self, member: &Member) -> bool {
        let timings = &self.settings.timings;
        let silence = self.silence(member);
        member.id != self.me.id
            && silence <= timings.replacement_timeout
            && silence + timings.heartbeat_interval > timings.replacement_timeout
    }

    /// The member that was silent for longest, and for long enough to lose its place.
    fn most_silent(&self, members: &[Member]) -> Option<MemberId> {
        let others = members.iter().filter(|m| m.id != self.me.id);
        let silent = others.max_by_key(|m| self.silence(m))?;
        let replace_after = match self.settings.has(InjectedFault::SlowReplacement) {
            true => Timings::default().replacement_timeout,
            false => self.settings.timings.replacement_timeout,
        };
        (self.silence(silent) > replace_after).then_some(silent.id)
    }

    /// A member that has told that it stops, if others are there to hold the state in the epoch between.
    fn leaver_to_replace(&self, members: &[Member]) -> Option<MemberId> {
        if self.settings.has(InjectedFault::KeepDepartingMembers) {
            return None;
        }
        let others = || members.iter().filter(|m| m.id != self.me.id);
        let leaver = others().find(|m| self.leaving.includes(m.id, self.now))?;
        let is_here = |m: &Member| self.peers.get(&m.id).is_some_and(|p| self.is_heard_lately(p));
        let Role::Primary(lead) = &self.role else { return None };
        let old = |m: &Member| lead.record.member(m.id).is_some();
        let staying = others().filter(|m| m.id != leaver.id && old(m) && is_here(m)).count();
        (staying >= self.settings.max_failures).then_some(leaver.id)
    }

    /// The one that should lead next: a backup that is fit, or another voter that is.
    fn successor(&self) -> Option<Member> {
        let Role::Primary(lead) = &self.role else { return None };
        let lease = self.settings.timings.lease;
        let able = |m: &&Member| {
            m.id != self.me.id
                && self
                    .peers
                    .get(&m.id)
                    .is_some_and(|p| p.is_healthy && self.now.saturating_sub(p.heard) <= lease)
        };
        let members = &lead.record.members;
        let rank = |m: &&Member| {
            let heard = self.peers.get(&m.id).map_or(0, |p| p.heard);
            (lead.record.backups.contains(&m.id), heard)
        };
        members.iter().filter(able).max_by_key(rank).copied()
    }

    /// Gives the place away.
    pub(crate) fn resign(&mut self) {
        let Role::Primary(lead) = &self.role else { return };
        let term = lead.term;
        if let Some(successor) = self.successor() {
            let handing = Handing { to: successor.address, term, since: self.now, sent: self.now };
            self.handing = Some(handing);
            self.send(successor.address, Message::TransferLeadership { term });
        }
        self.step_down();
    }

    pub(crate) fn hand_over_again(&mut self) {
        let now = self.now;
        let Some(handing) = &mut self.handing else { return };
        let taken = self.promised > handing.term;
        if now - handing.since > 2 * self.settings.timings.suspicion_timeout {
            self.handing = None;
        } else if !taken
            && now - handing.since <= 300
            && now - handing.sent >= self.settings.timings.resend_interval
        {
            handing.sent = now;
            let (to, term) = (handing.to, handing.term);
            self.send(to, Message::TransferLeadership { term });
        }
    }

    /// Somebody else's term is higher than the own one.
    pub(crate) fn outranked(&mut self, term: Term) {
        let own = match &self.role {
            Role::Follower => return,
            Role::TakingOver(t) => t.term,
            Role::Primary(lead) => lead.term,
        };
        if term > own {
            self.step_down();
        }
    }

    /// Leads no more, or tries no more.
    pub(crate) fn step_down(&mut self) {
        let led = match &self.role {
            Role::Follower => return,
            Role::TakingOver(t) => t.is_renewal(),
            Role::Primary(_) => true,
        };
        self.role = Role::Follower;
        self.leader = self.leader.take().filter(|l| l.member.id != self.me.id);
        self.await_leader();
        if led {
            self.out.push(Output::SteppedDown);
        } else {
            self.election.at = self.now + 100 + self.below(250);
        }
        self.drop_client_requests();
    }

    pub(crate) fn take_over_timers(&mut self) {
        let now = self.now;
        let timings = &self.settings.timings;
        let (step, resend, resend_state) =
            (timings.take_over_step_timeout, timings.resend_interval, timings.state_resend_interval);
        let Role::TakingOver(t) = &mut self.role else { return };
        // A primary that takes over from itself finishes, so that it can name its successor.
        let stops = self.stopping.is_some() && !t.is_renewal();
        if now.saturating_sub(t.since) >= step || stops {
            return self.step_down();
        }
        self.take_over_resend(resend, resend_state);
    }
}
