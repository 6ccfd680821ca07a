//! The read lease of a follower: its contact with a majority, proven by round trips.
//!
//! Each heartbeat response carries a [`LeaseStamp`]: the sender's own monotonic time. The primary returns the newest
//! stamp of each peer in its next heartbeat to it. The arrival of a heartbeat alone proves nothing: it may have waited in
//! the queue of a network or of a suspended process. A returned stamp proves that the primary sent the heartbeat after
//! the time in the stamp.

use std::collections::VecDeque;

use mosshead_time::Instant;

use crate::lease_stamp::LeaseStamp;

/// The highest number of instants of contact that wait for a committed state to be published; older ones are dropped.
const MAX_AWAITING: usize = 64;

/// When this node last had proven contact with its primary: it answered a heartbeat, and a later one returned the stamp
/// of the response.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ReadLease {
    /// The random number of this incarnation of the process.
    incarnation: u64,
    /// The latest instant of contact that counts: this node has published the state that the primary then reported as
    /// committed, or a newer one.
    confirmed_at: Option<Instant>,
    /// Instants of contact that wait for this node to publish that state, oldest first.
    awaiting: VecDeque<AwaitedRevision>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct AwaitedRevision {
    contact_at: Instant,
    revision: u64,
}

impl ReadLease {
    pub(crate) fn new(incarnation: u64) -> ReadLease {
        ReadLease { incarnation, confirmed_at: None, awaiting: VecDeque::new() }
    }

    pub(crate) fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    pub(crate) fn stamp(&self, now: Instant) -> LeaseStamp {
        LeaseStamp { incarnation: self.incarnation, answered_at: now }
    }

    /// The instant in a returned stamp, if the stamp is of this incarnation of the process.
    pub(crate) fn instant_of(&self, stamp: LeaseStamp, now: Instant) -> Option<Instant> {
        (stamp.incarnation == self.incarnation && stamp.answered_at <= now).then_some(stamp.answered_at)
    }

    /// Records that the primary had contact with a majority after `contact_at`, and that its committed state was of this
    /// revision. `published` is the revision that this node publishes; none before the first one.
    pub(crate) fn confirm_contact(&mut self, contact_at: Instant, revision: u64, published: Option<u64>) {
        if self.awaiting.len() >= MAX_AWAITING {
            self.awaiting.pop_front();
        }
        self.awaiting.push_back(AwaitedRevision { contact_at, revision });
        if let Some(published) = published {
            self.record_published(published);
        }
    }

    /// Records that this revision is published now.
    pub(crate) fn record_published(&mut self, revision: u64) {
        let confirmed = self.awaiting.iter().filter(|a| a.revision <= revision).map(|a| a.contact_at).max();
        self.confirmed_at = self.confirmed_at.max(confirmed);
        self.awaiting.retain(|a| a.revision > revision);
    }
}
