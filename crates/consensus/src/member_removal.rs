//! A member that stops says so, and serves on as acceptor and backup until the primary lets it go: its copy of the state is
//! elsewhere then, and a newcomer that waits for a place has taken its vote.

use std::collections::BTreeMap;

use rand_core::RngCore;

use crate::control_state::{EpochConfig, Member, MemberId, Term};
use crate::message::Message;
use crate::node::{Node, Role};
use crate::replication::{Lead, Peer};
use crate::settings::InjectedFault;

/// A node that stops may end after so many milliseconds, let go or not.
pub const SHUTDOWN_TIMEOUT: u64 = 2_500;
/// The word of a leaver counts for so long; after it, only its silence does.
const LEAVER_LASTS: u64 = 3_000;
const MOST_LEAVERS: usize = 64;
/// A node with [`InjectedFault::ShutDownAtOnce`] ends after so long.
const FLAWED_LEAVE: u64 = 150;

/// What a node knows of those that stop, itself included.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct RequestRemoval {
    /// When this node last told the others that it stops.
    told: Option<u64>,
    /// The epoch whose primary has let this node go.
    granted: Option<Term>,
    /// Who has told this node that it stops, and when last.
    leavers: BTreeMap<MemberId, u64>,
}

impl RequestRemoval {
    /// Whether the member has lately told that it stops.
    pub(crate) fn includes(&self, id: MemberId, now: u64) -> bool {
        self.leavers.get(&id).is_some_and(|at| now.saturating_sub(*at) <= LEAVER_LASTS)
    }

    /// The member is back, or never was about to stop.
    pub(crate) fn forget(&mut self, id: MemberId) {
        self.leavers.remove(&id);
    }

    fn note(&mut self, id: MemberId, now: u64) {
        self.leavers.retain(|_, at| now.saturating_sub(*at) <= LEAVER_LASTS);
        if self.leavers.len() < MOST_LEAVERS || self.leavers.contains_key(&id) {
            self.leavers.insert(id, now);
        }
    }
}

impl<R: RngCore> Node<R> {
    /// After [`crate::Input::Stop`]: whether the process may end. The others need nothing more of this node, or it has waited
    /// for their word for long enough. Looked at after each step.
    pub fn may_shut_down(&self) -> bool {
        let Some(since) = self.stopping else { return false };
        let waited = self.now.saturating_sub(since);
        if waited >= SHUTDOWN_TIMEOUT {
            return true;
        }
        if !matches!(self.role, Role::Follower) {
            return false;
        }
        if self.settings.has(InjectedFault::ShutDownAtOnce) {
            return waited >= FLAWED_LEAVE;
        }
        match &self.view {
            None => true,
            Some(record) => self.is_let_go(record) || self.is_outside(record) || self.is_alone(record),
        }
    }

    /// Whether a primary has let this node go, and nobody has taken over since who may have chosen it again.
    fn is_let_go(&self, record: &EpochConfig) -> bool {
        self.leaving.granted.is_some_and(|term| term >= self.promised && term >= record.term)
    }

    /// Whether a decided record has no place for this node. Only decided ones are told by heartbeats.
    fn is_outside(&self, record: &EpochConfig) -> bool {
        let decided = self.leader.as_ref().is_some_and(|leader| leader.term == record.term);
        decided && record.voters().iter().all(|m| m.id != self.me.id)
    }

    fn is_alone(&self, record: &EpochConfig) -> bool {
        record.voters().iter().all(|m| m.address == self.me.address)
    }

    pub(crate) fn leave_timers(&mut self) {
        let resend = self.settings.timings.resend_interval;
        let rested = self.leaving.told.is_none_or(|at| self.now.saturating_sub(at) >= resend);
        if self.stopping.is_none() || !rested || self.settings.has(InjectedFault::ShutDownAtOnce) {
            return;
        }
        self.leaving.told = Some(self.now);
        for member in self.electorate() {
            self.send(member.address, Message::RequestRemoval);
        }
    }

    pub(crate) fn on_leaving(&mut self, from: Member) {
        self.leaving.note(from.id, self.now);
        let Role::Primary(lead) = &self.role else { return };
        let term = lead.term;
        let dispensable = self.is_dispensable(lead, from.id);
        if let Some(peer) = self.peers.get_mut(&from.id) {
            peer.is_healthy = false;
        }
        if dispensable {
            self.send(from.address, Message::RemovalGranted { term });
        }
    }

    pub(crate) fn on_may_leave(&mut self, term: Term) {
        if self.stopping.is_some() {
            self.leaving.granted = self.leaving.granted.max(Some(term));
        }
    }

    /// Whether the member may end without a copy or a vote less than there could be. Danger: a member whose place nobody
    /// waits for stays a member; the record must not shrink, so that its return makes up for the next loss at once.
    fn is_dispensable(&self, lead: &Lead, id: MemberId) -> bool {
        if lead.record.voters().iter().all(|m| m.id != id) {
            return true;
        }
        !lead.record.is_joint() && !lead.record.holds_state(id) && !self.has_newcomer_waiting(lead)
    }

    /// Whether somebody was heard lately that could be a member, or has not said yet whether it can.
    fn has_newcomer_waiting(&self, lead: &Lead) -> bool {
        let waits = |peer: &&Peer| {
            let unknown = peer.answered == Term::default();
            lead.record.member(peer.member.id).is_none()
                && !self.leaving.includes(peer.member.id, self.now)
                && self.is_heard_lately(peer)
                && (peer.is_healthy || unknown)
        };
        self.peers.values().any(|peer| waits(&peer))
    }
}
