//! The removal of members that shut down. A member announces its shutdown, and remains acceptor and backup until the primary
//! grants its removal: by then others hold its copy of the state, and a newcomer that waited for a slot has its vote.

use core::time::Duration;
use std::collections::BTreeMap;

use mosshead_time::Instant;

use crate::context::Context;
use crate::injected_fault::InjectedFault;
use crate::term::{MemberId, Term};

/// A node that shuts down may end after this long, even if its removal was not granted.
pub const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The announcement of a departing member is valid for this long. After that, the member is replaced only if it falls silent.
const DEPARTURE_LIFETIME: Duration = Duration::from_millis(3_000);
/// More departing members than this are ignored.
const MAX_DEPARTING: usize = 64;

/// The members that are shutting down as far as this node knows, including itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct MemberRemoval {
    /// When the host first requested the shutdown of this node; none before.
    shutdown_requested_at: Option<Instant>,
    /// When this node last announced its shutdown.
    announced_at: Option<Instant>,
    /// The term whose primary has granted the removal of this node.
    granted_by: Option<Term>,
    /// Members that have announced their shutdown to this node, with the time of the last announcement.
    departing: BTreeMap<MemberId, Instant>,
}

impl MemberRemoval {
    pub(crate) fn request_shutdown(&mut self, now: Instant) {
        self.shutdown_requested_at.get_or_insert(now);
    }

    pub(crate) fn is_shutting_down(&self) -> bool {
        self.shutdown_requested_at.is_some()
    }

    /// How long this node has been shutting down; `None` if it is not.
    pub(crate) fn shutdown_age(&self, now: Instant) -> Option<Duration> {
        self.shutdown_requested_at.map(|at| now - at)
    }

    /// Returns true if the shutdown of this node is due to be announced. If so, restarts the interval.
    pub(crate) fn take_due_announcement(&mut self, context: &Context) -> bool {
        let interval = context.timings().resend_interval;
        let is_due = self.announced_at.is_none_or(|at| context.elapsed(at) >= interval);
        if !self.is_shutting_down() || !is_due || context.has_fault(InjectedFault::ShutDownWithoutRemoval) {
            return false;
        }
        self.announced_at = Some(context.now());
        true
    }

    /// Records that a primary grants the removal of this node.
    pub(crate) fn grant(&mut self, term: Term) {
        if self.is_shutting_down() {
            self.granted_by = self.granted_by.max(Some(term));
        }
    }

    /// Returns true if a primary has granted the removal of this node, and no later take-over may have chosen the node again.
    pub(crate) fn is_granted(&self, promised: Term, known_term: Term) -> bool {
        self.granted_by.is_some_and(|term| term >= promised && term >= known_term)
    }

    /// Returns true if the member has recently announced its shutdown.
    pub(crate) fn is_departing(&self, id: MemberId, now: Instant) -> bool {
        self.departing.get(&id).is_some_and(|at| now - *at <= DEPARTURE_LIFETIME)
    }

    /// Drops the announcement of a member that is back or never shut down.
    pub(crate) fn forget(&mut self, id: MemberId) {
        self.departing.remove(&id);
    }

    pub(crate) fn record_departure(&mut self, id: MemberId, now: Instant) {
        self.departing.retain(|_, at| now - *at <= DEPARTURE_LIFETIME);
        if self.departing.len() < MAX_DEPARTING || self.departing.contains_key(&id) {
            self.departing.insert(id, now);
        }
    }
}
