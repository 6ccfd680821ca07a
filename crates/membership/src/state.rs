//! The state that all parts of the protocol share: what the local member believes, and what it has to send about it.
//!
//! Each concern has an owner of its own. What an update changes in several of them is decided in [`updates`].

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

/// What a member believes, and what it has to send about it.
pub(crate) struct ProtocolState {
    /// As [`Settings::bounded`] returned them.
    settings: Settings,
    rng: Box<dyn RngCore + Send>,
    /// The instant of the call at hand. It never goes back.
    now: Instant,
    local: LocalMember,
    table: MemberTable,
    suspicions: Suspicions,
    changes: ChangeCounter,
    events: EventLog,
    gossip: GossipQueue,
    contacts: ContactPoints,
    probe_order: ProbeOrder,
    /// The datagrams that the call at hand returns.
    outbox: Vec<Datagram>,
}

/// A member that is probed, with what was known of it when the probe began.
pub(crate) struct ProbeTarget {
    pub(crate) name: String,
    pub(crate) version: UpdateVersion,
    pub(crate) address: SocketAddrV4,
}

impl ProtocolState {
    /// The state of a member that knows only itself. `settings` are within bounds.
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

    /// Begins a call at an instant that is not before that of the last call.
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

    /// The local member shuts down.
    pub(crate) fn begin_leave(&mut self) {
        self.local.begin_leave();
        self.table.set_state(self.local.name(), MemberState::Left);
        self.events.append(Event::Left(self.local.name().to_owned()));
    }

    pub(crate) fn drain_events(&mut self) -> Vec<Event> {
        self.events.drain()
    }

    /// Marks suspects dead that haven't refuted in time, and drops expired tombstones and gossip.
    pub(crate) fn expire(&mut self) {
        for name in self.suspicions.expired(self.now) {
            self.mark_dead(&name);
        }
        self.table.remove_expired(self.now);
        // Within so many periods an update could have been sent as often as the limit allows.
        let dissemination_time = self.settings.probe_interval * self.retransmit_limit();
        self.gossip.remove_queued_before(self.now - dissemination_time);
    }

    /// When the next suspect is dead unless it refutes.
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

    /// A random address that no live member has, where a member may be.
    pub(crate) fn draw_absent_contact(&mut self) -> Option<SocketAddrV4> {
        let table = &self.table;
        self.contacts.draw_absent(&mut *self.rng, |address| table.has_live_address(address))
    }

    /// The live member whose turn it is to be probed.
    pub(crate) fn next_probe_target(&mut self) -> Option<ProbeTarget> {
        let table = &self.table;
        let name = self.probe_order.next(|name| table.is_live(name), &mut *self.rng)?;
        let record = table.get(&name)?;
        Some(ProbeTarget { version: record.version(), address: record.peer.address, name })
    }

    /// The next member believed dead that others say is live.
    pub(crate) fn pop_dead_recheck(&mut self) -> Option<String> {
        self.probe_order.pop_dead_recheck()
    }

    /// A number that identifies a ping with its ack.
    pub(crate) fn random_sequence(&mut self) -> u32 {
        self.rng.next_u32()
    }

    /// An index of a list of `length`; 0 if the list is empty.
    pub(crate) fn random_index(&mut self, length: usize) -> usize {
        index(&mut *self.rng, length)
    }

    /// A duration of whole milliseconds below `end`; zero if `end` is.
    pub(crate) fn random_duration_below(&mut self, end: Duration) -> Duration {
        duration_below(&mut *self.rng, end)
    }

    /// How often an update is sent, with the present number of live members.
    fn retransmit_limit(&self) -> u32 {
        self.settings.retransmit_limit(self.table.live_member_count())
    }
}
