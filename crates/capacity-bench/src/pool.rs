//! Members of a fleet and their datagrams, in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4};

use mosshead_membership::{Datagram, Membership, Peer, Settings};
use mosshead_time::Instant;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::counter::{Counter, DATAGRAM_HEADERS};

/// As `works` bounds its sleep.
const WAKE: (u64, u64) = (20, 500);
/// Regions of the target.
pub const REGIONS: usize = 5;
/// Zones of the target.
pub const ZONES: usize = 14;

/// The internal address of a machine.
pub fn address(machine: usize) -> SocketAddrV4 {
    let [_, high, middle, low] = (machine as u32).to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(10, high, middle, low), 7720)
}

struct Member {
    peer: Peer,
    membership: Option<Membership>,
    wake: u64,
}

enum Act {
    Wake,
    Deliver(SocketAddrV4, Vec<u8>),
}

struct Due {
    at: u64,
    order: u64,
    member: usize,
    act: Act,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// A fleet's membership.
pub struct Pool {
    /// Virtual time in milliseconds.
    pub now: u64,
    /// What was sent, and the time that it took.
    pub counter: Counter,
    members: Vec<Member>,
    places: HashMap<SocketAddrV4, usize>,
    seeds: Vec<SocketAddrV4>,
    queue: BinaryHeap<Reverse<Due>>,
    order: u64,
    is_apart: bool,
    generator: Pcg64Mcg,
}

impl Pool {
    /// `size` members that start within three seconds; the first `cores` are the core, the first three the seeds.
    pub fn new(size: usize, cores: usize, seed: u64) -> Pool {
        let mut pool = Pool {
            now: 0,
            counter: Counter::default(),
            members: Vec::with_capacity(size),
            places: HashMap::with_capacity(size),
            seeds: (0..size.min(3)).map(address).collect(),
            queue: BinaryHeap::new(),
            order: 0,
            is_apart: false,
            generator: Pcg64Mcg::seed_from_u64(seed),
        };
        for machine in 0..size {
            let zone = format!("region-{}-zone-{}", machine % REGIONS, machine % ZONES);
            let name = format!("edge-{}-{machine}", machine % ZONES);
            let peer = Peer {
                name,
                instance_id: 0,
                address: address(machine),
                is_control_node: machine < cores,
                zone,
            };
            pool.places.insert(peer.address, machine);
            pool.members.push(Member { peer, membership: None, wake: u64::MAX });
            let at = pool.generator.next_u64() % 3000;
            pool.start(machine, at);
        }
        pool
    }

    /// A new life of a member from `at` on.
    pub fn start(&mut self, machine: usize, at: u64) {
        let life = self.generator.next_u64();
        let generator = Pcg64Mcg::seed_from_u64(self.generator.next_u64());
        let seeds = self.seeds.clone();
        let Some(member) = self.members.get_mut(machine) else { return };
        member.peer.instance_id = life;
        member.membership = Membership::new(member.peer.clone(), seeds, Settings::default(), generator).ok();
        member.wake = u64::MAX;
        self.wake(machine, at);
    }

    /// Ends without a word.
    pub fn kill(&mut self, machine: usize) {
        if let Some(member) = self.members.get_mut(machine) {
            member.membership = None;
        }
    }

    /// Cuts all ways between regions, or joins them.
    pub fn set_apart(&mut self, is_apart: bool) {
        self.is_apart = is_apart;
    }

    /// Starts all that have ended.
    pub fn start_ended(&mut self) {
        let now = self.now;
        let ended = |pool: &Pool, at: usize| pool.members.get(at).is_some_and(|it| it.membership.is_none());
        for machine in 0..self.size() {
            if ended(self, machine) {
                self.start(machine, now);
            }
        }
    }

    /// How many there are, running or not.
    pub fn size(&self) -> usize {
        self.members.len()
    }

    /// How many run.
    pub fn running(&self) -> usize {
        self.members.iter().filter(|member| member.membership.is_some()).count()
    }

    /// Whether each that runs counts as many members as run.
    pub fn agree(&self) -> bool {
        let running = self.running();
        self.ripples()
            .all(|membership| membership.live_control_nodes() + membership.live_proxies() == running)
    }

    /// Whether all that run know a member by its present life.
    pub fn knows_life_of(&self, machine: usize) -> bool {
        let Some(member) = self.members.get(machine) else { return false };
        let is_it =
            |peer: &Peer| peer.instance_id == member.peer.instance_id && peer.name == member.peer.name;
        self.ripples()
            .all(|membership| membership.members().any(|(peer, health)| health.is_live() && is_it(peer)))
    }

    /// The members' state machines.
    pub fn ripples(&self) -> impl Iterator<Item = &Membership> {
        self.members.iter().filter_map(|member| member.membership.as_ref())
    }

    /// Runs until all agree; how long that took, none if not within `most` milliseconds.
    pub fn settle(&mut self, most: u64) -> Option<u64> {
        let start = self.now;
        while !self.agree() {
            if self.now - start >= most {
                return None;
            }
            self.run(100);
        }
        Some(self.now - start)
    }

    /// Lets time pass.
    pub fn run(&mut self, span: u64) {
        let end = self.now.saturating_add(span);
        while self.queue.peek().is_some_and(|due| due.0.at <= end) {
            let Some(Reverse(due)) = self.queue.pop() else { break };
            self.now = self.now.max(due.at);
            self.act(due);
        }
        self.now = end;
    }

    fn act(&mut self, due: Due) {
        let (now, counter) = (self.now, &mut self.counter);
        let Some(member) = self.members.get_mut(due.member) else { return };
        let is_late = matches!(due.act, Act::Wake) && member.wake != due.at;
        let (Some(membership), false) = (member.membership.as_mut(), is_late) else { return };
        let (from, mut out) = (member.peer.address, Vec::new());
        let next = counter.time(|| {
            if let Act::Deliver(from, bytes) = &due.act {
                out = membership.receive(Instant::from_millis(now), *from, bytes);
            }
            out.extend(membership.tick(Instant::from_millis(now)));
            // The host folds its views of them; kept here, they would only grow.
            drop(membership.drain_events());
            membership.next_wake(Instant::from_millis(now)).as_millis().clamp(now + WAKE.0, now + WAKE.1)
        });
        if member.wake <= now || next < member.wake {
            self.wake(due.member, next);
        }
        for Datagram { destination: to, payload: bytes } in out {
            self.counter.count(bytes.len() as u64 + DATAGRAM_HEADERS);
            let Some(&place) = self.places.get(&to) else { continue };
            if self.is_apart && place % REGIONS != due.member % REGIONS {
                continue;
            }
            let at = now + 1 + self.generator.next_u64() % 4;
            self.push(at, place, Act::Deliver(from, bytes));
        }
    }

    fn wake(&mut self, machine: usize, at: u64) {
        if let Some(member) = self.members.get_mut(machine) {
            member.wake = at;
            self.push(at, machine, Act::Wake);
        }
    }

    fn push(&mut self, at: u64, member: usize, act: Act) {
        self.order += 1;
        self.queue.push(Reverse(Due { at, order: self.order, member, act }));
    }
}
