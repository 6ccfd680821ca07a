//! A follower's contact with a majority, proven by round trips.
//!
//! Each heartbeat answer carries a [`LeaseStamp`]: the sender's own steady time. The primary sends the newest stamp of each
//! peer back in its next heartbeat to it. That a heartbeat arrives proves nothing: it may have waited in the queue of a
//! network or of a frozen process. That it carries a stamp proves that the primary sent it after the time in the stamp.

use std::collections::VecDeque;

use minicbor::{Decode, Encode};
use rand_core::RngCore;

use crate::node::{Node, Role};
use crate::settings::{InjectedFault, Timings};

/// The steady time at which a node answered a heartbeat. Only that node reads it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct LeaseStamp {
    /// A random number of this run of the process: steady clocks start anew with each run.
    #[n(0)]
    pub incarnation: u64,
    /// The time, in milliseconds.
    #[n(1)]
    pub answered_at: u64,
}

impl LeaseStamp {
    /// Whether this stamp tells of a peer that was long out of touch, by the last stamp that it sent.
    pub(crate) fn is_return(&self, last: Option<LeaseStamp>, lease: u64) -> bool {
        last.is_none_or(|last| {
            last.incarnation != self.incarnation || self.answered_at.saturating_sub(last.answered_at) > lease
        })
    }

    /// The newer one of the stamps of a peer; they may arrive out of order.
    pub(crate) fn newest(self, last: Option<LeaseStamp>) -> LeaseStamp {
        match last {
            Some(last) if last.incarnation == self.incarnation && last.answered_at > self.answered_at => last,
            _ => self,
        }
    }
}

/// When this node last answered a heartbeat that the primary is known to have followed by another one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Contact {
    life: u64,
    proven: Option<u64>,
    /// Proven times whose committed state this node doesn't show yet, oldest first.
    waiting: VecDeque<Waiting>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Waiting {
    at: u64,
    revision: u64,
}

/// So many proven times wait for their state; older ones are dropped.
const MOST_WAITING: usize = 64;

impl Contact {
    pub(crate) fn new(life: u64) -> Contact {
        Contact { life, proven: None, waiting: VecDeque::new() }
    }

    pub(crate) fn stamp(&self, now: u64) -> LeaseStamp {
        LeaseStamp { incarnation: self.life, answered_at: now }
    }

    /// The time in a stamp that came back, if it is one of this run of the process.
    pub(crate) fn time_of(&self, echo: LeaseStamp, now: u64) -> Option<u64> {
        (echo.incarnation == self.life && echo.answered_at <= now).then_some(echo.answered_at)
    }

    /// The primary was in touch after `at`, and its committed state was of this revision.
    pub(crate) fn prove(&mut self, at: u64, revision: u64, shown: Option<u64>) {
        if self.waiting.len() >= MOST_WAITING {
            self.waiting.pop_front();
        }
        self.waiting.push_back(Waiting { at, revision });
        if let Some(shown) = shown {
            self.show(shown);
        }
    }

    /// This revision is shown now.
    pub(crate) fn show(&mut self, revision: u64) {
        let shown = self.waiting.iter().filter(|w| w.revision <= revision).map(|w| w.at).max();
        self.proven = self.proven.max(shown);
        self.waiting.retain(|w| w.revision > revision);
    }
}

impl Timings {
    /// How old a state may be that a node shows while it says that it is in touch, in milliseconds.
    ///
    /// Whatever was acknowledged, by whomever, longer ago than this is in that state. A follower is in touch for `lease`
    /// after it has answered a heartbeat, if a later heartbeat of the primary proves that, and only once it shows what that
    /// later one told to be committed. A primary sends heartbeats for `lease` after it has sent one that a majority has
    /// answered without having promised a higher term; until then nobody else has acknowledged anything.
    pub fn max_staleness(&self) -> u64 {
        self.lease + self.lease
    }
}

impl<R: RngCore> Node<R> {
    /// Whether this node was lately in touch with a majority: as primary, or by a primary that is. What it shows then is
    /// not older than [`Timings::max_staleness`].
    pub fn has_quorum_contact(&self, now: u64) -> bool {
        let since = match &self.role {
            Role::Primary(_) => self.touched,
            Role::TakingOver(t) if t.is_renewal() => self.touched,
            Role::TakingOver(_) | Role::Follower => self.contact.proven,
        };
        self.is_within_lease(since, now)
    }

    /// Whether this node is primary and its lease holds at this moment, also if it was not stepped for a while.
    pub fn holds_primary_lease(&self, now: u64) -> bool {
        matches!(self.role, Role::Primary(_)) && self.is_within_lease(self.touched, now)
    }

    pub(crate) fn is_within_lease(&self, since: Option<u64>, now: u64) -> bool {
        since.is_some_and(|since| now.saturating_sub(since) <= self.settings.timings.lease)
    }

    /// Whether a primary may tell that it lives.
    pub(crate) fn may_send_heartbeats(&self) -> bool {
        self.is_within_lease(self.touched, self.now) || self.settings.has(InjectedFault::NoLease)
    }
}
