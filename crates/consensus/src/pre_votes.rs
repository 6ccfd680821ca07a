//! The pre-votes that other nodes have granted to this one: they would promise it a term.

use core::time::Duration;
use std::collections::BTreeMap;

use mosshead_time::Instant;

use crate::term::{Member, MemberId};
use crate::votes::Votes;

/// A granted pre-vote counts for this long.
const PRE_VOTE_LIFETIME: Duration = Duration::from_millis(300);
/// More granted pre-votes than this are ignored.
const MAX_PRE_VOTES: usize = 64;

/// The pre-votes that were recently granted to this node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct PreVotes {
    by_member: BTreeMap<MemberId, GrantedPreVote>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GrantedPreVote {
    member: Member,
    is_bootstrap_voter: bool,
    received_at: Instant,
}

impl PreVotes {
    pub(crate) fn clear(&mut self) {
        self.by_member.clear();
    }

    /// Records a granted pre-vote; returns all that are valid now.
    pub(crate) fn add(&mut self, now: Instant, member: Member, is_bootstrap_voter: bool) -> Votes {
        self.by_member.retain(|_, vote| now - vote.received_at <= PRE_VOTE_LIFETIME);
        if self.by_member.len() < MAX_PRE_VOTES || self.by_member.contains_key(&member.id) {
            let vote = GrantedPreVote { member, is_bootstrap_voter, received_at: now };
            self.by_member.insert(member.id, vote);
        }
        let mut votes = Votes::default();
        for vote in self.by_member.values() {
            votes.add(vote.member, vote.is_bootstrap_voter);
        }
        votes
    }
}
