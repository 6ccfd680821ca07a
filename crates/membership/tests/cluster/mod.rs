//! A simulated network in virtual time, with members, delays, loss, partitions and suspended processes. All
//! randomness is derived from the seed.
#![allow(dead_code)]

mod checks;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddrV4};

use mosshead_membership::{Datagram, Event, MAX_DATAGRAM_LEN, Membership, Peer, Settings, View};
use mosshead_time::{Duration, Instant};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64;

pub(crate) const FLEET_ID: u64 = 0x6d6f_7373;
/// The length of the IPv4 and UDP headers of each datagram.
pub(crate) const HEADER_BYTES: u64 = 28;
/// The maximum number of datagrams that the socket of a suspended process buffers.
const MAX_SOCKET_QUEUE: usize = 200;
/// Network delays are 1 ms plus a random number of milliseconds below this.
const MAX_EXTRA_DELAY_MS: u64 = 4;

pub(crate) const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A machine. Its process runs while `membership` is present.
pub(crate) struct Process {
    pub peer: Peer,
    pub membership: Option<Membership>,
    pub view: View,
    /// All events of the current instance, with their times.
    pub events: Vec<(Instant, Event)>,
    pub is_suspended: bool,
    /// Includes [`HEADER_BYTES`] for each datagram.
    pub received_bytes: u64,
    /// Includes [`HEADER_BYTES`] for each datagram.
    pub sent_bytes: u64,
    /// The datagrams received while the process was suspended.
    socket_queue: Vec<ReceivedDatagram>,
    wake_at: Instant,
}

struct ReceivedDatagram {
    sender: SocketAddrV4,
    payload: Vec<u8>,
}

enum Action {
    Wake,
    Deliver(ReceivedDatagram),
}

pub(crate) struct Cluster {
    pub now: Instant,
    pub processes: Vec<Process>,
    pub settings: Settings,
    pub seeds: Vec<SocketAddrV4>,
    /// The number of lost datagrams out of 1,000.
    pub loss_per_mille: u64,
    /// One-way links (from, to) on which all datagrams are lost.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// The due time of each action, its key in `actions`, and the index of its process, earliest first.
    queue: BinaryHeap<Reverse<(Instant, u64, usize)>>,
    actions: BTreeMap<u64, Action>,
    by_address: BTreeMap<SocketAddrV4, usize>,
    rng: Pcg64,
    /// The key of the last action. Actions due at the same instant run in the order of their keys.
    last_action: u64,
}

pub(crate) fn address(process: usize) -> SocketAddrV4 {
    let (high, low) = (process / 250, process % 250 + 1);
    SocketAddrV4::new(Ipv4Addr::new(10, (high / 256 + 1) as u8, (high % 256) as u8, low as u8), 7720)
}

pub(crate) fn name(process: usize) -> String {
    format!("edge-dixie-east-{}-{process}", ["a", "b", "c"][process % 3])
}

impl Cluster {
    /// Creates `size` members that all start within 300 ms. The first three are seeds and control nodes.
    pub(crate) fn new(seed: u64, size: usize, settings: Settings) -> Cluster {
        let mut cluster = Cluster::empty(seed, settings);
        cluster.seeds = (0..size.min(3)).map(address).collect();
        for _ in 0..size {
            let process = cluster.add();
            let at = Instant::from_millis(cluster.draw(300));
            cluster.wake_at(process, at);
        }
        cluster
    }

    pub(crate) fn empty(seed: u64, settings: Settings) -> Cluster {
        Cluster {
            now: Instant::ORIGIN,
            processes: Vec::new(),
            settings: Settings { fleet_id: FLEET_ID, ..settings },
            seeds: Vec::new(),
            loss_per_mille: 0,
            cut_links: BTreeSet::new(),
            queue: BinaryHeap::new(),
            actions: BTreeMap::new(),
            by_address: BTreeMap::new(),
            rng: Pcg64::seed_from_u64(seed),
            last_action: 0,
        }
    }

    /// Adds a member with its own address, and starts it.
    pub(crate) fn add(&mut self) -> usize {
        let index = self.processes.len();
        let peer = Peer {
            name: name(index),
            instance_id: 0,
            address: address(index),
            is_control_node: index < 3,
            zone: format!("dixie-east-{}", ["a", "b", "c"][index % 3]),
        };
        self.by_address.insert(peer.address, index);
        self.processes.push(Process {
            peer,
            membership: None,
            view: View::default(),
            events: Vec::new(),
            is_suspended: false,
            received_bytes: 0,
            sent_bytes: 0,
            socket_queue: Vec::new(),
            wake_at: Instant::FAR_FUTURE,
        });
        self.start(index);
        index
    }

    /// Starts a new instance of a process, with the current seeds.
    pub(crate) fn start(&mut self, index: usize) {
        let instance_id = self.rng.next_u64();
        let rng = Pcg64::seed_from_u64(self.rng.next_u64());
        let process = &mut self.processes[index];
        process.peer.instance_id = instance_id;
        let membership =
            Membership::new(process.peer.clone(), self.seeds.clone(), self.settings.clone(), rng);
        process.membership = Some(membership.expect("a valid peer"));
        process.view = View::default();
        process.events.clear();
        process.socket_queue.clear();
        process.is_suspended = false;
        process.wake_at = Instant::FAR_FUTURE;
        self.wake_at(index, self.now);
    }

    /// Updates the index of addresses. Must be called after a change of addresses.
    pub(crate) fn update_addresses(&mut self) {
        let processes = self.processes.iter().enumerate();
        self.by_address = processes.map(|(index, process)| (process.peer.address, index)).collect();
    }

    /// The first datagram of a member outside this network, which is a request to join.
    pub(crate) fn datagram_of_outsider(&mut self, index: usize) -> Vec<u8> {
        let peer = Peer {
            name: name(index),
            instance_id: self.rng.next_u64(),
            address: address(index),
            is_control_node: false,
            zone: "dixie-east-a".to_owned(),
        };
        let rng = Pcg64::seed_from_u64(index as u64);
        let membership = Membership::new(peer, vec![address(0)], self.settings.clone(), rng);
        let sent = membership.expect("a valid peer").tick(Instant::ORIGIN);
        sent.into_iter().next().expect("a request to a seed").payload
    }

    /// The membership of a process that runs.
    pub(crate) fn membership(&self, index: usize) -> &Membership {
        self.processes[index].membership.as_ref().expect("the process runs")
    }

    /// The membership of a process that runs.
    pub(crate) fn membership_mut(&mut self, index: usize) -> &mut Membership {
        self.processes[index].membership.as_mut().expect("the process runs")
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.processes[index].membership = None;
    }

    /// Shuts a member down: it announces that it leaves, and its process ends after `grace`.
    pub(crate) fn leave(&mut self, index: usize, grace: Duration) {
        let now = self.now;
        let datagrams = self.membership_mut(index).leave(now);
        self.after_call(index, datagrams);
        self.run_until(now + grace);
        self.kill(index);
    }

    pub(crate) fn suspend(&mut self, index: usize) {
        self.processes[index].is_suspended = true;
    }

    /// Resumes a suspended process. Datagrams received in the meantime are handled after the first tick.
    pub(crate) fn resume(&mut self, index: usize) {
        self.processes[index].is_suspended = false;
        self.wake_at(index, self.now);
        for datagram in std::mem::take(&mut self.processes[index].socket_queue) {
            self.push(self.now + millis(1), index, Action::Deliver(datagram));
        }
    }

    /// Cuts all links between the two sets, in both directions.
    pub(crate) fn cut(&mut self, one: &[usize], other: &[usize]) {
        for &a in one {
            for &b in other {
                self.cut_links.extend([(a, b), (b, a)]);
            }
        }
    }

    /// A random number below `end`.
    pub(crate) fn draw(&mut self, end: u64) -> u64 {
        self.rng.next_u64() % end.max(1)
    }

    pub(crate) fn run(&mut self, span: Duration) {
        self.run_until(self.now + span);
    }

    pub(crate) fn run_until(&mut self, end: Instant) {
        while let Some(&Reverse((at, id, index))) = self.queue.peek().filter(|next| next.0.0 <= end) {
            self.queue.pop();
            self.now = self.now.max(at);
            let action = self.actions.remove(&id).expect("queued");
            self.perform(index, action);
        }
        self.now = end;
    }

    pub(crate) fn wake_at(&mut self, index: usize, at: Instant) {
        self.processes[index].wake_at = at;
        self.push(at, index, Action::Wake);
    }

    fn perform(&mut self, index: usize, action: Action) {
        let now = self.now;
        let process = &mut self.processes[index];
        let Some(membership) = &mut process.membership else { return };
        let datagrams = match action {
            Action::Wake if process.is_suspended || process.wake_at > now => return,
            Action::Wake => {
                process.wake_at = Instant::FAR_FUTURE;
                membership.tick(now)
            }
            Action::Deliver(datagram) if process.is_suspended => {
                if process.socket_queue.len() < MAX_SOCKET_QUEUE {
                    process.socket_queue.push(datagram);
                }
                return;
            }
            Action::Deliver(ReceivedDatagram { sender, payload }) => {
                process.received_bytes += payload.len() as u64 + HEADER_BYTES;
                membership.receive(now, sender, &payload)
            }
        };
        self.after_call(index, datagrams);
    }

    /// Acts as the host after each call: applies the events, schedules the next tick, and sends the datagrams.
    fn after_call(&mut self, index: usize, datagrams: Vec<Datagram>) {
        let now = self.now;
        let process = &mut self.processes[index];
        let membership = process.membership.as_mut().expect("the process runs");
        for event in membership.drain_events() {
            process.view.apply(&event);
            process.events.push((now, event));
        }
        let wake = membership.next_wake(now);
        if wake < process.wake_at || process.wake_at <= now {
            // Timers fire a few milliseconds late.
            let at = wake + millis(1 + now.as_millis() % 3);
            process.wake_at = at;
            if at < Instant::FAR_FUTURE {
                self.push(at, index, Action::Wake);
            }
        }
        for datagram in datagrams {
            self.send(index, datagram);
        }
    }

    fn send(&mut self, sender: usize, datagram: Datagram) {
        let Datagram { destination, payload } = datagram;
        assert!(!payload.is_empty() && payload.len() <= MAX_DATAGRAM_LEN, "{} bytes", payload.len());
        self.processes[sender].sent_bytes += payload.len() as u64 + HEADER_BYTES;
        let Some(&receiver) = self.by_address.get(&destination) else { return };
        if self.cut_links.contains(&(sender, receiver)) || self.draw(1_000) < self.loss_per_mille {
            return;
        }
        let at = self.now + millis(1 + self.draw(MAX_EXTRA_DELAY_MS));
        let sender = self.processes[sender].peer.address;
        self.push(at, receiver, Action::Deliver(ReceivedDatagram { sender, payload }));
    }

    fn push(&mut self, at: Instant, index: usize, action: Action) {
        self.last_action += 1;
        self.actions.insert(self.last_action, action);
        self.queue.push(Reverse((at, self.last_action, index)));
    }
}
