//! All orders of messages around take-overs, over the very code: three nodes, a few changes, losses and duplicates by
//! messages that stay on their way. Nodes take over whenever they like, so no span matters. A disk may be wiped, and its
//! machine join again as another member; a change whose acknowledgement was lost may be repeated at any primary. Small
//! settings are searched whole, larger ones by random walks.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

use mosshead_consensus::{
    ClientReply, EpochConfig, InjectedFault, Input, LeaseStamp, Member, Message, Node, Output, RequestDigest,
    Settings, Term,
};
use mosshead_time::{Duration, Instant};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stateright::{Checker, Chooser, Model, Property};

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
    /// The disk that sent it, which may be wiped since.
    from: Member,
    to: usize,
    bytes: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    nodes: Vec<Node<Count>>,
    clocks: Vec<Instant>,
    disks: Vec<Vec<Vec<u8>>>,
    net: BTreeSet<Envelope>,
    claims: u8,
    crashes: u8,
    changes: u64,
    /// What was taken, and the lowest ballot under which it was.
    taken: BTreeMap<u64, Term>,
    taken_on: BTreeMap<u64, u64>,
    bases: BTreeMap<u64, u64>,
    /// The revision that each ask is about.
    asks: BTreeMap<u64, u64>,
    /// All revisions that were shown as committed.
    shown: BTreeSet<u64>,
    /// All revisions whose change was answered as stale.
    stale: BTreeSet<u64>,
    wipes: u8,
    joins: u8,
    repeats: u8,
    /// The machine whose disk was wiped last.
    wiped: Option<usize>,
    broken: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Deliver(Envelope),
    /// The node misses its primary, and the others say so too.
    Claim(usize),
    Change(usize),
    Crash(usize),
    /// The disk is lost; the process starts again with an empty one.
    Wipe(usize),
    /// The primary hears the machine with the new disk.
    Join {
        wiped: usize,
        primary: usize,
    },
    /// An operator sends a change again, since its answer was lost.
    Repeat {
        machine: usize,
        revision: u64,
    },
}

/// What may happen, and how often.
#[derive(Clone, Copy, Default)]
struct Core {
    injected_fault: Option<InjectedFault>,
    claims: u8,
    crashes: u8,
    changes: u64,
    wipes: u8,
    joins: u8,
    repeats: u8,
}

/// The asks of repeats are numbered from here on.
const FIRST_REPEAT: u64 = 100;

fn address(machine: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, machine as u8), 7720)
}

fn digest(number: u64) -> RequestDigest {
    RequestDigest([number as u8; 32])
}

impl Core {
    fn node(&self, machine: usize, log: &[Vec<u8>], now: Instant) -> Node<Count> {
        let mut settings = Settings::new(address(machine), 1, true, (0..3).map(address).collect());
        settings.injected_fault = self.injected_fault;
        settings.log_rewrite_bytes = 1 << 30;
        Node::new(settings, log, now, Count(100 * (machine as u64 + 1))).expect("its own log")
    }

    /// A node with an empty disk, which is no founder.
    fn fresh_node(&self, machine: usize, now: Instant, wipes_left: u8) -> Node<Count> {
        let mut settings = Settings::new(address(machine), 1, false, (0..3).map(address).collect());
        settings.injected_fault = self.injected_fault;
        settings.log_rewrite_bytes = 1 << 30;
        Node::new(settings, &[], now, Count(10_000 * (u64::from(wipes_left) + 1))).expect("an empty log")
    }
}

fn body(revision: u64) -> Vec<u8> {
    vec![revision as u8]
}

impl Fleet {
    /// Carries out a step; writes are synced at once. With `all`, heartbeats and the like are sent, too.
    fn step(&mut self, machine: usize, input: Input, all: bool) {
        let mut inputs = vec![input];
        // A change is stale only by a majority's word, which comes by heartbeats.
        let heartbeats = self.repeats > 0 || !self.stale.is_empty() || self.asks.contains_key(&FIRST_REPEAT);
        while let Some(input) = inputs.pop() {
            for output in self.nodes[machine].step(self.clocks[machine], input) {
                match output {
                    Output::Send { to, message } => {
                        let core = !matches!(
                            message,
                            Message::Heartbeat { .. }
                                | Message::HeartbeatResponse { .. }
                                | Message::CommittedState { .. }
                                | Message::Join { .. }
                                | Message::PreVote
                                | Message::PreVoteResponse { .. }
                                | Message::Reject { .. }
                        );
                        let send_heartbeats =
                            matches!(message, Message::Heartbeat { .. } | Message::HeartbeatResponse { .. });
                        if core || all || heartbeats && send_heartbeats {
                            let to = to.ip().octets()[3] as usize;
                            let bytes = minicbor::to_vec(&message).expect("it fits in memory");
                            let from = self.nodes[machine].local_member();
                            self.net.insert(Envelope { from, to, bytes });
                        }
                    }
                    Output::Write { token, record } => {
                        self.disks[machine].push(record);
                        inputs.insert(0, Input::Written { token });
                    }
                    Output::Reply { reply: ClientReply::Committed { revision }, .. } => {
                        self.take(machine, revision)
                    }
                    Output::Reply { request_id: ask, reply: ClientReply::Stale { .. } } => {
                        self.judge_stale(ask)
                    }
                    Output::Committed { state } => {
                        self.show(machine, state.applied_requests.iter().map(|c| c.revision).collect())
                    }
                    _ => {}
                }
            }
        }
    }

    /// A change that is answered as stale is not committed, and never will be.
    fn judge_stale(&mut self, ask: u64) {
        let Some(revision) = self.asks.get(&ask).copied() else { return };
        self.stale.insert(revision);
        self.check_stale();
    }

    fn check_stale(&mut self) {
        let committed = |revision: &&u64| self.shown.contains(revision) || self.taken.contains_key(revision);
        if let Some(revision) = self.stale.iter().find(committed) {
            self.broken = Some(format!("{revision} is committed and was answered as stale"));
        }
    }

    fn take(&mut self, machine: usize, revision: u64) {
        let base = self.bases.get(&revision).copied().unwrap_or(0);
        if *self.taken_on.entry(base).or_insert(revision) != revision {
            self.broken = Some(format!("two changes on {base}"));
        }
        let term = self.nodes[machine].term();
        self.taken.entry(revision).or_insert(term);
        self.check_stale();
    }

    /// Whatever is shown as committed has all that was taken below it, and each on its base.
    fn show(&mut self, machine: usize, revisions: Vec<u64>) {
        self.shown.extend(&revisions);
        self.check_stale();
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
        let (known, term) = (node.committed_state().map_or(0, |s| s.revision), node.term());
        if node.is_primary() && self.taken.iter().any(|(revision, b)| *b < term && *revision > known) {
            self.broken = Some(format!("primary {machine} has {known} of {:?}", self.taken));
        }
    }

    /// Whether a primary leads all the disks that there are: one may be lost then.
    fn is_whole(&self) -> bool {
        let leads_all = |node: &Node<Count>| {
            let all = |r: &EpochConfig| {
                !r.is_joint() && self.nodes.iter().all(|n| r.members.contains(&n.local_member()))
            };
            node.is_primary() && node.epoch_config().is_some_and(all)
        };
        self.nodes.iter().any(leads_all)
    }

    /// The primary hears a machine with a new disk, and looks after its members.
    fn join(&mut self, wiped: usize, primary: usize) {
        let from = self.nodes[wiped].local_member();
        let term = self.nodes[primary].term();
        let seen = Term::default();
        let answer = Message::HeartbeatResponse {
            term,
            sequence: 0,
            promised: seen,
            accepted_term: seen,
            known_term: seen,
            committed_revision: None,
            is_healthy: true,
            lease_stamp: LeaseStamp::default(),
        };
        for message in [Message::Join { is_bootstrap_voter: false, known_term: seen }, answer] {
            self.step(primary, Input::Message { from, message }, false);
        }
        self.clocks[primary] += Duration::from_millis(100);
        self.step(primary, Input::Tick, false);
    }

    fn deliver(&mut self, envelope: Envelope, all: bool) {
        if let Ok(message) = minicbor::decode(&envelope.bytes) {
            self.step(envelope.to, Input::Message { from: envelope.from, message }, all);
        }
    }
}

impl Model for Core {
    type State = Fleet;
    type Action = Act;

    /// A fleet that has founded itself and is at rest.
    fn init_states(&self) -> Vec<Fleet> {
        let mut fleet = Fleet {
            nodes: (0..3).map(|m| self.node(m, &[], Instant::ORIGIN)).collect(),
            clocks: vec![Instant::ORIGIN; 3],
            disks: vec![Vec::new(); 3],
            net: BTreeSet::new(),
            claims: self.claims,
            crashes: self.crashes,
            changes: 0,
            taken: BTreeMap::new(),
            taken_on: BTreeMap::new(),
            bases: BTreeMap::new(),
            asks: BTreeMap::new(),
            shown: BTreeSet::new(),
            stale: BTreeSet::new(),
            wipes: self.wipes,
            joins: self.joins,
            repeats: 0,
            wiped: None,
            broken: None,
        };
        for _ in 0..40 {
            for machine in 0..3 {
                fleet.clocks[machine] += Duration::from_millis(50);
                fleet.step(machine, Input::Tick, true);
            }
            while let Some(envelope) = fleet.net.pop_first() {
                fleet.deliver(envelope, true);
            }
        }
        assert_eq!(fleet.nodes.iter().filter(|n| n.is_primary()).count(), 1);
        fleet.repeats = self.repeats;
        vec![fleet]
    }

    fn actions(&self, fleet: &Fleet, acts: &mut Vec<Act>) {
        if fleet.broken.is_some() {
            return;
        }
        acts.extend(fleet.net.iter().cloned().map(Act::Deliver));
        let whole = fleet.is_whole();
        for (machine, node) in fleet.nodes.iter().enumerate() {
            if node.is_primary() && fleet.changes < self.changes {
                acts.push(Act::Change(machine));
            } else if !node.is_primary() && fleet.claims > 0 {
                acts.push(Act::Claim(machine));
            }
            if fleet.crashes > 0 {
                acts.push(Act::Crash(machine));
            }
            if fleet.wipes > 0 && whole {
                acts.push(Act::Wipe(machine));
            }
            if node.is_primary() && fleet.repeats > 0 {
                acts.extend(fleet.bases.keys().map(|revision| Act::Repeat { machine, revision: *revision }));
            }
            if let Some(wiped) =
                fleet.wiped.filter(|wiped| node.is_primary() && *wiped != machine && fleet.joins > 0)
            {
                acts.push(Act::Join { wiped, primary: machine });
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
                fleet.clocks[machine] += Duration::from_millis(2_000);
                fleet.step(machine, Input::Tick, false);
                fleet.clocks[machine] += Duration::from_millis(2_000);
                fleet.step(machine, Input::Tick, false);
                let me = fleet.nodes[machine].local_member();
                let others: Vec<Member> =
                    fleet.nodes.iter().map(Node::local_member).filter(|o| *o != me).collect();
                for from in others {
                    let message =
                        Message::PreVoteResponse { granted: true, is_bootstrap_voter: true, config: None };
                    fleet.step(machine, Input::Message { from, message }, false);
                }
            }
            Act::Change(machine) => {
                fleet.changes += 1;
                let base = fleet.nodes[machine].committed_state().map_or(0, |s| s.revision);
                // Later changes have lower numbers at times.
                let revision = base + 10 - fleet.changes;
                fleet.bases.insert(revision, base);
                let ask = fleet.changes;
                fleet.asks.insert(ask, revision);
                let change = Input::Change {
                    request_id: ask,
                    base_revision: base,
                    revision,
                    body: body(revision),
                    digest: digest(revision),
                };
                fleet.step(machine, change, false);
            }
            Act::Crash(machine) => {
                fleet.crashes -= 1;
                let now = fleet.clocks[machine];
                fleet.nodes[machine] = self.node(machine, &fleet.disks[machine], now);
            }
            Act::Wipe(machine) => {
                fleet.wipes -= 1;
                fleet.wiped = Some(machine);
                fleet.disks[machine].clear();
                fleet.nodes[machine] = self.fresh_node(machine, fleet.clocks[machine], fleet.wipes);
                // It writes down its number.
                fleet.step(machine, Input::Tick, false);
            }
            Act::Join { wiped, primary } => {
                fleet.joins -= 1;
                fleet.join(wiped, primary);
            }
            Act::Repeat { machine, revision } => {
                fleet.repeats -= 1;
                let ask = FIRST_REPEAT + u64::from(fleet.repeats);
                fleet.asks.insert(ask, revision);
                let base = fleet.bases.get(&revision).copied().unwrap_or(0);
                let change = Input::Change {
                    request_id: ask,
                    base_revision: base,
                    revision,
                    body: body(revision),
                    digest: digest(revision),
                };
                fleet.step(machine, change, false);
            }
        }
        (fleet != *last).then_some(fleet)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(NOTHING_LOST, |_, fleet: &Fleet| fleet.broken.is_none())]
    }
}

const NOTHING_LOST: &str = "nothing taken is lost";

/// How many states there are, up to a bound, and what is broken in one of them.
fn look(core: Core, most: usize) -> (usize, Option<String>) {
    let checker = core.checker().threads(2).target_state_count(most).spawn_bfs().join();
    let found = checker.discovery(NOTHING_LOST).and_then(|p| p.last_state().broken.clone());
    (checker.unique_state_count(), found)
}

/// Draws messages more often than anything else, so that walks get far.
#[derive(Clone)]
struct DeliverFirst;

impl Chooser<Core> for DeliverFirst {
    type State = Pcg64Mcg;

    fn new_state(&self, seed: u64) -> Pcg64Mcg {
        Pcg64Mcg::seed_from_u64(seed)
    }

    fn choose_initial_state(&self, _: &mut Pcg64Mcg, _: &[Fleet]) -> usize {
        0
    }

    fn choose_action(&self, rng: &mut Pcg64Mcg, _: &Fleet, acts: &[Act]) -> usize {
        // Messages stand first.
        let messages = acts.iter().take_while(|act| matches!(act, Act::Deliver(_))).count();
        let among = if messages > 0 && !rng.next_u64().is_multiple_of(16) { messages } else { acts.len() };
        rng.next_u64() as usize % among
    }
}

/// Goes so many random steps, and tells what is broken on the way.
fn walk(core: Core, seed: u64, steps: usize) -> Option<String> {
    let checker =
        core.checker().threads(1).target_state_count(steps).spawn_simulation(seed, DeliverFirst).join();
    checker.discovery(NOTHING_LOST).and_then(|p| p.last_state().broken.clone())
}

/// The number in an environment variable.
fn asked_for(name: &str, usual: usize) -> usize {
    std::env::var(name).ok().and_then(|s| s.parse().ok()).unwrap_or(usual)
}

#[test]
fn one_take_over_and_two_changes() {
    let (states, found) = look(Core { claims: 1, changes: 2, ..Core::default() }, usize::MAX);
    assert_eq!(found, None, "in {states} states");
    assert!(states > 1_000);
}

#[test]
fn one_take_over_a_crash_and_a_change() {
    let (states, found) = look(Core { claims: 1, crashes: 1, changes: 1, ..Core::default() }, usize::MAX);
    assert_eq!(found, None, "in {states} states");
    assert!(states > 1_000);
}

/// All of them are some 1,300,000; here the first of them.
#[test]
fn two_take_overs_and_a_change() {
    let most = asked_for("CONSENSUS_STATES", 40_000);
    let (states, found) = look(Core { claims: 2, changes: 1, ..Core::default() }, most);
    assert_eq!(found, None, "in {states} states");
}

#[test]
fn one_take_over_a_wiped_disk_and_a_change() {
    let (states, found) = look(Core { claims: 1, wipes: 1, changes: 1, ..Core::default() }, usize::MAX);
    println!("{states} states");
    assert_eq!(found, None, "in {states} states");
    assert!(states > 1_000);
}

/// Everything that may happen, a few times.
const ALL: Core =
    Core { injected_fault: None, claims: 3, crashes: 2, changes: 3, wipes: 2, joins: 2, repeats: 3 };

/// A disk is wiped and comes back as another member, and acknowledgements are lost, in any order.
#[test]
fn random_walks() {
    let steps = asked_for("CONSENSUS_STEPS", 80_000);
    for seed in 0..4 {
        assert_eq!(walk(ALL, seed, steps), None, "seed {seed}");
    }
}

#[test]
fn injected_faults_are_found() {
    for injected_fault in [InjectedFault::ForgetPromise, InjectedFault::CommitAlone] {
        let core = Core { injected_fault: Some(injected_fault), claims: 1, changes: 1, ..Core::default() };
        let (states, found) = look(core, usize::MAX);
        assert!(found.is_some(), "{injected_fault:?} was not found in {states} states");
    }
}

/// A wiped disk and repeats find what take-overs alone don't.
#[test]
fn injected_faults_are_found_by_walks() {
    for injected_fault in [InjectedFault::SkipRewriteUnderNewTerm, InjectedFault::ForgetAppliedRequests] {
        let found =
            (0..20).find_map(|seed| walk(Core { injected_fault: Some(injected_fault), ..ALL }, seed, 50_000));
        println!("{injected_fault:?}: {found:?}");
        assert!(found.is_some(), "{injected_fault:?} was not found");
    }
}
