//! The failure detector: one probe a protocol period, and pings on behalf of others.

use core::net::SocketAddrV4;
use std::collections::VecDeque;

use mosshead_time::{Duration, Instant};
use rand_core::RngCore;

use crate::outgoing::Datagram;
use crate::peer::MemberState;
use crate::state::ProtocolState;
use crate::wire::{MessageBody, UpdateVersion};

/// Bound of the pings on behalf of others whose acks are awaited.
const MAX_RELAYED_PINGS: usize = 64;
/// Members believed dead that are pinged again each period.
const DEAD_RECHECKS_PER_PERIOD: usize = 4;

/// The probe of the present period.
struct Probe {
    target: String,
    /// What was known of the target when it was sent.
    version: UpdateVersion,
    sequence: u32,
    sent_at: Instant,
    is_acked: bool,
    /// Whether the ping was sent again, with ping-reqs to others.
    is_repeated: bool,
}

impl Probe {
    /// When the ping is to be sent again; `None` if it needn't be.
    fn repeat_at(&self, probe_timeout: Duration) -> Option<Instant> {
        (!self.is_acked && !self.is_repeated).then(|| self.sent_at + probe_timeout)
    }
}

/// A ping that another member asked for.
struct RelayedPing {
    sequence: u32,
    target: String,
    requester: SocketAddrV4,
    /// The sequence of the ping-req, which the ack to the requester has.
    requested_sequence: u32,
}

/// A ping-req as received.
pub(crate) struct PingRequest {
    pub(crate) requester: SocketAddrV4,
    pub(crate) sequence: u32,
    pub(crate) target: String,
    pub(crate) target_address: SocketAddrV4,
}

/// Pings whose acks are awaited.
#[derive(Default)]
pub(crate) struct Prober {
    probe: Option<Probe>,
    /// The oldest first.
    relayed_pings: VecDeque<RelayedPing>,
}

impl Prober {
    /// Ends a protocol period: its target is suspected if it didn't answer, unless something newer is known of it.
    pub(crate) fn end_period(&mut self, state: &mut ProtocolState) {
        let Some(probe) = self.probe.take().filter(|probe| !probe.is_acked) else { return };
        let record = state.table.get(&probe.target);
        if record.is_some_and(|record| record.version() == probe.version) {
            state.mark_suspect(&probe.target);
        }
    }

    /// Begins a protocol period: sends the probe to the next target.
    pub(crate) fn begin_period(&mut self, state: &mut ProtocolState, out: &mut Vec<Datagram>) {
        ping_dead_again(state, out);
        let table = &state.table;
        let target = state.probe_order.next(|name| table.is_live(name), &mut *state.rng);
        let Some(target) = target else { return };
        let Some(record) = state.table.get(&target) else { return };
        let (version, address) = (record.version(), record.peer.address);
        let sequence = state.rng.next_u32();
        self.probe = Some(Probe {
            target: target.clone(),
            version,
            sequence,
            sent_at: state.now,
            is_acked: false,
            is_repeated: false,
        });
        ping(state, target, sequence, address, out);
    }

    /// Sends the probe again if it timed out, with ping-reqs to some other members.
    pub(crate) fn repeat_timed_out_probe(&mut self, state: &mut ProtocolState, out: &mut Vec<Datagram>) {
        let Some(probe) = &mut self.probe else { return };
        if probe.repeat_at(state.settings.probe_timeout).is_none_or(|at| state.now < at) {
            return;
        }
        probe.is_repeated = true;
        let Some(address) = state.table.get(&probe.target).map(|record| record.peer.address) else { return };
        for helper in state.random_alive_addresses(state.settings.indirect_probes, Some(&probe.target)) {
            let (sequence, target) = (probe.sequence, probe.target.clone());
            state.send(helper, MessageBody::PingRequest { sequence, target, address }, None, out);
        }
        ping(state, probe.target.clone(), probe.sequence, address, out);
    }

    /// Takes an ack, and passes it on if the ping was sent on behalf of another member.
    pub(crate) fn on_ack(
        &mut self,
        state: &mut ProtocolState,
        sequence: u32,
        target: &str,
        out: &mut Vec<Datagram>,
    ) {
        let probe = self.probe.as_mut();
        if let Some(probe) = probe.filter(|probe| probe.sequence == sequence && probe.target == target) {
            probe.is_acked = true;
        }
        let is_acked = |ping: &RelayedPing| ping.sequence == sequence && ping.target == target;
        let position = self.relayed_pings.iter().position(is_acked);
        if let Some(ping) = position.and_then(|position| self.relayed_pings.remove(position)) {
            let ack = MessageBody::Ack { sequence: ping.requested_sequence, target: ping.target };
            state.send(ping.requester, ack, None, out);
        }
    }

    /// Pings a member on behalf of another.
    pub(crate) fn on_ping_request(
        &mut self,
        state: &mut ProtocolState,
        request: PingRequest,
        out: &mut Vec<Datagram>,
    ) {
        let sequence = state.rng.next_u32();
        if self.relayed_pings.len() >= MAX_RELAYED_PINGS {
            self.relayed_pings.pop_front();
        }
        self.relayed_pings.push_back(RelayedPing {
            sequence,
            target: request.target.clone(),
            requester: request.requester,
            requested_sequence: request.sequence,
        });
        ping(state, request.target, sequence, request.target_address, out);
    }

    /// When the probe is to be sent again, if it is.
    pub(crate) fn next_deadline(&self, probe_timeout: Duration) -> Option<Instant> {
        self.probe.as_ref().and_then(|probe| probe.repeat_at(probe_timeout))
    }

    /// Gives the probe under way more time.
    pub(crate) fn postpone(&mut self, delay: Duration) {
        if let Some(probe) = &mut self.probe {
            probe.sent_at += delay;
        }
    }
}

/// Sends a ping. A target that isn't believed alive is notified, so that it can refute.
fn ping(
    state: &mut ProtocolState,
    target: String,
    sequence: u32,
    address: SocketAddrV4,
    out: &mut Vec<Datagram>,
) {
    let doubted = state.table.get(&target).filter(|record| record.state != MemberState::Alive);
    let update = doubted.map(|record| record.update());
    state.send(address, MessageBody::Ping { sequence, target }, update, out);
}

/// Pings some of the members that are believed dead though others say that they are live.
fn ping_dead_again(state: &mut ProtocolState, out: &mut Vec<Datagram>) {
    for _ in 0..DEAD_RECHECKS_PER_PERIOD {
        let Some(name) = state.probe_order.next_dead_recheck() else { break };
        let dead = state.table.get(&name).filter(|record| record.state == MemberState::Dead);
        if let Some(address) = dead.map(|record| record.peer.address) {
            let sequence = state.rng.next_u32();
            ping(state, name, sequence, address, out);
        }
    }
}
