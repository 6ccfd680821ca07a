//! All orders of messages around take-overs, over the very code: three nodes, a few changes, losses and duplicates by
//! messages that stay on their way. Nodes take over whenever they like, so no span matters.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

use mosshead_headworks::{Ballot, Flaw, Input, Member, Message, Node, Output, Settings, Verdict};
use rand_core::RngCore;
use stateright::{Checker, Model, Property};

/// Numbers that only rise: nothing here is left to chance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Count(u64);

impl RngCore for Count {
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

/// A message on its way, as bytes so that it can be put in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Envelope {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    nodes: Vec<Node<Count>>,
    clocks: Vec<u64>,
    disks: Vec<Vec<Vec<u8>>>,
    net: BTreeSet<Envelope>,
    claims: u8,
    crashes: u8,
    changes: u64,
    /// What was taken, and the lowest ballot under which it was.
    taken: BTreeMap<u64, Ballot>,
    taken_on: BTreeMap<u64, u64>,
    bases: BTreeMap<u64, u64>,
    broken: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Deliver(Envelope),
    /// The node misses its primary, and the others say so too.
    Claim(usize),
    Change(usize),
    Crash(usize),
}

struct Core {
    flaw: Option<Flaw>,
    claims: u8,
    crashes: u8,
    changes: u64,
}

fn address(machine: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, machine as u8), 7720)
}

impl Core {
    fn node(&self, machine: usize, log: &[Vec<u8>], now: u64) -> Node<Count> {
        let mut settings = Settings::new(address(machine), 1, true, (0..3).map(address).collect());
        settings.flaw = self.flaw;
        settings.rewrite_bytes = 1 << 30;
        Node::new(settings, log, now, Count(100 * (machine as u64 + 1))).expect("its own log")
    }
}

impl Fleet {
    /// Carries out a step; writes are synced at once. With `all`, heartbeats and the like are sent, too.
    fn step(&mut self, machine: usize, input: Input, all: bool) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for output in self.nodes[machine].step(self.clocks[machine], input) {
                match output {
                    Output::Send { to, message } => {
                        let core = !matches!(
                            message,
                            Message::Heartbeat { .. }
                                | Message::HeartbeatAnswer { .. }
                                | Message::Committed { .. }
                                | Message::Join { .. }
                                | Message::PreVote
                                | Message::PreVoteAnswer { .. }
                                | Message::Reject { .. }
                        );
                        if core || all {
                            let to = to.ip().octets()[3] as usize;
                            let bytes = minicbor::to_vec(&message).expect("it fits in memory");
                            self.net.insert(Envelope { from: machine, to, bytes });
                        }
                    }
                    Output::Write { token, record } => {
                        self.disks[machine].push(record);
                        inputs.insert(0, Input::Written { token });
                    }
                    Output::Answer { result: Verdict::Taken { revision }, .. } => {
                        self.take(machine, revision)
                    }
                    Output::Committed { state } => {
                        self.show(machine, state.taken.iter().map(|c| c.revision).collect())
                    }
                    _ => {}
                }
            }
        }
    }

    fn take(&mut self, machine: usize, revision: u64) {
        let base = self.bases.get(&revision).copied().unwrap_or(0);
        if *self.taken_on.entry(base).or_insert(revision) != revision {
            self.broken = Some(format!("two changes on {base}"));
        }
        let ballot = self.nodes[machine].ballot();
        self.taken.entry(revision).or_insert(ballot);
    }

    /// Whatever is shown as committed has all that was taken below it, and each on its base.
    fn show(&mut self, machine: usize, revisions: Vec<u64>) {
        let newest = revisions.last().copied().unwrap_or(0);
        if let Some(lost) = self.taken.keys().find(|t| **t < newest && !revisions.contains(t)) {
            self.broken = Some(format!("{lost} is lost at {machine}: {revisions:?}"));
        }
        let mut below = 0;
        for revision in revisions {
            if self.bases.get(&revision) != Some(&below) {
                self.broken = Some(format!("{revision} on {below}"));
            }
            below = revision;
        }
    }

    /// A primary knows all that was taken under lower ballots.
    fn check_primary(&mut self, machine: usize) {
        let node = &self.nodes[machine];
        let (known, ballot) = (node.committed().map_or(0, |s| s.revision), node.ballot());
        if node.is_primary() && self.taken.iter().any(|(revision, b)| *b < ballot && *revision > known) {
            self.broken = Some(format!("primary {machine} has {known} of {:?}", self.taken));
        }
    }

    fn deliver(&mut self, envelope: Envelope, all: bool) {
        let from = self.nodes[envelope.from].me();
        if let Ok(message) = minicbor::decode(&envelope.bytes) {
            self.step(envelope.to, Input::Message { from, message }, all);
        }
    }
}

impl Model for Core {
    type State = Fleet;
    type Action = Act;

    /// A fleet that has founded itself and is at rest.
    fn init_states(&self) -> Vec<Fleet> {
        let mut fleet = Fleet {
            nodes: (0..3).map(|m| self.node(m, &[], 0)).collect(),
            clocks: vec![0; 3],
            disks: vec![Vec::new(); 3],
            net: BTreeSet::new(),
            claims: self.claims,
            crashes: self.crashes,
            changes: 0,
            taken: BTreeMap::new(),
            taken_on: BTreeMap::new(),
            bases: BTreeMap::new(),
            broken: None,
        };
        for _ in 0..40 {
            for machine in 0..3 {
                fleet.clocks[machine] += 50;
                fleet.step(machine, Input::Tick, true);
            }
            while let Some(envelope) = fleet.net.pop_first() {
                fleet.deliver(envelope, true);
            }
        }
        assert_eq!(fleet.nodes.iter().filter(|n| n.is_primary()).count(), 1);
        vec![fleet]
    }

    fn actions(&self, fleet: &Fleet, acts: &mut Vec<Act>) {
        if fleet.broken.is_some() {
            return;
        }
        acts.extend(fleet.net.iter().cloned().map(Act::Deliver));
        for (machine, node) in fleet.nodes.iter().enumerate() {
            if node.is_primary() && fleet.changes < self.changes {
                acts.push(Act::Change(machine));
            } else if !node.is_primary() && fleet.claims > 0 {
                acts.push(Act::Claim(machine));
            }
            if fleet.crashes > 0 {
                acts.push(Act::Crash(machine));
            }
        }
    }

    fn next_state(&self, last: &Fleet, act: Act) -> Option<Fleet> {
        let mut fleet = last.clone();
        match act {
            Act::Deliver(envelope) => {
                fleet.net.remove(&envelope);
                let to = envelope.to;
                fleet.deliver(envelope, false);
                fleet.check_primary(to);
            }
            Act::Claim(machine) => {
                fleet.claims -= 1;
                fleet.clocks[machine] += 2_000;
                fleet.step(machine, Input::Tick, false);
                fleet.clocks[machine] += 2_000;
                fleet.step(machine, Input::Tick, false);
                let me = fleet.nodes[machine].me();
                let others: Vec<Member> = fleet.nodes.iter().map(Node::me).filter(|o| *o != me).collect();
                for from in others {
                    let message = Message::PreVoteAnswer { willing: true, founder: true, record: None };
                    fleet.step(machine, Input::Message { from, message }, false);
                }
            }
            Act::Change(machine) => {
                fleet.changes += 1;
                let base = fleet.nodes[machine].committed().map_or(0, |s| s.revision);
                // Later changes have lower numbers at times.
                let revision = base + 10 - fleet.changes;
                fleet.bases.insert(revision, base);
                let ask = fleet.changes;
                let change = Input::Change { ask, base, revision, body: vec![ask as u8], digest: revision };
                fleet.step(machine, change, false);
            }
            Act::Crash(machine) => {
                fleet.crashes -= 1;
                let now = fleet.clocks[machine];
                fleet.nodes[machine] = self.node(machine, &fleet.disks[machine], now);
            }
        }
        (fleet != *last).then_some(fleet)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always("nothing taken is lost", |_, fleet: &Fleet| fleet.broken.is_none())]
    }
}

/// How many states there are, up to a bound, and what is broken in one of them.
fn look(core: Core, most: usize) -> (usize, Option<String>) {
    let checker = core.checker().threads(2).target_state_count(most).spawn_bfs().join();
    let found = checker.discovery("nothing taken is lost").and_then(|p| p.last_state().broken.clone());
    (checker.unique_state_count(), found)
}

#[test]
fn one_take_over_and_two_changes() {
    let (states, found) = look(Core { flaw: None, claims: 1, crashes: 0, changes: 2 }, usize::MAX);
    assert_eq!(found, None, "in {states} states");
    assert!(states > 1_000);
}

#[test]
fn one_take_over_a_crash_and_a_change() {
    let (states, found) = look(Core { flaw: None, claims: 1, crashes: 1, changes: 1 }, usize::MAX);
    assert_eq!(found, None, "in {states} states");
    assert!(states > 1_000);
}

/// All of them are some 1,300,000; here the first of them.
#[test]
fn two_take_overs_and_a_change() {
    let most = std::env::var("HEADWORKS_STATES").ok().and_then(|s| s.parse().ok()).unwrap_or(40_000);
    let (states, found) = look(Core { flaw: None, claims: 2, crashes: 0, changes: 1 }, most);
    assert_eq!(found, None, "in {states} states");
}

#[test]
fn flaws_are_found() {
    for flaw in [Flaw::ForgetPromise, Flaw::CommitAlone] {
        let (states, found) = look(Core { flaw: Some(flaw), claims: 1, crashes: 0, changes: 1 }, usize::MAX);
        assert!(found.is_some(), "{flaw:?} was not found in {states} states");
    }
}
