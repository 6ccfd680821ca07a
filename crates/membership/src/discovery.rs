//! Finds other members: joins a fleet, and reconnects to lost members.

use core::net::SocketAddrV4;

use mosshead_time::{Duration, Instant};

use crate::settings::Settings;
use crate::state::ProtocolState;
use crate::sync::Synchronizer;
use crate::wire::MessageBody;

/// The number of contact points in one attempt to join.
const CONTACTS_PER_JOIN: usize = 3;

/// Schedules the contacts to addresses without a known member.
pub(crate) struct Discovery {
    /// True from the first completed sync with another member, which gives the local member a complete list, until no
    /// other live member is known.
    has_joined: bool,
    /// When the next attempt to join is due, unless `has_joined`.
    next_join_at: Instant,
    /// Delay between the next attempt to join and the one after it.
    join_backoff: Duration,
    /// When an address without a live member is pinged next; see [`Settings::reconnect_interval`].
    next_reconnect_at: Instant,
}

impl Discovery {
    pub(crate) fn new(settings: &Settings) -> Discovery {
        Discovery {
            has_joined: false,
            next_join_at: Instant::ORIGIN,
            join_backoff: settings.join_retry_interval,
            next_reconnect_at: Instant::ORIGIN,
        }
    }

    /// Schedules the first join now, and the first reconnect after an interval.
    pub(crate) fn start(&mut self, now: Instant, settings: &Settings) {
        self.next_join_at = now;
        self.next_reconnect_at = now + settings.reconnect_interval;
    }

    pub(crate) fn has_joined(&self) -> bool {
        self.has_joined
    }

    /// Records that the complete list of another member has been received.
    pub(crate) fn on_joined(&mut self, settings: &Settings) {
        self.has_joined = true;
        self.join_backoff = settings.join_retry_interval;
    }

    /// Contacts other members if the local one has not joined, or is the only live one again.
    pub(crate) fn join_if_due(&mut self, state: &mut ProtocolState, synchronizer: &mut Synchronizer) {
        if self.has_joined && state.table().live_member_count() <= 1 {
            self.has_joined = false;
            self.next_join_at = state.now();
        }
        if self.has_joined || state.now() < self.next_join_at {
            return;
        }
        let settings = state.settings();
        let max_backoff = settings.reconnect_interval.max(settings.join_retry_interval);
        self.next_join_at = state.now() + self.join_backoff;
        self.join_backoff = (self.join_backoff * 2).min(max_backoff);
        // Requests the list of one contact point. The others are only pinged, so that they learn of the new member.
        let mut contacts = state.next_contacts(CONTACTS_PER_JOIN);
        contacts.extend(state.random_alive_addresses(CONTACTS_PER_JOIN.saturating_sub(contacts.len()), None));
        let mut contacts = contacts.into_iter();
        if let Some(first) = contacts.next() {
            synchronizer.request(state, first);
        }
        for address in contacts {
            ping_address(state, address);
        }
    }

    /// Pings an address without a known live member, at which a member may run.
    pub(crate) fn reconnect_if_due(&mut self, state: &mut ProtocolState) {
        if state.now() < self.next_reconnect_at {
            return;
        }
        self.next_reconnect_at = state.now() + state.settings().reconnect_interval;
        if let Some(address) = state.draw_absent_contact() {
            ping_address(state, address);
        }
    }

    /// The earliest deadline.
    pub(crate) fn next_deadline(&self) -> Instant {
        if self.has_joined { self.next_reconnect_at } else { self.next_reconnect_at.min(self.next_join_at) }
    }

    /// Postpones all deadlines.
    pub(crate) fn postpone(&mut self, delay: Duration) {
        self.next_join_at += delay;
        self.next_reconnect_at += delay;
    }
}

/// Pings the member at this address, whatever its name: an empty target matches every name.
fn ping_address(state: &mut ProtocolState, address: SocketAddrV4) {
    let body = MessageBody::Ping { sequence: state.random_sequence(), target: String::new() };
    state.send(address, body, None);
}
