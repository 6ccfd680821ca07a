//! The configuration of an epoch: its voters, its primary and its backups.

use minicbor::{Decode, Encode};

use crate::limits::MAX_MEMBERS;
use crate::term::{Member, MemberId, Term};

/// The configuration of an epoch. It is decided once a majority of the members, and one of the outgoing members, has
/// accepted it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct EpochConfig {
    /// The term under which the configuration was proposed; identifies the epoch.
    #[n(0)]
    pub term: Term,
    /// The previous members; differ from `members` only while the membership changes. A majority of each of the two
    /// lists then has to agree.
    #[n(1)]
    pub outgoing_members: Vec<Member>,
    /// The members.
    #[n(2)]
    pub members: Vec<Member>,
    /// The member that is primary; one of `members`.
    #[n(3)]
    pub primary: MemberId,
    /// The members other than the primary that store the state. The remaining members are witnesses.
    #[n(4)]
    pub backups: Vec<MemberId>,
}

impl EpochConfig {
    /// Returns true if the membership is changing, so that the outgoing members still vote.
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

    /// Returns true if the member is the primary or a backup.
    pub(crate) fn holds_state(&self, id: MemberId) -> bool {
        self.primary == id || self.backups.contains(&id)
    }

    /// All voters, without duplicates.
    pub(crate) fn voters(&self) -> Vec<Member> {
        let mut voters = self.members.clone();
        voters.extend(self.outgoing_members.iter().filter(|m| !self.members.contains(m)));
        voters
    }

    /// Returns true if no list is longer than [`MAX_MEMBERS`].
    pub(crate) fn is_within_bounds(&self) -> bool {
        self.members.len() <= MAX_MEMBERS
            && self.outgoing_members.len() <= MAX_MEMBERS
            && self.backups.len() <= MAX_MEMBERS
    }
}
