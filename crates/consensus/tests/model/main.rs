//! Model checking of the production code with three nodes: the interleavings of messages around take-overs.
//!
//! Nodes take over at any time, so the model has no timeouts. Messages may stay in flight for any time, which covers
//! losses and duplicates. A disk may be wiped; its machine then rejoins as another member. An operator may send a
//! change again to any primary. Small scopes are searched exhaustively, larger ones by random walks.

mod fleet;

use std::collections::{BTreeMap, BTreeSet};

use mosshead_consensus::{InjectedFault, Input};
use mosshead_time::{Duration, Instant};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stateright::{Checker, Chooser, Model, Property};

use crate::fleet::{Action, Fleet, MessageFilter, Scope};

impl Model for Scope {
    type State = Fleet;
    type Action = Action;

    /// A fleet that has elected a primary and has no messages in flight.
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
            committed_by_base: BTreeMap::new(),
            base_by_revision: BTreeMap::new(),
            revision_by_request: BTreeMap::new(),
            published: BTreeSet::new(),
            rejected_as_stale: BTreeSet::new(),
            wipes: self.wipes,
            joins: self.joins,
            repeats: 0,
            wiped: None,
            violation: None,
        };
        for _ in 0..40 {
            for machine in 0..3 {
                fleet.clocks[machine] += Duration::from_millis(50);
                fleet.step(machine, Input::Tick, MessageFilter::All);
            }
            while let Some(envelope) = fleet.in_flight.pop_first() {
                fleet.deliver(envelope, MessageFilter::All);
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
        let may_lose_disk = fleet.tolerates_disk_loss();
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
                    fleet
                        .base_by_revision
                        .keys()
                        .map(|revision| Action::Repeat { machine, revision: *revision }),
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
                fleet.deliver(envelope, MessageFilter::Essential);
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
                fleet.nodes[machine] = self.wiped_node(machine, fleet.clocks[machine], fleet.wipes);
                // The node writes its new identity.
                fleet.step(machine, Input::Tick, MessageFilter::Essential);
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

const NO_VIOLATION: &str = "no invariant is violated";

/// Searches breadth-first until about `max_states` are found. Returns their number, and the violation in one of them.
fn search(scope: Scope, max_states: usize) -> (usize, Option<String>) {
    let checker = scope.checker().threads(2).target_state_count(max_states).spawn_bfs().join();
    let violation = checker.discovery(NO_VIOLATION).and_then(|path| path.last_state().violation.clone());
    (checker.unique_state_count(), violation)
}

/// Prefers the delivery of messages to other actions, so that take-overs and changes can complete during a walk.
#[derive(Clone)]
struct PreferDeliveries;

impl Chooser<Scope> for PreferDeliveries {
    type State = Pcg64Mcg;

    fn new_state(&self, seed: u64) -> Pcg64Mcg {
        Pcg64Mcg::seed_from_u64(seed)
    }

    fn choose_initial_state(&self, _: &mut Pcg64Mcg, _: &[Fleet]) -> usize {
        0
    }

    fn choose_action(&self, rng: &mut Pcg64Mcg, _: &Fleet, actions: &[Action]) -> usize {
        // `Scope::actions` lists the deliveries first.
        let messages = actions.iter().take_while(|action| matches!(action, Action::Deliver(_))).count();
        let choice_count =
            if messages > 0 && !rng.next_u64().is_multiple_of(16) { messages } else { actions.len() };
        rng.next_u64() as usize % choice_count
    }
}

/// Walks randomly until about `steps` states are visited. Returns the violation that was found.
fn random_walk(scope: Scope, seed: u64, steps: usize) -> Option<String> {
    let checker =
        scope.checker().threads(1).target_state_count(steps).spawn_simulation(seed, PreferDeliveries).join();
    checker.discovery(NO_VIOLATION).and_then(|path| path.last_state().violation.clone())
}

/// Reads a number from an environment variable; returns the default if it is missing or invalid.
fn number_from_env(name: &str, default: usize) -> usize {
    std::env::var(name).ok().and_then(|number| number.parse().ok()).unwrap_or(default)
}

#[test]
fn one_take_over_and_two_changes_violate_no_invariant() {
    let (states, violation) = search(Scope { take_overs: 1, changes: 2, ..Scope::default() }, usize::MAX);
    assert_eq!(violation, None, "in {states} states");
    assert!(states > 1_000);
}

#[test]
fn one_take_over_a_crash_and_a_change_violate_no_invariant() {
    let (states, violation) =
        search(Scope { take_overs: 1, crashes: 1, changes: 1, ..Scope::default() }, usize::MAX);
    assert_eq!(violation, None, "in {states} states");
    assert!(states > 1_000);
}

/// Searches only part of the about 1,300,000 states, unless the environment variable `CONSENSUS_STATES` raises the
/// limit.
#[test]
fn two_take_overs_and_a_change_violate_no_invariant() {
    let max_states = number_from_env("CONSENSUS_STATES", 40_000);
    let (states, violation) = search(Scope { take_overs: 2, changes: 1, ..Scope::default() }, max_states);
    assert_eq!(violation, None, "in {states} states");
}

#[test]
fn one_take_over_a_wiped_disk_and_a_change_violate_no_invariant() {
    let (states, violation) =
        search(Scope { take_overs: 1, wipes: 1, changes: 1, ..Scope::default() }, usize::MAX);
    println!("{states} states");
    assert_eq!(violation, None, "in {states} states");
    assert!(states > 1_000);
}

/// All actions, each a few times.
const ALL_ACTIONS: Scope =
    Scope { injected_fault: None, take_overs: 3, crashes: 2, changes: 3, wipes: 2, joins: 2, repeats: 3 };

/// Random walks with wiped disks that rejoin as other members, and repeated changes.
#[test]
fn random_walks_violate_no_invariant() {
    let steps = number_from_env("CONSENSUS_STEPS", 80_000);
    for seed in 0..4 {
        assert_eq!(random_walk(ALL_ACTIONS, seed, steps), None, "seed {seed}");
    }
}

#[test]
fn injected_faults_are_found_by_search() {
    for injected_fault in [InjectedFault::ForgetPromise, InjectedFault::CommitWithoutBackups] {
        let scope =
            Scope { injected_fault: Some(injected_fault), take_overs: 1, changes: 1, ..Scope::default() };
        let (states, violation) = search(scope, usize::MAX);
        assert!(violation.is_some(), "{injected_fault:?} was not found in {states} states");
    }
}

/// Wiped disks and repeated changes reveal faults that take-overs alone don't.
#[test]
fn injected_faults_are_found_by_random_walks() {
    for injected_fault in [InjectedFault::SkipRewriteUnderNewTerm, InjectedFault::ForgetAppliedRequests] {
        let violation = (0..20).find_map(|seed| {
            random_walk(Scope { injected_fault: Some(injected_fault), ..ALL_ACTIONS }, seed, 50_000)
        });
        println!("{injected_fault:?}: {violation:?}");
        assert!(violation.is_some(), "{injected_fault:?} was not found");
    }
}
