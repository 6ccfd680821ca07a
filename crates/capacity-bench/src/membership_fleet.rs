//! Members of a fleet and their datagrams, in virtual time.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use mosshead_membership::{Datagram, Membership, Peer, Settings};
use mosshead_time::{Duration, Instant};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::counter::{Counter, DATAGRAM_HEADERS_LEN};
use crate::event_queue::EventQueue;
use crate::machines::{REGIONS, address, proxy_name, zone_name};

/// Bounds of the time between two calls of a member, as `programs` has them.
const MIN_WAKE_DELAY: Duration = Duration::from_millis(20);
const MAX_WAKE_DELAY: Duration = Duration::from_millis(500);
/// The members start at random instants within this time.
const START_PERIOD_MS: u64 = 3_000;
/// How many members the others know from their start.
const SEEDS: usize = 3;

struct Member {
    peer: Peer,
    /// None while it does not run.
    membership: Option<Membership>,
    /// When it wakes next; a wake-up that is due at another instant is outdated.
    wake_at: Instant,
}

enum MemberEvent {
    Wake,
    Datagram { from: SocketAddrV4, payload: Vec<u8> },
}

/// A fleet's membership.
pub struct MembershipFleet {
    /// What was sent, and the processor time of the members' calls.
    pub counter: Counter,
    now: Instant,
    members: Vec<Member>,
    indexes: HashMap<SocketAddrV4, usize>,
    seeds: Vec<SocketAddrV4>,
    /// Events with the index of their member.
    events: EventQueue<(usize, MemberEvent)>,
    are_regions_disconnected: bool,
    generator: Pcg64Mcg,
}

impl MembershipFleet {
    /// `size` members that start within three seconds; the first `control_nodes` are control nodes, the first three the seeds.
    pub fn new(size: usize, control_nodes: usize, seed: u64) -> MembershipFleet {
        let mut fleet = MembershipFleet {
            counter: Counter::default(),
            now: Instant::ORIGIN,
            members: Vec::with_capacity(size),
            indexes: HashMap::with_capacity(size),
            seeds: (0..size.min(SEEDS)).map(address).collect(),
            events: EventQueue::new(),
            are_regions_disconnected: false,
            generator: Pcg64Mcg::seed_from_u64(seed),
        };
        for machine in 0..size {
            let peer = Peer {
                name: proxy_name(machine),
                instance_id: 0,
                address: address(machine),
                is_control_node: machine < control_nodes,
                zone: zone_name(machine),
            };
            fleet.indexes.insert(peer.address, machine);
            fleet.members.push(Member { peer, membership: None, wake_at: Instant::FAR_FUTURE });
            let start = Instant::from_millis(fleet.generator.next_u64() % START_PERIOD_MS);
            fleet.start_at(machine, start);
        }
        fleet
    }

    /// Virtual time.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Starts a new instance of a member.
    pub fn start(&mut self, machine: usize) {
        self.start_at(machine, self.now);
    }

    fn start_at(&mut self, machine: usize, start: Instant) {
        let instance_id = self.generator.next_u64();
        let generator = Pcg64Mcg::seed_from_u64(self.generator.next_u64());
        let member = &mut self.members[machine];
        member.peer.instance_id = instance_id;
        member.membership =
            Membership::new(member.peer.clone(), self.seeds.clone(), Settings::default(), generator).ok();
        self.set_wake(machine, start);
    }

    /// Ends a member's process abruptly.
    pub fn kill(&mut self, machine: usize) {
        self.members[machine].membership = None;
    }

    /// Starts all members that have ended.
    pub fn start_ended(&mut self) {
        for machine in 0..self.size() {
            if self.members[machine].membership.is_none() {
                self.start(machine);
            }
        }
    }

    /// Drops all datagrams between regions, until they are connected again.
    pub fn disconnect_regions(&mut self) {
        self.are_regions_disconnected = true;
    }

    /// Connects the regions again.
    pub fn connect_regions(&mut self) {
        self.are_regions_disconnected = false;
    }

    /// How many members there are, running or not.
    pub fn size(&self) -> usize {
        self.members.len()
    }

    /// How many members run.
    pub fn running(&self) -> usize {
        self.memberships().count()
    }

    /// Whether each running member counts as many live members as run.
    pub fn is_converged(&self) -> bool {
        let running = self.running();
        self.memberships()
            .all(|membership| membership.live_control_node_count() + membership.live_proxy_count() == running)
    }

    /// Whether all running members know the present instance of a member as live.
    pub fn is_instance_known(&self, machine: usize) -> bool {
        let instance = &self.members[machine].peer;
        let is_instance =
            |peer: &Peer| peer.instance_id == instance.instance_id && peer.name == instance.name;
        self.memberships()
            .all(|membership| membership.members().any(|(peer, state)| state.is_live() && is_instance(peer)))
    }

    /// The running members.
    pub fn memberships(&self) -> impl Iterator<Item = &Membership> {
        self.members.iter().filter_map(|member| member.membership.as_ref())
    }

    /// Runs until the members have converged; how long that took, none if it took longer than `timeout`.
    pub fn run_until_converged(&mut self, timeout: Duration) -> Option<Duration> {
        let start = self.now;
        while !self.is_converged() {
            if self.now - start >= timeout {
                return None;
            }
            self.run(Duration::from_millis(100));
        }
        Some(self.now - start)
    }

    /// Advances virtual time and handles all events that are due.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some((due_at, (index, event))) = self.events.pop_due(end) {
            self.now = self.now.max(due_at);
            self.handle_event(index, due_at, event);
        }
        self.now = end;
    }

    fn handle_event(&mut self, index: usize, due_at: Instant, event: MemberEvent) {
        let now = self.now;
        let member = &mut self.members[index];
        if matches!(event, MemberEvent::Wake) && member.wake_at != due_at {
            return;
        }
        let Some(membership) = &mut member.membership else { return };
        let (from, mut datagrams) = (member.peer.address, Vec::new());
        let next_wake = self.counter.time(|| {
            if let MemberEvent::Datagram { from, payload } = &event {
                datagrams = membership.receive(now, *from, payload);
            }
            datagrams.extend(membership.tick(now));
            // A host takes the events to update its view; here nobody reads them, and the list would only grow.
            drop(membership.drain_events());
            membership.next_wake(now).clamp(now + MIN_WAKE_DELAY, now + MAX_WAKE_DELAY)
        });
        if member.wake_at <= now || next_wake < member.wake_at {
            self.set_wake(index, next_wake);
        }
        for datagram in datagrams {
            self.send(index, from, datagram);
        }
    }

    fn send(&mut self, sender: usize, from: SocketAddrV4, datagram: Datagram) {
        let Datagram { destination, payload } = datagram;
        self.counter.count_message(payload.len() as u64 + DATAGRAM_HEADERS_LEN);
        let Some(&receiver) = self.indexes.get(&destination) else { return };
        if self.are_regions_disconnected && receiver % REGIONS != sender % REGIONS {
            return;
        }
        let delay = Duration::from_millis(1 + self.generator.next_u64() % 4);
        self.events.schedule(self.now + delay, (receiver, MemberEvent::Datagram { from, payload }));
    }

    fn set_wake(&mut self, index: usize, wake_at: Instant) {
        self.members[index].wake_at = wake_at;
        self.events.schedule(wake_at, (index, MemberEvent::Wake));
    }
}
