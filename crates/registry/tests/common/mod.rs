//! Helpers shared by the tests.
#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddrV4};

use mosshead_registry::{Entry, HeartbeatOutcome, Model, OperState, Registry, Server, SourceId, Stage};
use mosshead_time::{Duration, Instant};
use rand_core::RngCore;

/// The heartbeat interval of all servers.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);

/// Returns the instant this many milliseconds after the origin of the clock.
pub(crate) fn millis(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Iterates over the instants from the origin of the clock to `end` (exclusive) in steps of `step`.
pub(crate) fn instants_until(end: Instant, step: Duration) -> impl Iterator<Item = Instant> {
    std::iter::successors(Some(Instant::ORIGIN), move |now| Some(*now + step))
        .take_while(move |now| *now < end)
}

pub(crate) fn control_node(number: u64) -> Registry {
    Registry::new(SourceId(number), HEARTBEAT_INTERVAL)
}

pub(crate) fn read_replica(number: u64) -> Registry {
    Registry::read_replica(SourceId(number), HEARTBEAT_INTERVAL)
}

pub(crate) fn address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, number), 8080)
}

pub(crate) fn server(number: u8, sequence: u64) -> Server {
    Server {
        id: format!("i-{number}"),
        service: format!("service-{}", number % 2),
        address: address(number),
        zone: "east-a".into(),
        software_revision: "v1".into(),
        slots: 64,
        state: OperState::Up,
        is_suspected: false,
        warmup_remaining: Duration::ZERO,
        stage: if number.is_multiple_of(2) { Some(Stage::Prefill) } else { None },
        models: vec![Model { name: "m".into(), revision: 1, adapters: vec!["a".into()] }],
        sequence,
    }
}

pub(crate) fn with_state(number: u8, sequence: u64, state: OperState) -> Server {
    Server { state, ..server(number, sequence) }
}

/// Records a heartbeat that the registry accepts. Returns its outcome.
pub(crate) fn heartbeat_outcome(registry: &mut Registry, now: Instant, server: Server) -> HeartbeatOutcome {
    registry.record_heartbeat(now, server).expect("the server is valid and the registry is not full")
}

/// Sends `to` all entries that it is missing, with a maximum of `max_entries` in each delta.
pub(crate) fn synchronize(now: Instant, from: &Registry, to: &mut Registry, max_entries: usize) {
    for _ in 0..100_000 {
        let delta = from.missing_entries(&to.vector(), max_entries);
        let is_truncated = delta.is_truncated;
        to.merge(now, delta);
        if !is_truncated {
            return;
        }
    }
    panic!("truncated deltas follow each other without end");
}

/// Sends one registry of a group all entries that it is missing from another one of the group.
pub(crate) fn synchronize_pair(
    now: Instant,
    all: &mut [Registry],
    from: usize,
    to: usize,
    max_entries: usize,
) {
    let (from, to) = match from < to {
        true => {
            let (left, right) = all.split_at_mut(to);
            (&left[from], &mut right[0])
        }
        false => {
            let (left, right) = all.split_at_mut(from);
            (&right[0], &mut left[to])
        }
    };
    synchronize(now, from, to, max_entries);
}

/// Returns all entries of a registry, including tombstones, ordered by id.
pub(crate) fn all_entries(registry: &Registry) -> Vec<Entry> {
    let mut entries: Vec<Entry> = registry.entries().cloned().collect();
    entries.sort_by(|a, b| a.server.id.cmp(&b.server.id));
    entries
}

/// Exchanges deltas between all registries until nothing changes.
pub(crate) fn synchronize_all(now: Instant, all: &mut [Registry]) {
    for _ in 0..50 {
        let mut changed = false;
        for from in 0..all.len() {
            for to in 0..all.len() {
                if from != to {
                    let delta = all[from].missing_entries(&all[to].vector(), usize::MAX);
                    assert!(!delta.is_truncated);
                    changed |= all[to].merge(now, delta);
                }
            }
        }
        if !changed {
            return;
        }
    }
    panic!("the registries do not converge");
}

/// Asserts that the indexes are consistent with the entries.
pub(crate) fn assert_consistent(registry: &Registry) {
    let entries = all_entries(registry);
    let live = entries.iter().filter(|entry| entry.server.state != OperState::Removed).count();
    assert_eq!(registry.len(), live);
    assert_eq!(registry.servers().count(), live);
    for entry in &entries {
        let server = &entry.server;
        assert_eq!(registry.get(&server.id), Some(server));
        let is_live = server.state != OperState::Removed;
        assert_eq!(registry.servers_of_service(&server.service).any(|found| found == server), is_live);
        assert_eq!(
            registry.servers_at_address(server.address).any(|found| found == server),
            is_live && !server.is_suspected
        );
    }
}

pub(crate) fn random_below(rng: &mut impl RngCore, bound: u64) -> u64 {
    rng.next_u64() % bound.max(1)
}
