//! Losses of memory: hand-over by pullers, and what stays bounded over many lives.

mod common;

use common::{
    KEEPALIVE, check, core, millis, pull, pull_within, read_replica, said, server, settle, with_state,
};
use mosshead_registry::{
    Delta, Entry, MAX_TOMBSTONES, OperState, Registry, Server, SourceId, TOMBSTONE_LIFETIME, VersionVector,
};
use mosshead_time::{Duration, whole_millis};

#[test]
fn proxies_hand_over_after_the_loss_of_all_cores() {
    let mut cores = vec![core(1), core(2), core(3)];
    let mut proxies = vec![read_replica(100), read_replica(101)];
    for number in 0..30 {
        cores[number as usize % 3].record_heartbeat(millis(0), server(number, 1));
    }
    cores[0].record_heartbeat(millis(1), with_state(0, 2, OperState::Draining));
    cores[1].deregister(millis(1), "i-1");
    settle(1, &mut cores);
    for proxy in &mut proxies {
        pull(1, &cores[2], proxy, 100);
    }
    let before = said(&proxies[0]);
    // All lives end. The new ones know nothing, and the pullers' vectors tell them so.
    let mut cores = vec![core(4), core(5), core(6)];
    for (number, core) in cores.iter_mut().enumerate() {
        let proxy = &mut proxies[number % 2];
        assert!(core.has_unknown_source(&proxy.vector()));
        assert!(core.missing_entries(&proxy.vector(), 100).is_empty());
        // The vector that the core shows is that of the whole hand-over.
        let shown = core.vector();
        let mut most = 7;
        loop {
            let delta = proxy.missing_entries(&shown, most);
            let more = delta.is_truncated;
            core.merge(millis(1000), delta);
            if !more {
                break;
            }
            most += 10;
        }
        assert!(!core.has_unknown_source(&proxy.vector()));
        assert_eq!(said(core), before);
    }
    // Original sources and versions: nothing goes round twice.
    for from in &cores {
        for proxy in &proxies {
            assert!(from.missing_entries(&proxy.vector(), 100).is_empty());
        }
    }
    // A late beat of the time before brings nobody back.
    assert!(cores[0].record_heartbeat(millis(1000), server(0, 1)).is_outdated);
    assert!(cores[1].record_heartbeat(millis(1000), server(1, 3)).is_outdated);
    // Those that beat stay, without a version; the others are marked by the new ones after a while.
    for now in (1000..8000).step_by(100) {
        for number in 0..3 {
            let peer = SourceId(4 + (number + 1) % 3);
            cores[number as usize].record_contact(millis(now), peer);
        }
        if now % 1000 == 0 {
            for number in 2..20 {
                let heard = cores[0].record_heartbeat(millis(now), server(number, 5 + now / 1000));
                assert!(!heard.changed, "{now} {number}");
            }
        }
        if now % 300 == 0 {
            let alive = cores[0].heartbeats_since(millis(0));
            for other in &mut cores[1..] {
                other.record_remote_heartbeats(
                    millis(now),
                    SourceId(4),
                    alive.iter().map(|(i, s)| (i.as_str(), *s)),
                );
            }
        }
        for core in &mut cores {
            core.tick(millis(now));
        }
    }
    settle(8000, &mut cores);
    for core in &cores {
        check(core);
        for number in 2..30 {
            assert_eq!(core.get(&format!("i-{number}")).unwrap().is_suspected, number >= 20, "{number}");
        }
    }
}

#[test]
fn a_change_that_died_with_its_core_comes_back_by_a_proxy() {
    let (mut a, mut b, mut p) = (core(1), core(2), read_replica(9));
    a.record_heartbeat(millis(0), server(1, 1));
    pull(0, &a, &mut b, 10);
    a.record_heartbeat(millis(0), server(2, 1));
    pull(0, &a, &mut p, 10);
    drop(a);
    assert!(!b.has_unknown_source(&p.vector()));
    assert!(b.is_behind(&p.vector()));
    pull(0, &p, &mut b, 10);
    assert!(!b.is_behind(&p.vector()));
    assert_eq!(said(&b), said(&p));
}

#[test]
fn a_restarted_core_gets_all_from_another_and_numbers_anew() {
    let (mut a, mut b) = (core(1), core(2));
    for number in 0..20 {
        a.record_heartbeat(millis(0), server(number, 1));
    }
    pull(0, &a, &mut b, 3);
    let mut again = core(3);
    pull(0, &b, &mut again, 3);
    assert_eq!(said(&again), said(&a));
    again.record_heartbeat(millis(1), Server { slots: 1, ..server(1, 2) });
    pull(1, &again, &mut b, 3);
    assert_eq!(said(&again), said(&b));
    assert_eq!(b.vector().get(SourceId(3)), 1);
}

/// Thousands of lives of three cores, one ending each second, each with a change or two: the vector stays small.
#[test]
fn the_vector_stays_small_over_thousands_of_lives() {
    let mut cores: Vec<Registry> = (1..=3).map(core).collect();
    let mut proxy = read_replica(u64::MAX);
    let mut sequence = 0;
    let mut most = 0;
    for life in 0..3000_u64 {
        let now = life * 1000;
        let at = (life % 3) as usize;
        cores[at] = core(4 + life);
        pull_within(now, &mut cores, (at + 1) % 3, at, 50);
        sequence += 1;
        for number in 0..60_u8 {
            // One server changes in each life, the others are steady at any core.
            let to = usize::from(number) % 3;
            let slots = 1 + (life.saturating_sub(u64::from(number)) / 60) as u32;
            cores[to].record_heartbeat(millis(now), Server { slots, ..server(number, sequence) });
        }
        for from in 0..3 {
            for to in 0..3 {
                if from != to {
                    let peer = cores[from].local_id();
                    cores[to].record_contact(millis(now), peer);
                    pull_within(now, &mut cores, from, to, 50);
                }
            }
        }
        pull(now, &cores[at], &mut proxy, 50);
        for core in &mut cores {
            core.tick(millis(now));
        }
        proxy.tick(millis(now));
        for register in cores.iter().chain([&proxy]) {
            most = most.max(register.vector().len());
        }
    }
    assert!(most <= 16 + 8, "{most}");
    settle(3_000_000, &mut cores);
    check(&proxy);
    assert_eq!(proxy.len(), 60);
    // Once the lives have stopped, what is left over goes.
    for now in (3_000_000..3_000_000 + 3 * whole_millis(TOMBSTONE_LIFETIME)).step_by(1000) {
        sequence += 1;
        for number in 0..60_u8 {
            let server = Server { slots: 9999, ..server(number, sequence) };
            cores[usize::from(number) % 3].record_heartbeat(millis(now), server);
        }
        for from in 0..3 {
            for to in 0..3 {
                if from != to {
                    let peer = cores[from].local_id();
                    let alive = cores[from].heartbeats_since(millis(now) - Duration::from_millis(1500));
                    cores[to].record_remote_heartbeats(
                        millis(now),
                        peer,
                        alive.iter().map(|(i, s)| (i.as_str(), *s)),
                    );
                    pull_within(now, &mut cores, from, to, 50);
                }
            }
        }
        for core in &mut cores {
            core.tick(millis(now));
        }
    }
    for core in &cores {
        assert_eq!(core.vector().len(), 3);
        assert!(core.servers().all(|server| !server.is_suspected));
    }
}

#[test]
fn tombstones_are_bounded() {
    let mut register = core(1);
    let count = MAX_TOMBSTONES as u64 + 500;
    for number in 0..count {
        register.deregister(millis(number), &number.to_string());
    }
    assert!(register.get("0").is_none());
    assert!(register.get(&(count - 1).to_string()).is_some());
    assert_eq!(register.entries().count(), MAX_TOMBSTONES);
    let mut other = read_replica(2);
    pull(count, &register, &mut other, 1000);
    assert_eq!(other.entries().count(), MAX_TOMBSTONES);
    register.tick(millis(count + whole_millis(TOMBSTONE_LIFETIME)));
    other.tick(millis(count + whole_millis(TOMBSTONE_LIFETIME)));
    assert_eq!(register.entries().count() + other.entries().count(), 0);
    check(&register);
}

#[test]
fn sources_without_entries_are_not_named() {
    let mut register = core(1);
    let vector = VersionVector((10..4000).map(|n| (SourceId(n), n)).collect());
    register.merge(millis(0), Delta { vector: vector.clone(), ..Delta::default() });
    for source in 5000..9000 {
        register.record_contact(millis(source), SourceId(source));
    }
    assert!(register.vector().is_empty());
    // One's own is no exception, and goes on counting.
    register.record_heartbeat(millis(0), server(1, 1));
    let mut other = core(2);
    pull(0, &register, &mut other, 10);
    assert_eq!(other.vector().len(), 1);
    other.record_heartbeat(millis(0), Server { slots: 3, ..server(1, 2) });
    assert_eq!(other.vector(), VersionVector([(SourceId(2), 1)].into()));
    pull(0, &other, &mut register, 10);
    assert_eq!(register.vector(), other.vector());
    assert!(register.is_fully_replicated());
    register.record_heartbeat(millis(0), Server { slots: 4, ..server(1, 3) });
    assert!(!register.is_fully_replicated());
    pull(0, &register, &mut other, 10);
    assert_eq!(said(&other), said(&register));
    assert_eq!(other.vector(), VersionVector([(SourceId(1), 2)].into()));
}

#[test]
fn nobody_else_speaks_for_this_source() {
    let mut register = core(1);
    register.record_heartbeat(millis(0), server(1, 1));
    let entry = Entry { server: server(2, 1), source: SourceId(1), version: 50 };
    let vector = VersionVector([(SourceId(1), 70)].into());
    assert!(
        !register
            .merge(millis(0), Delta { entries: vec![entry], vector: vector.clone(), ..Delta::default() })
    );
    assert_eq!(register.vector().get(SourceId(1)), 1);
    assert!(!register.has_unknown_source(&vector) && !register.is_behind(&vector));
    register.mark_replicated(&vector);
    assert!(register.is_fully_replicated());
    assert!(register.record_heartbeat(millis(1), with_state(1, 2, OperState::Draining)).needs_replication);
}

#[test]
fn ten_thousand_servers() {
    let named = |number: u64, sequence| Server { id: format!("i-{number}"), ..server(1, sequence) };
    let placed = |number: u64, sequence| Server {
        address: std::net::SocketAddrV4::new(std::net::Ipv4Addr::from(0x0a00_0000 + number as u32), 80),
        ..named(number, sequence)
    };
    let mut register = core(1);
    let mut other = core(2);
    for sequence in 1..=10 {
        for number in 0..10_000 {
            let heard = register.record_heartbeat(millis(sequence * KEEPALIVE), placed(number, sequence));
            assert_eq!(heard.changed, sequence == 1);
        }
        assert!(!register.tick(millis(sequence * KEEPALIVE)));
    }
    pull(0, &register, &mut other, 1000);
    assert_eq!(other.len(), 10_000);
    assert_eq!(register.version(), 10_000);
    assert_eq!(other.servers_of_service("service-1").count(), 10_000);
}
