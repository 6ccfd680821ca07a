//! Bytes that nobody sound has sent.

mod cluster;

use cluster::{Cluster, FLEET, address};
use mosshead_membership::{MAX_DATAGRAM_LEN, MAX_NAME_LEN, MAX_ZONE_LEN, Membership, Peer, Settings};
use mosshead_time::Instant;
use quickcheck::{Gen, QuickCheck, TestResult, quickcheck};
use rand_core::SeedableRng;
use rand_pcg::Pcg64;

/// A member that has others, a suspect, a dead one and one that left.
fn experienced() -> Cluster {
    let mut cluster = Cluster::new(1, 8, Settings::default());
    cluster.run(5_000);
    cluster.kill(7);
    cluster.run(5_000);
    cluster.leave(6, 1_000);
    cluster.freeze(5);
    cluster.run(1_200);
    cluster
}

/// One datagram of each kind that comes up in a busy minute.
fn sound_datagrams() -> Vec<Vec<u8>> {
    let settings = Settings { fleet: FLEET, ..Settings::default() };
    let peer = |node: usize, name: &str| Peer {
        name: name.to_owned(),
        instance_id: node as u64 + 1,
        address: address(node),
        is_control_node: node == 0,
        zone: "zone".to_owned(),
    };
    let make = |node, name, seeds| {
        Membership::new(peer(node, name), seeds, settings.clone(), Pcg64::seed_from_u64(node as u64))
            .expect("sound")
    };
    let mut members = [make(0, "a", vec![]), make(1, "b", vec![address(0)]), make(2, "c", vec![address(0)])];
    let mut kept = Vec::new();
    for now in (0..15_000).step_by(25) {
        // The third is silent from some time on, so that the others ask each other and suspect it.
        let running = if now < 2_000 { 3 } else { 2 };
        let mut under_way = Vec::new();
        for (node, member) in members.iter_mut().enumerate().take(running) {
            under_way.extend(
                member
                    .tick(Instant::from_millis(now))
                    .into_iter()
                    .map(|sent| (address(node), sent.destination, sent.payload)),
            );
        }
        for _ in 0..6 {
            for (from, to, bytes) in std::mem::take(&mut under_way) {
                kept.push(bytes.clone());
                let target = (0..running).find(|node| address(*node) == to);
                let Some(node) = target else { continue };
                let out = members[node].receive(Instant::from_millis(now), from, &bytes);
                under_way.extend(out.into_iter().map(|sent| (address(node), sent.destination, sent.payload)));
            }
        }
    }
    kept.extend(members[0].leave(Instant::from_millis(15_000)).into_iter().map(|sent| sent.payload));
    kept
}

fn feed(cluster: &mut Cluster, datagrams: &[Vec<u8>]) -> usize {
    let now = cluster.now;
    let membership = cluster.nodes[0].membership.as_mut().expect("runs");
    let mut answers = 0;
    for (turn, bytes) in datagrams.iter().enumerate() {
        let mut out = membership.receive(Instant::from_millis(now + turn as u64), address(turn % 9), bytes);
        out.extend(membership.tick(Instant::from_millis(now + turn as u64)));
        assert!(out.iter().all(|sent| !sent.payload.is_empty() && sent.payload.len() <= MAX_DATAGRAM_LEN));
        answers += out.len();
    }
    answers
}

quickcheck! {
    fn random_bytes_are_dropped(datagrams: Vec<Vec<u8>>) -> bool {
        let mut cluster = experienced();
        let members: Vec<String> = known(&cluster);
        feed(&mut cluster, &datagrams);
        known(&cluster) == members
    }
}

fn known(cluster: &Cluster) -> Vec<String> {
    cluster.nodes[0].membership.as_ref().expect("runs").members().map(|(peer, _)| peer.name.clone()).collect()
}

#[test]
fn spoilt_datagrams_never_panic() {
    fn spoil(changes: Vec<(usize, usize, u8)>) -> TestResult {
        let sound = sound_datagrams();
        assert!(sound.len() > 100);
        let mut cluster = experienced();
        let spoilt: Vec<Vec<u8>> = changes
            .iter()
            .map(|(which, at, byte)| {
                let mut bytes = sound[which % sound.len()].clone();
                let at = at % bytes.len();
                match byte % 4 {
                    0 => bytes.truncate(at),
                    1 => bytes.insert(at, *byte),
                    2 => {
                        bytes.remove(at);
                    }
                    _ => bytes[at] = *byte,
                }
                bytes
            })
            .collect();
        feed(&mut cluster, &spoilt);
        // It still works.
        cluster.nodes[0].membership.as_mut().expect("runs").drain_events();
        cluster.run(1_000);
        TestResult::passed()
    }
    QuickCheck::new()
        .rng(Gen::new(200))
        .tests(100)
        .quickcheck(spoil as fn(Vec<(usize, usize, u8)>) -> TestResult);
}

#[test]
fn every_byte_of_a_datagram_may_be_any_other() {
    let mut cluster = experienced();
    let mut sound = sound_datagrams();
    sound.sort_by_key(Vec::len);
    sound.dedup_by_key(|bytes| bytes.len());
    for bytes in sound {
        for at in 0..bytes.len() {
            let spoilt: Vec<Vec<u8>> =
                [0x00, 0x1b, 0x3b, 0x5b, 0x5f, 0x7b, 0x7f, 0x9b, 0x9f, 0xbf, 0xfb, 0xff]
                    .into_iter()
                    .map(|byte| {
                        let mut spoilt = bytes.clone();
                        spoilt[at] = byte;
                        spoilt
                    })
                    .collect();
            feed(&mut cluster, &spoilt);
        }
    }
}

#[test]
fn what_is_too_long_or_of_another_fleet_is_not_answered() {
    let mut cluster = Cluster::new(1, 1, Settings::default());
    cluster.run(400);
    let mut other = Cluster::empty(2, Settings::default());
    let mut bytes = other.stranger(5);
    let membership = cluster.nodes[0].membership.as_mut().expect("runs");
    assert!(!membership.receive(Instant::from_millis(400), address(5), &bytes).is_empty());
    bytes.resize(MAX_DATAGRAM_LEN + 1, 0);
    assert!(membership.receive(Instant::from_millis(400), address(5), &bytes).is_empty());
    other.settings.fleet += 1;
    assert!(membership.receive(Instant::from_millis(400), address(6), &other.stranger(6)).is_empty());
    assert_eq!(membership.members().count(), 2);
}

#[test]
fn times_of_all_sizes_are_borne() {
    let mut cluster = experienced();
    let membership = cluster.nodes[0].membership.as_mut().expect("runs");
    for now in [0, 1, u64::MAX / 2, 5, u64::MAX - 1, u64::MAX, 0] {
        membership.tick(Instant::from_millis(now));
        membership.receive(Instant::from_millis(now), address(1), &[]);
        membership.next_wake(Instant::from_millis(now));
    }
}

#[test]
fn settings_out_of_bounds_are_borne() {
    for (small, large) in [(0, 0), (0, u64::MAX), (u64::MAX, 0), (u64::MAX, u64::MAX)] {
        let settings = Settings {
            fleet: FLEET,
            probe_every_ms: small,
            probe_timeout_ms: large,
            helpers: large as usize,
            suspect_per_decade_ms: large,
            suspect_min_ms: large,
            suspect_max_ms: small,
            fan_out: small as usize,
            retransmit: large as u32,
            ask_every_ms: small,
            reach_every_ms: large,
            sync_quiet_ms: large,
            sync_anyway_ms: small,
            pages: small as usize,
            remember_ms: large,
            members_max: small as usize,
            ..Settings::default()
        };
        let mut cluster = Cluster::new(1, 4, settings);
        cluster.run(200);
        cluster.kill(3);
        cluster.run(200);
    }
}

#[test]
fn the_longest_names_fit() {
    let mut cluster = Cluster::empty(1, Settings::default());
    for node in 0..60 {
        cluster.add();
        let peer = &mut cluster.nodes[node].peer;
        peer.name = format!("{node:0width$}", width = MAX_NAME_LEN);
        peer.zone = "z".repeat(MAX_ZONE_LEN);
        peer.address.set_port(65_535);
    }
    cluster.moved();
    cluster.seeds = (0..3).map(|node| cluster.nodes[node].peer.address).collect();
    (0..60).for_each(|node| cluster.start(node));
    cluster.settle(10_000).expect("agree");
    cluster.loss = 300;
    (30..40).for_each(|node| cluster.kill(node));
    cluster.run(20_000);
}
