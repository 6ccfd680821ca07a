//! Malformed datagrams, and out-of-bounds instants and settings.

mod cluster;

use cluster::{Cluster, FLEET_ID, address, millis};
use mosshead_membership::{MAX_DATAGRAM_LEN, MAX_NAME_LEN, MAX_ZONE_LEN, Membership, Peer, Settings};
use mosshead_time::Instant;
use quickcheck::{Gen, QuickCheck, TestResult, quickcheck};
use rand_core::SeedableRng;
use rand_pcg::Pcg64;

/// A cluster whose first member knows live members, a suspect, a dead member and one that left.
fn cluster_with_history() -> Cluster {
    let mut cluster = Cluster::new(1, 8, Settings::default());
    cluster.run(millis(5_000));
    cluster.kill(7);
    cluster.run(millis(5_000));
    cluster.leave(6, millis(1_000));
    cluster.suspend(5);
    cluster.run(millis(1_200));
    cluster
}

/// The datagrams that three members send each other, with all kinds of messages.
fn valid_datagrams() -> Vec<Vec<u8>> {
    let settings = Settings { fleet_id: FLEET_ID, ..Settings::default() };
    let peer = |process: usize, name: &str| Peer {
        name: name.to_owned(),
        instance_id: process as u64 + 1,
        address: address(process),
        is_control_node: process == 0,
        zone: "zone".to_owned(),
    };
    let start = |process, name, seeds| {
        Membership::new(peer(process, name), seeds, settings.clone(), Pcg64::seed_from_u64(process as u64))
            .expect("a valid peer")
    };
    let mut members =
        [start(0, "a", vec![]), start(1, "b", vec![address(0)]), start(2, "c", vec![address(0)])];
    let mut datagrams = Vec::new();
    for now in (0..15_000).step_by(25) {
        // The third stops after two seconds, so that the others send ping-reqs and suspect it.
        let running = if now < 2_000 { 3 } else { 2 };
        let mut in_flight = Vec::new();
        for (process, member) in members.iter_mut().enumerate().take(running) {
            in_flight.extend(
                member
                    .tick(Instant::from_millis(now))
                    .into_iter()
                    .map(|sent| (address(process), sent.destination, sent.payload)),
            );
        }
        for _ in 0..6 {
            for (from, to, bytes) in std::mem::take(&mut in_flight) {
                datagrams.push(bytes.clone());
                let target = (0..running).find(|process| address(*process) == to);
                let Some(process) = target else { continue };
                let responses = members[process].receive(Instant::from_millis(now), from, &bytes);
                in_flight.extend(
                    responses.into_iter().map(|sent| (address(process), sent.destination, sent.payload)),
                );
            }
        }
    }
    datagrams.extend(members[0].leave(Instant::from_millis(15_000)).into_iter().map(|sent| sent.payload));
    datagrams
}

/// Passes the datagrams to the first member, one per millisecond. Returns the number of datagrams that it sends.
fn handle_all(cluster: &mut Cluster, datagrams: &[Vec<u8>]) -> usize {
    let now = cluster.now;
    let membership = cluster.membership_mut(0);
    let mut sent_count = 0;
    for (turn, bytes) in datagrams.iter().enumerate() {
        let mut sent = membership.receive(now + millis(turn as u64), address(turn % 9), bytes);
        sent.extend(membership.tick(now + millis(turn as u64)));
        assert!(
            sent.iter().all(|datagram| {
                !datagram.payload.is_empty() && datagram.payload.len() <= MAX_DATAGRAM_LEN
            })
        );
        sent_count += sent.len();
    }
    sent_count
}

quickcheck! {
    fn random_bytes_are_dropped(datagrams: Vec<Vec<u8>>) -> bool {
        let mut cluster = cluster_with_history();
        let members: Vec<String> = known_names(&cluster);
        handle_all(&mut cluster, &datagrams);
        known_names(&cluster) == members
    }
}

fn known_names(cluster: &Cluster) -> Vec<String> {
    cluster.membership(0).members().map(|(peer, _)| peer.name.clone()).collect()
}

#[test]
fn corrupted_datagrams_never_panic() {
    fn never_panics(changes: Vec<(usize, usize, u8)>) -> TestResult {
        let valid = valid_datagrams();
        assert!(valid.len() > 100);
        let mut cluster = cluster_with_history();
        let corrupted: Vec<Vec<u8>> = changes
            .iter()
            .map(|(which, at, byte)| {
                let mut bytes = valid[which % valid.len()].clone();
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
        handle_all(&mut cluster, &corrupted);
        // The member still works.
        cluster.membership_mut(0).drain_events();
        cluster.run(millis(1_000));
        TestResult::passed()
    }
    QuickCheck::new()
        .rng(Gen::new(200))
        .tests(100)
        .quickcheck(never_panics as fn(Vec<(usize, usize, u8)>) -> TestResult);
}

#[test]
fn every_byte_of_a_datagram_may_be_any_other() {
    let mut cluster = cluster_with_history();
    let mut valid = valid_datagrams();
    valid.sort_by_key(Vec::len);
    valid.dedup_by_key(|bytes| bytes.len());
    for bytes in valid {
        for at in 0..bytes.len() {
            let corrupted: Vec<Vec<u8>> =
                [0x00, 0x1b, 0x3b, 0x5b, 0x5f, 0x7b, 0x7f, 0x9b, 0x9f, 0xbf, 0xfb, 0xff]
                    .into_iter()
                    .map(|byte| {
                        let mut corrupted = bytes.clone();
                        corrupted[at] = byte;
                        corrupted
                    })
                    .collect();
            handle_all(&mut cluster, &corrupted);
        }
    }
}

#[test]
fn datagrams_too_long_or_of_another_fleet_are_not_answered() {
    let mut cluster = Cluster::new(1, 1, Settings::default());
    cluster.run(millis(400));
    let mut other = Cluster::empty(2, Settings::default());
    let mut bytes = other.datagram_of_outsider(5);
    let membership = cluster.membership_mut(0);
    assert!(!membership.receive(Instant::from_millis(400), address(5), &bytes).is_empty());
    bytes.resize(MAX_DATAGRAM_LEN + 1, 0);
    assert!(membership.receive(Instant::from_millis(400), address(5), &bytes).is_empty());
    other.settings.fleet_id += 1;
    assert!(
        membership.receive(Instant::from_millis(400), address(6), &other.datagram_of_outsider(6)).is_empty()
    );
    assert_eq!(membership.members().count(), 2);
}

#[test]
fn any_instant_is_handled() {
    let mut cluster = cluster_with_history();
    let membership = cluster.membership_mut(0);
    for now in [0, 1, u64::MAX / 2, 5, u64::MAX - 1, u64::MAX, 0] {
        membership.tick(Instant::from_millis(now));
        membership.receive(Instant::from_millis(now), address(1), &[]);
        membership.next_wake(Instant::from_millis(now));
    }
}

#[test]
fn settings_out_of_bounds_are_handled() {
    for (small, large) in [(0, 0), (0, u64::MAX), (u64::MAX, 0), (u64::MAX, u64::MAX)] {
        let (short, long) = (millis(small), millis(large));
        let settings = Settings {
            fleet_id: FLEET_ID,
            probe_interval: short,
            probe_timeout: long,
            indirect_probes: large as usize,
            suspicion_timeout_per_decade: long,
            min_suspicion_timeout: long,
            max_suspicion_timeout: short,
            gossip_fanout: small as usize,
            retransmit_multiplier: large as u32,
            join_retry_interval: short,
            reconnect_interval: long,
            sync_quiet_period: long,
            max_sync_delay: short,
            max_sync_datagrams: small as usize,
            tombstone_retention: long,
            max_members: small as usize,
            ..Settings::default()
        };
        let mut cluster = Cluster::new(1, 4, settings);
        cluster.run(millis(200));
        cluster.kill(3);
        cluster.run(millis(200));
    }
}

#[test]
fn the_longest_names_fit() {
    let mut cluster = Cluster::empty(1, Settings::default());
    for process in 0..60 {
        cluster.add();
        let peer = &mut cluster.processes[process].peer;
        peer.name = format!("{process:0MAX_NAME_LEN$}");
        peer.zone = "z".repeat(MAX_ZONE_LEN);
        peer.address.set_port(65_535);
    }
    cluster.update_addresses();
    cluster.seeds = (0..3).map(|process| cluster.processes[process].peer.address).collect();
    (0..60).for_each(|process| cluster.start(process));
    cluster.run_until_agreed(millis(10_000)).expect("agree");
    cluster.loss_per_mille = 300;
    (30..40).for_each(|process| cluster.kill(process));
    cluster.run(millis(20_000));
}
