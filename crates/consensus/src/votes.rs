//! Votes, and the majorities that they make up.

use core::net::SocketAddrV4;
use std::collections::BTreeMap;

use crate::epoch_config::EpochConfig;
use crate::limits::MAX_MEMBERS;
use crate::term::{Member, MemberId};

/// The maximum number of votes; further ones are ignored. Higher than [`MAX_MEMBERS`], because nodes that are no members
/// may vote, too.
const MAX_VOTES: usize = 4 * MAX_MEMBERS;

/// The majorities that a configuration needs. While members change, both are needed, as in joint consensus.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuorumRule {
    /// A majority of the outgoing members and a majority of the members.
    Joint,
    /// A majority of the members only; used by an injected fault.
    NewOnly,
}

/// The nodes that have agreed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Votes {
    by_member: BTreeMap<MemberId, Vote>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Vote {
    address: SocketAddrV4,
    is_bootstrap_voter: bool,
}

impl Votes {
    pub(crate) fn add(&mut self, member: Member, is_bootstrap_voter: bool) {
        if self.by_member.len() < MAX_VOTES || self.by_member.contains_key(&member.id) {
            self.by_member.insert(member.id, Vote { address: member.address, is_bootstrap_voter });
        }
    }

    pub(crate) fn is_bootstrap_voter(&self, id: MemberId) -> bool {
        self.by_member.get(&id).is_some_and(|vote| vote.is_bootstrap_voter)
    }

    /// Returns true if the member has agreed. A member that is known only by its address is a bootstrap voter: only the
    /// vote of a bootstrap voter at that address counts for it, so that a wiped disk has no vote.
    pub(crate) fn includes(&self, member: &Member) -> bool {
        if member.id == MemberId::UNKNOWN {
            self.by_member.values().any(|v| v.is_bootstrap_voter && v.address == member.address)
        } else {
            self.by_member.contains_key(&member.id)
        }
    }

    /// Returns true if more than half of the members have agreed.
    pub(crate) fn are_majority_of(&self, members: &[Member]) -> bool {
        2 * members.iter().filter(|m| self.includes(m)).count() > members.len()
    }

    /// Returns true if these votes decide on the configuration.
    pub(crate) fn are_quorum_of(&self, config: &EpochConfig, rule: QuorumRule) -> bool {
        (rule == QuorumRule::NewOnly || self.are_majority_of(&config.outgoing_members))
            && self.are_majority_of(&config.members)
    }

    /// Returns true if a node that holds the state of the configuration has agreed.
    pub(crate) fn include_state_holder(&self, config: &EpochConfig) -> bool {
        self.by_member.keys().any(|id| config.holds_state(*id))
    }
}
