//! All orders of messages around take-overs, over the very code: three nodes, a few changes, losses and duplicates by
//! messages that stay on their way. Nodes take over whenever they like, so no span matters. A disk may be wiped, and its
//! machine join again as another member; a change whose acknowledgement was lost may be repeated at any primary. Small
//! settings are searched whole, larger ones by random walks.

mod fleet;

use std::collections::{BTreeMap, BTreeSet};

use mosshead_consensus::{InjectedFault, Input};
use mosshead_time::{Duration, Instant};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stateright::{Checker, Chooser, Model, Property};

use crate::fleet::{Act, Fleet, Scope};

impl Model for Scope {
    type State = Fleet;
    type Action = Act;

    /// A fleet that has founded itself and is at rest.
    fn init_states(&self) -> Vec<Fleet> {
        let mut fleet = Fleet {
            nodes: (0..3).map(|m| self.node(m, &[], Instant::ORIGIN)).collect(),
            clocks: vec![Instant::ORIGIN; 3],
            disks: vec![Vec::new(); 3],
            in_flight: BTreeSet::new(),
            claims: self.claims,
            crashes: self.crashes,
            changes: 0,
            committed: BTreeMap::new(),
            committed_on: BTreeMap::new(),
            bases: BTreeMap::new(),
            requests: BTreeMap::new(),
            published: BTreeSet::new(),
            stale: BTreeSet::new(),
            wipes: self.wipes,
            joins: self.joins,
            repeats: 0,
            wiped: None,
            violation: None,
        };
        for _ in 0..40 {
            for machine in 0..3 {
                fleet.clocks[machine] += Duration::from_millis(50);
                fleet.step(machine, Input::Tick, true);
            }
            while let Some(envelope) = fleet.in_flight.pop_first() {
                fleet.deliver(envelope, true);
            }
        }
        assert_eq!(fleet.nodes.iter().filter(|n| n.is_primary()).count(), 1);
        fleet.repeats = self.repeats;
        vec![fleet]
    }

    fn actions(&self, fleet: &Fleet, acts: &mut Vec<Act>) {
        if fleet.violation.is_some() {
            return;
        }
        acts.extend(fleet.in_flight.iter().cloned().map(Act::Deliver));
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
                fleet.in_flight.remove(&envelope);
                let to = envelope.to;
                fleet.deliver(envelope, false);
                fleet.check_primary(to);
            }
            Act::Claim(machine) => fleet.miss_primary(machine),
            Act::Change(machine) => fleet.send_new_change(machine),
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
            Act::Repeat { machine, revision } => fleet.repeat_change(machine, revision),
        }
        (fleet != *last).then_some(fleet)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(NOTHING_LOST, |_, fleet: &Fleet| fleet.violation.is_none())]
    }
}

const NOTHING_LOST: &str = "nothing taken is lost";

/// How many states there are, up to a bound, and what is broken in one of them.
fn search(core: Scope, most: usize) -> (usize, Option<String>) {
    let checker = core.checker().threads(2).target_state_count(most).spawn_bfs().join();
    let found = checker.discovery(NOTHING_LOST).and_then(|p| p.last_state().violation.clone());
    (checker.unique_state_count(), found)
}

/// Draws messages more often than anything else, so that walks get far.
#[derive(Clone)]
struct DeliverFirst;

impl Chooser<Scope> for DeliverFirst {
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
fn random_walk(core: Scope, seed: u64, steps: usize) -> Option<String> {
    let checker =
        core.checker().threads(1).target_state_count(steps).spawn_simulation(seed, DeliverFirst).join();
    checker.discovery(NOTHING_LOST).and_then(|p| p.last_state().violation.clone())
}

/// The number in an environment variable.
fn number_from_env(name: &str, usual: usize) -> usize {
    std::env::var(name).ok().and_then(|s| s.parse().ok()).unwrap_or(usual)
}

#[test]
fn one_take_over_and_two_changes() {
    let (states, found) = search(Scope { claims: 1, changes: 2, ..Scope::default() }, usize::MAX);
    assert_eq!(found, None, "in {states} states");
    assert!(states > 1_000);
}

#[test]
fn one_take_over_a_crash_and_a_change() {
    let (states, found) = search(Scope { claims: 1, crashes: 1, changes: 1, ..Scope::default() }, usize::MAX);
    assert_eq!(found, None, "in {states} states");
    assert!(states > 1_000);
}

/// All of them are some 1,300,000; here the first of them.
#[test]
fn two_take_overs_and_a_change() {
    let most = number_from_env("CONSENSUS_STATES", 40_000);
    let (states, found) = search(Scope { claims: 2, changes: 1, ..Scope::default() }, most);
    assert_eq!(found, None, "in {states} states");
}

#[test]
fn one_take_over_a_wiped_disk_and_a_change() {
    let (states, found) = search(Scope { claims: 1, wipes: 1, changes: 1, ..Scope::default() }, usize::MAX);
    println!("{states} states");
    assert_eq!(found, None, "in {states} states");
    assert!(states > 1_000);
}

/// Everything that may happen, a few times.
const ALL: Scope =
    Scope { injected_fault: None, claims: 3, crashes: 2, changes: 3, wipes: 2, joins: 2, repeats: 3 };

/// A disk is wiped and comes back as another member, and acknowledgements are lost, in any order.
#[test]
fn random_walks() {
    let steps = number_from_env("CONSENSUS_STEPS", 80_000);
    for seed in 0..4 {
        assert_eq!(random_walk(ALL, seed, steps), None, "seed {seed}");
    }
}

#[test]
fn injected_faults_are_found() {
    for injected_fault in [InjectedFault::ForgetPromise, InjectedFault::CommitAlone] {
        let core = Scope { injected_fault: Some(injected_fault), claims: 1, changes: 1, ..Scope::default() };
        let (states, found) = search(core, usize::MAX);
        assert!(found.is_some(), "{injected_fault:?} was not found in {states} states");
    }
}

/// A wiped disk and repeats find what take-overs alone don't.
#[test]
fn injected_faults_are_found_by_walks() {
    for injected_fault in [InjectedFault::SkipRewriteUnderNewTerm, InjectedFault::ForgetAppliedRequests] {
        let found = (0..20).find_map(|seed| {
            random_walk(Scope { injected_fault: Some(injected_fault), ..ALL }, seed, 50_000)
        });
        println!("{injected_fault:?}: {found:?}");
        assert!(found.is_some(), "{injected_fault:?} was not found");
    }
}
