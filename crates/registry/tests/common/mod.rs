//! What the tests share.
#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddrV4};

use mosshead_registry::{Entry, Model, OperState, Registry, Server, SourceId, Stage};
use mosshead_time::{Duration, Instant};
use rand_core::RngCore;

/// The heartbeat interval of all servers, in milliseconds.
pub(crate) const KEEPALIVE: u64 = 1200;

/// The instant so many milliseconds after the origin of the clock.
pub(crate) fn millis(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

pub(crate) fn core(number: u64) -> Registry {
    Registry::new(SourceId(number), Duration::from_millis(KEEPALIVE))
}

pub(crate) fn read_replica(number: u64) -> Registry {
    Registry::read_replica(SourceId(number), Duration::from_millis(KEEPALIVE))
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

/// Gives `to` all that it lacks, in pieces.
pub(crate) fn pull(now: u64, from: &Registry, to: &mut Registry, most: usize) {
    for _ in 0..100_000 {
        let delta = from.missing_entries(&to.vector(), most);
        let more = delta.is_truncated;
        to.merge(millis(now), delta);
        if !more {
            return;
        }
    }
    panic!("a pull that doesn't end");
}

/// The same between two of a group.
pub(crate) fn pull_within(now: u64, all: &mut [Registry], from: usize, to: usize, most: usize) {
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
    pull(now, from, to, most);
}

/// Everything that a register says, tombstones too, in one order.
pub(crate) fn said(register: &Registry) -> Vec<Entry> {
    let mut entries: Vec<Entry> = register.entries().cloned().collect();
    entries.sort_by(|a, b| a.server.id.cmp(&b.server.id));
    entries
}

/// All give all, until nobody has anything new.
pub(crate) fn settle(now: u64, all: &mut [Registry]) {
    for _ in 0..50 {
        let mut changed = false;
        for from in 0..all.len() {
            for to in 0..all.len() {
                if from != to {
                    let delta = all[from].missing_entries(&all[to].vector(), usize::MAX);
                    assert!(!delta.is_truncated);
                    changed |= all[to].merge(millis(now), delta);
                }
            }
        }
        if !changed {
            return;
        }
    }
    panic!("the registers don't come to rest");
}

/// The indices agree with the entries.
pub(crate) fn check(register: &Registry) {
    let entries = said(register);
    let live = entries.iter().filter(|e| e.server.state != OperState::Removed).count();
    assert_eq!(register.len(), live);
    assert_eq!(register.servers().count(), live);
    for entry in &entries {
        let server = &entry.server;
        assert_eq!(register.get(&server.id), Some(server));
        let is_live = server.state != OperState::Removed;
        assert_eq!(register.servers_of_service(&server.service).any(|s| s == server), is_live);
        assert_eq!(
            register.servers_at_address(server.address).any(|s| s == server),
            is_live && !server.is_suspected
        );
    }
}

pub(crate) fn below(rng: &mut impl RngCore, bound: u64) -> u64 {
    rng.next_u64() % bound.max(1)
}
