//! The state that all parts of the protocol share: the known members, and the queued updates and datagrams.
//!
//! Each concern has its own type. [`updates`] decides how an update changes several of them.

mod sending;
mod updates;

use core::net::SocketAddrV4;

use mosshead_time::{Duration, Instant};
use rand_core::RngCore;

use crate::change_counter::ChangeCounter;
use crate::contact_points::ContactPoints;
use crate::datagram::Datagram;
use crate::event_log::{Event, EventLog};
use crate::gossip_queue::GossipQueue;
use crate::local_member::LocalMember;
use crate::member_table::MemberTable;
use crate::peer::{MemberState, Peer};
use crate::probe_order::ProbeOrder;
use crate::random::{duration_below, index};
use crate::settings::Settings;
use crate::suspicions::Suspicions;
use crate::wire::UpdateVersion;

pub(crate) use updates::UpdateSource;

/// The shared state of the protocol.
pub(crate) struct ProtocolState {
    /// The result of [`Settings::bounded`].
    settings: Settings,
    rng: Box<dyn RngCore + Send>,
    /// The instant of the current call. It never decreases.
    now: Instant,
    local: LocalMember,
    table: MemberTable,
    suspicions: Suspicions,
    changes: ChangeCounter,
    events: EventLog,
    gossip: GossipQueue,
    contacts: ContactPoints,
    probe_order: ProbeOrder,
    /// The datagrams to return from the current call.
    outbox: Vec<Datagram>,
}

/// A member to probe, with its version and address at the start of the probe.
pub(crate) struct ProbeTarget {
    pub(crate) name: String,
    pub(crate) version: UpdateVersion,
    pub(crate) address: SocketAddrV4,
}

impl ProtocolState {
    /// The state of a member that knows only itself. `settings` must be within bounds.
    pub(crate) fn new(local_peer: Peer, settings: Settings, rng: Box<dyn RngCore + Send>) -> ProtocolState {
        let local = LocalMember::new(local_peer);
        let mut table = MemberTable::new(settings.max_members);
        table.put(local.peer().clone(), local.incarnation(), MemberState::Alive);
        let mut events = EventLog::default();
        events.append(Event::Joined(local.peer().clone()));
        ProtocolState {
            settings,
            rng,
            now: Instant::ORIGIN,
            local,
            table,
            suspicions: Suspicions::default(),
            changes: ChangeCounter::default(),
            events,
            gossip: GossipQueue::default(),
            contacts: ContactPoints::default(),
            probe_order: ProbeOrder::default(),
            outbox: Vec::new(),
        }
    }

    pub(crate) fn settings(&self) -> &Settings {
        &self.settings
    }

    pub(crate) fn now(&self) -> Instant {
        self.now
    }

    /// Sets the instant of the current call, which must not be before that of the last call.
    pub(crate) fn set_now(&mut self, now: Instant) {
        self.now = now;
    }

    pub(crate) fn local(&self) -> &LocalMember {
        &self.local
    }

    pub(crate) fn table(&self) -> &MemberTable {
        &self.table
    }

    pub(crate) fn changes(&self) -> &ChangeCounter {
        &self.changes
    }

    /// Marks the local member as left.
    pub(crate) fn begin_leave(&mut self) {
        self.local.begin_leave();
        self.table.set_state(self.local.name(), MemberState::Left);
        self.events.append(Event::Left(self.local.name().to_owned()));
    }

    pub(crate) fn drain_events(&mut self) -> Vec<Event> {
        self.events.drain()
    }

    /// Marks suspects as dead that did not refute in time, and drops expired tombstones and gossip.
    pub(crate) fn expire(&mut self) {
        for name in self.suspicions.expired(self.now) {
            self.mark_dead(&name);
        }
        self.table.remove_expired(self.now);
        // In this number of periods, an update could have reached its transmission limit.
        let dissemination_time = self.settings.probe_interval * self.retransmit_limit();
        self.gossip.remove_queued_before(self.now - dissemination_time);
    }

    /// The earliest time at which a suspect is declared dead unless it refutes.
    pub(crate) fn next_suspicion_deadline(&self) -> Option<Instant> {
        self.suspicions.next_deadline()
    }

    pub(crate) fn postpone_suspicions(&mut self, delay: Duration) {
        self.suspicions.postpone(delay);
    }

    /// See [`ContactPoints::set_seeds`].
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.contacts.set_seeds(seeds, &mut *self.rng);
    }

    /// See [`ContactPoints::add`].
    pub(crate) fn add_contact(&mut self, address: SocketAddrV4) {
        self.contacts.add(address);
    }

    /// Up to `count` addresses for an attempt to join.
    pub(crate) fn next_contacts(&mut self, count: usize) -> Vec<SocketAddrV4> {
        self.contacts.next_for_join(count, self.local.peer().address)
    }

    /// A random address without a known live member, at which a member may run.
    pub(crate) fn draw_absent_contact(&mut self) -> Option<SocketAddrV4> {
        let table = &self.table;
        self.contacts.draw_absent(&mut *self.rng, |address| table.has_live_address(address))
    }

    /// The next live member to probe.
    pub(crate) fn next_probe_target(&mut self) -> Option<ProbeTarget> {
        let table = &self.table;
        let name = self.probe_order.next(|name| table.is_live(name), &mut *self.rng)?;
        let record = table.get(&name)?;
        Some(ProbeTarget { version: record.version(), address: record.peer.address, name })
    }

    /// Removes and returns the next dead member that others report as live.
    pub(crate) fn pop_dead_recheck(&mut self) -> Option<String> {
        self.probe_order.pop_dead_recheck()
    }

    /// A random sequence number, which matches a ping with its ack.
    pub(crate) fn random_sequence(&mut self) -> u32 {
        self.rng.next_u32()
    }

    /// A random index into a list of this length; 0 if the list is empty.
    pub(crate) fn random_index(&mut self, length: usize) -> usize {
        index(&mut *self.rng, length)
    }

    /// A random duration of whole milliseconds below `end`; zero if `end` is zero.
    pub(crate) fn random_duration_below(&mut self, end: Duration) -> Duration {
        duration_below(&mut *self.rng, end)
    }

    /// The maximum number of transmissions of an update, for the current number of live members.
    fn retransmit_limit(&self) -> u32 {
        self.settings.retransmit_limit(self.table.live_member_count())
    }
}
