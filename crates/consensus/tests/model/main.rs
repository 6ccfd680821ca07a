//! All orders of messages around take-overs, with the code itself: three nodes, a few changes, losses and duplicates by
//! messages that stay in flight. Nodes take over at any time, so no timeout matters. A disk may be wiped, and its machine
//! join again as another member; a change whose acknowledgement was lost may be repeated at any primary. Small scopes are
//! searched completely, larger ones by random walks.

mod fleet;

use std::collections::{BTreeMap, BTreeSet};

use mosshead_consensus::{InjectedFault, Input};
use mosshead_time::{Duration, Instant};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stateright::{Checker, Chooser, Model, Property};

use crate::fleet::{Action, Fleet, Scope, Sends};

impl Model for Scope {
    type State = Fleet;
    type Action = Action;

    /// A fleet that has started and is at rest.
    fn init_states(&self) -> Vec<Fleet> {
        let mut fleet = Fleet {
            nodes: (0..3).map(|machine| self.node(machine, &[], Instant::ORIGIN)).collect(),
            clocks: vec![Instant::ORIGIN; 3],
            disks: vec![Vec::new(); 3],
            in_flight: BTreeSet::new(),
            take_overs: self.take_overs,
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
                fleet.step(machine, Input::Tick, Sends::All);
            }
            while let Some(envelope) = fleet.in_flight.pop_first() {
                fleet.deliver(envelope, Sends::All);
            }
        }
        assert_eq!(fleet.nodes.iter().filter(|node| node.is_primary()).count(), 1);
        fleet.repeats = self.repeats;
        vec![fleet]
    }

    fn actions(&self, fleet: &Fleet, actions: &mut Vec<Action>) {
        if fleet.violation.is_some() {
            return;
        }
        actions.extend(fleet.in_flight.iter().cloned().map(Action::Deliver));
        let may_lose_disk = fleet.has_all_disks();
        for (machine, node) in fleet.nodes.iter().enumerate() {
            if node.is_primary() && fleet.changes < self.changes {
                actions.push(Action::Change(machine));
            } else if !node.is_primary() && fleet.take_overs > 0 {
                actions.push(Action::TakeOver(machine));
            }
            if fleet.crashes > 0 {
                actions.push(Action::Crash(machine));
            }
            if fleet.wipes > 0 && may_lose_disk {
                actions.push(Action::Wipe(machine));
            }
            if node.is_primary() && fleet.repeats > 0 {
                actions.extend(
                    fleet.bases.keys().map(|revision| Action::Repeat { machine, revision: *revision }),
                );
            }
            if let Some(wiped) =
                fleet.wiped.filter(|wiped| node.is_primary() && *wiped != machine && fleet.joins > 0)
            {
                actions.push(Action::Join { wiped, primary: machine });
            }
        }
    }

    fn next_state(&self, last: &Fleet, action: Action) -> Option<Fleet> {
        let mut fleet = last.clone();
        match action {
            Action::Deliver(envelope) => {
                fleet.in_flight.remove(&envelope);
                let to = envelope.to;
                fleet.deliver(envelope, Sends::Essential);
                fleet.check_primary(to);
            }
            Action::TakeOver(machine) => fleet.take_over(machine),
            Action::Change(machine) => fleet.send_new_change(machine),
            Action::Crash(machine) => {
                fleet.crashes -= 1;
                let now = fleet.clocks[machine];
                fleet.nodes[machine] = self.node(machine, &fleet.disks[machine], now);
            }
            Action::Wipe(machine) => {
                fleet.wipes -= 1;
                fleet.wiped = Some(machine);
                fleet.disks[machine].clear();
                fleet.nodes[machine] = self.fresh_node(machine, fleet.clocks[machine], fleet.wipes);
                // It writes its identity.
                fleet.step(machine, Input::Tick, Sends::Essential);
            }
            Action::Join { wiped, primary } => {
                fleet.joins -= 1;
                fleet.join(wiped, primary);
            }
            Action::Repeat { machine, revision } => fleet.repeat_change(machine, revision),
        }
        (fleet != *last).then_some(fleet)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(NO_VIOLATION, |_, fleet: &Fleet| fleet.violation.is_none())]
    }
}

const NO_VIOLATION: &str = "no rule is violated";

/// How many states there are, up to a bound, and the violation in one of them.
fn search(scope: Scope, max_states: usize) -> (usize, Option<String>) {
    let checker = scope.checker().threads(2).target_state_count(max_states).spawn_bfs().join();
    let found = checker.discovery(NO_VIOLATION).and_then(|path| path.last_state().violation.clone());
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

    fn choose_action(&self, rng: &mut Pcg64Mcg, _: &Fleet, actions: &[Action]) -> usize {
        // Messages come first.
        let messages = actions.iter().take_while(|action| matches!(action, Action::Deliver(_))).count();
        let among = if messages > 0 && !rng.next_u64().is_multiple_of(16) { messages } else { actions.len() };
        rng.next_u64() as usize % among
    }
}

/// Goes so many random steps; returns the violation on the way.
fn random_walk(scope: Scope, seed: u64, steps: usize) -> Option<String> {
    let checker =
        scope.checker().threads(1).target_state_count(steps).spawn_simulation(seed, DeliverFirst).join();
    checker.discovery(NO_VIOLATION).and_then(|path| path.last_state().violation.clone())
}

/// The number in an environment variable, or the default.
fn number_from_env(name: &str, default: usize) -> usize {
    std::env::var(name).ok().and_then(|number| number.parse().ok()).unwrap_or(default)
}

#[test]
fn one_take_over_and_two_changes_violate_no_rule() {
    let (states, found) = search(Scope { take_overs: 1, changes: 2, ..Scope::default() }, usize::MAX);
    assert_eq!(found, None, "in {states} states");
    assert!(states > 1_000);
}

#[test]
fn one_take_over_a_crash_and_a_change_violate_no_rule() {
    let (states, found) =
        search(Scope { take_overs: 1, crashes: 1, changes: 1, ..Scope::default() }, usize::MAX);
    assert_eq!(found, None, "in {states} states");
    assert!(states > 1_000);
}

/// There are some 1,300,000 states; here the first of them.
#[test]
fn two_take_overs_and_a_change_violate_no_rule() {
    let max_states = number_from_env("CONSENSUS_STATES", 40_000);
    let (states, found) = search(Scope { take_overs: 2, changes: 1, ..Scope::default() }, max_states);
    assert_eq!(found, None, "in {states} states");
}

#[test]
fn one_take_over_a_wiped_disk_and_a_change_violate_no_rule() {
    let (states, found) =
        search(Scope { take_overs: 1, wipes: 1, changes: 1, ..Scope::default() }, usize::MAX);
    println!("{states} states");
    assert_eq!(found, None, "in {states} states");
    assert!(states > 1_000);
}

/// Everything that may happen, a few times.
const ALL: Scope =
    Scope { injected_fault: None, take_overs: 3, crashes: 2, changes: 3, wipes: 2, joins: 2, repeats: 3 };

/// A disk is wiped and comes back as another member, and acknowledgements are lost, in any order.
#[test]
fn random_walks_violate_no_rule() {
    let steps = number_from_env("CONSENSUS_STEPS", 80_000);
    for seed in 0..4 {
        assert_eq!(random_walk(ALL, seed, steps), None, "seed {seed}");
    }
}

#[test]
fn injected_faults_are_found() {
    for injected_fault in [InjectedFault::ForgetPromise, InjectedFault::CommitWithoutBackups] {
        let scope =
            Scope { injected_fault: Some(injected_fault), take_overs: 1, changes: 1, ..Scope::default() };
        let (states, found) = search(scope, usize::MAX);
        assert!(found.is_some(), "{injected_fault:?} was not found in {states} states");
    }
}

/// A wiped disk and repeated requests find what take-overs alone don't.
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
