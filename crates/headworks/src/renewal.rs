use rand_core::RngCore;

use crate::event::Output;
use crate::message::Message;
use crate::node::{Handing, Node, Role};
use crate::primary::{Lead, Peer};
use crate::settings::Flaw;
use crate::types::{Ballot, Member, MemberId};

const LATELY: u64 = 350;

impl<R: RngCore> Node<R> {
    /// A primary takes over from itself when its epoch doesn't fit any more, and gives its place away when it isn't fit.
    pub(crate) fn renewal_timers(&mut self) {
        let timings = self.settings.timings.clone();
        let now = self.now;
        let Role::Primary(lead) = &self.role else { return };
        let stalled =
            self.writes.age(now) > timings.own_write && !self.settings.has(Flaw::KeepStalledPrimary);
        let stops = self.stopping.is_some_and(|at| lead.flight.is_none() || now - at >= 300);
        let refused = self.writes.failed.is_some() && self.successor().is_some();
        if stalled || stops || refused {
            return self.resign();
        }
        if self.stopping.is_some() || !self.writes.queue.is_empty() && lead.flight.is_none() {
            return;
        }
        let decided = Some(lead.ballot);
        let late = |since| now - since >= timings.backup_write || self.wants_other_backups();
        let slow = lead.flight.as_ref().is_some_and(|f| f.own && late(f.since));
        let slow = slow && !self.settings.has(Flaw::KeepStalledBackup);
        let outbid = lead.outbid.is_some_and(|at| now - at >= timings.suspect / 2);
        if lead.record.is_joint() || slow || outbid {
            return self.start_take_over(decided, None);
        }
        if now - lead.since < timings.heartbeat || lead.flight.is_some() {
            return;
        }
        if let Some(wish) = self.wanted_members() {
            self.start_take_over(decided, Some(wish));
        } else if self.wants_other_backups() {
            self.start_take_over(decided, None);
        }
    }

    fn is_near(&self, peer: &Peer) -> bool {
        peer.fit && self.now.saturating_sub(peer.heard) <= LATELY
    }

    fn lost_backup(&self, lead: &Lead) -> bool {
        let suspect = self.settings.timings.suspect;
        let good = |p: &Peer| p.fit && self.now.saturating_sub(p.heard) <= suspect;
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
        !self.settings.has(Flaw::KeepStalledBackup)
            && self.lost_backup(lead)
            && lead.record.members.iter().any(spare)
    }

    /// The members as they should be, if other than they are.
    fn wanted_members(&self) -> Option<Vec<Member>> {
        let Role::Primary(lead) = &self.role else { return None };
        if self.settings.has(Flaw::KeepMembers) {
            return None;
        }
        let members = &lead.record.members;
        let is_member = |id: MemberId| members.iter().any(|m| m.id == id);
        let newcomers: Vec<Member> = self
            .peers
            .values()
            .filter(|p| !is_member(p.member.id) && self.is_near(p))
            .map(|p| p.member)
            .collect();
        let replaced = |old: MemberId, new: Member| {
            Some(members.iter().map(|m| if m.id == old { new } else { *m }).collect::<Vec<Member>>())
        };
        for newcomer in &newcomers {
            if let Some(old) = members.iter().find(|m| m.address == newcomer.address) {
                if old.id != self.me.id {
                    return replaced(old.id, *newcomer);
                }
                return None;
            }
        }
        let newcomer = *newcomers.first()?;
        if members.len() < 2 * self.settings.failures + 1 {
            return Some(members.iter().copied().chain([newcomer]).collect());
        }
        let silence =
            |m: &Member| self.peers.get(&m.id).map_or(u64::MAX, |p| self.now.saturating_sub(p.well));
        let others = members.iter().filter(|m| m.id != self.me.id);
        let silent =
            others.max_by_key(|m| silence(m)).filter(|m| silence(m) > self.settings.timings.replace_after)?;
        replaced(silent.id, newcomer)
    }

    /// The one that should lead next: a backup that is fit, or another voter that is.
    fn successor(&self) -> Option<Member> {
        let Role::Primary(lead) = &self.role else { return None };
        let lease = self.settings.timings.lease;
        let able = |m: &&Member| {
            m.id != self.me.id
                && self.peers.get(&m.id).is_some_and(|p| p.fit && self.now.saturating_sub(p.heard) <= lease)
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
        let ballot = lead.ballot;
        if let Some(successor) = self.successor() {
            let handing = Handing { to: successor.address, ballot, since: self.now, sent: self.now };
            self.handing = Some(handing);
            self.send(successor.address, Message::HandOver { ballot });
        }
        self.step_down();
    }

    pub(crate) fn hand_over_again(&mut self) {
        let now = self.now;
        let Some(handing) = &mut self.handing else { return };
        let taken = self.promised > handing.ballot;
        if now - handing.since > 2 * self.settings.timings.suspect {
            self.handing = None;
        } else if !taken && now - handing.since <= 300 && now - handing.sent >= self.settings.timings.resend {
            handing.sent = now;
            let (to, ballot) = (handing.to, handing.ballot);
            self.send(to, Message::HandOver { ballot });
        }
    }

    /// Somebody else's ballot is higher than the own one.
    pub(crate) fn outranked(&mut self, ballot: Ballot) {
        let own = match &self.role {
            Role::Follower => return,
            Role::TakingOver(t) => t.ballot,
            Role::Primary(lead) => lead.ballot,
        };
        if ballot > own {
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
            self.out.push(Output::Deposed);
        } else {
            self.election.at = self.now + 100 + self.below(250);
        }
        self.drop_asks();
    }

    pub(crate) fn take_over_timers(&mut self) {
        let now = self.now;
        let timings = &self.settings.timings;
        let (step, resend, resend_state) = (timings.take_over_step, timings.resend, timings.resend_state);
        let Role::TakingOver(t) = &mut self.role else { return };
        if now.saturating_sub(t.since) >= step || self.stopping.is_some() {
            return self.step_down();
        }
        self.take_over_resend(resend, resend_state);
    }
}
