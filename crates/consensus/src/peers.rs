//! What the primary knows of the other nodes.

use core::time::Duration;
use std::collections::BTreeMap;

use mosshead_time::Instant;

use crate::context::Context;
use crate::epoch_config::EpochConfig;
use crate::injected_fault::InjectedFault;
use crate::lease_stamp::LeaseStamp;
use crate::term::{Member, MemberId, Term};
use crate::votes::Votes;

/// More peers than this are ignored.
const MAX_PEERS: usize = 64;
/// A peer that is no member is forgotten after a silence of this length.
const LEARNER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// A peer was received from lately if its last message is not older than this.
const RECENT: Duration = Duration::from_millis(350);

/// What the primary knows of another node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Peer {
    pub(crate) member: Member,
    /// When its last heartbeat response, or its vote in the take-over, arrived.
    pub(crate) last_received_at: Instant,
    /// When the newest heartbeat was sent that it has answered without having promised a higher term; the origin of the
    /// clock if there is none.
    pub(crate) last_acknowledged_heartbeat_sent_at: Instant,
    /// The sequence number of that heartbeat; zero at the start of an epoch.
    pub(crate) acknowledged_heartbeat: u64,
    /// Whether its disk takes writes and it does not shut down, by its last message.
    pub(crate) is_healthy: bool,
    /// When it was last known to be healthy.
    pub(crate) last_healthy_at: Instant,
    pub(crate) is_bootstrap_voter: bool,
    /// The term of the highest configuration that it has seen.
    pub(crate) known_term: Term,
    /// The term of the latest heartbeat that it has answered.
    pub(crate) answered_term: Term,
    /// When a state was sent to it last.
    pub(crate) state_sent_at: Option<Instant>,
    /// The newest stamp of its responses.
    pub(crate) lease_stamp: Option<LeaseStamp>,
}

impl Peer {
    fn new(member: Member, now: Instant) -> Peer {
        Peer {
            member,
            last_received_at: now,
            last_acknowledged_heartbeat_sent_at: Instant::ORIGIN,
            acknowledged_heartbeat: 0,
            is_healthy: false,
            last_healthy_at: now,
            is_bootstrap_voter: false,
            known_term: Term::default(),
            answered_term: Term::default(),
            state_sent_at: None,
            lease_stamp: None,
        }
    }

    pub(crate) fn silence(&self, now: Instant) -> Duration {
        now - self.last_received_at
    }

    pub(crate) fn is_recent(&self, now: Instant) -> bool {
        self.silence(now) <= RECENT
    }
}

/// A new epoch, as far as it matters for the peers.
pub(crate) struct NewEpoch<'a> {
    pub(crate) config: &'a EpochConfig,
    /// Who has accepted the configuration.
    pub(crate) votes: &'a Votes,
    /// When the configuration was proposed.
    pub(crate) proposed_at: Instant,
    /// Whether this node was primary just before.
    pub(crate) is_renewal: bool,
    /// The primary before, if it is suspected.
    pub(crate) silent_primary: Option<MemberId>,
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

    /// Adds a node that is no member; returns whether it is new.
    pub(crate) fn add(&mut self, member: Member, now: Instant) -> bool {
        if self.by_member.contains_key(&member.id) || self.by_member.len() >= MAX_PEERS {
            return false;
        }
        self.by_member.insert(member.id, Peer::new(member, now));
        true
    }

    /// Forgets silent nodes that don't vote.
    pub(crate) fn drop_silent_learners(&mut self, config: &EpochConfig, now: Instant) {
        self.by_member.retain(|id, peer| config.has_voter(*id) || peer.silence(now) <= LEARNER_TIMEOUT);
    }

    /// Starts over with the voters of a new epoch. A renewal keeps what is known of the peers.
    pub(crate) fn start_epoch(&mut self, context: &Context, epoch: &NewEpoch<'_>, newcomers: &[Member]) {
        if !epoch.is_renewal {
            self.by_member.clear();
            for newcomer in newcomers {
                self.by_member.insert(newcomer.id, Peer::new(*newcomer, context.now));
            }
        }
        for peer in self.by_member.values_mut() {
            peer.acknowledged_heartbeat = 0;
        }
        for member in epoch.config.voters() {
            if member.id != context.local.id && member.id != MemberId::UNKNOWN {
                self.start_epoch_of_voter(context, epoch, member);
            }
        }
    }

    fn start_epoch_of_voter(&mut self, context: &Context, epoch: &NewEpoch<'_>, member: Member) {
        let now = context.now;
        let peer = self.by_member.entry(member.id).or_insert_with(|| Peer::new(member, now));
        peer.member = member;
        if !epoch.is_renewal {
            // Until it says otherwise.
            peer.is_healthy = true;
            peer.last_healthy_at = now - assumed_silence(context, epoch, member.id);
        }
        if epoch.votes.includes(&member) {
            peer.is_bootstrap_voter = epoch.votes.is_bootstrap_voter(member.id);
            peer.last_acknowledged_heartbeat_sent_at =
                peer.last_acknowledged_heartbeat_sent_at.max(epoch.proposed_at);
            peer.known_term = epoch.config.term;
            peer.last_received_at = now;
            peer.last_healthy_at = now;
            peer.is_healthy = true;
        }
    }

    /// The highest value that a majority of the members, and of the outgoing ones, has reached.
    ///
    /// `local` is the value of this node, `unknown` that of members that are no peers.
    pub(crate) fn majority_value<T: Copy + Ord>(
        &self,
        local_member: Member,
        config: &EpochConfig,
        (local, unknown): (T, T),
        value: impl Fn(&Peer) -> T,
    ) -> T {
        let value_of = |member: &Member| match member.id {
            id if id == local_member.id => local,
            // A disk that came after the bootstrap voters has no vote for them.
            MemberId::UNKNOWN if member.address == local_member.address => local,
            MemberId::UNKNOWN => {
                let voters = self.by_member.values().filter(|p| p.is_bootstrap_voter);
                let same_address = voters.filter(|p| p.member.address == member.address);
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

/// How long a voter counts as silent at the start of an epoch. One that took no part in the take-over was missed for
/// nearly as long as its primary: it has two heartbeats to answer.
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
