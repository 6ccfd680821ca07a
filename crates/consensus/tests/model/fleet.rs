//! The model's fleet of three nodes: its actions, and the safety invariants that are checked after them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

use mosshead_consensus::{
    ClientReply, EpochConfig, InjectedFault, Input, LeaseStamp, Member, Message, Node, Output, RequestDigest,
    Settings, Term,
};
use mosshead_time::{Duration, Instant};
use rand_core::RngCore;

/// A counter in place of a random number generator, so that equal steps lead to equal states.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct CountingRng(pub(crate) u64);

impl RngCore for CountingRng {
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

/// A message in flight, encoded because [`Message`] has no order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Envelope {
    /// The member that sent it; its disk may have been wiped since.
    pub(crate) from: Member,
    pub(crate) to: usize,
    pub(crate) bytes: Vec<u8>,
}

/// A state of the model. `nodes`, `clocks` and `disks` are indexed by machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Fleet {
    pub(crate) nodes: Vec<Node<CountingRng>>,
    pub(crate) clocks: Vec<Instant>,
    /// The log records of each machine; all writes are synced at once.
    pub(crate) disks: Vec<Vec<Vec<u8>>>,
    pub(crate) in_flight: BTreeSet<Envelope>,
    /// The number of take-overs that may still happen; likewise `crashes`, `wipes`, `joins` and `repeats`.
    pub(crate) take_overs: u8,
    pub(crate) crashes: u8,
    /// The number of changes that were sent, without repeated ones.
    pub(crate) changes: u64,
    /// The acknowledged revisions, each with the term under which it was acknowledged first.
    pub(crate) committed: BTreeMap<u64, Term>,
    /// For each base revision, the revision that was acknowledged on it.
    pub(crate) committed_by_base: BTreeMap<u64, u64>,
    /// For each sent revision, the revision that it builds on.
    pub(crate) base_by_revision: BTreeMap<u64, u64>,
    /// For each request id, the revision of the change.
    pub(crate) revision_by_request: BTreeMap<u64, u64>,
    /// All revisions that were published as committed.
    pub(crate) published: BTreeSet<u64>,
    /// All revisions whose change was rejected as stale.
    pub(crate) rejected_as_stale: BTreeSet<u64>,
    pub(crate) wipes: u8,
    pub(crate) joins: u8,
    pub(crate) repeats: u8,
    /// The machine whose disk was wiped last.
    pub(crate) wiped: Option<usize>,
    pub(crate) violation: Option<String>,
}

/// A transition of the model. Machines are identified by their index.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Action {
    Deliver(Envelope),
    /// A node suspects its primary, gets all pre-votes and takes over.
    TakeOver(usize),
    Change(usize),
    Crash(usize),
    /// A disk is lost, and the process restarts with an empty one.
    Wipe(usize),
    /// The machine with the wiped disk requests the primary to admit it as a new member.
    Join {
        wiped: usize,
        primary: usize,
    },
    /// An operator sends a change again, as after a lost acknowledgement.
    Repeat {
        machine: usize,
        revision: u64,
    },
}

/// Which of the messages of a step are sent.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum MessageFilter {
    All,
    /// Only the messages that take-overs and changes need, which keeps the number of states small.
    Essential,
}

/// The bounds of the search: how often each kind of action may occur.
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

/// The lowest request id of repeated changes.
pub(crate) const FIRST_REPEAT_REQUEST_ID: u64 = 100;

pub(crate) fn address(machine: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, machine as u8), 7720)
}

pub(crate) fn digest(number: u64) -> RequestDigest {
    RequestDigest([number as u8; 32])
}

impl Scope {
    pub(crate) fn node(&self, machine: usize, log: &[Vec<u8>], now: Instant) -> Node<CountingRng> {
        let mut settings = Settings::new(address(machine), 1, true, (0..3).map(address).collect());
        settings.injected_fault = self.injected_fault;
        settings.log_rewrite_bytes = 1 << 30;
        Node::new(settings, log, now, CountingRng(100 * (machine as u64 + 1)))
            .expect("the node has written this log itself")
    }

    /// A node with an empty disk, which is not a bootstrap voter. `wipes_left` seeds a new identity.
    pub(crate) fn wiped_node(&self, machine: usize, now: Instant, wipes_left: u8) -> Node<CountingRng> {
        let mut settings = Settings::new(address(machine), 1, false, (0..3).map(address).collect());
        settings.injected_fault = self.injected_fault;
        settings.log_rewrite_bytes = 1 << 30;
        Node::new(settings, &[], now, CountingRng(10_000 * (u64::from(wipes_left) + 1)))
            .expect("an empty log can be read")
    }
}

pub(crate) fn body(revision: u64) -> Vec<u8> {
    vec![revision as u8]
}

impl Fleet {
    /// Steps a node and carries out its outputs. Writes are synced at once; `filter` selects the messages that are
    /// sent.
    pub(crate) fn step(&mut self, machine: usize, input: Input, filter: MessageFilter) {
        let mut inputs = vec![input];
        // A change is rejected as stale only after heartbeats to a quorum have confirmed the state.
        let sends_heartbeats = self.repeats > 0
            || !self.rejected_as_stale.is_empty()
            || self.revision_by_request.contains_key(&FIRST_REPEAT_REQUEST_ID);
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
                        if is_essential || filter == MessageFilter::All || sends_heartbeats && is_heartbeat {
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
                        self.record_stale_rejection(request_id);
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

    /// Records a rejected change, and checks that it is not committed.
    pub(crate) fn record_stale_rejection(&mut self, request_id: u64) {
        let Some(revision) = self.revision_by_request.get(&request_id).copied() else { return };
        self.rejected_as_stale.insert(revision);
        self.check_stale_rejections();
    }

    /// Checks that no change that was rejected as stale is committed.
    pub(crate) fn check_stale_rejections(&mut self) {
        let committed =
            |revision: &&u64| self.published.contains(revision) || self.committed.contains_key(revision);
        if let Some(revision) = self.rejected_as_stale.iter().find(committed) {
            self.violation = Some(format!("{revision} is committed and was rejected as stale"));
        }
    }

    /// Records an acknowledged revision, and checks that no other was acknowledged on the same base.
    pub(crate) fn record_committed(&mut self, machine: usize, revision: u64) {
        let base = self.base_by_revision.get(&revision).copied().unwrap_or(0);
        if *self.committed_by_base.entry(base).or_insert(revision) != revision {
            self.violation = Some(format!("two changes are accepted on {base}"));
        }
        let term = self.nodes[machine].term();
        self.committed.entry(revision).or_insert(term);
        self.check_stale_rejections();
    }

    /// Records the applied revisions of a published state. Checks that each builds on the one before it, and that all
    /// acknowledged lower revisions are among them.
    pub(crate) fn record_published(&mut self, machine: usize, revisions: Vec<u64>) {
        self.published.extend(&revisions);
        self.check_stale_rejections();
        let newest = revisions.last().copied().unwrap_or(0);
        if let Some(lost) =
            self.committed.keys().find(|revision| **revision < newest && !revisions.contains(revision))
        {
            self.violation = Some(format!("{lost} is lost at {machine}: {revisions:?}"));
        }
        let mut base = 0;
        for revision in revisions {
            if self.base_by_revision.get(&revision) != Some(&base) {
                self.violation = Some(format!("{revision} on {base}"));
            }
            base = revision;
        }
    }

    /// Checks that a primary has all revisions that were acknowledged under lower terms.
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

    /// Returns true if one disk may be lost: some primary has all present disks as members, and no membership change
    /// is in progress.
    pub(crate) fn tolerates_disk_loss(&self) -> bool {
        let has_all_as_members = |node: &Node<CountingRng>| {
            let includes_all_nodes = |config: &EpochConfig| {
                !config.is_joint()
                    && self.nodes.iter().all(|node| config.members.contains(&node.local_member()))
            };
            node.is_primary() && node.epoch_config().is_some_and(includes_all_nodes)
        };
        self.nodes.iter().any(has_all_as_members)
    }

    /// A machine with a new disk requests to join, and the primary revises its members.
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
            self.step(primary, Input::Message { from, message }, MessageFilter::Essential);
        }
        self.clocks[primary] += Duration::from_millis(100);
        self.step(primary, Input::Tick, MessageFilter::Essential);
    }

    pub(crate) fn deliver(&mut self, envelope: Envelope, filter: MessageFilter) {
        if let Ok(message) = minicbor::decode(&envelope.bytes) {
            self.step(envelope.to, Input::Message { from: envelope.from, message }, filter);
        }
    }

    /// Lets a node suspect its primary, and delivers the pre-votes of all others to it.
    pub(crate) fn take_over(&mut self, machine: usize) {
        self.take_overs -= 1;
        for _ in 0..2 {
            self.clocks[machine] += Duration::from_millis(2_000);
            self.step(machine, Input::Tick, MessageFilter::Essential);
        }
        let local = self.nodes[machine].local_member();
        let members = self.nodes.iter().map(Node::local_member);
        let others: Vec<Member> = members.filter(|other| *other != local).collect();
        for from in others {
            let message = Message::PreVoteResponse { granted: true, is_bootstrap_voter: true, config: None };
            self.step(machine, Input::Message { from, message }, MessageFilter::Essential);
        }
    }

    /// An operator sends a new change to a machine.
    pub(crate) fn send_new_change(&mut self, machine: usize) {
        self.changes += 1;
        let base = self.nodes[machine].committed_state().map_or(0, |state| state.revision);
        // Later changes may have lower revisions than earlier ones.
        let revision = base + 10 - self.changes;
        self.base_by_revision.insert(revision, base);
        self.send_change(machine, self.changes, base, revision);
    }

    /// An operator sends a change again.
    pub(crate) fn repeat_change(&mut self, machine: usize, revision: u64) {
        self.repeats -= 1;
        let request_id = FIRST_REPEAT_REQUEST_ID + u64::from(self.repeats);
        let base = self.base_by_revision.get(&revision).copied().unwrap_or(0);
        self.send_change(machine, request_id, base, revision);
    }

    fn send_change(&mut self, machine: usize, request_id: u64, base_revision: u64, revision: u64) {
        self.revision_by_request.insert(request_id, revision);
        let (body, digest) = (body(revision), digest(revision));
        let change = Input::Change { request_id, base_revision, revision, body, digest };
        self.step(machine, change, MessageFilter::Essential);
    }
}
