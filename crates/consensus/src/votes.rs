use core::net::SocketAddrV4;
use std::collections::BTreeMap;

use crate::control_state::{EpochConfig, Member, MemberId};

/// Who has said yes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Votes {
    votes: BTreeMap<MemberId, Vote>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Vote {
    address: SocketAddrV4,
    is_bootstrap_voter: bool,
}

impl Votes {
    pub(crate) fn add(&mut self, member: Member, is_bootstrap_voter: bool) {
        if self.votes.len() < 4 * crate::settings::MOST_MEMBERS {
            self.votes.insert(member.id, Vote { address: member.address, is_bootstrap_voter });
        }
    }

    pub(crate) fn is_bootstrap_voter(&self, id: MemberId) -> bool {
        self.votes.get(&id).is_some_and(|v| v.is_bootstrap_voter)
    }

    /// Whether the member has said yes. Danger: one known by address only is a bootstrap voter, so that a wiped disk there has no say.
    pub(crate) fn covers(&self, member: &Member) -> bool {
        if member.id == MemberId(0) {
            self.votes.values().any(|v| v.is_bootstrap_voter && v.address == member.address)
        } else {
            self.votes.contains_key(&member.id)
        }
    }

    /// Whether these are more than half of the members.
    pub(crate) fn majority(&self, members: &[Member]) -> bool {
        2 * members.iter().filter(|m| self.covers(m)).count() > members.len()
    }

    /// Whether these decide for a record: more than half of the old members and of the new ones.
    pub(crate) fn decide(&self, record: &EpochConfig, new_only: bool) -> bool {
        (new_only || self.majority(&record.outgoing_members)) && self.majority(&record.members)
    }

    /// Whether one of these holds the state of a record.
    pub(crate) fn hold_state(&self, record: &EpochConfig) -> bool {
        self.votes.keys().any(|id| record.holds_state(*id))
    }
}
