//! A member: what the host calls, and when it wants to be called.

use core::net::SocketAddrV4;
use std::collections::{BTreeMap, VecDeque};

use mosshead_time::Instant;
use rand_core::RngCore;

use crate::contact_points::Contacts;
use crate::event_log::{Event, Journal};
use crate::gossip_queue::Rumours;
use crate::member_table::Roster;
use crate::peer::{MemberState, Peer, PeerError};
use crate::prober::{Probe, Relay, Ring};
use crate::settings::Settings;
use crate::wire::{Body, Claim, Frame};

/// A datagram that the host is to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Where to send it.
    pub destination: SocketAddrV4,
    /// Its content, at most [`MAX_DATAGRAM_LEN`](crate::MAX_DATAGRAM_LEN) bytes.
    pub payload: Vec<u8>,
}

/// Those who leave tell it for so many periods.
const FAREWELLS: u32 = 3;
/// Others told of one's own end each time.
const FAREWELL_FAN_OUT: usize = 6;
/// Later times are taken for this one, so that sums can't overflow.
const NOW_MAX: u64 = 1 << 62;

/// One member of a fleet. The clock that the host hands in should not go back; if it does, it stands still.
pub struct Membership {
    pub(crate) me: Peer,
    pub(crate) incarnation: u64,
    pub(crate) settings: Settings,
    pub(crate) generator: Box<dyn RngCore + Send>,
    pub(crate) roster: Roster,
    pub(crate) journal: Journal,
    pub(crate) rumours: Rumours,
    pub(crate) contacts: Contacts,
    pub(crate) ring: Ring,
    pub(crate) suspects: BTreeMap<String, u64>,
    /// Held for dead, said to live.
    pub(crate) rechecks: VecDeque<String>,
    pub(crate) probe: Option<Probe>,
    pub(crate) relays: VecDeque<Relay>,
    pub(crate) next_probe: u64,
    pub(crate) next_ask: u64,
    pub(crate) ask_gap: u64,
    pub(crate) next_reach: u64,
    /// Has had the whole list of somebody.
    pub(crate) joined: bool,
    /// When it last asked, and how much longer it waits than others before it asks again.
    pub(crate) asked_at: u64,
    pub(crate) patience: u64,
    /// The digest of the last datagram, and how many in a row had it.
    pub(crate) foreign: (u64, u32),
    pub(crate) changed_at: u64,
    /// Changes of who lives, and how many there were at the last asking.
    pub(crate) changes: u64,
    pub(crate) changes_asked: u64,
    /// The datagram at hand made this member raise its incarnation.
    pub(crate) refuted: bool,
    pub(crate) leaving: bool,
    farewells: u32,
    started: bool,
    pub(crate) now: u64,
}

impl Membership {
    /// A newcomer that knows of nobody but the seeds; its own address among them is passed over.
    pub fn new(
        me: Peer,
        seeds: Vec<SocketAddrV4>,
        settings: Settings,
        generator: impl RngCore + Send + 'static,
    ) -> Result<Membership, PeerError> {
        me.check()?;
        let settings = settings.bounded();
        let mut roster = Roster::new(settings.members_max);
        roster.put(me.clone(), 1, MemberState::Alive);
        let mut journal = Journal::default();
        journal.append(Event::Joined(me.clone()));
        let mut contacts = Contacts::default();
        let mut generator = Box::new(generator);
        contacts.set_seeds(seeds, &mut *generator);
        Ok(Membership {
            me,
            incarnation: 1,
            ask_gap: settings.ask_every_ms,
            settings,
            generator,
            roster,
            journal,
            rumours: Rumours::default(),
            contacts,
            ring: Ring::default(),
            suspects: BTreeMap::new(),
            rechecks: VecDeque::new(),
            probe: None,
            relays: VecDeque::new(),
            next_probe: 0,
            next_ask: 0,
            next_reach: 0,
            joined: false,
            asked_at: 0,
            patience: 0,
            foreign: (0, 0),
            changed_at: 0,
            changes: 0,
            changes_asked: 0,
            refuted: false,
            leaving: false,
            farewells: 0,
            started: false,
            now: 0,
        })
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Instant) -> Vec<Datagram> {
        let mut out = Vec::new();
        self.advance(now);
        if self.leaving {
            if self.farewells > 0 && self.now >= self.next_probe {
                self.farewells -= 1;
                self.next_probe = self.now + self.settings.probe_every_ms;
                self.tell(FAREWELL_FAN_OUT, &mut out);
            }
            return out;
        }
        self.expire();
        self.tick_probe(&mut out);
        self.tick_ask(&mut out);
        self.tick_reach(&mut out);
        out
    }

    /// Tells of the planned end. Further ticks tell it a few times more; from then on nothing else is done.
    pub fn leave(&mut self, now: Instant) -> Vec<Datagram> {
        let mut out = Vec::new();
        self.advance(now);
        if !self.leaving {
            self.leaving = true;
            self.farewells = FAREWELLS;
            self.roster.set_health(&self.me.name, MemberState::Left);
            self.journal.append(Event::Left(self.me.name.clone()));
            self.next_probe = self.now + self.settings.probe_every_ms;
            self.tell(FAREWELL_FAN_OUT, &mut out);
        }
        out
    }

    /// When a tick is wanted, at the latest; `now` if it is due, or before the first one.
    pub fn next_wake(&self, now: Instant) -> Instant {
        if self.started { Instant::from_millis(self.due()).max(now) } else { now }
    }

    /// Oneself.
    pub fn local_peer(&self) -> &Peer {
        &self.me
    }

    /// Everybody believed in, oneself and the remembered dead included.
    pub fn members(&self) -> impl Iterator<Item = (&Peer, MemberState)> {
        self.roster.iter().map(|record| (&record.peer, record.health))
    }

    /// How many control nodes are alive or suspect, the local one included.
    pub fn live_control_nodes(&self) -> usize {
        self.roster.count(true)
    }

    /// How many proxies are alive or suspect, the local one included.
    pub fn live_proxies(&self) -> usize {
        self.roster.count(false)
    }

    /// Events since the last call. The first one is one's own arrival.
    pub fn drain_events(&mut self) -> Vec<Event> {
        self.journal.drain()
    }

    /// Has had the whole list of another member, and isn't alone.
    pub fn has_joined(&self) -> bool {
        self.joined
    }

    /// Other seeds in the place of the former ones; whom one knows one keeps knowing.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.contacts.set_seeds(seeds, &mut *self.generator);
    }

    /// Addresses of members known from elsewhere, to be tried when nobody known is there.
    pub fn add_contacts(&mut self, addresses: impl IntoIterator<Item = SocketAddrV4>) {
        for address in addresses {
            self.contacts.learn(address);
        }
    }

    /// Danger: a process that stood still must not judge others by the time that it has missed: all that is due is put off by it.
    pub(crate) fn advance(&mut self, now: Instant) {
        let now = now.as_millis().clamp(self.now, NOW_MAX);
        if !self.started {
            self.started = true;
            self.next_ask = now;
            self.next_probe = now + crate::random::below(&mut *self.generator, self.settings.probe_every_ms);
            self.next_reach = now + self.settings.reach_every_ms;
            self.asked_at = now;
        } else {
            let late = now.saturating_sub(self.timers());
            if late > self.settings.probe_timeout_ms {
                self.suspects.values_mut().for_each(|until| *until += late);
                for at in [&mut self.next_probe, &mut self.next_ask, &mut self.next_reach] {
                    *at += late;
                }
                if let Some(probe) = &mut self.probe {
                    probe.sent += late;
                }
            }
        }
        self.now = now;
    }

    fn due(&self) -> u64 {
        if self.leaving {
            return if self.farewells > 0 { self.next_probe } else { u64::MAX };
        }
        self.roster.next_grave().unwrap_or(u64::MAX).min(self.timers())
    }

    /// The first of the times that are put off after a standstill.
    fn timers(&self) -> u64 {
        let second = self.probe.as_ref().filter(|probe| !probe.acked && !probe.repeated);
        let timers = [
            Some(self.next_probe),
            Some(self.next_reach),
            (!self.joined).then_some(self.next_ask),
            second.map(|probe| probe.sent + self.settings.probe_timeout_ms),
            self.suspects.values().min().copied(),
        ];
        timers.into_iter().flatten().min().unwrap_or(u64::MAX)
    }

    fn expire(&mut self) {
        let now = self.now;
        let due = self.suspects.iter().filter(|(_, until)| **until <= now).map(|(name, _)| name.clone());
        for name in due.collect::<Vec<String>>() {
            self.bury(&name, MemberState::Dead);
        }
        self.roster.forget_until(now);
        let spread = u64::from(self.settings.sendings(self.roster.size())) * self.settings.probe_every_ms;
        self.rumours.forget_before(now.saturating_sub(spread));
    }

    /// A datagram with `first` and as much news as fits.
    pub(crate) fn datagram(&mut self, body: Body, first: Option<Claim>) -> Vec<u8> {
        let mut frame = self.frame(body);
        let mut room = frame.room();
        if let Some(claim) = first {
            room = room.saturating_sub(minicbor::len(&claim));
            frame.claims.push(claim);
        }
        let mut sent = Vec::new();
        let mut stale = Vec::new();
        for name in self.rumours.next() {
            let Some(record) = self.roster.get(name) else {
                stale.push(name.to_owned());
                continue;
            };
            let claim = record.claim();
            let length = minicbor::len(&claim);
            if length > room {
                break;
            }
            room -= length;
            sent.push(name.to_owned());
            if !frame.claims.contains(&claim) {
                frame.claims.push(claim);
            }
        }
        stale.iter().for_each(|name| self.rumours.remove(name));
        let limit = self.settings.sendings(self.roster.size());
        self.rumours.sent(&sent, limit);
        frame.write().unwrap_or_default()
    }

    pub(crate) fn frame(&self, body: Body) -> Frame {
        let health = if self.leaving { MemberState::Left } else { MemberState::Alive };
        Frame {
            fleet: self.settings.fleet,
            sender: Claim::of(&self.me, self.incarnation, health),
            digest: self.roster.digest(),
            body,
            claims: Vec::new(),
            size: u32::try_from(self.roster.size()).unwrap_or(u32::MAX),
        }
    }

    /// Tells the news, and oneself, to so many others.
    pub(crate) fn tell(&mut self, others: usize, out: &mut Vec<Datagram>) {
        for address in self.some(others, "") {
            let datagram = self.datagram(Body::Tell, None);
            out.push(Datagram { destination: address, payload: datagram });
        }
    }
}
