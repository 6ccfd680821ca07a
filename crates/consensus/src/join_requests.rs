use rand_core::RngCore;

use crate::control_state::{Member, Term};
use crate::message::Message;
use crate::node::{Leader, Node, Role};

/// Somebody who looks for the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Joiner {
    pub(crate) member: Member,
    pub(crate) is_bootstrap_voter: bool,
    pub(crate) heard: u64,
}

const MOST_JOINERS: usize = 64;
const JOINER_LASTS: u64 = 1_000;
/// A newcomer tells all so often that it waits for a place.
const JOINER_TELLS: u64 = 400;

impl<R: RngCore> Node<R> {
    /// Before there is a record: whether this bootstrap voter knows the others, or has waited for them long enough.
    pub(crate) fn knows_bootstrap_voters(&self) -> bool {
        let Some(bootstrap_voters) = self.bootstrap_voters() else { return false };
        let waited = self.now.saturating_sub(self.started) >= self.settings.timings.bootstrap_timeout;
        let known =
            |address| self.joiners.values().any(|j| j.is_bootstrap_voter && j.member.address == address);
        waited || bootstrap_voters.iter().all(|a| *a == self.me.address || known(*a))
    }

    /// Whoever knows no primary, or is no member, looks for the others.
    pub(crate) fn join_timers(&mut self) {
        if self.now < self.join_at || !matches!(self.role, Role::Follower) {
            return;
        }
        let member = self.view.as_ref().is_some_and(|r| r.member(self.me.id).is_some());
        let patience = if member { 1_000 } else { 300 };
        let last = self.leader.as_ref().map_or(if member { self.started } else { 0 }, Leader::alive_at);
        let lost = self.leader.is_none() && !member;
        let missed = lost || self.now.saturating_sub(last) >= patience;
        if member && !missed {
            return;
        }
        // Danger: whoever leads next has to know of those that wait for a place, before it lets a leaver go.
        self.join_at = self.now
            + match (member, missed) {
                (true, _) => 300,
                (false, true) => 100,
                (false, false) => JOINER_TELLS,
            };
        let seen = self.view.as_ref().map(|r| r.term).unwrap_or_default();
        let join = Message::Join { is_bootstrap_voter: self.is_bootstrap_voter(), known_term: seen };
        for address in self.contacts.clone() {
            self.send(address, join.clone());
        }
    }

    pub(crate) fn on_join(&mut self, from: Member, is_bootstrap_voter: bool, seen: Term) {
        let now = self.now;
        self.joiners.retain(|_, j| now - j.heard <= JOINER_LASTS);
        self.note_address(from.address);
        if self.joiners.len() < MOST_JOINERS || self.joiners.contains_key(&from.id) {
            self.joiners.insert(from.id, Joiner { member: from, is_bootstrap_voter, heard: now });
        }
        if let Role::Primary(_) = self.role {
            self.welcome(from);
        } else if let Some(record) = &self.view
            && record.term > seen
        {
            let record = record.clone();
            self.send(from.address, Message::KnownConfig { config: record });
        }
    }

    /// Newcomers that may be members of the first record.
    pub(crate) fn fresh_joiners(&self) -> Vec<Joiner> {
        let lately = |j: &&Joiner| self.now.saturating_sub(j.heard) <= JOINER_LASTS;
        self.joiners.values().filter(lately).copied().collect()
    }
}
