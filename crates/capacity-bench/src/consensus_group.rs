//! The control nodes' consensus group in virtual time, with a network and disks that take a constant time.

use std::net::SocketAddrV4;

use mosshead_consensus::{ClientReply, Input, Member, Message, Node, Output, RequestDigest, Settings};
use mosshead_programs::calls::ConsensusMessage;
use mosshead_time::{Duration, Instant};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::counter::{Counter, encoded};
use crate::event_queue::EventQueue;
use crate::machines::address;

/// The interval at which a node gets `Input::Tick`, as in `programs`.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// How long a message takes from one machine to another.
const NETWORK_DELAY: Duration = Duration::from_millis(1);
const DISK_SYNC_DURATION: Duration = Duration::from_millis(2);
/// After this a change counts as failed.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);
const START: Instant = Instant::from_millis(1_000);

/// What happens to a node.
enum NodeEvent {
    Tick,
    Message { from: Member, message: Message },
    Written { token: u64 },
}

/// The members of a consensus group.
pub struct ConsensusGroup {
    /// The messages of all members, and the processor time of their calls.
    pub counter: Counter,
    now: Instant,
    committed_changes: u64,
    nodes: Vec<Node<Pcg64Mcg>>,
    /// Events with the index of their node.
    events: EventQueue<(usize, NodeEvent)>,
}

impl ConsensusGroup {
    /// `members` bootstrap voters with empty disks.
    pub fn new(members: usize) -> ConsensusGroup {
        let seeds: Vec<_> = (0..members).map(address).collect();
        let mut group = ConsensusGroup {
            counter: Counter::default(),
            now: START,
            committed_changes: 0,
            nodes: Vec::new(),
            events: EventQueue::new(),
        };
        for member in 0..members {
            let settings = Settings::new(address(member), (members - 1) / 2, true, seeds.clone());
            let generator = Pcg64Mcg::seed_from_u64(member as u64 + 7);
            if let Ok(node) = Node::new(settings, &[], START, generator) {
                group.nodes.push(node);
            }
            let first_tick = START + Duration::from_millis(7 * member as u64);
            group.events.schedule(first_tick, (member, NodeEvent::Tick));
        }
        group
    }

    /// Virtual time.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// How many changes were committed.
    pub fn committed_changes(&self) -> u64 {
        self.committed_changes
    }

    /// How many members the primary has in its configuration; 0 without a primary.
    pub fn member_count(&self) -> usize {
        self.primary().map_or(0, |primary| self.nodes[primary].members().len())
    }

    fn primary(&self) -> Option<usize> {
        self.nodes.iter().position(Node::is_primary)
    }

    /// Advances virtual time and handles all events that are due.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some((now, (index, event))) = self.events.pop_due(end) {
            self.now = now;
            match event {
                NodeEvent::Tick => {
                    self.events.schedule(now + TICK_INTERVAL, (index, NodeEvent::Tick));
                    self.step(index, Input::Tick);
                }
                NodeEvent::Message { from, message } => self.step(index, Input::Message { from, message }),
                NodeEvent::Written { token } => self.step(index, Input::Written { token }),
            }
        }
        self.now = end;
    }

    /// Hands the primary one change; the time until it was committed, none if it was not.
    pub fn commit_change(&mut self, revision: u64, body: &[u8]) -> Option<Duration> {
        let (primary, start, committed_before) = (self.primary()?, self.now, self.committed_changes);
        let change = Input::Change {
            request_id: revision,
            base_revision: revision - 1,
            revision,
            body: body.to_vec(),
            digest: RequestDigest([revision as u8; 32]),
        };
        self.step(primary, change);
        while self.committed_changes == committed_before {
            if self.now - start > CHANGE_TIMEOUT {
                return None;
            }
            self.run(Duration::from_millis(1));
        }
        Some(self.now - start)
    }

    /// Hands a node an input, sends its messages and schedules the ends of its writes.
    fn step(&mut self, index: usize, input: Input) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(index) else { return };
        let outputs = self.counter.time(|| node.step(now, input));
        let from = node.local_member();
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send(from, to, message),
                Output::Write { token, .. } | Output::Rewrite { token, .. } => {
                    self.events.schedule(now + DISK_SYNC_DURATION, (index, NodeEvent::Written { token }));
                }
                Output::Reply { reply: ClientReply::ChangeCommitted { .. }, .. } => {
                    self.committed_changes += 1;
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, from: Member, to: SocketAddrV4, message: Message) {
        let call = ConsensusMessage { from, message };
        let bytes = self.counter.time(|| encoded(&call));
        self.counter.count_message(bytes.len() as u64);
        if let Some(index) = (0..self.nodes.len()).find(|index| address(*index) == to) {
            let event = NodeEvent::Message { from, message: call.message };
            self.events.schedule(self.now + NETWORK_DELAY, (index, event));
        }
    }
}
