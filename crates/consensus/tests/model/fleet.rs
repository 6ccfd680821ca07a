//! A fleet of three nodes without time: what may happen to it, and which rules must hold.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

use mosshead_consensus::{
    ClientReply, EpochConfig, InjectedFault, Input, LeaseStamp, Member, Message, Node, Output, RequestDigest,
    Settings, Term,
};
use mosshead_time::{Duration, Instant};
use rand_core::RngCore;

/// A counter in place of a random source: the same steps lead to the same state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Counter(pub(crate) u64);

impl RngCore for Counter {
    fn next_u32(&mut self) -> u32 {
        self.next_u64() as u32
    }
    fn next_u64(&mut self) -> u64 {
        self.0 += 1;
        self.0
    }
    fn fill_bytes(&mut self, bytes: &mut [u8]) {
        bytes.fill_with(|| self.next_u64() as u8);
    }
}

/// A message in flight, as bytes so that messages have an order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Envelope {
    /// The disk that sent it, which may have been wiped since.
    pub(crate) from: Member,
    pub(crate) to: usize,
    pub(crate) bytes: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Fleet {
    pub(crate) nodes: Vec<Node<Counter>>,
    pub(crate) clocks: Vec<Instant>,
    pub(crate) disks: Vec<Vec<Vec<u8>>>,
    pub(crate) in_flight: BTreeSet<Envelope>,
    pub(crate) take_overs: u8,
    pub(crate) crashes: u8,
    pub(crate) changes: u64,
    /// The acknowledged revisions, each with the lowest term under which it was.
    pub(crate) committed: BTreeMap<u64, Term>,
    pub(crate) committed_on: BTreeMap<u64, u64>,
    pub(crate) bases: BTreeMap<u64, u64>,
    /// The revision that each request is about.
    pub(crate) requests: BTreeMap<u64, u64>,
    /// All revisions that were published as committed.
    pub(crate) published: BTreeSet<u64>,
    /// All revisions whose change was rejected as stale.
    pub(crate) stale: BTreeSet<u64>,
    pub(crate) wipes: u8,
    pub(crate) joins: u8,
    pub(crate) repeats: u8,
    /// The machine whose disk was wiped last.
    pub(crate) wiped: Option<usize>,
    pub(crate) violation: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Action {
    Deliver(Envelope),
    /// The node suspects its primary, and the others agree: it takes over.
    TakeOver(usize),
    Change(usize),
    Crash(usize),
    /// The disk is lost; the process starts again with an empty one.
    Wipe(usize),
    /// The machine with the new disk asks the primary to join.
    Join {
        wiped: usize,
        primary: usize,
    },
    /// An operator sends a change again, since its acknowledgement was lost.
    Repeat {
        machine: usize,
        revision: u64,
    },
}

/// Which messages of a step are sent.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sends {
    All,
    /// Heartbeats and the like are left out, which keeps the number of states small.
    Essential,
}

/// What may happen, and how often.
#[derive(Clone, Copy, Default)]
pub(crate) struct Scope {
    pub(crate) injected_fault: Option<InjectedFault>,
    pub(crate) take_overs: u8,
    pub(crate) crashes: u8,
    pub(crate) changes: u64,
    pub(crate) wipes: u8,
    pub(crate) joins: u8,
    pub(crate) repeats: u8,
}

/// The requests of repeats are numbered from here on.
pub(crate) const FIRST_REPEAT: u64 = 100;

pub(crate) fn address(machine: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, machine as u8), 7720)
}

pub(crate) fn digest(number: u64) -> RequestDigest {
    RequestDigest([number as u8; 32])
}

impl Scope {
    pub(crate) fn node(&self, machine: usize, log: &[Vec<u8>], now: Instant) -> Node<Counter> {
        let mut settings = Settings::new(address(machine), 1, true, (0..3).map(address).collect());
        settings.injected_fault = self.injected_fault;
        settings.log_rewrite_bytes = 1 << 30;
        Node::new(settings, log, now, Counter(100 * (machine as u64 + 1)))
            .expect("the node has written this log itself")
    }

    /// A node with an empty disk, which is no bootstrap voter.
    pub(crate) fn fresh_node(&self, machine: usize, now: Instant, wipes_left: u8) -> Node<Counter> {
        let mut settings = Settings::new(address(machine), 1, false, (0..3).map(address).collect());
        settings.injected_fault = self.injected_fault;
        settings.log_rewrite_bytes = 1 << 30;
        Node::new(settings, &[], now, Counter(10_000 * (u64::from(wipes_left) + 1)))
            .expect("an empty log can be read")
    }
}

pub(crate) fn body(revision: u64) -> Vec<u8> {
    vec![revision as u8]
}

impl Fleet {
    /// Carries out a step; writes are synced at once. `sends` says which messages are sent.
    pub(crate) fn step(&mut self, machine: usize, input: Input, sends: Sends) {
        let mut inputs = vec![input];
        // A change is rejected as stale only once a quorum has confirmed the state, which takes heartbeats.
        let sends_heartbeats =
            self.repeats > 0 || !self.stale.is_empty() || self.requests.contains_key(&FIRST_REPEAT);
        while let Some(input) = inputs.pop() {
            for output in self.nodes[machine].step(self.clocks[machine], input) {
                match output {
                    Output::Send { to, message } => {
                        let is_essential = !matches!(
                            message,
                            Message::Heartbeat { .. }
                                | Message::HeartbeatResponse { .. }
                                | Message::CommittedState { .. }
                                | Message::Join { .. }
                                | Message::PreVote
                                | Message::PreVoteResponse { .. }
                                | Message::Reject { .. }
                        );
                        let is_heartbeat =
                            matches!(message, Message::Heartbeat { .. } | Message::HeartbeatResponse { .. });
                        if is_essential || sends == Sends::All || sends_heartbeats && is_heartbeat {
                            let to = to.ip().octets()[3] as usize;
                            let bytes = minicbor::to_vec(&message).expect("a write to memory does not fail");
                            let from = self.nodes[machine].local_member();
                            self.in_flight.insert(Envelope { from, to, bytes });
                        }
                    }
                    Output::Write { token, record } => {
                        self.disks[machine].push(record);
                        inputs.insert(0, Input::Written { token });
                    }
                    Output::Reply { reply: ClientReply::ChangeCommitted { revision }, .. } => {
                        self.record_committed(machine, revision);
                    }
                    Output::Reply { request_id, reply: ClientReply::Stale { .. } } => {
                        self.record_stale(request_id);
                    }
                    Output::StateCommitted { state } => self.record_published(
                        machine,
                        state.applied_requests.iter().map(|request| request.revision).collect(),
                    ),
                    _ => {}
                }
            }
        }
    }

    /// A change that is rejected as stale is not committed, and never will be.
    pub(crate) fn record_stale(&mut self, request_id: u64) {
        let Some(revision) = self.requests.get(&request_id).copied() else { return };
        self.stale.insert(revision);
        self.check_stale();
    }

    pub(crate) fn check_stale(&mut self) {
        let committed =
            |revision: &&u64| self.published.contains(revision) || self.committed.contains_key(revision);
        if let Some(revision) = self.stale.iter().find(committed) {
            self.violation = Some(format!("{revision} is committed and was rejected as stale"));
        }
    }

    pub(crate) fn record_committed(&mut self, machine: usize, revision: u64) {
        let base = self.bases.get(&revision).copied().unwrap_or(0);
        if *self.committed_on.entry(base).or_insert(revision) != revision {
            self.violation = Some(format!("two changes are accepted on {base}"));
        }
        let term = self.nodes[machine].term();
        self.committed.entry(revision).or_insert(term);
        self.check_stale();
    }

    /// Whatever is published as committed has all acknowledged changes below it, and each on its base.
    pub(crate) fn record_published(&mut self, machine: usize, revisions: Vec<u64>) {
        self.published.extend(&revisions);
        self.check_stale();
        let newest = revisions.last().copied().unwrap_or(0);
        if let Some(lost) =
            self.committed.keys().find(|revision| **revision < newest && !revisions.contains(revision))
        {
            self.violation = Some(format!("{lost} is lost at {machine}: {revisions:?}"));
        }
        let mut below = 0;
        for revision in revisions {
            if self.bases.get(&revision) != Some(&below) {
                self.violation = Some(format!("{revision} on {below}"));
            }
            below = revision;
        }
    }

    /// A primary knows all that was acknowledged under lower terms.
    pub(crate) fn check_primary(&mut self, machine: usize) {
        let node = &self.nodes[machine];
        let (known, term) = (node.committed_state().map_or(0, |state| state.revision), node.term());
        if node.is_primary()
            && self
                .committed
                .iter()
                .any(|(revision, committed_under)| *committed_under < term && *revision > known)
        {
            self.violation = Some(format!("primary {machine} has {known} of {:?}", self.committed));
        }
    }

    /// Whether all disks that there are belong to members of a primary: one may be lost then.
    pub(crate) fn has_all_disks(&self) -> bool {
        let has_all = |node: &Node<Counter>| {
            let names_all = |config: &EpochConfig| {
                !config.is_joint()
                    && self.nodes.iter().all(|node| config.members.contains(&node.local_member()))
            };
            node.is_primary() && node.epoch_config().is_some_and(names_all)
        };
        self.nodes.iter().any(has_all)
    }

    /// A machine with a new disk asks the primary to join, and the primary checks its members.
    pub(crate) fn join(&mut self, wiped: usize, primary: usize) {
        let from = self.nodes[wiped].local_member();
        let term = self.nodes[primary].term();
        let unknown = Term::default();
        let response = Message::HeartbeatResponse {
            term,
            sequence: 0,
            promised: unknown,
            accepted_term: unknown,
            known_term: unknown,
            committed_revision: None,
            is_healthy: true,
            lease_stamp: LeaseStamp::default(),
        };
        for message in [Message::Join { is_bootstrap_voter: false, known_term: unknown }, response] {
            self.step(primary, Input::Message { from, message }, Sends::Essential);
        }
        self.clocks[primary] += Duration::from_millis(100);
        self.step(primary, Input::Tick, Sends::Essential);
    }

    pub(crate) fn deliver(&mut self, envelope: Envelope, sends: Sends) {
        if let Ok(message) = minicbor::decode(&envelope.bytes) {
            self.step(envelope.to, Input::Message { from: envelope.from, message }, sends);
        }
    }

    /// A node suspects its primary, and the others grant it their pre-votes.
    pub(crate) fn take_over(&mut self, machine: usize) {
        self.take_overs -= 1;
        for _ in 0..2 {
            self.clocks[machine] += Duration::from_millis(2_000);
            self.step(machine, Input::Tick, Sends::Essential);
        }
        let local = self.nodes[machine].local_member();
        let members = self.nodes.iter().map(Node::local_member);
        let others: Vec<Member> = members.filter(|other| *other != local).collect();
        for from in others {
            let message = Message::PreVoteResponse { granted: true, is_bootstrap_voter: true, config: None };
            self.step(machine, Input::Message { from, message }, Sends::Essential);
        }
    }

    /// An operator sends a new change to a machine.
    pub(crate) fn send_new_change(&mut self, machine: usize) {
        self.changes += 1;
        let base = self.nodes[machine].committed_state().map_or(0, |state| state.revision);
        // Later changes have lower numbers at times.
        let revision = base + 10 - self.changes;
        self.bases.insert(revision, base);
        self.send_change(machine, self.changes, base, revision);
    }

    /// An operator sends a change again.
    pub(crate) fn repeat_change(&mut self, machine: usize, revision: u64) {
        self.repeats -= 1;
        let request_id = FIRST_REPEAT + u64::from(self.repeats);
        let base = self.bases.get(&revision).copied().unwrap_or(0);
        self.send_change(machine, request_id, base, revision);
    }

    fn send_change(&mut self, machine: usize, request_id: u64, base_revision: u64, revision: u64) {
        self.requests.insert(request_id, revision);
        let (body, digest) = (body(revision), digest(revision));
        let change = Input::Change { request_id, base_revision, revision, body, digest };
        self.step(machine, change, Sends::Essential);
    }
}
