//! Failure detection: suspicion, digests, lost sources, and the removal of suspected servers.

mod common;

use common::{
    HEARTBEAT_INTERVAL, assert_consistent, control_node, heartbeat_outcome, millis, read_replica, server,
    synchronize, synchronize_all, with_state,
};
use mosshead_registry::{
    OperState, ReceivedHeartbeat, Registry, SOURCE_TIMEOUT, SUSPICION_TIMEOUT, SourceId, TOMBSTONE_LIFETIME,
};
use mosshead_time::{Duration, Instant, whole_millis};

const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The period that a digest covers.
const DIGEST_WINDOW: Duration = Duration::from_millis(1500);

/// Ticks once per [`TICK_INTERVAL`] from one instant to another. Returns when an entry first changed.
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

/// Sends the control node `to` a digest of the heartbeats that `from` has received since `since`.
fn send_digest(now: Instant, from: &Registry, since: Instant, to: &mut Registry) {
    let digest = from.heartbeats_since(since);
    to.record_remote_heartbeats(now, from.local_id(), &digest);
}

fn received(server_id: &str, sequence: u64) -> ReceivedHeartbeat {
    ReceivedHeartbeat { server_id: server_id.to_owned(), sequence }
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
    // A repeat of the last heartbeat does not clear the suspicion.
    assert!(!heartbeat_outcome(&mut registry, millis(8_000), server(1, 1)).changed);
    assert!(heartbeat_outcome(&mut registry, millis(8_000), server(1, 2)).changed);
    assert!(!is_suspected(&registry));
    run(&mut registry, millis(8_100), millis(60_000));
    assert_eq!(registry.get("i-1").unwrap().state, OperState::Removed);
    assert!(!heartbeat_outcome(&mut registry, millis(60_100), server(1, 2)).changed);
    assert!(heartbeat_outcome(&mut registry, millis(60_100), server(1, 3)).changed);
    assert_eq!(registry.get("i-1").unwrap().state, OperState::Up);
    // The server is suspected again after the usual time.
    run(&mut registry, millis(60_100), millis(70_000));
    assert!(is_suspected(&registry));
    assert_consistent(&registry);
}

#[test]
fn only_the_last_receiver_suspects_a_server() {
    let (mut first, mut second) = (control_node(1), control_node(2));
    first.record_heartbeat(millis(0), server(1, 1)).unwrap();
    synchronize(millis(0), &first, &mut second, 10);
    // From now on the server sends unchanged heartbeats to the second node only.
    for now in (100..30_000).step_by(100) {
        if now % 1200 == 0 {
            second.record_heartbeat(millis(now), server(1, 1 + now / 1200)).unwrap();
        }
        if now % 300 == 0 {
            send_digest(millis(now), &second, millis(now) - DIGEST_WINDOW, &mut first);
            send_digest(millis(now), &first, millis(now) - DIGEST_WINDOW, &mut second);
        }
        assert!(!first.tick(millis(now)) && !second.tick(millis(now)), "{now}");
    }
    // The heartbeats stop. The second node received the last one and suspects the server; the first node
    // leaves that to it.
    let mut suspecting = Vec::new();
    for now in (30_000..40_000_u64).step_by(100) {
        if now % 300 == 0 {
            send_digest(millis(now), &second, millis(now) - DIGEST_WINDOW, &mut first);
            send_digest(millis(now), &first, millis(now) - DIGEST_WINDOW, &mut second);
        }
        if first.tick(millis(now)) {
            suspecting.push("first");
        }
        if second.tick(millis(now)) {
            suspecting.push("second");
        }
    }
    assert_eq!(suspecting, ["second"]);
    assert_eq!(first.version(), 1);
}

#[test]
fn the_receiver_of_heartbeats_refutes_a_false_suspicion() {
    let (mut first, mut second, mut proxy) = (control_node(1), control_node(2), read_replica(9));
    first.record_heartbeat(millis(0), server(1, 1)).unwrap();
    synchronize(millis(0), &first, &mut second, 10);
    for number in 1..10 {
        second.record_heartbeat(millis(number * 1200), server(1, 1 + number)).unwrap();
    }
    // No digest reaches the first node.
    run(&mut first, millis(0), millis(10 * 1200));
    assert!(is_suspected(&first));
    synchronize(millis(12_000), &first, &mut proxy, 10);
    assert!(is_suspected(&proxy));
    // The proxy has a higher version of the first node than the second node has. The second node requests the
    // entry and refutes the suspicion.
    assert!(second.is_behind(&proxy.vector()));
    synchronize(millis(12_000), &proxy, &mut second, 10);
    assert!(!is_suspected(&second));
    synchronize(millis(12_000), &second, &mut proxy, 10);
    synchronize(millis(12_000), &second, &mut first, 10);
    assert!(!is_suspected(&proxy) && !is_suspected(&first));
}

#[test]
fn other_nodes_suspect_the_servers_of_a_lost_source() {
    let (mut first, mut second, mut third) = (control_node(1), control_node(2), control_node(3));
    first.record_heartbeat(millis(0), server(1, 1)).unwrap();
    synchronize(millis(0), &first, &mut second, 10);
    synchronize(millis(0), &first, &mut third, 10);
    // The second and third node stay in contact; the first one loses contact after ten seconds.
    for now in (0..60_000).step_by(100) {
        if now <= 10_000 {
            second.record_contact(millis(now), SourceId(1));
            third.record_contact(millis(now), SourceId(1));
        }
        second.record_contact(millis(now), SourceId(3));
        third.record_contact(millis(now), SourceId(2));
        let has_changed = second.tick(millis(now)) | third.tick(millis(now));
        if now <= 10_000 + whole_millis(SOURCE_TIMEOUT) {
            assert!(!has_changed, "the first node is in contact, so only it may suspect its servers");
        }
        if now == 10_000 + whole_millis(SOURCE_TIMEOUT) + 1000 {
            assert!(is_suspected(&second) && is_suspected(&third));
            let mut all = [second.clone(), third.clone()];
            synchronize_all(millis(now), &mut all);
            assert_eq!(common::all_entries(&all[0]), common::all_entries(&all[1]));
        }
    }
    assert_eq!(second.get("i-1").unwrap().state, OperState::Removed);
    // The first node returns with its old entry, which is superseded.
    synchronize(millis(60_000), &first, &mut second, 10);
    assert_eq!(second.get("i-1").unwrap().state, OperState::Removed);
    // A heartbeat supersedes the tombstone.
    assert!(heartbeat_outcome(&mut second, millis(60_000), server(1, 2)).changed);
}

#[test]
fn suspicion_never_reverts_an_unknown_draining_state() {
    // The first node knows the server as up with sequence 1. The second knows it as draining with sequence 2,
    // and has received unchanged heartbeats up to 9, which the first knows only from a digest. The suspicion
    // published by the first must not supersede the draining state.
    let (mut first, mut second, mut proxy) = (control_node(1), control_node(2), read_replica(9));
    first.record_heartbeat(millis(0), server(1, 1)).unwrap();
    synchronize(millis(0), &first, &mut second, 10);
    second.record_heartbeat(millis(100), with_state(1, 2, OperState::Draining)).unwrap();
    synchronize(millis(100), &second, &mut proxy, 10);
    second.record_heartbeat(millis(200), with_state(1, 9, OperState::Draining)).unwrap();
    first.tick(millis(0));
    send_digest(millis(200), &second, millis(0), &mut first);
    run(&mut first, millis(0), millis(10_000));
    assert!(is_suspected(&first));
    synchronize(millis(10_000), &first, &mut proxy, 10);
    assert_eq!(proxy.get("i-1").unwrap().state, OperState::Draining);
    let mut all = [first, second, proxy];
    synchronize_all(millis(10_000), &mut all);
    assert!(all.iter().all(|registry| registry.get("i-1").unwrap().state == OperState::Draining));
}

#[test]
fn a_paused_process_suspects_no_server_at_once() {
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
fn read_replicas_suspect_no_server_but_expire_tombstones() {
    let (mut node, mut proxy) = (control_node(1), read_replica(9));
    node.record_heartbeat(millis(0), server(1, 1)).unwrap();
    node.record_heartbeat(millis(0), server(2, 1)).unwrap();
    node.deregister(millis(0), "i-2").unwrap();
    synchronize(millis(0), &node, &mut proxy, 10);
    assert_eq!(run(&mut proxy, millis(0), millis(0) + TOMBSTONE_LIFETIME * 2), None);
    assert!(!is_suspected(&proxy));
    assert!(proxy.get("i-2").is_none());
    assert_eq!(proxy.version(), 0);
    assert_consistent(&proxy);
}

#[test]
fn a_digest_lists_only_recent_local_heartbeats() {
    let (mut first, mut second) = (control_node(1), control_node(2));
    first.record_heartbeat(millis(0), server(1, 1)).unwrap();
    first.record_heartbeat(millis(1000), server(2, 1)).unwrap();
    first.record_heartbeat(millis(1100), server(2, 2)).unwrap();
    synchronize(millis(1100), &first, &mut second, 10);
    assert!(second.heartbeats_since(millis(0)).is_empty());
    assert_eq!(first.heartbeats_since(millis(500)), [received("i-2", 2)]);
    let mut all = first.heartbeats_since(millis(0));
    all.sort();
    assert_eq!(all, [received("i-1", 1), received("i-2", 2)]);
    // Servers whose later heartbeats another node received are left to that node.
    first.record_remote_heartbeats(millis(1200), SourceId(2), &[received("i-2", 3), received("nobody", 5)]);
    assert_eq!(first.heartbeats_since(millis(500)), []);
    // Older sequence numbers change nothing.
    first.record_remote_heartbeats(
        millis(1300),
        SourceId(3),
        &[received("i-1", 0), received("i-1", u64::MAX)],
    );
    assert_eq!(first.heartbeats_since(millis(0)), [received("i-1", 1)]);
}

#[test]
fn a_refuted_suspicion_does_not_require_replicating_draining_again() {
    // The first node knows the server as draining, with unchanged heartbeats up to 8. The second node
    // suspects it.
    let (mut first, mut second) = (control_node(1), control_node(2));
    first.record_heartbeat(millis(0), with_state(1, 2, OperState::Draining)).unwrap();
    synchronize(millis(0), &first, &mut second, 10);
    assert!(
        heartbeat_outcome(&mut first, millis(100), with_state(1, 8, OperState::Draining)).needs_replication
    );
    run(&mut second, millis(0), millis(10_000));
    assert!(is_suspected(&second));
    let vector = first.vector();
    synchronize(millis(10_000), &first, &mut second, 10);
    let response = second.missing_entries(&vector, 10);
    first.mark_replicated(&response.vector);
    first.merge(millis(10_000), response);
    assert!(!is_suspected(&first));
    assert!(
        !heartbeat_outcome(&mut first, millis(10_100), with_state(1, 9, OperState::Draining))
            .needs_replication
    );
    // If the server comes up and drains again, that must be replicated again.
    assert!(!heartbeat_outcome(&mut first, millis(10_200), server(1, 10)).needs_replication);
    assert!(
        heartbeat_outcome(&mut first, millis(10_300), with_state(1, 11, OperState::Draining))
            .needs_replication
    );
    // The removal must be replicated although the draining state was.
    synchronize(millis(10_300), &first, &mut second, 10);
    first.mark_replicated(&second.vector());
    assert!(
        !heartbeat_outcome(&mut first, millis(10_400), with_state(1, 12, OperState::Draining))
            .needs_replication
    );
    assert!(first.deregister(millis(10_500), "i-1").unwrap().needs_replication);
}
