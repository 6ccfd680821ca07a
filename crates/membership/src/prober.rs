//! The failure detector: one probe in each protocol period, and pings on behalf of other members.

use core::net::SocketAddrV4;
use std::collections::VecDeque;

use mosshead_time::{Duration, Instant};

use crate::peer::MemberState;
use crate::settings::Settings;
use crate::state::{ProbeTarget, ProtocolState};
use crate::wire::MessageBody;

/// The maximum number of pings on behalf of other members that wait for an ack.
const MAX_RELAYED_PINGS: usize = 64;
/// The maximum number of dead members that are pinged again in each period.
const DEAD_RECHECKS_PER_PERIOD: usize = 4;

/// The probe of the current protocol period.
struct Probe {
    target: ProbeTarget,
    /// The sequence number of the ping, its repetition and the ping-reqs. The ack repeats it.
    sequence: u32,
    sent_at: Instant,
    is_acked: bool,
    /// True if the probe timeout has passed, and the ping was sent again with ping-reqs to other members.
    is_repeated: bool,
}

impl Probe {
    /// When the ping must be sent again; `None` if it was acknowledged or already repeated.
    fn repeat_at(&self, probe_timeout: Duration) -> Option<Instant> {
        (!self.is_acked && !self.is_repeated).then(|| self.sent_at + probe_timeout)
    }
}

/// A ping that another member requested, whose ack must be forwarded.
struct RelayedPing {
    /// The sequence number of the ping to the target.
    sequence: u32,
    target: String,
    requester: SocketAddrV4,
    /// The sequence number of the ping-req, which the forwarded ack repeats.
    requested_sequence: u32,
}

/// A received ping-req.
pub(crate) struct PingRequest {
    pub(crate) requester: SocketAddrV4,
    pub(crate) sequence: u32,
    pub(crate) target: String,
    pub(crate) target_address: SocketAddrV4,
}

/// The failure detector: runs the protocol periods, and tracks the pings that wait for an ack.
#[derive(Default)]
pub(crate) struct Prober {
    next_period_at: Instant,
    /// `None` before the first period, and if there was no member to probe.
    probe: Option<Probe>,
    /// In the order of sending, oldest first.
    relayed_pings: VecDeque<RelayedPing>,
}

impl Prober {
    /// Schedules the first protocol period after a random delay, so that members that start together don't probe
    /// together.
    pub(crate) fn start(&mut self, state: &mut ProtocolState) {
        let delay = state.random_duration_below(state.settings().probe_interval);
        self.next_period_at = state.now() + delay;
    }

    /// If a protocol period is over, ends it and begins the next one.
    pub(crate) fn begin_period_if_due(&mut self, state: &mut ProtocolState) {
        if state.now() < self.next_period_at {
            return;
        }
        self.suspect_unresponsive_target(state);
        self.next_period_at = state.now() + state.settings().probe_interval;
        ping_dead_again(state);
        self.probe_next_target(state);
        state.send_periodic_gossip();
    }

    /// Suspects the target of the ending period if it did not respond, unless a newer update about it was received.
    fn suspect_unresponsive_target(&mut self, state: &mut ProtocolState) {
        let Some(probe) = self.probe.take().filter(|probe| !probe.is_acked) else { return };
        let record = state.table().get(&probe.target.name);
        if record.is_some_and(|record| record.version() == probe.target.version) {
            state.mark_suspect(&probe.target.name);
        }
    }

    fn probe_next_target(&mut self, state: &mut ProtocolState) {
        let Some(target) = state.next_probe_target() else { return };
        let sequence = state.random_sequence();
        let (name, address) = (target.name.clone(), target.address);
        self.probe =
            Some(Probe { target, sequence, sent_at: state.now(), is_acked: false, is_repeated: false });
        ping(state, name, sequence, address);
    }

    /// If the probe has timed out, sends the ping again, with ping-reqs to some other members.
    pub(crate) fn repeat_timed_out_probe(&mut self, state: &mut ProtocolState) {
        let Some(probe) = &mut self.probe else { return };
        if probe.repeat_at(state.settings().probe_timeout).is_none_or(|at| state.now() < at) {
            return;
        }
        probe.is_repeated = true;
        let name = &probe.target.name;
        // The address may have changed since the first ping.
        let Some(address) = state.table().get(name).map(|record| record.peer.address) else { return };
        for relay in state.random_alive_addresses(state.settings().indirect_probes, Some(name)) {
            let (sequence, target) = (probe.sequence, name.clone());
            state.send(relay, MessageBody::PingRequest { sequence, target, address }, None);
        }
        ping(state, name.clone(), probe.sequence, address);
    }

    /// Handles an ack, and forwards it if the ping was sent on behalf of another member.
    pub(crate) fn on_ack(&mut self, state: &mut ProtocolState, sequence: u32, target: &str) {
        let probe = self.probe.as_mut();
        if let Some(probe) = probe.filter(|probe| probe.sequence == sequence && probe.target.name == target) {
            probe.is_acked = true;
        }
        let is_acked = |ping: &RelayedPing| ping.sequence == sequence && ping.target == target;
        let position = self.relayed_pings.iter().position(is_acked);
        if let Some(ping) = position.and_then(|position| self.relayed_pings.remove(position)) {
            let ack = MessageBody::Ack { sequence: ping.requested_sequence, target: ping.target };
            state.send(ping.requester, ack, None);
        }
    }

    /// Pings a member on behalf of the requester.
    pub(crate) fn on_ping_request(&mut self, state: &mut ProtocolState, request: PingRequest) {
        let sequence = state.random_sequence();
        if self.relayed_pings.len() >= MAX_RELAYED_PINGS {
            self.relayed_pings.pop_front();
        }
        self.relayed_pings.push_back(RelayedPing {
            sequence,
            target: request.target.clone(),
            requester: request.requester,
            requested_sequence: request.sequence,
        });
        ping(state, request.target, sequence, request.target_address);
    }

    pub(crate) fn next_period_at(&self) -> Instant {
        self.next_period_at
    }

    /// When the ping must be sent again, if at all.
    pub(crate) fn next_repeat_at(&self, settings: &Settings) -> Option<Instant> {
        self.probe.as_ref().and_then(|probe| probe.repeat_at(settings.probe_timeout))
    }

    /// Postpones the next period, and gives the probe in flight more time.
    pub(crate) fn postpone(&mut self, delay: Duration) {
        self.next_period_at += delay;
        if let Some(probe) = &mut self.probe {
            probe.sent_at += delay;
        }
    }
}

/// Sends a ping. If the target is known, but not as alive, the ping contains the known update about it, so that the
/// target can refute it.
fn ping(state: &mut ProtocolState, target: String, sequence: u32, address: SocketAddrV4) {
    let not_alive = state.table().get(&target).filter(|record| record.state != MemberState::Alive);
    let update = not_alive.map(|record| record.update());
    state.send(address, MessageBody::Ping { sequence, target }, update);
}

/// Pings some of the dead members that other members report as live.
fn ping_dead_again(state: &mut ProtocolState) {
    for _ in 0..DEAD_RECHECKS_PER_PERIOD {
        let Some(name) = state.pop_dead_recheck() else { break };
        let dead = state.table().get(&name).filter(|record| record.state == MemberState::Dead);
        if let Some(address) = dead.map(|record| record.peer.address) {
            let sequence = state.random_sequence();
            ping(state, name, sequence, address);
        }
    }
}
