//! Failure detection: suspicion, digests, lost sources, and the removal of suspected servers.

mod common;

use common::{
    HEARTBEAT_INTERVAL, assert_consistent, control_node, millis, read_replica, server, synchronize,
    synchronize_all, with_state,
};
use mosshead_registry::{
    OperState, Registry, SOURCE_TIMEOUT, SUSPICION_TIMEOUT, SourceId, TOMBSTONE_LIFETIME,
};
use mosshead_time::{Duration, Instant, whole_millis};

const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// How far back a digest goes.
const DIGEST_WINDOW: Duration = Duration::from_millis(1500);

/// Ticks once a [`TICK_INTERVAL`] from one instant to another. Returns when an entry first changed.
fn run(registry: &mut Registry, from: Instant, to: Instant) -> Option<Instant> {
    let mut first = None;
    let mut now = from;
    while now <= to {
        if registry.tick(now) && first.is_none() {
            first = Some(now);
        }
        now += TICK_INTERVAL;
    }
    first
}

/// One control node tells another which servers have sent it heartbeats since an instant.
fn send_digest(now: Instant, from: &Registry, since: Instant, to: &mut Registry) {
    let digest = from.heartbeats_since(since);
    to.record_remote_heartbeats(
        now,
        from.local_id(),
        digest.iter().map(|(id, sequence)| (id.as_str(), *sequence)),
    );
}

fn is_suspected(registry: &Registry) -> bool {
    registry.get("i-1").unwrap().is_suspected
}

#[test]
fn a_server_without_heartbeats_is_suspected_then_removed_then_dropped() {
    let mut registry = control_node(1);
    registry.tick(millis(0));
    for number in 0..5 {
        assert_eq!(run(&mut registry, millis(number * 1200), millis(number * 1200 + 1100)), None);
        registry.record_heartbeat(millis(number * 1200), server(1, number + 1)).unwrap();
    }
    let last = millis(4 * 1200);
    let suspected_at = run(&mut registry, last, last + Duration::from_secs(10)).unwrap();
    let suspicion_due_at = last + HEARTBEAT_INTERVAL * 16 / 5;
    assert!(
        (suspicion_due_at..=suspicion_due_at + 2 * TICK_INTERVAL).contains(&suspected_at),
        "{suspected_at}"
    );
    assert!(is_suspected(&registry));
    assert_eq!(registry.get("i-1").unwrap().sequence, 5);
    let removed_at =
        run(&mut registry, last + Duration::from_millis(10_100), last + Duration::from_secs(40)).unwrap();
    let removal_due_at = suspected_at + SUSPICION_TIMEOUT;
    assert!((removal_due_at..=removal_due_at + 2 * TICK_INTERVAL).contains(&removed_at), "{removed_at}");
    assert_eq!(registry.get("i-1").unwrap().state, OperState::Removed);
    assert!(registry.is_empty());
    let expires_at = removed_at + TOMBSTONE_LIFETIME;
    run(&mut registry, last + Duration::from_millis(40_100), expires_at - TICK_INTERVAL);
    assert!(registry.get("i-1").is_some());
    run(&mut registry, expires_at, expires_at + 2 * TICK_INTERVAL);
    assert!(registry.get("i-1").is_none());
    assert_consistent(&registry);
}

#[test]
fn a_heartbeat_clears_suspicion_and_revives_a_removed_server() {
    let mut registry = control_node(1);
    registry.record_heartbeat(millis(0), server(1, 1)).unwrap();
    run(&mut registry, millis(0), millis(8_000));
    assert!(is_suspected(&registry));
    // A repeat of the last heartbeat is no sign of life.
    assert!(!registry.record_heartbeat(millis(8_000), server(1, 1)).unwrap().changed);
    assert!(registry.record_heartbeat(millis(8_000), server(1, 2)).unwrap().changed);
    assert!(!is_suspected(&registry));
    run(&mut registry, millis(8_100), millis(60_000));
    assert_eq!(registry.get("i-1").unwrap().state, OperState::Removed);
    assert!(!registry.record_heartbeat(millis(60_100), server(1, 2)).unwrap().changed);
    assert!(registry.record_heartbeat(millis(60_100), server(1, 3)).unwrap().changed);
    assert_eq!(registry.get("i-1").unwrap().state, OperState::Up);
    // It is suspected again after the usual time.
    run(&mut registry, millis(60_100), millis(70_000));
    assert!(is_suspected(&registry));
    assert_consistent(&registry);
}

#[test]
fn only_the_last_receiver_suspects_a_server() {
    let (mut a, mut b) = (control_node(1), control_node(2));
    a.record_heartbeat(millis(0), server(1, 1)).unwrap();
    synchronize(millis(0), &a, &mut b, 10);
    // From now on the server sends unchanged heartbeats to b only.
    for now in (100..30_000).step_by(100) {
        if now % 1200 == 0 {
            b.record_heartbeat(millis(now), server(1, 1 + now / 1200)).unwrap();
        }
        if now % 300 == 0 {
            send_digest(millis(now), &b, millis(now) - DIGEST_WINDOW, &mut a);
            send_digest(millis(now), &a, millis(now) - DIGEST_WINDOW, &mut b);
        }
        assert!(!a.tick(millis(now)) && !b.tick(millis(now)), "{now}");
    }
    // The heartbeats stop: b received the last one and suspects the server, a leaves that to b.
    let mut suspected_at = Vec::new();
    for now in (30_000..40_000_u64).step_by(100) {
        if now % 300 == 0 {
            send_digest(millis(now), &b, millis(now) - DIGEST_WINDOW, &mut a);
            send_digest(millis(now), &a, millis(now) - DIGEST_WINDOW, &mut b);
        }
        if a.tick(millis(now)) {
            suspected_at.push('a');
        }
        if b.tick(millis(now)) {
            suspected_at.push('b');
        }
    }
    assert_eq!(suspected_at, ['b']);
    assert_eq!(a.version(), 1);
}

#[test]
fn the_receiver_of_heartbeats_refutes_a_false_suspicion() {
    let (mut a, mut b, mut p) = (control_node(1), control_node(2), read_replica(9));
    a.record_heartbeat(millis(0), server(1, 1)).unwrap();
    synchronize(millis(0), &a, &mut b, 10);
    for number in 1..10 {
        b.record_heartbeat(millis(number * 1200), server(1, 1 + number)).unwrap();
    }
    // No digest reaches a.
    run(&mut a, millis(0), millis(10 * 1200));
    assert!(is_suspected(&a));
    synchronize(millis(12_000), &a, &mut p, 10);
    assert!(is_suspected(&p));
    // The proxy has a higher version of a than b has: b asks for it, and refutes it.
    assert!(b.is_behind(&p.vector()));
    synchronize(millis(12_000), &p, &mut b, 10);
    assert!(!is_suspected(&b));
    synchronize(millis(12_000), &b, &mut p, 10);
    synchronize(millis(12_000), &b, &mut a, 10);
    assert!(!is_suspected(&p) && !is_suspected(&a));
}

#[test]
fn other_nodes_suspect_the_servers_of_a_lost_source() {
    let (mut a, mut b, mut c) = (control_node(1), control_node(2), control_node(3));
    a.record_heartbeat(millis(0), server(1, 1)).unwrap();
    synchronize(millis(0), &a, &mut b, 10);
    synchronize(millis(0), &a, &mut c, 10);
    // b and c stay in contact, a is in contact for a while.
    for now in (0..60_000).step_by(100) {
        if now <= 10_000 {
            b.record_contact(millis(now), SourceId(1));
            c.record_contact(millis(now), SourceId(1));
        }
        b.record_contact(millis(now), SourceId(3));
        c.record_contact(millis(now), SourceId(2));
        let suspected_at = b.tick(millis(now)) | c.tick(millis(now));
        if now <= 10_000 + whole_millis(SOURCE_TIMEOUT) {
            assert!(!suspected_at, "a is in contact, so only a may suspect its servers");
        }
        if now == 10_000 + whole_millis(SOURCE_TIMEOUT) + 1000 {
            assert!(is_suspected(&b) && is_suspected(&c));
            let mut all = [b.clone(), c.clone()];
            synchronize_all(millis(now), &mut all);
            assert_eq!(common::all_entries(&all[0]), common::all_entries(&all[1]));
        }
    }
    assert_eq!(b.get("i-1").unwrap().state, OperState::Removed);
    // a returns with its old entry, which is superseded.
    synchronize(millis(60_000), &a, &mut b, 10);
    assert_eq!(b.get("i-1").unwrap().state, OperState::Removed);
    // A heartbeat supersedes the tombstone.
    assert!(b.record_heartbeat(millis(60_000), server(1, 2)).unwrap().changed);
}

#[test]
fn suspicion_never_undoes_an_unknown_draining_state() {
    // a has the server as up with 1; b has it as draining with 2, and unchanged heartbeats up to 9 that a knows by
    // digest alone. The suspicion of a must not supersede the draining state.
    let (mut a, mut b, mut p) = (control_node(1), control_node(2), read_replica(9));
    a.record_heartbeat(millis(0), server(1, 1)).unwrap();
    synchronize(millis(0), &a, &mut b, 10);
    b.record_heartbeat(millis(100), with_state(1, 2, OperState::Draining)).unwrap();
    synchronize(millis(100), &b, &mut p, 10);
    b.record_heartbeat(millis(200), with_state(1, 9, OperState::Draining)).unwrap();
    a.tick(millis(0));
    send_digest(millis(200), &b, millis(0), &mut a);
    run(&mut a, millis(0), millis(10_000));
    assert!(is_suspected(&a));
    synchronize(millis(10_000), &a, &mut p, 10);
    assert_eq!(p.get("i-1").unwrap().state, OperState::Draining);
    let mut all = [a, b, p];
    synchronize_all(millis(10_000), &mut all);
    assert!(all.iter().all(|r| r.get("i-1").unwrap().state == OperState::Draining));
}

#[test]
fn a_paused_process_suspects_nobody_at_once() {
    let mut registry = control_node(1);
    registry.record_heartbeat(millis(0), server(1, 1)).unwrap();
    run(&mut registry, millis(0), millis(1000));
    assert!(!registry.tick(millis(30_000)));
    assert!(!is_suspected(&registry));
    registry.record_heartbeat(millis(30_200), server(1, 20)).unwrap();
    assert_eq!(run(&mut registry, millis(30_100), millis(33_000)), None);
    // Without further heartbeats the server is suspected after the usual time.
    assert!(run(&mut registry, millis(33_000), millis(36_000)).is_some());
}

#[test]
fn read_replicas_suspect_nobody_but_expire_tombstones() {
    let (mut a, mut p) = (control_node(1), read_replica(9));
    a.record_heartbeat(millis(0), server(1, 1)).unwrap();
    a.record_heartbeat(millis(0), server(2, 1)).unwrap();
    a.deregister(millis(0), "i-2").unwrap();
    synchronize(millis(0), &a, &mut p, 10);
    assert_eq!(run(&mut p, millis(0), millis(0) + TOMBSTONE_LIFETIME * 2), None);
    assert!(!is_suspected(&p));
    assert!(p.get("i-2").is_none());
    assert_eq!(p.version(), 0);
    assert_consistent(&p);
}

#[test]
fn a_digest_lists_only_recent_local_heartbeats() {
    let (mut a, mut b) = (control_node(1), control_node(2));
    a.record_heartbeat(millis(0), server(1, 1)).unwrap();
    a.record_heartbeat(millis(1000), server(2, 1)).unwrap();
    a.record_heartbeat(millis(1100), server(2, 2)).unwrap();
    synchronize(millis(1100), &a, &mut b, 10);
    assert!(b.heartbeats_since(millis(0)).is_empty());
    assert_eq!(a.heartbeats_since(millis(500)), [("i-2".to_string(), 2)]);
    let mut all = a.heartbeats_since(millis(0));
    all.sort();
    assert_eq!(all, [("i-1".to_string(), 1), ("i-2".to_string(), 2)]);
    // Servers whose later heartbeats came to another node are left to that node.
    a.record_remote_heartbeats(millis(1200), SourceId(2), [("i-2", 3), ("nobody", 5)]);
    assert_eq!(a.heartbeats_since(millis(500)), []);
    // Older sequence numbers change nothing.
    a.record_remote_heartbeats(millis(1300), SourceId(3), [("i-1", 0), ("i-1", u64::MAX)]);
    assert_eq!(a.heartbeats_since(millis(0)), [("i-1".to_string(), 1)]);
}

#[test]
fn a_refuted_suspicion_does_not_require_replicating_draining_again() {
    // a has the server as draining, with unchanged heartbeats up to 8; b suspects it by what it knows.
    let (mut a, mut b) = (control_node(1), control_node(2));
    a.record_heartbeat(millis(0), with_state(1, 2, OperState::Draining)).unwrap();
    synchronize(millis(0), &a, &mut b, 10);
    assert!(
        a.record_heartbeat(millis(100), with_state(1, 8, OperState::Draining)).unwrap().needs_replication
    );
    run(&mut b, millis(0), millis(10_000));
    assert!(is_suspected(&b));
    let vector = a.vector();
    synchronize(millis(10_000), &a, &mut b, 10);
    let answer = b.missing_entries(&vector, 10);
    a.mark_replicated(&answer.vector);
    a.merge(millis(10_000), answer);
    assert!(!is_suspected(&a));
    assert!(
        !a.record_heartbeat(millis(10_100), with_state(1, 9, OperState::Draining)).unwrap().needs_replication
    );
    // A server that comes up and drains again must be replicated again.
    assert!(!a.record_heartbeat(millis(10_200), server(1, 10)).unwrap().needs_replication);
    assert!(
        a.record_heartbeat(millis(10_300), with_state(1, 11, OperState::Draining)).unwrap().needs_replication
    );
    // The removal must be replicated though the draining state was.
    synchronize(millis(10_300), &a, &mut b, 10);
    a.mark_replicated(&b.vector());
    assert!(
        !a.record_heartbeat(millis(10_400), with_state(1, 12, OperState::Draining))
            .unwrap()
            .needs_replication
    );
    assert!(a.deregister(millis(10_500), "i-1").unwrap().needs_replication);
}
