//! What the primary knows about the other nodes.

mod peer;

use core::time::Duration;
use std::collections::BTreeMap;

use mosshead_time::Instant;

use crate::context::Context;
use crate::epoch_config::EpochConfig;
use crate::injected_fault::InjectedFault;
use crate::term::{Member, MemberId};
use crate::votes::Votes;

pub(crate) use self::peer::Peer;

/// More peers than this are ignored.
const MAX_PEERS: usize = 64;
/// A peer without a vote is dropped after it has been silent for this long.
const NON_VOTER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The properties of a new epoch that matter to the peers.
pub(crate) struct NewEpoch<'a> {
    pub(crate) config: &'a EpochConfig,
    /// The members that have accepted the configuration.
    pub(crate) votes: &'a Votes,
    /// When the configuration was proposed.
    pub(crate) proposed_at: Instant,
    /// True if this node was primary just before.
    pub(crate) is_renewal: bool,
    /// The previous primary, if it is suspected.
    pub(crate) silent_primary: Option<MemberId>,
}

/// What [`Peers::majority_value`] counts for voters that have no entry among the peers.
#[derive(Clone, Copy)]
pub(crate) struct DefaultValues<T> {
    /// The value of this node.
    pub(crate) local: T,
    /// The value of members about which nothing is known.
    pub(crate) unknown: T,
}

/// The other nodes that the primary sends heartbeats to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Peers {
    by_member: BTreeMap<MemberId, Peer>,
}

impl Peers {
    pub(crate) fn get(&self, id: MemberId) -> Option<&Peer> {
        self.by_member.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: MemberId) -> Option<&mut Peer> {
        self.by_member.get_mut(&id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.by_member.values()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Peer> {
        self.by_member.values_mut()
    }

    /// Adds a node, unless it is known or there are too many peers. Returns true if it was added.
    pub(crate) fn add(&mut self, member: Member, now: Instant) -> bool {
        if self.by_member.contains_key(&member.id) || self.by_member.len() >= MAX_PEERS {
            return false;
        }
        self.by_member.insert(member.id, Peer::new(member, now));
        true
    }

    /// Drops the peers without a vote that have been silent for longer than [`NON_VOTER_TIMEOUT`].
    pub(crate) fn drop_silent_non_voters(&mut self, config: &EpochConfig, now: Instant) {
        self.by_member.retain(|id, peer| config.has_voter(*id) || peer.silence(now) <= NON_VOTER_TIMEOUT);
    }

    /// Adds the voters of a new epoch. Unless the epoch is a renewal, all peers are dropped first, and `newcomers` are
    /// added.
    pub(crate) fn start_epoch(&mut self, context: &Context, epoch: &NewEpoch<'_>, newcomers: &[Member]) {
        if !epoch.is_renewal {
            self.by_member.clear();
            for newcomer in newcomers {
                self.by_member.insert(newcomer.id, Peer::new(*newcomer, context.now()));
            }
        }
        for peer in self.by_member.values_mut() {
            peer.reset_heartbeats();
        }
        for member in epoch.config.voters() {
            if member.id != context.local().id && member.id != MemberId::UNKNOWN {
                self.start_epoch_of_voter(context, epoch, member);
            }
        }
    }

    fn start_epoch_of_voter(&mut self, context: &Context, epoch: &NewEpoch<'_>, member: Member) {
        let now = context.now();
        let peer = self.by_member.entry(member.id).or_insert_with(|| Peer::new(member, now));
        peer.set_member(member);
        if !epoch.is_renewal {
            peer.assume_healthy(now - assumed_silence(context, epoch, member.id));
        }
        if epoch.votes.includes(&member) {
            let is_bootstrap_voter = epoch.votes.is_bootstrap_voter(member.id);
            peer.record_vote(now, epoch.config.term, epoch.proposed_at, is_bootstrap_voter);
        }
    }

    /// The highest value that a majority of the members, and also a majority of the outgoing members, has reached.
    pub(crate) fn majority_value<T: Copy + Ord>(
        &self,
        local_member: Member,
        config: &EpochConfig,
        defaults: DefaultValues<T>,
        value: impl Fn(&Peer) -> T,
    ) -> T {
        let DefaultValues { local, unknown } = defaults;
        let value_of = |member: &Member| match member.id {
            id if id == local_member.id => local,
            MemberId::UNKNOWN if member.address == local_member.address => local,
            // Known by its address only. Only a bootstrap voter at that address counts for it, and not, for example, a
            // wiped disk.
            MemberId::UNKNOWN => {
                let voters = self.by_member.values().filter(|p| p.is_bootstrap_voter());
                let same_address = voters.filter(|p| p.member().address == member.address);
                same_address.map(&value).max().unwrap_or(unknown)
            }
            id => self.by_member.get(&id).map_or(unknown, &value),
        };
        let reached = |members: &[Member]| {
            let mut values: Vec<T> = members.iter().map(value_of).collect();
            values.sort_unstable_by(|a, b| b.cmp(a));
            values.get(members.len() / 2).copied().unwrap_or(unknown)
        };
        reached(&config.members).min(reached(&config.outgoing_members))
    }
}

/// The assumed silence of a voter at the start of an epoch, which counts towards its replacement timeout. For a silent
/// former primary it is the suspicion timeout. Another voter that took no part in the take-over has probably been silent
/// for as long, but two heartbeat intervals less are assumed, in which it can still respond.
fn assumed_silence(context: &Context, epoch: &NewEpoch<'_>, id: MemberId) -> Duration {
    let timings = context.timings();
    if epoch.silent_primary == Some(id) {
        return timings.suspicion_timeout;
    }
    if context.has_fault(InjectedFault::ForgetSilenceOfMembers) {
        return Duration::ZERO;
    }
    timings.suspicion_timeout.saturating_sub(2 * timings.heartbeat_interval)
}
