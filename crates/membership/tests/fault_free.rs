//! Starts, joins, shutdowns and crashes of members in a network without faults.

mod cluster;

use cluster::{Cluster, address, millis, name};
use mosshead_membership::{Event, MemberState, Membership, PeerError, Settings};
use mosshead_time::Instant;
use rand_core::SeedableRng;
use rand_pcg::Pcg64;

#[test]
fn members_that_start_together_agree() {
    for (size, max) in [(1, 0), (2, 500), (3, 500), (9, 2_000), (40, 3_500), (100, 5_000)] {
        for seed in 0..5 {
            let mut cluster = Cluster::new(seed, size, Settings::default());
            cluster.run(millis(300));
            let took = cluster
                .run_until_agreed(millis(max))
                .unwrap_or_else(|| panic!("{size} don't agree, seed {seed}"));
            println!("{size} agree after {:?}", took + millis(300));
            cluster.assert_views_match_members();
        }
    }
}

#[test]
fn a_crashed_member_is_declared_dead_by_all_within_seconds() {
    for (size, max) in [(2, 3_000), (3, 3_500), (9, 4_000), (40, 5_500), (100, 6_500)] {
        let mut cluster = Cluster::new(size as u64, size, Settings::default());
        cluster.run(millis(10_000));
        assert!(cluster.is_agreed());
        let victim = size - 1;
        cluster.kill(victim);
        let took = cluster.run_until_agreed(millis(max)).unwrap_or_else(|| panic!("{size} don't agree"));
        println!("{size}: dead after {took:?}");
        assert_eq!(cluster.processes_with_event(&Event::Died(name(victim))), size - 1);
        assert_eq!(
            cluster.processes_with_event(&Event::Suspected(name(victim))),
            size - 1,
            "suspicion comes before removal"
        );
        cluster.assert_views_match_members();
    }
}

#[test]
fn the_other_half_agrees_when_half_of_the_fleet_crashes() {
    let mut cluster = Cluster::new(4, 40, Settings::default());
    cluster.run(millis(10_000));
    (0..20).for_each(|process| cluster.kill(process));
    let took = cluster.run_until_agreed(millis(25_000)).expect("the other half agrees");
    println!("the other half of 40 agrees after {took:?}");
    for process in 20..40 {
        assert_eq!(cluster.processes_with_event(&Event::Died(name(process))), 0);
    }
}

#[test]
fn a_new_member_knows_all_and_is_known_to_all() {
    for (size, max) in [(3, 1_000), (40, 3_000), (100, 4_000)] {
        let mut cluster = Cluster::new(size as u64, size, Settings::default());
        cluster.run(millis(10_000));
        let process = cluster.add();
        cluster.run(millis(100));
        assert!(cluster.membership(process).has_joined());
        assert_eq!(
            cluster.processes[process].view.live_members().count(),
            size + 1,
            "has the complete list at once"
        );
        let took = cluster
            .run_until_agreed(millis(max))
            .unwrap_or_else(|| panic!("{size} don't know the new member"));
        println!("new member of {size}: known to all after {:?}", took + millis(100));
    }
}

#[test]
fn a_shutdown_is_not_reported_as_a_death() {
    for size in [2, 9, 40] {
        let mut cluster = Cluster::new(size as u64, size, Settings::default());
        cluster.run(millis(10_000));
        cluster.leave(1, millis(2_000));
        assert!(cluster.is_agreed(), "{size} still count one that left");
        assert_eq!(cluster.processes_with_event(&Event::Left(name(1))), size - 1);
        assert_eq!(cluster.processes_with_event(&Event::Suspected(name(1))), 0);
        cluster.run(millis(10_000));
        assert_eq!(cluster.processes_with_event(&Event::Died(name(1))), 0);
        let other = cluster.membership(0);
        assert!(other.members().any(|(peer, state)| peer.name == name(1) && state == MemberState::Left));
        cluster.start(1);
        assert!(cluster.run_until_agreed(millis(3_000)).is_some(), "and may come back");
        cluster.assert_views_match_members();
    }
}

#[test]
fn a_new_instance_replaces_the_old_one_at_once() {
    for seed in 0..10 {
        let mut cluster = Cluster::new(seed, 9, Settings::default());
        cluster.run(millis(10_000));
        let old = cluster.processes[5].peer.clone();
        cluster.kill(5);
        cluster.run(millis(200));
        cluster.start(5);
        cluster.run(millis(50));
        let knows = |cluster: &Cluster| {
            cluster
                .running()
                .filter(|process| {
                    process.view.live_members().any(|(peer, _)| *peer == cluster.processes[5].peer)
                })
                .count()
        };
        assert!(knows(&cluster) >= 2, "known within a few round trips");
        cluster.run_until_agreed(millis(2_000)).expect("replaced");
        assert_eq!(knows(&cluster), 9);
        assert!(cluster.running().all(|process| process.view.live_members().all(|(peer, _)| *peer != old)));
        assert_eq!(cluster.processes_with_event(&Event::Died(name(5))), 0);
        cluster.run(millis(20_000));
        assert!(cluster.is_agreed());
        assert_eq!(cluster.processes_with_event(&Event::Died(name(5))), 0);
    }
}

#[test]
fn dead_members_are_forgotten_after_their_retention_and_not_before() {
    let mut cluster = Cluster::new(1, 5, Settings::default());
    cluster.run(millis(5_000));
    cluster.kill(4);
    cluster.run(millis(10_000));
    let remembered = |cluster: &Cluster| cluster.membership(0).members().count();
    assert_eq!(remembered(&cluster), 5);
    cluster.run(millis(45_000));
    assert_eq!(remembered(&cluster), 5);
    cluster.run(millis(20_000));
    assert_eq!(remembered(&cluster), 4);
    assert!(cluster.is_agreed());
}

#[test]
fn another_machine_at_the_address_of_a_dead_member_is_not_taken_for_it() {
    let mut cluster = Cluster::new(7, 6, Settings::default());
    cluster.run(millis(5_000));
    cluster.kill(5);
    cluster.run(millis(100));
    cluster.processes[5].peer.name = "edge-dixie-east-z-77".to_owned();
    cluster.start(5);
    cluster.run_until_agreed(millis(5_000)).expect("the old name is dead, the new one is alive");
}

#[test]
fn fleets_with_different_ids_do_not_merge() {
    let mut cluster = Cluster::new(3, 4, Settings::default());
    cluster.settings.fleet_id += 1;
    (0..4).for_each(|_| {
        cluster.add();
    });
    cluster.run(millis(20_000));
    for (index, process) in cluster.running().enumerate() {
        let own = |other: &str| (0..8).filter(|n| name(*n) == other).all(|n| (n < 4) == (index < 4));
        assert!(process.view.live_members().all(|(peer, _)| own(&peer.name)));
    }
    assert_eq!(cluster.processes[0].view.live_members().count(), 4);
}

#[test]
fn invalid_peers_are_rejected() {
    let mut cluster = Cluster::empty(1, Settings::default());
    cluster.add();
    let valid = cluster.processes[0].peer.clone();
    let rejection = |peer| {
        Membership::new(peer, Vec::new(), Settings::default(), Pcg64::seed_from_u64(1))
            .err()
            .expect("rejected")
    };
    let mut peer = valid.clone();
    peer.name = "n".repeat(65);
    assert_eq!(rejection(peer), PeerError::InvalidName(65));
    let mut peer = valid.clone();
    peer.zone = "z".repeat(65);
    assert_eq!(rejection(peer), PeerError::ZoneTooLong(65));
    let mut peer = valid;
    peer.address.set_port(0);
    assert_eq!(
        rejection(peer),
        PeerError::UnreachableAddress(std::net::SocketAddrV4::new(*address(0).ip(), 0))
    );
}

#[test]
fn the_suspicion_timeout_grows_with_the_fleet_within_bounds() {
    let settings = Settings::default();
    let timeouts = [1, 10, 100, 1_000, 10_000, 1_000_000].map(|size| settings.suspicion_timeout(size));
    assert_eq!(timeouts, [1_200, 1_200, 2_400, 3_600, 4_800, 6_000].map(millis));
    assert_eq!([1, 3, 100, 1_000].map(|size| settings.retransmit_limit(size)), [3, 6, 21, 30]);
}

#[test]
fn a_host_that_does_not_drain_events_learns_of_the_overflow() {
    let mut cluster = Cluster::empty(1, Settings { max_members: 20_000, ..Settings::default() });
    cluster.add();
    let mut view = mosshead_membership::View::default();
    let membership = cluster.membership_mut(0);
    let mut outsiders = Cluster::empty(2, Settings::default());
    for process in 1..9_000 {
        let other = outsiders.datagram_of_outsider(process);
        membership.receive(Instant::from_millis(process as u64), address(process), &other);
    }
    membership.drain_events().iter().for_each(|event| view.apply(event));
    assert!(view.is_stale());
    view.rebuild(membership.members());
    assert!(!view.is_stale());
    assert_eq!(view.live_members().count(), 9_000);
}

#[test]
fn no_more_than_the_maximum_of_members_are_accepted() {
    let mut cluster = Cluster::empty(1, Settings { max_members: 50, ..Settings::default() });
    cluster.add();
    let membership = cluster.membership_mut(0);
    let mut outsiders = Cluster::empty(2, Settings::default());
    for process in 1..500 {
        let other = outsiders.datagram_of_outsider(process);
        membership.receive(Instant::from_millis(process as u64), address(process), &other);
    }
    assert_eq!(membership.members().count(), 50);
}
