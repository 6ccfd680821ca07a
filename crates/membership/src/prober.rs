//! Probes in turn, and second opinions.

use core::net::SocketAddrV4;
use std::collections::{BTreeSet, VecDeque};

use rand_core::RngCore;

use crate::membership::{Datagram, Membership};
use crate::peer::MemberState;
use crate::random::{index, shuffle};
use crate::wire::Body;

/// Asked probes for others at a time.
const RELAYS_MAX: usize = 64;
/// Dead ones asked again each period.
const RECHECKS: usize = 4;

/// A probe under way.
pub(crate) struct Probe {
    pub name: String,
    /// Incarnation and life at its sending.
    pub key: (u64, u64),
    pub sequence: u32,
    pub sent: u64,
    pub acked: bool,
    /// Sent again, and helpers asked.
    pub repeated: bool,
}

/// A probe for another member.
pub(crate) struct Relay {
    pub sequence: u32,
    pub target: String,
    pub origin: SocketAddrV4,
    pub origin_sequence: u32,
}

/// The order of probes: each other member once a round, newcomers at a random place.
#[derive(Default)]
pub(crate) struct Ring {
    names: Vec<String>,
    known: BTreeSet<String>,
    turn: usize,
    urgent: VecDeque<String>,
}

impl Ring {
    pub(crate) fn insert(&mut self, name: &str, generator: &mut dyn RngCore) {
        if self.known.insert(name.to_owned()) {
            let at = self.turn + index(generator, self.names.len() + 1 - self.turn);
            self.names.insert(at.min(self.names.len()), name.to_owned());
        }
    }

    /// To be probed before the others.
    pub(crate) fn recheck(&mut self, name: &str) {
        if self.known.contains(name) && !self.urgent.iter().any(|known| known == name) {
            self.urgent.push_back(name.to_owned());
        }
    }

    fn next(&mut self, lives: impl Fn(&str) -> bool, generator: &mut dyn RngCore) -> Option<String> {
        while let Some(name) = self.urgent.pop_front() {
            if lives(&name) {
                return Some(name);
            }
        }
        for _ in 0..2 {
            while let Some(name) = self.names.get(self.turn) {
                self.turn += 1;
                if lives(name) {
                    return Some(name.clone());
                }
            }
            self.names.retain(|name| lives(name));
            self.known = self.names.iter().cloned().collect();
            shuffle(generator, &mut self.names);
            self.turn = 0;
        }
        None
    }

    fn draw(&self, generator: &mut dyn RngCore) -> Option<&String> {
        self.names.get(index(generator, self.names.len()))
    }
}

impl Membership {
    pub(crate) fn tick_probe(&mut self, out: &mut Vec<Datagram>) {
        if self.now >= self.next_probe {
            if let Some(probe) = self.probe.take().filter(|probe| !probe.acked)
                && self.roster.get(&probe.name).is_some_and(|record| record.key() == probe.key)
            {
                self.suspect(&probe.name);
            }
            self.next_probe = self.now + self.settings.probe_every_ms;
            self.recheck(out);
            self.start_probe(out);
            if !self.rumours.is_empty() {
                self.tell(self.settings.fan_out, out);
            }
        }
        let (now, timeout) = (self.now, self.settings.probe_timeout_ms);
        let Some(probe) = &mut self.probe else { return };
        if !probe.acked && !probe.repeated && now >= probe.sent + timeout {
            probe.repeated = true;
            let (name, sequence) = (probe.name.clone(), probe.sequence);
            self.second_opinions(&name, sequence, out);
        }
    }

    /// An answer to a probe, maybe through a helper.
    pub(crate) fn hear_ack(&mut self, sequence: u32, target: &str, out: &mut Vec<Datagram>) {
        if let Some(probe) =
            self.probe.as_mut().filter(|probe| probe.sequence == sequence && probe.name == target)
        {
            probe.acked = true;
        }
        let mine = |relay: &Relay| relay.sequence == sequence && relay.target == target;
        if let Some(relay) = self.relays.iter().position(mine).and_then(|at| self.relays.remove(at)) {
            let ack = Body::Ack { sequence: relay.origin_sequence, target: relay.target };
            let datagram = self.datagram(ack, None);
            out.push(Datagram { destination: relay.origin, payload: datagram });
        }
    }

    /// Probes for another.
    pub(crate) fn help(
        &mut self,
        origin: SocketAddrV4,
        origin_sequence: u32,
        target: String,
        address: SocketAddrV4,
        out: &mut Vec<Datagram>,
    ) {
        let sequence = self.generator.next_u32();
        if self.relays.len() >= RELAYS_MAX {
            self.relays.pop_front();
        }
        self.relays.push_back(Relay { sequence, target: target.clone(), origin, origin_sequence });
        self.ping(target, sequence, address, out);
    }

    /// Addresses of so many others that live, drawn at random.
    pub(crate) fn some(&mut self, count: usize, except: &str) -> Vec<SocketAddrV4> {
        let mut drawn: Vec<SocketAddrV4> = Vec::new();
        for _ in 0..4 * count + 8 {
            if drawn.len() >= count {
                break;
            }
            let Some(name) = self.ring.draw(&mut *self.generator) else { break };
            let alive =
                self.roster.get(name).filter(|record| record.health == MemberState::Alive && name != except);
            if let Some(address) = alive.map(|record| record.peer.address)
                && !drawn.contains(&address)
            {
                drawn.push(address);
            }
        }
        drawn
    }

    fn start_probe(&mut self, out: &mut Vec<Datagram>) {
        let (roster, ring) = (&self.roster, &mut self.ring);
        let Some(name) = ring.next(|name| roster.lives(name), &mut *self.generator) else { return };
        let Some((key, address)) = self.roster.get(&name).map(|record| (record.key(), record.peer.address))
        else {
            return;
        };
        let sequence = self.generator.next_u32();
        self.probe =
            Some(Probe { name: name.clone(), key, sequence, sent: self.now, acked: false, repeated: false });
        self.ping(name, sequence, address, out);
    }

    fn second_opinions(&mut self, name: &str, sequence: u32, out: &mut Vec<Datagram>) {
        let Some(address) = self.roster.get(name).map(|record| record.peer.address) else { return };
        for helper in self.some(self.settings.helpers, name) {
            let request = Body::PingRequest { sequence, target: name.to_owned(), address };
            let datagram = self.datagram(request, None);
            out.push(Datagram { destination: helper, payload: datagram });
        }
        self.ping(name.to_owned(), sequence, address, out);
    }

    /// A suspect or dead one is told what is believed of it, so that it can refute.
    fn ping(&mut self, target: String, sequence: u32, address: SocketAddrV4, out: &mut Vec<Datagram>) {
        let doubted = self.roster.get(&target).filter(|record| record.health != MemberState::Alive);
        let first = doubted.map(|record| record.claim());
        let datagram = self.datagram(Body::Ping { sequence, target }, first);
        out.push(Datagram { destination: address, payload: datagram });
    }

    fn recheck(&mut self, out: &mut Vec<Datagram>) {
        for _ in 0..RECHECKS {
            let Some(name) = self.rechecks.pop_front() else { break };
            let dead = self.roster.get(&name).filter(|record| record.health == MemberState::Dead);
            if let Some(address) = dead.map(|record| record.peer.address) {
                let sequence = self.generator.next_u32();
                self.ping(name, sequence, address, out);
            }
        }
    }
}
