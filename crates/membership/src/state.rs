//! The state that all parts of the protocol share.

use std::collections::BTreeMap;

use mosshead_time::Instant;
use rand_core::RngCore;

use crate::contact_points::ContactPoints;
use crate::event_log::{Event, EventLog};
use crate::gossip_queue::GossipQueue;
use crate::member_table::MemberTable;
use crate::peer::{MemberState, Peer};
use crate::probe_order::ProbeOrder;
use crate::settings::Settings;

/// What a member believes, and what it has to send about it.
pub(crate) struct ProtocolState {
    /// Within bounds, see [`Settings::bounded`].
    pub(crate) settings: Settings,
    pub(crate) rng: Box<dyn RngCore + Send>,
    /// The instant of the call at hand. It never goes back.
    pub(crate) now: Instant,
    pub(crate) local_peer: Peer,
    /// That of the local member; only raised.
    pub(crate) incarnation: u64,
    pub(crate) is_leaving: bool,
    pub(crate) table: MemberTable,
    pub(crate) events: EventLog,
    pub(crate) gossip: GossipQueue,
    pub(crate) contacts: ContactPoints,
    pub(crate) probe_order: ProbeOrder,
    /// Until when each suspect may refute; exactly the members whose state is suspect.
    pub(crate) suspicion_deadlines: BTreeMap<String, Instant>,
    /// When the live members, or an incarnation, last changed.
    pub(crate) changed_at: Instant,
    /// Changes of other live members so far.
    pub(crate) change_count: u64,
}

impl ProtocolState {
    /// The state of a member that knows only itself. `settings` are within bounds.
    pub(crate) fn new(local_peer: Peer, settings: Settings, rng: Box<dyn RngCore + Send>) -> ProtocolState {
        const FIRST_INCARNATION: u64 = 1;
        let mut table = MemberTable::new(settings.max_members);
        table.put(local_peer.clone(), FIRST_INCARNATION, MemberState::Alive);
        let mut events = EventLog::default();
        events.append(Event::Joined(local_peer.clone()));
        ProtocolState {
            settings,
            rng,
            now: Instant::ORIGIN,
            local_peer,
            incarnation: FIRST_INCARNATION,
            is_leaving: false,
            table,
            events,
            gossip: GossipQueue::default(),
            contacts: ContactPoints::default(),
            probe_order: ProbeOrder::default(),
            suspicion_deadlines: BTreeMap::new(),
            changed_at: Instant::ORIGIN,
            change_count: 0,
        }
    }

    /// How often an update is sent in a fleet of the present size.
    pub(crate) fn retransmit_limit(&self) -> u32 {
        self.settings.retransmit_limit(self.table.live_members())
    }
}
