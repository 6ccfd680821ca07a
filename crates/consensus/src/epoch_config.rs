//! The configuration of an epoch: who is primary, who holds the state, who votes.

use minicbor::{Decode, Encode};

use crate::limits::MAX_MEMBERS;
use crate::term::{Member, MemberId, Term};

/// The configuration of an epoch, decided by a majority of its voters.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct EpochConfig {
    /// The term that proposed it.
    #[n(0)]
    pub term: Term,
    /// The members before; other than `members` only while membership changes. Then a majority of each of the two decides.
    #[n(1)]
    pub outgoing_members: Vec<Member>,
    /// The members.
    #[n(2)]
    pub members: Vec<Member>,
    /// The member that is primary; one of `members`.
    #[n(3)]
    pub primary: MemberId,
    /// The members that hold the state beside the primary, which is none of them; the others are witnesses.
    #[n(4)]
    pub backups: Vec<MemberId>,
}

impl EpochConfig {
    /// Whether the membership is changing: the outgoing members still vote.
    pub fn is_joint(&self) -> bool {
        self.outgoing_members != self.members
    }

    pub(crate) fn member(&self, id: MemberId) -> Option<&Member> {
        self.members.iter().find(|m| m.id == id)
    }

    pub(crate) fn has_member(&self, id: MemberId) -> bool {
        self.member(id).is_some()
    }

    pub(crate) fn has_voter(&self, id: MemberId) -> bool {
        self.members.iter().chain(&self.outgoing_members).any(|m| m.id == id)
    }

    /// Whether the member is the primary or a backup.
    pub(crate) fn holds_state(&self, id: MemberId) -> bool {
        self.primary == id || self.backups.contains(&id)
    }

    /// All that vote, each pair of address and id once.
    pub(crate) fn voters(&self) -> Vec<Member> {
        let mut voters = self.members.clone();
        voters.extend(self.outgoing_members.iter().filter(|m| !self.members.contains(m)));
        voters
    }

    /// Whether its lists are no longer than any node makes them.
    pub(crate) fn is_within_bounds(&self) -> bool {
        self.members.len() <= MAX_MEMBERS
            && self.outgoing_members.len() <= MAX_MEMBERS
            && self.backups.len() <= MAX_MEMBERS
    }
}
