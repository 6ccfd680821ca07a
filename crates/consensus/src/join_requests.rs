//! Join requests: the latest ones of other nodes, and the schedule of this node's own.

use core::time::Duration;
use std::collections::BTreeMap;

use mosshead_time::Instant;

use crate::context::Context;
use crate::term::{Member, MemberId};

/// More join requests than this are ignored.
const MAX_JOIN_REQUESTS: usize = 64;
/// A join request is valid for this long.
const JOIN_REQUEST_LIFETIME: Duration = Duration::from_millis(1_000);
/// The interval of the join requests of a newcomer that knows a primary and waits for a slot.
const WAITING_NEWCOMER_INTERVAL: Duration = Duration::from_millis(400);
/// The interval of the join requests of a newcomer that knows no primary.
const NEWCOMER_INTERVAL: Duration = Duration::from_millis(100);
/// The interval of the join requests of a member whose primary is silent.
const MEMBER_INTERVAL: Duration = Duration::from_millis(300);
/// A member sends join requests after its primary has been silent for this long.
const MEMBER_PRIMARY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A newcomer counts its primary as lost after it has been silent for this long.
const NEWCOMER_PRIMARY_TIMEOUT: Duration = Duration::from_millis(300);

/// The latest join request of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct JoinRequest {
    pub(crate) member: Member,
    pub(crate) is_bootstrap_voter: bool,
    pub(crate) received_at: Instant,
}

/// The latest join requests of other nodes, and the time of this node's next one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct JoinRequests {
    by_member: BTreeMap<MemberId, JoinRequest>,
    next_at: Instant,
}

impl JoinRequests {
    pub(crate) fn new(now: Instant) -> JoinRequests {
        JoinRequests { by_member: BTreeMap::new(), next_at: now }
    }

    pub(crate) fn record(&mut self, request: JoinRequest) {
        let now = request.received_at;
        self.by_member.retain(|_, known| now - known.received_at <= JOIN_REQUEST_LIFETIME);
        let id = request.member.id;
        if self.by_member.len() < MAX_JOIN_REQUESTS || self.by_member.contains_key(&id) {
            self.by_member.insert(id, request);
        }
    }

    /// The join requests that have not expired.
    pub(crate) fn recent(&self, now: Instant) -> impl Iterator<Item = &JoinRequest> {
        self.by_member.values().filter(move |request| now - request.received_at <= JOIN_REQUEST_LIFETIME)
    }

    /// Returns true if all these bootstrap voters, apart from the local one, are known from join requests.
    pub(crate) fn include_bootstrap_voters(
        &self,
        local: Member,
        addresses: &[core::net::SocketAddrV4],
    ) -> bool {
        let is_known =
            |address| self.by_member.values().any(|r| r.is_bootstrap_voter && r.member.address == address);
        addresses.iter().all(|address| *address == local.address || is_known(*address))
    }

    /// Returns true if a follower has to send join requests now: its primary is unknown or has been silent for too long,
    /// or it is no member. If so, schedules the next ones.
    ///
    /// A newcomer sends join requests even while it knows a primary: the next primary has to know which nodes wait for a
    /// slot before it grants a removal.
    pub(crate) fn take_due(
        &mut self,
        context: &Context,
        is_member: bool,
        primary_alive_at: Option<Instant>,
    ) -> bool {
        let now = context.now();
        if now < self.next_at {
            return false;
        }
        let timeout = if is_member { MEMBER_PRIMARY_TIMEOUT } else { NEWCOMER_PRIMARY_TIMEOUT };
        let is_without_primary = match primary_alive_at {
            Some(alive_at) => now - alive_at >= timeout,
            None => !is_member || now - context.started_at() >= timeout,
        };
        if is_member && !is_without_primary {
            return false;
        }
        let interval = match (is_member, is_without_primary) {
            (true, _) => MEMBER_INTERVAL,
            (false, true) => NEWCOMER_INTERVAL,
            (false, false) => WAITING_NEWCOMER_INTERVAL,
        };
        self.next_at = now + interval;
        true
    }
}
