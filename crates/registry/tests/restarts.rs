//! Restarts: control nodes recover the registry from proxies and peers, and state stays bounded over many
//! incarnations.

mod common;

use common::{
    HEARTBEAT_INTERVAL, all_entries, assert_consistent, control_node, heartbeat_outcome, millis,
    read_replica, server, synchronize, synchronize_all, synchronize_pair, with_state,
};
use mosshead_registry::{
    Delta, Entry, MAX_TOMBSTONES, OperState, Registry, Server, SourceId, TOMBSTONE_LIFETIME, VersionVector,
};
use mosshead_time::{Duration, Instant, whole_millis};

/// Sends a new control node all entries of a proxy, in truncated deltas.
fn restore(node: &mut Registry, proxy: &Registry) {
    // All deltas are computed from the vector that the control node sent at its start.
    let vector = node.vector();
    let mut max_entries = 7;
    loop {
        let delta = proxy.missing_entries(&vector, max_entries);
        let is_truncated = delta.is_truncated;
        node.merge(millis(1000), delta);
        if !is_truncated {
            return;
        }
        max_entries += 10;
    }
}

/// Sends the control node `to` a digest of the heartbeats that `from` has received since `since`.
fn send_digest(now: Instant, nodes: &mut [Registry], from: usize, to: usize, since: Instant) {
    let digest = nodes[from].heartbeats_since(since);
    let source = nodes[from].local_id();
    nodes[to].record_remote_heartbeats(now, source, &digest);
}

/// Runs seven seconds in which the servers 2 to 19 send heartbeats to the first of three new control nodes.
fn run_with_heartbeats(nodes: &mut [Registry]) {
    for now in (1000..8000).step_by(100) {
        for number in 0..3 {
            let peer = SourceId(4 + (number + 1) % 3);
            nodes[number as usize].record_contact(millis(now), peer);
        }
        if now % 1000 == 0 {
            for number in 2..20 {
                let outcome = nodes[0].record_heartbeat(millis(now), server(number, 5 + now / 1000)).unwrap();
                assert!(!outcome.changed, "{now} {number}");
            }
        }
        if now % 300 == 0 {
            send_digest(millis(now), nodes, 0, 1, millis(0));
            send_digest(millis(now), nodes, 0, 2, millis(0));
        }
        for node in &mut *nodes {
            node.tick(millis(now));
        }
    }
}

#[test]
fn proxies_restore_the_registry_after_all_control_nodes_restart() {
    let mut nodes = vec![control_node(1), control_node(2), control_node(3)];
    let mut proxies = vec![read_replica(100), read_replica(101)];
    for number in 0..30 {
        nodes[number as usize % 3].record_heartbeat(millis(0), server(number, 1)).unwrap();
    }
    nodes[0].record_heartbeat(millis(1), with_state(0, 2, OperState::Draining)).unwrap();
    nodes[1].deregister(millis(1), "i-1").unwrap();
    synchronize_all(millis(1), &mut nodes);
    for proxy in &mut proxies {
        synchronize(millis(1), &nodes[2], proxy, 100);
    }
    let before_restart = all_entries(&proxies[0]);
    // All control nodes restart. The new incarnations have no entries, as the vectors of the proxies reveal
    // to them.
    let mut nodes = vec![control_node(4), control_node(5), control_node(6)];
    for (number, node) in nodes.iter_mut().enumerate() {
        let proxy = &mut proxies[number % 2];
        assert!(node.has_unknown_source(&proxy.vector()));
        assert!(node.missing_entries(&proxy.vector(), 100).is_empty());
        restore(node, proxy);
        assert!(!node.has_unknown_source(&proxy.vector()));
        assert_eq!(all_entries(node), before_restart);
    }
    // The restored entries keep their sources and versions, so nothing is sent back.
    for from in &nodes {
        for proxy in &proxies {
            assert!(from.missing_entries(&proxy.vector(), 100).is_empty());
        }
    }
    // Outdated heartbeats from before the restart revive no server.
    assert!(heartbeat_outcome(&mut nodes[0], millis(1000), server(0, 1)).is_outdated);
    assert!(heartbeat_outcome(&mut nodes[1], millis(1000), server(1, 3)).is_outdated);
    // Servers that send heartbeats get no new version; the new incarnations suspect the others in time.
    run_with_heartbeats(&mut nodes);
    synchronize_all(millis(8000), &mut nodes);
    for node in &nodes {
        assert_consistent(node);
        for number in 2..30 {
            assert_eq!(node.get(&format!("i-{number}")).unwrap().is_suspected, number >= 20, "{number}");
        }
    }
}

#[test]
fn a_proxy_restores_a_change_whose_source_is_lost() {
    let (mut first, mut second, mut proxy) = (control_node(1), control_node(2), read_replica(9));
    first.record_heartbeat(millis(0), server(1, 1)).unwrap();
    synchronize(millis(0), &first, &mut second, 10);
    first.record_heartbeat(millis(0), server(2, 1)).unwrap();
    synchronize(millis(0), &first, &mut proxy, 10);
    drop(first);
    assert!(!second.has_unknown_source(&proxy.vector()));
    assert!(second.is_behind(&proxy.vector()));
    synchronize(millis(0), &proxy, &mut second, 10);
    assert!(!second.is_behind(&proxy.vector()));
    assert_eq!(all_entries(&second), all_entries(&proxy));
}

#[test]
fn a_restarted_node_catches_up_and_publishes_as_a_new_source() {
    let (mut first, mut second) = (control_node(1), control_node(2));
    for number in 0..20 {
        first.record_heartbeat(millis(0), server(number, 1)).unwrap();
    }
    synchronize(millis(0), &first, &mut second, 3);
    let mut restarted = control_node(3);
    synchronize(millis(0), &second, &mut restarted, 3);
    assert_eq!(all_entries(&restarted), all_entries(&first));
    restarted.record_heartbeat(millis(1), Server { slots: 1, ..server(1, 2) }).unwrap();
    synchronize(millis(1), &restarted, &mut second, 3);
    assert_eq!(all_entries(&restarted), all_entries(&second));
    assert_eq!(second.vector().get(SourceId(3)), 1);
}

/// Exchanges entries between each pair of control nodes.
fn exchange(now: Instant, nodes: &mut [Registry], before_each: impl Fn(&mut [Registry], usize, usize)) {
    for from in 0..nodes.len() {
        for to in 0..nodes.len() {
            if from != to {
                before_each(nodes, from, to);
                synchronize_pair(now, nodes, from, to, 50);
            }
        }
    }
}

/// Runs one second in which a control node restarts, one server changes and the others send unchanged
/// heartbeats.
fn run_incarnation(incarnation: u64, nodes: &mut [Registry], proxy: &mut Registry) {
    let now = millis(incarnation * 1000);
    let at = (incarnation % 3) as usize;
    nodes[at] = control_node(4 + incarnation);
    synchronize_pair(now, nodes, (at + 1) % 3, at, 50);
    for number in 0..60_u8 {
        let slots = 1 + (incarnation.saturating_sub(u64::from(number)) / 60) as u32;
        let server = Server { slots, ..server(number, incarnation + 1) };
        nodes[usize::from(number) % 3].record_heartbeat(now, server).unwrap();
    }
    exchange(now, nodes, |nodes, from, to| {
        let peer = nodes[from].local_id();
        nodes[to].record_contact(now, peer);
    });
    synchronize(now, &nodes[at], proxy, 50);
    for registry in nodes.iter_mut().chain([proxy]) {
        registry.tick(now);
    }
}

/// Three control nodes go through thousands of incarnations. One ends each second, and each publishes a
/// change or two.
#[test]
fn the_vector_stays_small_over_thousands_of_incarnations() {
    let mut nodes: Vec<Registry> = (1..=3).map(control_node).collect();
    let mut proxy = read_replica(u64::MAX);
    let mut max_sources = 0;
    for incarnation in 0..3000 {
        run_incarnation(incarnation, &mut nodes, &mut proxy);
        for registry in nodes.iter().chain([&proxy]) {
            max_sources = max_sources.max(registry.vector().len());
        }
    }
    assert!(max_sources <= 16 + 8, "{max_sources}");
    synchronize_all(millis(3_000_000), &mut nodes);
    assert_consistent(&proxy);
    assert_eq!(proxy.len(), 60);
    // Once the restarts have stopped, the remaining old sources disappear.
    let mut sequence = 3000;
    for now in (3_000_000..3_000_000 + 3 * whole_millis(TOMBSTONE_LIFETIME)).step_by(1000) {
        sequence += 1;
        for number in 0..60_u8 {
            let server = Server { slots: 9999, ..server(number, sequence) };
            nodes[usize::from(number) % 3].record_heartbeat(millis(now), server).unwrap();
        }
        exchange(millis(now), &mut nodes, |nodes, from, to| {
            send_digest(millis(now), nodes, from, to, millis(now) - Duration::from_millis(1500));
        });
        for node in &mut nodes {
            node.tick(millis(now));
        }
    }
    for node in &nodes {
        assert_eq!(node.vector().len(), 3);
        assert!(node.servers().all(|server| !server.is_suspected));
    }
}

#[test]
fn tombstones_are_bounded() {
    let mut registry = control_node(1);
    let count = MAX_TOMBSTONES as u64 + 500;
    for number in 0..count {
        registry.deregister(millis(number), &number.to_string()).unwrap();
    }
    assert!(registry.get("0").is_none());
    assert!(registry.get(&(count - 1).to_string()).is_some());
    assert_eq!(registry.entries().count(), MAX_TOMBSTONES);
    let mut other = read_replica(2);
    synchronize(millis(count), &registry, &mut other, 1000);
    assert_eq!(other.entries().count(), MAX_TOMBSTONES);
    registry.tick(millis(count + whole_millis(TOMBSTONE_LIFETIME)));
    other.tick(millis(count + whole_millis(TOMBSTONE_LIFETIME)));
    assert_eq!(registry.entries().count() + other.entries().count(), 0);
    assert_consistent(&registry);
}

#[test]
fn sources_without_entries_are_not_in_the_vector() {
    let mut registry = control_node(1);
    let vector = VersionVector::from_iter((10..4000).map(|number| (SourceId(number), number)));
    registry.merge(millis(0), Delta { vector: vector.clone(), ..Delta::default() });
    for source in 5000..9000 {
        registry.record_contact(millis(source), SourceId(source));
    }
    assert!(registry.vector().is_empty());
    // This also holds for the local source, whose versions continue to increase.
    registry.record_heartbeat(millis(0), server(1, 1)).unwrap();
    let mut other = control_node(2);
    synchronize(millis(0), &registry, &mut other, 10);
    assert_eq!(other.vector().len(), 1);
    other.record_heartbeat(millis(0), Server { slots: 3, ..server(1, 2) }).unwrap();
    assert_eq!(other.vector(), VersionVector::from_iter([(SourceId(2), 1)]));
    synchronize(millis(0), &other, &mut registry, 10);
    assert_eq!(registry.vector(), other.vector());
    assert!(registry.is_fully_replicated());
    registry.record_heartbeat(millis(0), Server { slots: 4, ..server(1, 3) }).unwrap();
    assert!(!registry.is_fully_replicated());
    synchronize(millis(0), &registry, &mut other, 10);
    assert_eq!(all_entries(&other), all_entries(&registry));
    assert_eq!(other.vector(), VersionVector::from_iter([(SourceId(1), 2)]));
}

#[test]
fn entries_claiming_this_source_are_rejected() {
    let mut registry = control_node(1);
    registry.record_heartbeat(millis(0), server(1, 1)).unwrap();
    let entry = Entry { server: server(2, 1), source: SourceId(1), version: 50 };
    let vector = VersionVector::from_iter([(SourceId(1), 70)]);
    assert!(
        !registry
            .merge(millis(0), Delta { entries: vec![entry], vector: vector.clone(), ..Delta::default() })
    );
    assert_eq!(registry.vector().get(SourceId(1)), 1);
    assert!(!registry.has_unknown_source(&vector) && !registry.is_behind(&vector));
    registry.mark_replicated(&vector);
    assert!(registry.is_fully_replicated());
    assert!(
        heartbeat_outcome(&mut registry, millis(1), with_state(1, 2, OperState::Draining)).needs_replication
    );
}

#[test]
fn ten_thousand_unchanged_servers_publish_one_version_each() {
    let named = |number: u64, sequence| Server { id: format!("i-{number}"), ..server(1, sequence) };
    let placed = |number: u64, sequence| Server {
        address: std::net::SocketAddrV4::new(std::net::Ipv4Addr::from(0x0a00_0000 + number as u32), 80),
        ..named(number, sequence)
    };
    let mut registry = control_node(1);
    let mut other = control_node(2);
    for sequence in 1..=10 {
        for number in 0..10_000 {
            let outcome = registry
                .record_heartbeat(
                    millis(sequence * whole_millis(HEARTBEAT_INTERVAL)),
                    placed(number, sequence),
                )
                .unwrap();
            assert_eq!(outcome.changed, sequence == 1);
        }
        assert!(!registry.tick(millis(sequence * whole_millis(HEARTBEAT_INTERVAL))));
    }
    synchronize(millis(0), &registry, &mut other, 1000);
    assert_eq!(other.len(), 10_000);
    assert_eq!(registry.version(), 10_000);
    assert_eq!(other.servers_of_service("service-1").count(), 10_000);
}
