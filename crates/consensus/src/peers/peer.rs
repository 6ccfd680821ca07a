//! What the primary knows about one other node.

use core::time::Duration;

use mosshead_time::Instant;

use crate::heartbeat_response::HeartbeatResponse;
use crate::lease_stamp::LeaseStamp;
use crate::term::{Member, Term};

/// The last message of a peer counts as recent for this long.
const RECENT_MESSAGE_AGE: Duration = Duration::from_millis(350);

/// What the primary knows about another node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Peer {
    member: Member,
    /// When its last heartbeat response, or its vote in the take-over, arrived.
    last_received_at: Instant,
    /// When the newest heartbeat that it has acknowledged was sent, or the configuration that it has accepted was
    /// proposed; the origin of the clock if there is none. A response acknowledges a heartbeat if it reports no promise
    /// of a higher term.
    last_acknowledged_heartbeat_sent_at: Instant,
    /// The sequence number of the newest acknowledged heartbeat; zero at the start of an epoch.
    acknowledged_heartbeat: u64,
    /// True if its last message reported that its disk accepts writes and that it is not shutting down.
    is_healthy: bool,
    /// When it was last known to be healthy.
    last_healthy_at: Instant,
    is_bootstrap_voter: bool,
    /// The term of the highest configuration that it has seen.
    known_term: Term,
    /// The term of the latest heartbeat that it has answered.
    answered_term: Term,
    /// When a state was last sent to it.
    state_sent_at: Option<Instant>,
    /// The newest stamp of its responses.
    lease_stamp: Option<LeaseStamp>,
}

impl Peer {
    /// A node that has sent nothing yet.
    pub(super) fn new(member: Member, now: Instant) -> Peer {
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

    pub(crate) fn member(&self) -> Member {
        self.member
    }

    pub(crate) fn is_bootstrap_voter(&self) -> bool {
        self.is_bootstrap_voter
    }

    /// When its last heartbeat response, or its vote in the take-over, arrived.
    pub(crate) fn last_received_at(&self) -> Instant {
        self.last_received_at
    }

    /// The time since its last message.
    pub(crate) fn silence(&self, now: Instant) -> Duration {
        now - self.last_received_at
    }

    /// Returns true if its last message is recent.
    pub(crate) fn has_recent_message(&self, now: Instant) -> bool {
        self.silence(now) <= RECENT_MESSAGE_AGE
    }

    /// True if its last message reported that its disk accepts writes and that it is not shutting down.
    pub(crate) fn is_healthy(&self) -> bool {
        self.is_healthy
    }

    /// When it was last known to be healthy.
    pub(crate) fn last_healthy_at(&self) -> Instant {
        self.last_healthy_at
    }

    /// The newest heartbeat of this epoch that it has answered without having promised a higher term; zero if none.
    pub(crate) fn acknowledged_heartbeat(&self) -> u64 {
        self.acknowledged_heartbeat
    }

    /// When the newest acknowledged heartbeat, possibly of the previous epoch, was sent, or the accepted configuration
    /// was proposed; the origin of the clock if there is none.
    pub(crate) fn last_acknowledged_heartbeat_sent_at(&self) -> Instant {
        self.last_acknowledged_heartbeat_sent_at
    }

    /// The term of the highest configuration that it has seen.
    pub(crate) fn known_term(&self) -> Term {
        self.known_term
    }

    /// The term of the latest heartbeat that it has answered; the lowest one before its first response.
    pub(crate) fn answered_term(&self) -> Term {
        self.answered_term
    }

    /// The newest stamp of its responses.
    pub(crate) fn lease_stamp(&self) -> Option<LeaseStamp> {
        self.lease_stamp
    }

    /// Records a heartbeat response, which acknowledges the heartbeat that was sent at `acknowledged_sent_at`, or nothing
    /// if that is `None`.
    pub(crate) fn record_response(
        &mut self,
        now: Instant,
        response: &HeartbeatResponse,
        acknowledged_sent_at: Option<Instant>,
    ) {
        self.last_received_at = now;
        self.is_healthy = response.is_healthy;
        if response.is_healthy {
            self.last_healthy_at = now;
        }
        self.known_term = response.known_term;
        self.answered_term = response.term;
        self.lease_stamp = Some(response.lease_stamp.newest(self.lease_stamp));
        if let Some(sent_at) = acknowledged_sent_at {
            self.record_acknowledgement(sent_at);
            self.acknowledged_heartbeat = self.acknowledged_heartbeat.max(response.sequence);
        }
    }

    fn record_acknowledgement(&mut self, sent_at: Instant) {
        self.last_acknowledged_heartbeat_sent_at = self.last_acknowledged_heartbeat_sent_at.max(sent_at);
    }

    /// Records that it has announced its shutdown.
    pub(crate) fn record_shutdown(&mut self) {
        self.is_healthy = false;
    }

    /// Returns true if no state was sent to it within the interval.
    pub(crate) fn is_state_due(&self, now: Instant, interval: Duration) -> bool {
        self.state_sent_at.is_none_or(|sent_at| now - sent_at >= interval)
    }

    pub(crate) fn record_state_sent(&mut self, now: Instant) {
        self.state_sent_at = Some(now);
    }

    /// Forgets the acknowledged heartbeat: the sequence numbers restart in each epoch.
    pub(super) fn reset_heartbeats(&mut self) {
        self.acknowledged_heartbeat = 0;
    }

    pub(super) fn set_member(&mut self, member: Member) {
        self.member = member;
    }

    /// Assumes that it is healthy until it reports otherwise, and was last known to be so at this instant.
    pub(super) fn assume_healthy(&mut self, last_healthy_at: Instant) {
        self.is_healthy = true;
        self.last_healthy_at = last_healthy_at;
    }

    /// Records that it has accepted the configuration of a new epoch, which was proposed at `proposed_at`.
    pub(super) fn record_vote(
        &mut self,
        now: Instant,
        term: Term,
        proposed_at: Instant,
        is_bootstrap_voter: bool,
    ) {
        self.is_bootstrap_voter = is_bootstrap_voter;
        self.record_acknowledgement(proposed_at);
        self.known_term = term;
        self.last_received_at = now;
        self.assume_healthy(now);
    }
}
