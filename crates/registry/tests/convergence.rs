//! Convergence: all registries end up with the same entries, those of the servers' last heartbeats.

mod common;

use std::collections::BTreeMap;

use common::{
    all_entries, assert_consistent, control_node, millis, random_below, read_replica, server, synchronize,
    synchronize_all,
};
use mosshead_registry::{Delta, Entry, OperState, Server, SourceId, VersionVector};
use quickcheck::{Arbitrary, Gen, quickcheck};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// An arbitrary entry, including ones that no correct process publishes.
#[derive(Clone, Debug)]
struct ArbitraryEntry(Entry);

impl Arbitrary for ArbitraryEntry {
    fn arbitrary(g: &mut Gen) -> ArbitraryEntry {
        let number = u8::arbitrary(g) % 4;
        let state = *g.choose(&[OperState::Up, OperState::Draining, OperState::Removed]).unwrap();
        let source = SourceId(u64::arbitrary(g) % 4);
        let sequence = u64::arbitrary(g) % 6;
        // A source assigns each version to only one entry.
        let version = 1 + sequence * 64 + u64::from(number) * 8 + state as u64 * 2;
        let is_suspected = bool::arbitrary(g);
        let version = version + u64::from(is_suspected);
        ArbitraryEntry(Entry {
            server: Server { state, is_suspected, ..server(number, sequence) },
            source,
            version,
        })
    }
}

fn delta(entries: impl IntoIterator<Item = Entry>) -> Delta {
    Delta { entries: entries.into_iter().collect(), ..Delta::default() }
}

quickcheck! {
    fn order_and_duplicates_do_not_matter(entries: Vec<ArbitraryEntry>, seed: u64) -> bool {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (mut first, mut second) = (read_replica(100), control_node(101));
        for entry in &entries {
            first.merge(millis(0), delta([entry.0.clone()]));
        }
        let mut rest = entries.clone();
        rest.extend(entries.iter().filter(|_| rng.next_u32().is_multiple_of(2)).cloned());
        while !rest.is_empty() {
            let next = rest.swap_remove(random_below(&mut rng, rest.len() as u64) as usize);
            second.merge(millis(0), delta([next.0]));
        }
        assert_consistent(&first);
        assert_consistent(&second);
        assert_eq!(first.fingerprint(), second.fingerprint());
        all_entries(&first) == all_entries(&second)
    }

    /// A removed or draining server returns to an earlier state only by a higher sequence number.
    fn an_entry_never_returns_to_an_earlier_state(entries: Vec<ArbitraryEntry>) -> bool {
        let mut registry = control_node(100);
        let mut known: BTreeMap<String, (u64, OperState)> = BTreeMap::new();
        for ArbitraryEntry(entry) in entries {
            let id = entry.server.id.clone();
            registry.merge(millis(0), delta([entry]));
            let current = registry.get(&id).unwrap();
            let previous = known.entry(id).or_insert((current.sequence, current.state));
            if current.sequence < previous.0 || (current.sequence == previous.0 && current.state < previous.1) {
                return false;
            }
            *previous = (current.sequence, current.state);
        }
        true
    }

    fn supersedes_is_a_strict_total_order(first: ArbitraryEntry, second: ArbitraryEntry, third: ArbitraryEntry) -> bool {
        let (first, second, third) = (first.0, second.0, third.0);
        let is_total = first == second || first.supersedes(&second) != second.supersedes(&first);
        let is_transitive = !(first.supersedes(&second) && second.supersedes(&third)) || first.supersedes(&third);
        let are_different_servers = first.server.id != second.server.id; // never compared
        !first.supersedes(&first) && is_transitive && (is_total || are_different_servers)
    }

    /// Truncated deltas of any size lead to the same entries and vector as one complete delta.
    fn chunked_deltas_equal_one_complete_delta(heartbeats: Vec<(u8, u64)>, max_entries: u8) -> bool {
        let mut nodes = [control_node(1), control_node(2), control_node(3)];
        for (number, sequence) in heartbeats {
            let at = (sequence % 3) as usize;
            nodes[at].record_heartbeat(millis(0), Server { slots: (sequence % 5) as u32, ..server(number % 40, sequence % 1000) }).unwrap();
        }
        synchronize_all(millis(0), &mut nodes);
        let (mut complete, mut chunked) = (read_replica(8), read_replica(9));
        synchronize(millis(0), &nodes[0], &mut complete, usize::MAX);
        synchronize(millis(0), &nodes[0], &mut chunked, max_entries as usize % 5);
        all_entries(&complete) == all_entries(&chunked) && complete.vector() == chunked.vector() && all_entries(&complete) == all_entries(&nodes[0])
    }
}

#[test]
fn a_delta_for_a_higher_base_does_not_advance_the_vector() {
    // The delta was computed for an earlier incarnation.
    let (mut node, mut old, mut new) = (control_node(1), control_node(2), control_node(3));
    for number in 0..10 {
        node.record_heartbeat(millis(0), server(number, 1)).unwrap();
    }
    synchronize(millis(0), &node, &mut old, 100);
    node.record_heartbeat(millis(0), server(10, 1)).unwrap();
    let late = node.missing_entries(&old.vector(), 100);
    assert_eq!(late.entries.len(), 1);
    new.merge(millis(0), late);
    assert_eq!(new.len(), 1);
    assert_eq!(new.vector(), VersionVector::default());
    assert!(new.missing_entries(&VersionVector::default(), 100).is_empty());
    synchronize(millis(0), &node, &mut new, 3);
    assert_eq!(all_entries(&new), all_entries(&node));
    assert_eq!(new.missing_entries(&VersionVector::default(), 100).entries.len(), 11);
}

#[test]
fn a_registry_with_a_gap_detects_it_and_synchronizes_fully() {
    // If a vector was raised over a gap, the fingerprints differ.
    let (mut node, mut proxy) = (control_node(1), read_replica(9));
    for number in 0..10 {
        node.record_heartbeat(millis(0), server(number, 1)).unwrap();
    }
    let mut delta = node.missing_entries(&VersionVector::default(), 100);
    delta.entries.remove(4);
    proxy.merge(millis(0), delta);
    assert_eq!(proxy.len(), 9);
    assert_eq!(proxy.vector(), node.vector());
    proxy.tick(millis(1));
    assert!(proxy.vector().is_empty());
    synchronize(millis(1), &node, &mut proxy, 4);
    assert_eq!(all_entries(&proxy), all_entries(&node));
    // If the difference remains, full synchronizations are limited to one per interval.
    let mut diverged = node.missing_entries(&proxy.vector(), 100);
    diverged.fingerprint ^= 1;
    proxy.merge(millis(2), diverged.clone());
    proxy.tick(millis(2));
    assert_eq!(proxy.vector(), node.vector());
    proxy.merge(millis(20_000), diverged);
    proxy.tick(millis(20_000));
    assert!(proxy.vector().is_empty());
    synchronize(millis(20_001), &node, &mut proxy, 100);
    assert_eq!(proxy.vector(), node.vector());
}

#[test]
fn unchanged_heartbeats_produce_empty_deltas() {
    let (mut node, mut proxy) = (control_node(1), read_replica(9));
    for sequence in 1..100 {
        for number in 0..50 {
            node.record_heartbeat(millis(sequence * 1200), server(number, sequence)).unwrap();
        }
        let delta = node.missing_entries(&proxy.vector(), 100);
        assert_eq!(delta.is_empty(), sequence > 1);
        proxy.merge(millis(sequence * 1200), delta);
    }
}
