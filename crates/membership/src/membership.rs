//! A member of a fleet: what the host calls, and when it wants to be called.

use core::net::SocketAddrV4;

use mosshead_time::{Duration, Instant};
use rand_core::RngCore;

use crate::discovery::Discovery;
use crate::event_log::Event;
use crate::outgoing::Datagram;
use crate::peer::{MemberState, Peer, PeerError};
use crate::prober::Prober;
use crate::random::duration_below;
use crate::settings::Settings;
use crate::state::ProtocolState;
use crate::sync::Synchronizer;

/// After the first announcement of a shutdown it is repeated so many times, once a period.
const LEAVE_REPETITIONS: u32 = 3;
/// Members that each announcement of a shutdown is sent to.
const LEAVE_FANOUT: usize = 6;
/// Later instants are taken for this one. [`Instant`] saturates at [`Instant::FAR_FUTURE`], so near it a deadline in the
/// future would be due at once.
const LATEST_INSTANT: Instant = Instant::from_millis(1 << 62);

/// One member of a fleet.
///
/// The host calls [`Membership::tick`] when [`Membership::next_wake`] says so, and [`Membership::receive`] with each
/// datagram, and sends what they return. Its clock should not go back; if it does, it is taken to stand still.
pub struct Membership {
    pub(crate) state: ProtocolState,
    pub(crate) prober: Prober,
    pub(crate) synchronizer: Synchronizer,
    pub(crate) discovery: Discovery,
    /// When the next protocol period begins; while leaving, when the announcement is repeated.
    next_period_at: Instant,
    remaining_leave_repetitions: u32,
    is_started: bool,
}

impl Membership {
    /// A member that knows nobody but the seeds. Its own address among them is ignored.
    ///
    /// # Errors
    ///
    /// `local_peer` has a name, zone or address that no member may have.
    pub fn new(
        local_peer: Peer,
        seeds: Vec<SocketAddrV4>,
        settings: Settings,
        rng: impl RngCore + Send + 'static,
    ) -> Result<Membership, PeerError> {
        local_peer.validate()?;
        let mut state = ProtocolState::new(local_peer, settings.bounded(), Box::new(rng));
        state.contacts.set_seeds(seeds, &mut *state.rng);
        Ok(Membership {
            discovery: Discovery::new(&state.settings),
            state,
            prober: Prober::default(),
            synchronizer: Synchronizer::default(),
            next_period_at: Instant::ORIGIN,
            remaining_leave_repetitions: 0,
            is_started: false,
        })
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Instant) -> Vec<Datagram> {
        let mut out = Vec::new();
        self.advance(now);
        if self.state.is_leaving {
            self.repeat_leave_if_due(&mut out);
            return out;
        }
        self.expire();
        if self.state.now >= self.next_period_at {
            self.begin_period(&mut out);
        }
        self.prober.repeat_timed_out_probe(&mut self.state, &mut out);
        self.discovery.join_if_due(&mut self.state, &mut self.synchronizer, &mut out);
        self.discovery.reconnect_if_due(&mut self.state, &mut out);
        out
    }

    /// Announces the shutdown of the local member. Further ticks repeat it a few times; nothing else is done from then on.
    pub fn leave(&mut self, now: Instant) -> Vec<Datagram> {
        let mut out = Vec::new();
        self.advance(now);
        if !self.state.is_leaving {
            self.state.is_leaving = true;
            self.remaining_leave_repetitions = LEAVE_REPETITIONS;
            let name = self.state.local_peer.name.clone();
            self.state.table.set_state(&name, MemberState::Left);
            self.state.events.append(Event::Left(name));
            self.announce_leave(&mut out);
        }
        out
    }

    /// When [`Membership::tick`] has to be called at the latest: `now` if something is due, or before the first call.
    pub fn next_wake(&self, now: Instant) -> Instant {
        if self.is_started { self.next_deadline().max(now) } else { now }
    }

    /// The local member.
    pub fn local_peer(&self) -> &Peer {
        &self.state.local_peer
    }

    /// All known members: the local one, the live ones, and the remembered ones that are dead or have left.
    pub fn members(&self) -> impl Iterator<Item = (&Peer, MemberState)> {
        self.state.table.iter().map(|record| (&record.peer, record.state))
    }

    /// How many control nodes are alive or suspect, the local one included.
    pub fn live_control_nodes(&self) -> usize {
        self.state.table.live_control_nodes()
    }

    /// How many proxies are alive or suspect, the local one included.
    pub fn live_proxies(&self) -> usize {
        self.state.table.live_members() - self.state.table.live_control_nodes()
    }

    /// Takes the events since the last call. The first of all is the joining of the local member.
    pub fn drain_events(&mut self) -> Vec<Event> {
        self.state.events.drain()
    }

    /// Whether the local member has received the complete list of another one, and isn't alone.
    pub fn has_joined(&self) -> bool {
        self.discovery.has_joined()
    }

    /// Replaces the seeds. Known members stay known.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.state.contacts.set_seeds(seeds, &mut *self.state.rng);
    }

    /// Adds addresses of members that the host knows from elsewhere, to be tried like seeds.
    pub fn add_contacts(&mut self, addresses: impl IntoIterator<Item = SocketAddrV4>) {
        addresses.into_iter().for_each(|address| self.state.contacts.add(address));
    }

    /// Takes in the instant of a call.
    ///
    /// A process that did not run for a while (stopped, or its virtual machine paused) must not suspect others for the time
    /// that it has missed itself. So a call that is late by more than the probe timeout puts off all timers by that delay,
    /// except for the expiry of tombstones.
    pub(crate) fn advance(&mut self, now: Instant) {
        let now = now.clamp(self.state.now, LATEST_INSTANT);
        if self.is_started {
            let delay = now - self.next_timer();
            if delay > self.state.settings.probe_timeout {
                self.postpone_timers(delay);
            }
        } else {
            self.start(now);
        }
        self.state.now = now;
    }

    fn start(&mut self, now: Instant) {
        let settings = &self.state.settings;
        self.is_started = true;
        // Spreads the periods of members that start together.
        self.next_period_at = now + duration_below(&mut *self.state.rng, settings.probe_interval);
        self.discovery.start(now, settings);
        self.synchronizer.start(now);
    }

    fn postpone_timers(&mut self, delay: Duration) {
        self.state.suspicion_deadlines.values_mut().for_each(|deadline| *deadline += delay);
        self.next_period_at += delay;
        self.discovery.postpone(delay);
        self.prober.postpone(delay);
    }

    fn next_deadline(&self) -> Instant {
        if self.state.is_leaving {
            let has_repetitions = self.remaining_leave_repetitions > 0;
            return if has_repetitions { self.next_period_at } else { Instant::FAR_FUTURE };
        }
        let next_timer = self.next_timer();
        self.state.table.next_expiry().map_or(next_timer, |expires_at| expires_at.min(next_timer))
    }

    /// The first of the deadlines that [`Membership::postpone_timers`] puts off.
    fn next_timer(&self) -> Instant {
        let probe = self.prober.next_deadline(self.state.settings.probe_timeout);
        let suspicion = self.state.suspicion_deadlines.values().min().copied();
        let scheduled = self.next_period_at.min(self.discovery.next_deadline());
        probe.into_iter().chain(suspicion).fold(scheduled, Instant::min)
    }

    /// Confirms suspicions that weren't refuted, and forgets what is old enough.
    fn expire(&mut self) {
        let state = &mut self.state;
        let now = state.now;
        let expired = state.suspicion_deadlines.iter().filter(|(_, deadline)| **deadline <= now);
        let expired: Vec<String> = expired.map(|(name, _)| name.clone()).collect();
        for name in expired {
            state.mark_dead(&name);
        }
        state.table.remove_expired(now);
        let dissemination_time = state.settings.probe_interval * state.retransmit_limit();
        state.gossip.remove_queued_before(now - dissemination_time);
    }

    fn begin_period(&mut self, out: &mut Vec<Datagram>) {
        self.prober.end_period(&mut self.state);
        self.next_period_at = self.state.now + self.state.settings.probe_interval;
        self.prober.begin_period(&mut self.state, out);
        if !self.state.gossip.is_empty() {
            self.state.send_gossip(self.state.settings.gossip_fanout, out);
        }
    }

    fn repeat_leave_if_due(&mut self, out: &mut Vec<Datagram>) {
        if self.remaining_leave_repetitions > 0 && self.state.now >= self.next_period_at {
            self.remaining_leave_repetitions -= 1;
            self.announce_leave(out);
        }
    }

    fn announce_leave(&mut self, out: &mut Vec<Datagram>) {
        self.next_period_at = self.state.now + self.state.settings.probe_interval;
        self.state.send_gossip(LEAVE_FANOUT, out);
    }
}
