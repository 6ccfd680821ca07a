//! A network in virtual time: members, delays, loss, cuts, freezes.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddrV4};

use mosshead_membership::{Datagram, Event, MAX_DATAGRAM_LEN, MemberState, Membership, Peer, Settings, View};
use mosshead_time::Instant;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64;

pub const FLEET: u64 = 0x6d6f_7373;
/// What IPv4 and UDP add to each datagram.
pub const HEADERS: u64 = 28;

pub struct Node {
    pub peer: Peer,
    pub membership: Option<Membership>,
    pub view: View,
    /// All events of this life, with their times.
    pub journal: Vec<(u64, Event)>,
    pub frozen: bool,
    pub received: u64,
    pub sent: u64,
    kept: Vec<(SocketAddrV4, Vec<u8>)>,
    wake: u64,
}

enum Act {
    Wake,
    Deliver(SocketAddrV4, Vec<u8>),
}

pub struct Cluster {
    pub now: u64,
    pub nodes: Vec<Node>,
    pub settings: Settings,
    pub seeds: Vec<SocketAddrV4>,
    /// Of 1,000 datagrams.
    pub loss: u64,
    /// Ways (from, to) that carry nothing.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Ways that lose so many of 1,000.
    pub lossy: BTreeMap<(usize, usize), u64>,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    acts: BTreeMap<u64, Act>,
    places: BTreeMap<SocketAddrV4, usize>,
    generator: Pcg64,
    count: u64,
}

pub fn address(node: usize) -> SocketAddrV4 {
    let (high, low) = (node / 250, node % 250 + 1);
    SocketAddrV4::new(Ipv4Addr::new(10, (high / 256 + 1) as u8, (high % 256) as u8, low as u8), 7720)
}

pub fn name(node: usize) -> String {
    format!("edge-dixie-east-{}-{node}", ["a", "b", "c"][node % 3])
}

impl Cluster {
    /// `size` members that all start within 300 ms; the first three are seeds and core.
    pub fn new(seed: u64, size: usize, settings: Settings) -> Cluster {
        let mut cluster = Cluster::empty(seed, settings);
        cluster.seeds = (0..size.min(3)).map(address).collect();
        for _ in 0..size {
            let node = cluster.add();
            let at = cluster.draw(300);
            cluster.wake_at(node, at);
        }
        cluster
    }

    pub fn empty(seed: u64, settings: Settings) -> Cluster {
        Cluster {
            now: 0,
            nodes: Vec::new(),
            settings: Settings { fleet: FLEET, ..settings },
            seeds: Vec::new(),
            loss: 0,
            cuts: BTreeSet::new(),
            lossy: BTreeMap::new(),
            queue: BinaryHeap::new(),
            acts: BTreeMap::new(),
            places: BTreeMap::new(),
            generator: Pcg64::seed_from_u64(seed),
            count: 0,
        }
    }

    /// One more member, at an address of its own; it wakes at once.
    pub fn add(&mut self) -> usize {
        let node = self.nodes.len();
        let (name, is_control_node) = (name(node), node < 3);
        let zone = format!("dixie-east-{}", ["a", "b", "c"][node % 3]);
        let peer = Peer { name, instance_id: 0, address: address(node), is_control_node, zone };
        self.places.insert(peer.address, node);
        self.nodes.push(Node {
            peer,
            membership: None,
            view: View::default(),
            journal: Vec::new(),
            frozen: false,
            received: 0,
            sent: 0,
            kept: Vec::new(),
            wake: u64::MAX,
        });
        self.start(node);
        node
    }

    /// A new life, with the seeds as they are now.
    pub fn start(&mut self, node: usize) {
        let life = self.generator.next_u64();
        let generator = Pcg64::seed_from_u64(self.generator.next_u64());
        let place = &mut self.nodes[node];
        place.peer.instance_id = life;
        let membership =
            Membership::new(place.peer.clone(), self.seeds.clone(), self.settings.clone(), generator);
        place.membership = Some(membership.expect("sound peer"));
        place.view = View::default();
        place.journal.clear();
        place.kept.clear();
        place.frozen = false;
        place.wake = u64::MAX;
        self.wake_at(node, self.now);
    }

    /// Addresses of members were changed.
    pub fn moved(&mut self) {
        self.places = self.nodes.iter().enumerate().map(|(node, place)| (place.peer.address, node)).collect();
    }

    /// A datagram by which a member introduces itself that isn't in this network.
    pub fn stranger(&mut self, node: usize) -> Vec<u8> {
        let peer = Peer {
            name: name(node),
            instance_id: self.generator.next_u64(),
            address: address(node),
            is_control_node: false,
            zone: "dixie-east-a".to_owned(),
        };
        let generator = Pcg64::seed_from_u64(node as u64);
        let mut membership =
            Membership::new(peer, vec![address(0)], self.settings.clone(), generator).expect("sound peer");
        let first = membership.tick(Instant::ORIGIN).into_iter().next();
        first.expect("asks a seed").payload
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].membership = None;
    }

    /// A planned end: tells it, and is gone after `grace` ms.
    pub fn leave(&mut self, node: usize, grace: u64) {
        let now = self.now;
        let out = self.nodes[node].membership.as_mut().expect("runs").leave(Instant::from_millis(now));
        self.after(node, out);
        self.run_to(now + grace);
        self.kill(node);
    }

    pub fn freeze(&mut self, node: usize) {
        self.nodes[node].frozen = true;
    }

    /// What came meanwhile is taken in after the first tick.
    pub fn thaw(&mut self, node: usize) {
        self.nodes[node].frozen = false;
        self.wake_at(node, self.now);
        for (from, bytes) in std::mem::take(&mut self.nodes[node].kept) {
            self.deliver_at(self.now + 1, node, from, bytes);
        }
    }

    /// Cuts all ways between the two sets, both ways.
    pub fn cut(&mut self, one: &[usize], other: &[usize]) {
        for &a in one {
            for &b in other {
                self.cuts.extend([(a, b), (b, a)]);
            }
        }
    }

    pub fn draw(&mut self, end: u64) -> u64 {
        self.generator.next_u64() % end.max(1)
    }

    pub fn run(&mut self, ms: u64) {
        self.run_to(self.now + ms);
    }

    pub fn run_to(&mut self, end: u64) {
        while let Some(&Reverse((at, id, node))) = self.queue.peek().filter(|next| next.0.0 <= end) {
            self.queue.pop();
            self.now = self.now.max(at);
            let act = self.acts.remove(&id).expect("queued");
            self.act(node, act);
        }
        self.now = end;
    }

    /// Runs until all agree on who lives, and for how long that took; `None` if not within `most` ms.
    pub fn settle(&mut self, most: u64) -> Option<u64> {
        let start = self.now;
        while !self.agree() {
            if self.now - start >= most {
                return None;
            }
            self.run(50);
        }
        Some(self.now - start)
    }

    pub fn running(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.membership.is_some())
    }

    /// All that run believe in exactly those that run, and none is suspected.
    pub fn agree(&self) -> bool {
        let mut living: Vec<(&str, u64)> =
            self.running().map(|node| (node.peer.name.as_str(), node.peer.instance_id)).collect();
        living.sort_unstable();
        self.running().all(|node| node.view.live_members().count() == living.len())
            && self.running().all(|node| {
                let known = node.view.live_members().zip(&living);
                known.into_iter().all(|((peer, health), (name, life))| {
                    health == MemberState::Alive && peer.name == *name && peer.instance_id == *life
                })
            })
    }

    /// How many of those that run, others than itself, believe that it lives.
    pub fn believers(&self, node: usize) -> usize {
        let of = &self.nodes[node].peer;
        let believes = |other: &&Node| other.view.live_members().any(|(peer, _)| peer == of);
        self.running().filter(|other| other.peer.name != of.name).filter(believes).count()
    }

    /// Events of all that run, others than the one named, about that name.
    pub fn told(&self, event: &Event) -> usize {
        self.running().filter(|node| node.journal.iter().any(|(_, known)| known == event)).count()
    }

    pub fn check_views(&self) {
        for node in self.running() {
            let membership = node.membership.as_ref().expect("runs");
            let living: BTreeMap<String, (Peer, MemberState)> = membership
                .members()
                .filter(|(_, health)| health.is_live())
                .map(|(peer, health)| (peer.name.clone(), (peer.clone(), health)))
                .collect();
            let folded: BTreeMap<String, (Peer, MemberState)> = node
                .view
                .live_members()
                .map(|(peer, health)| (peer.name.clone(), (peer.clone(), health)))
                .collect();
            assert_eq!(folded, living, "the view folded by {}", node.peer.name);
            let count = |core| living.values().filter(|(peer, _)| peer.is_control_node == core).count();
            assert_eq!(
                (membership.live_control_nodes(), membership.live_proxies()),
                (count(true), count(false))
            );
        }
    }

    /// A datagram from outside.
    pub fn inject(&mut self, node: usize, from: SocketAddrV4, bytes: Vec<u8>) {
        self.deliver_at(self.now, node, from, bytes);
    }

    pub fn wake_at(&mut self, node: usize, at: u64) {
        self.nodes[node].wake = at;
        self.push(at, node, Act::Wake);
    }

    fn act(&mut self, node: usize, act: Act) {
        let now = self.now;
        let place = &mut self.nodes[node];
        let Some(membership) = &mut place.membership else { return };
        let out = match act {
            Act::Wake if place.frozen || place.wake > now => return,
            Act::Wake => {
                place.wake = u64::MAX;
                membership.tick(Instant::from_millis(now))
            }
            Act::Deliver(from, bytes) if place.frozen => {
                // A socket's queue is bounded.
                if place.kept.len() < 200 {
                    place.kept.push((from, bytes));
                }
                return;
            }
            Act::Deliver(from, bytes) => {
                place.received += bytes.len() as u64 + HEADERS;
                membership.receive(Instant::from_millis(now), from, &bytes)
            }
        };
        self.after(node, out);
    }

    fn after(&mut self, node: usize, out: Vec<Datagram>) {
        let now = self.now;
        let place = &mut self.nodes[node];
        let membership = place.membership.as_mut().expect("runs");
        for event in membership.drain_events() {
            place.view.apply(&event);
            place.journal.push((now, event));
        }
        let wake = membership.next_wake(Instant::from_millis(now)).as_millis();
        if wake < place.wake || place.wake <= now {
            // Timers are late by a few milliseconds.
            let at = wake.saturating_add(1 + now % 3);
            place.wake = at;
            if at < u64::MAX {
                self.push(at, node, Act::Wake);
            }
        }
        let from = self.nodes[node].peer.address;
        for Datagram { destination: to, payload: bytes } in out {
            assert!(!bytes.is_empty() && bytes.len() <= MAX_DATAGRAM_LEN, "{} bytes", bytes.len());
            self.nodes[node].sent += bytes.len() as u64 + HEADERS;
            let Some(&target) = self.places.get(&to) else { continue };
            let way = (node, target);
            let lossy = self.lossy.get(&way).copied().unwrap_or(0).max(self.loss);
            if self.cuts.contains(&way) || self.draw(1_000) < lossy {
                continue;
            }
            let at = now + 1 + self.draw(4);
            self.deliver_at(at, target, from, bytes);
        }
    }

    fn deliver_at(&mut self, at: u64, node: usize, from: SocketAddrV4, bytes: Vec<u8>) {
        self.push(at, node, Act::Deliver(from, bytes));
    }

    fn push(&mut self, at: u64, node: usize, act: Act) {
        self.count += 1;
        self.acts.insert(self.count, act);
        self.queue.push(Reverse((at, self.count, node)));
    }
}
