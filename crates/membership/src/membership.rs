//! The interface of the protocol to its host: the calls, and when the next call is due.

mod receive;

use core::net::SocketAddrV4;

use mosshead_time::{Duration, Instant};
use rand_core::RngCore;

use crate::datagram::Datagram;
use crate::discovery::Discovery;
use crate::event_log::Event;
use crate::leave::LeaveAnnouncer;
use crate::peer::{MemberState, Peer, PeerError};
use crate::prober::Prober;
use crate::settings::Settings;
use crate::state::ProtocolState;
use crate::sync::Synchronizer;

/// Later instants are reduced to this one. [`Instant`] saturates at [`Instant::FAR_FUTURE`], so that near it a future
/// deadline would be due at once.
const LATEST_INSTANT: Instant = Instant::from_millis(1 << 62);

/// One member of a fleet.
///
/// The host calls [`Membership::tick`] at the time that [`Membership::next_wake`] returns, calls
/// [`Membership::receive`] with each received datagram, and sends the datagrams that both return. The host's clock
/// should not go back; an earlier instant than before is replaced by the previous one.
pub struct Membership {
    state: ProtocolState,
    prober: Prober,
    synchronizer: Synchronizer,
    discovery: Discovery,
    leave: LeaveAnnouncer,
    /// True after the first call with an instant, which starts the timers.
    is_started: bool,
}

impl Membership {
    /// Creates a member that knows only the seeds. Its own address among them is ignored.
    ///
    /// # Errors
    ///
    /// `local_peer` has an invalid name, zone or address.
    pub fn new(
        local_peer: Peer,
        seeds: Vec<SocketAddrV4>,
        settings: Settings,
        rng: impl RngCore + Send + 'static,
    ) -> Result<Membership, PeerError> {
        local_peer.validate()?;
        let mut state = ProtocolState::new(local_peer, settings.bounded(), Box::new(rng));
        state.set_seeds(seeds);
        Ok(Membership {
            discovery: Discovery::new(state.settings()),
            state,
            prober: Prober::default(),
            synchronizer: Synchronizer::default(),
            leave: LeaveAnnouncer::default(),
            is_started: false,
        })
    }

    /// Performs all due actions, and returns the datagrams to send.
    pub fn tick(&mut self, now: Instant) -> Vec<Datagram> {
        self.advance(now);
        if self.is_leaving() {
            self.leave.repeat_if_due(&mut self.state);
        } else {
            self.state.expire();
            self.prober.begin_period_if_due(&mut self.state);
            self.prober.repeat_timed_out_probe(&mut self.state);
            self.discovery.join_if_due(&mut self.state, &mut self.synchronizer);
            self.discovery.reconnect_if_due(&mut self.state);
        }
        self.state.take_outbox()
    }

    /// Announces the shutdown of the local member. From then on, ticks only repeat the announcement a few times.
    pub fn leave(&mut self, now: Instant) -> Vec<Datagram> {
        self.advance(now);
        if !self.is_leaving() {
            self.leave.start(&mut self.state);
        }
        self.state.take_outbox()
    }

    /// The latest time for the next call of [`Membership::tick`]; `now` if an action is due, and before the first call.
    pub fn next_wake(&self, now: Instant) -> Instant {
        if self.is_started { self.next_deadline().max(now) } else { now }
    }

    /// The local member.
    pub fn local_peer(&self) -> &Peer {
        self.state.local().peer()
    }

    /// All known members: the local one, the live ones, and the dead and departed ones that still have a tombstone.
    pub fn members(&self) -> impl Iterator<Item = (&Peer, MemberState)> {
        self.state.table().iter().map(|record| (&record.peer, record.state))
    }

    /// The number of control nodes that are alive or suspect, including the local one.
    pub fn live_control_node_count(&self) -> usize {
        self.state.table().live_control_node_count()
    }

    /// The number of proxies that are alive or suspect, including the local one.
    pub fn live_proxy_count(&self) -> usize {
        self.state.table().live_member_count() - self.state.table().live_control_node_count()
    }

    /// Returns and removes the events since the last call. The first event ever is the join of the local member.
    pub fn drain_events(&mut self) -> Vec<Event> {
        self.state.drain_events()
    }

    /// True if the local member has received the complete list of another member, and is not the only live member.
    pub fn has_joined(&self) -> bool {
        self.discovery.has_joined()
    }

    /// Replaces the seeds. Known members are kept.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.state.set_seeds(seeds);
    }

    /// Adds addresses that the host has discovered, to be contacted like seeds.
    pub fn add_contacts(&mut self, addresses: impl IntoIterator<Item = SocketAddrV4>) {
        addresses.into_iter().for_each(|address| self.state.add_contact(address));
    }

    /// Advances the clock to the instant of a call.
    ///
    /// A process that did not run for a while (stopped, or in a paused virtual machine) must not suspect others
    /// because of its own pause. A call that is late by more than the probe timeout therefore postpones all timers by
    /// its delay, except for the expiry of tombstones.
    fn advance(&mut self, now: Instant) {
        let now = now.clamp(self.state.now(), LATEST_INSTANT);
        if self.is_started {
            // Zero if the next timer is not due yet, because subtraction saturates.
            let delay = now - self.next_timer();
            if delay > self.state.settings().probe_timeout {
                self.postpone_timers(delay);
            }
        }
        self.state.set_now(now);
        if !self.is_started {
            self.start();
        }
    }

    fn start(&mut self) {
        self.is_started = true;
        self.prober.start(&mut self.state);
        self.discovery.start(self.state.now(), self.state.settings());
        self.synchronizer.start(self.state.now());
    }

    fn is_leaving(&self) -> bool {
        self.state.local().is_leaving()
    }

    fn postpone_timers(&mut self, delay: Duration) {
        self.state.postpone_suspicions(delay);
        self.prober.postpone(delay);
        self.discovery.postpone(delay);
        self.leave.postpone(delay);
    }

    /// When the next call is needed.
    fn next_deadline(&self) -> Instant {
        if self.is_leaving() {
            return self.leave.next_deadline();
        }
        let next_timer = self.next_timer();
        self.state.table().next_expiry().map_or(next_timer, |expires_at| expires_at.min(next_timer))
    }

    /// The earliest active timer. A leaving member has only the timer of its announcement.
    fn next_timer(&self) -> Instant {
        if self.is_leaving() {
            return self.leave.next_at();
        }
        let period = self.prober.next_period_at();
        let probe = self.prober.next_repeat_at(self.state.settings());
        let suspicion = self.state.next_suspicion_deadline();
        let scheduled = period.min(self.discovery.next_deadline());
        probe.into_iter().chain(suspicion).fold(scheduled, Instant::min)
    }
}
