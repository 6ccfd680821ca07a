//! Heartbeats, and what their responses say.

use mosshead_time::Instant;

use super::{PrimaryState, SentHeartbeat};
use crate::control_state::ControlState;
use crate::lease_stamp::LeaseStamp;
use crate::message::Message;
use crate::node_core::NodeCore;
use crate::peers::Peer;
use crate::snapshot::StatePurpose;
use crate::state_delta::StateDelta;
use crate::term::{Member, MemberId, Term};

/// How many sent heartbeats are remembered.
const MAX_SENT_HEARTBEATS: usize = 64;

/// Who gets a heartbeat.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Recipients {
    All,
    Voters,
}

/// What a peer answers to a heartbeat.
pub(crate) struct HeartbeatResponse {
    pub(crate) term: Term,
    pub(crate) sequence: u64,
    pub(crate) promised: Term,
    pub(crate) accepted_term: Term,
    pub(crate) known_term: Term,
    pub(crate) committed_revision: Option<u64>,
    pub(crate) is_healthy: bool,
    pub(crate) lease_stamp: LeaseStamp,
}

impl PrimaryState {
    /// The newest heartbeat that a majority has answered.
    pub(super) fn confirmed_heartbeat(&self, core: &NodeCore) -> u64 {
        let acknowledged = |peer: &Peer| peer.acknowledged_heartbeat;
        let values = (u64::MAX, 0);
        let reached = core.peers.majority_value(core.local(), &self.config, values, acknowledged);
        reached.min(self.last_heartbeat)
    }

    /// Extends the lease to what a majority has answered; returns whether it holds.
    pub(crate) fn renew_lease(&self, core: &mut NodeCore) -> bool {
        let sent_at = |peer: &Peer| peer.last_acknowledged_heartbeat_sent_at;
        let values = (Instant::FAR_FUTURE, Instant::ORIGIN);
        let reached = core.peers.majority_value(core.local(), &self.config, values, sent_at);
        let confirmed_at = reached.min(core.now());
        core.primary_lease_confirmed_at = core.primary_lease_confirmed_at.max(Some(confirmed_at));
        core.may_send_heartbeats()
    }

    pub(crate) fn send_heartbeats_to_all(&mut self, core: &mut NodeCore) {
        if core.may_send_heartbeats() {
            self.next_heartbeat_at = core.now() + core.context.timings().heartbeat_interval;
            self.send_heartbeats(core, Recipients::All);
        }
    }

    /// Sends heartbeats between the regular ones.
    pub(super) fn send_heartbeats_to_voters(&mut self, core: &mut NodeCore) {
        if core.may_send_heartbeats() {
            self.send_heartbeats(core, Recipients::Voters);
        }
    }

    fn send_heartbeats(&mut self, core: &mut NodeCore, recipients: Recipients) {
        self.last_heartbeat += 1;
        let sent = SentHeartbeat { sequence: self.last_heartbeat, sent_at: core.now() };
        self.sent_heartbeats.push_back(sent);
        if self.sent_heartbeats.len() > MAX_SENT_HEARTBEATS {
            self.sent_heartbeats.pop_front();
        }
        for peer in core.peers.iter() {
            if recipients == Recipients::All || self.config.has_voter(peer.member.id) {
                core.context.send(peer.member.address, self.heartbeat_for(peer));
            }
        }
    }

    fn heartbeat_for(&self, peer: &Peer) -> Message {
        Message::Heartbeat {
            term: self.term,
            sequence: self.last_heartbeat,
            committed: self.state.version(),
            config: (peer.known_term < self.term).then(|| self.config.clone()),
            echoed_stamp: peer.lease_stamp,
        }
    }

    /// Repeats the last heartbeat for one peer.
    fn send_heartbeat_to(&self, core: &mut NodeCore, id: MemberId) {
        let Some(peer) = core.peers.get(id).filter(|_| core.may_send_heartbeats()) else { return };
        let (to, heartbeat) = (peer.member.address, self.heartbeat_for(peer));
        core.send(to, heartbeat);
    }

    /// Adds a node that is no member to the peers. It counts when it has answered its first heartbeat.
    pub(crate) fn admit_member(&self, core: &mut NodeCore, member: Member) {
        if core.peers.add(member, core.context.now) {
            self.send_heartbeat_to(core, member.id);
        }
    }

    pub(crate) fn on_heartbeat_response(
        &mut self,
        core: &mut NodeCore,
        from: Member,
        response: &HeartbeatResponse,
    ) {
        if self.term != response.term {
            return;
        }
        self.admit_member(core, from);
        let lease = core.context.timings().lease;
        let Some(peer) = core.peers.get(from.id) else { return };
        // It was out of contact: it need not wait for the next regular heartbeat.
        let is_back = response.lease_stamp.is_first_after_silence(peer.lease_stamp, lease);
        self.update_peer(core, from.id, response);
        let is_voter = self.config.has_voter(from.id);
        let has_promised_higher = response.promised > self.term;
        if has_promised_higher && is_voter {
            self.higher_term_seen_since.get_or_insert(core.now());
        }
        if self.take_due_state(core, from.id, response) {
            self.send_catch_up(core, from, response.committed_revision);
        }
        if is_voter && response.accepted_term < self.term && !has_promised_higher {
            core.send(from.address, Message::Accept { config: self.config.clone() });
        }
        if is_back {
            self.send_heartbeat_to(core, from.id);
        }
    }

    /// Remembers what a peer has answered.
    fn update_peer(&self, core: &mut NodeCore, id: MemberId, response: &HeartbeatResponse) {
        let now = core.now();
        let Some(peer) = core.peers.get_mut(id) else { return };
        peer.last_received_at = now;
        peer.is_healthy = response.is_healthy;
        peer.known_term = response.known_term;
        peer.answered_term = response.term;
        peer.lease_stamp = Some(response.lease_stamp.newest(peer.lease_stamp));
        if response.is_healthy {
            peer.last_healthy_at = now;
            core.removal.forget(id);
        }
        let heartbeat = self.sent_heartbeats.iter().find(|sent| sent.sequence == response.sequence);
        if let Some(heartbeat) = heartbeat.filter(|_| response.promised <= self.term) {
            peer.last_acknowledged_heartbeat_sent_at =
                peer.last_acknowledged_heartbeat_sent_at.max(heartbeat.sent_at);
            peer.acknowledged_heartbeat = peer.acknowledged_heartbeat.max(response.sequence);
        }
    }

    /// Whether a peer lacks the committed state and is to get it now. If so, the time is noted.
    fn take_due_state(&self, core: &mut NodeCore, id: MemberId, response: &HeartbeatResponse) -> bool {
        let (now, timings) = (core.now(), core.context.timings());
        // What a response says may be older than what was sent last.
        let expected = core.delta_log.revision_before(now, timings.resend_interval, self.state.revision);
        let is_behind = response.sequence >= self.first_heartbeat_of_full_state
            && response.committed_revision.is_none_or(|revision| revision < expected);
        let interval = timings.state_resend_interval;
        let Some(peer) = core.peers.get_mut(id) else { return false };
        let is_due = is_behind && peer.state_sent_at.is_none_or(|sent_at| now - sent_at >= interval);
        if is_due {
            peer.state_sent_at = Some(now);
        }
        is_due
    }

    /// Sends the committed state to one that knows an older one: the deltas since then, or the whole state.
    fn send_catch_up(&self, core: &mut NodeCore, to: Member, known_revision: Option<u64>) {
        let state: &ControlState = &self.state;
        let max_bytes = core.context.settings.chunk_sizes.large_state_bytes.min(state.body.len());
        let deltas = known_revision.and_then(|revision| core.delta_log.since(revision, state));
        let bytes = |deltas: &[StateDelta]| deltas.iter().map(StateDelta::estimated_bytes).sum::<usize>();
        match deltas.filter(|deltas| bytes(deltas) <= max_bytes) {
            Some(deltas) => core.send(to.address, Message::CommittedDeltas { deltas }),
            None => core.send_state(to, StatePurpose::CommittedState, state.clone()),
        }
    }
}
