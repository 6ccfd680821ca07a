//! Sends heartbeats and handles their responses.

use mosshead_time::Instant;

use super::{PrimaryState, SentHeartbeat};
use crate::heartbeat_response::HeartbeatResponse;
use crate::message::Message;
use crate::node_core::NodeCore;
use crate::peers::{DefaultValues, Peer};
use crate::snapshot::StatePurpose;
use crate::state_delta::StateDelta;
use crate::term::{Member, MemberId};

/// The number of sent heartbeats that are kept to match responses with their send times.
const MAX_SENT_HEARTBEATS: usize = 64;

/// The recipients of a heartbeat.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Recipients {
    All,
    Voters,
}

impl PrimaryState {
    /// The newest heartbeat that a majority has answered.
    pub(super) fn confirmed_heartbeat(&self, core: &NodeCore) -> u64 {
        let defaults = DefaultValues { local: u64::MAX, unknown: 0 };
        let reached =
            core.peers.majority_value(core.local(), &self.config, defaults, Peer::acknowledged_heartbeat);
        reached.min(self.last_heartbeat)
    }

    /// Extends the lease from the send time of the newest heartbeat that a majority has answered. Returns true if the
    /// lease is valid.
    pub(crate) fn renew_lease(&self, core: &mut NodeCore) -> bool {
        let defaults = DefaultValues { local: Instant::FAR_FUTURE, unknown: Instant::ORIGIN };
        let sent_at = Peer::last_acknowledged_heartbeat_sent_at;
        let reached = core.peers.majority_value(core.local(), &self.config, defaults, sent_at);
        core.primary_lease.confirm(reached.min(core.now()));
        core.may_send_heartbeats()
    }

    pub(crate) fn send_heartbeats_to_all(&mut self, core: &mut NodeCore) {
        if core.may_send_heartbeats() {
            self.next_heartbeat_at = core.now() + core.context.timings().heartbeat_interval;
            self.send_heartbeats(core, Recipients::All);
        }
    }

    /// Sends heartbeats in addition to the regular ones, for requests that wait for a confirmation.
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
            let member = peer.member();
            if recipients == Recipients::All || self.config.has_voter(member.id) {
                core.context.send(member.address, self.heartbeat_for(peer));
            }
        }
    }

    fn heartbeat_for(&self, peer: &Peer) -> Message {
        Message::Heartbeat {
            term: self.term,
            sequence: self.last_heartbeat,
            committed: self.state.version(),
            config: (peer.known_term() < self.term).then(|| self.config.clone()),
            echoed_stamp: peer.lease_stamp(),
        }
    }

    /// Repeats the last heartbeat for one peer.
    fn send_heartbeat_to(&self, core: &mut NodeCore, id: MemberId) {
        let Some(peer) = core.peers.get(id).filter(|_| core.may_send_heartbeats()) else { return };
        let (to, heartbeat) = (peer.member().address, self.heartbeat_for(peer));
        core.send(to, heartbeat);
    }

    /// Adds a node that is no member to the peers. It may become a member once it has answered its first heartbeat.
    pub(crate) fn admit_peer(&self, core: &mut NodeCore, member: Member) {
        if core.peers.add(member, core.context.now()) {
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
        self.admit_peer(core, from);
        let lease = core.context.timings().lease;
        let Some(peer) = core.peers.get(from.id) else { return };
        let is_first_after_silence = response.lease_stamp.is_first_after_silence(peer.lease_stamp(), lease);
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
        if is_first_after_silence {
            // Its read lease has expired: an immediate heartbeat renews it sooner than the next regular one.
            self.send_heartbeat_to(core, from.id);
        }
    }

    /// Records a heartbeat response. A peer that has promised a higher term acknowledges nothing.
    fn update_peer(&self, core: &mut NodeCore, id: MemberId, response: &HeartbeatResponse) {
        let now = core.now();
        let heartbeat = self.sent_heartbeats.iter().find(|sent| sent.sequence == response.sequence);
        let acknowledged = heartbeat.filter(|_| response.promised <= self.term);
        let Some(peer) = core.peers.get_mut(id) else { return };
        peer.record_response(now, response, acknowledged.map(|sent| sent.sent_at));
        if response.is_healthy {
            core.removal.forget(id);
        }
    }

    /// Returns true if a peer lacks the committed state and it is due to be sent. If so, records the time.
    fn take_due_state(&self, core: &mut NodeCore, id: MemberId, response: &HeartbeatResponse) -> bool {
        let (now, timings) = (core.now(), core.context.timings());
        // The response may have been sent before the last state arrived.
        let expected = core.delta_log.revision_before(now, timings.resend_interval, self.state.revision);
        let is_behind = response.sequence >= self.first_heartbeat_after_full_state
            && response.committed_revision.is_none_or(|revision| revision < expected);
        let interval = timings.state_resend_interval;
        let Some(peer) = core.peers.get_mut(id) else { return false };
        let is_due = is_behind && peer.is_state_due(now, interval);
        if is_due {
            peer.record_state_sent(now);
        }
        is_due
    }

    /// Sends the committed state to a node that has an older one: the deltas since then, or the complete state.
    fn send_catch_up(&self, core: &mut NodeCore, to: Member, known_revision: Option<u64>) {
        let state = &self.state;
        let max_bytes = core.context.settings().chunk_sizes.large_state_bytes.min(state.body.len());
        let deltas = known_revision.and_then(|revision| core.delta_log.since(revision, state));
        let bytes = |deltas: &[StateDelta]| deltas.iter().map(StateDelta::estimated_bytes).sum::<usize>();
        match deltas.filter(|deltas| bytes(deltas) <= max_bytes) {
            Some(deltas) => core.send(to.address, Message::CommittedDeltas { deltas }),
            None => core.send_state(to, StatePurpose::CommittedState, state.clone()),
        }
    }
}
