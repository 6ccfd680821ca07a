//! What a node knows about its primary from heartbeats.

use mosshead_time::{Duration, Instant};

use crate::term::{Member, Term};
use crate::timings::Timings;

/// The primary whose heartbeats this node receives, or this node itself while it is primary.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct KnownPrimary {
    member: Member,
    term: Term,
    /// When the first heartbeat of this term arrived.
    first_heartbeat_at: Instant,
    /// When the newest heartbeat arrived. It may have been delayed for any time, so this is only a hint.
    last_heartbeat_at: Instant,
    /// The newest of this node's stamps that the primary has returned: the primary was alive at that instant or later.
    confirmed_at: Option<Instant>,
}

impl KnownPrimary {
    pub(crate) fn new(member: Member, term: Term, now: Instant) -> KnownPrimary {
        KnownPrimary { member, term, first_heartbeat_at: now, last_heartbeat_at: now, confirmed_at: None }
    }

    pub(crate) fn member(&self) -> Member {
        self.member
    }

    pub(crate) fn term(&self) -> Term {
        self.term
    }

    pub(crate) fn record_heartbeat(&mut self, now: Instant) {
        self.last_heartbeat_at = now;
    }

    /// Records that the primary has returned a stamp of this instant.
    pub(crate) fn confirm_alive(&mut self, at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// The last instant at which this primary is known to have been alive. A new primary is trusted from its first
    /// heartbeat on.
    pub(crate) fn alive_at(&self) -> Instant {
        self.confirmed_at.unwrap_or(Instant::ORIGIN).max(self.first_heartbeat_at)
    }

    /// The instant until which this primary is not suspected. A heartbeat returns the stamp of the response to the
    /// heartbeat before it, so the proof is older than the heartbeat by one interval.
    pub(crate) fn trusted_until(&self, timings: &Timings) -> Instant {
        let proven = |at| at + timings.suspicion_timeout + timings.heartbeat_interval;
        let confirmed = self.confirmed_at.map_or(Instant::ORIGIN, proven);
        confirmed.max(self.first_heartbeat_at + timings.suspicion_timeout)
    }

    /// The time since the last heartbeat arrived.
    pub(crate) fn silence(&self, now: Instant) -> Duration {
        now - self.last_heartbeat_at
    }
}
