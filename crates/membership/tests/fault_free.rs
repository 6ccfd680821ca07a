//! Starts, arrivals, planned ends and deaths in a network without trouble.

mod cluster;

use cluster::{Cluster, address, name};
use mosshead_membership::{Event, MemberState, Membership, PeerError, Settings};
use mosshead_time::Instant;
use rand_core::SeedableRng;
use rand_pcg::Pcg64;

#[test]
fn all_that_start_together_know_each_other() {
    for (size, most) in [(1, 0), (2, 500), (3, 500), (9, 2_000), (40, 3_500), (100, 5_000)] {
        for seed in 0..5 {
            let mut cluster = Cluster::new(seed, size, Settings::default());
            cluster.run(300);
            let took = cluster.settle(most).unwrap_or_else(|| panic!("{size} don't agree, seed {seed}"));
            println!("{size} agree after {} ms", took + 300);
            cluster.check_views();
        }
    }
}

#[test]
fn one_that_dies_is_dead_for_all_within_seconds() {
    for (size, most) in [(2, 3_000), (3, 3_500), (9, 4_000), (40, 5_500), (100, 6_500)] {
        let mut cluster = Cluster::new(size as u64, size, Settings::default());
        cluster.run(10_000);
        assert!(cluster.agree());
        let victim = size - 1;
        cluster.kill(victim);
        let took = cluster.settle(most).unwrap_or_else(|| panic!("{size} don't agree"));
        println!("{size}: dead after {took} ms");
        assert_eq!(cluster.told(&Event::Died(name(victim))), size - 1);
        assert_eq!(cluster.told(&Event::Suspected(name(victim))), size - 1, "suspicion comes before removal");
        cluster.check_views();
    }
}

#[test]
fn half_of_all_die_at_once() {
    let mut cluster = Cluster::new(4, 40, Settings::default());
    cluster.run(10_000);
    (0..20).for_each(|node| cluster.kill(node));
    let took = cluster.settle(25_000).expect("the other half agrees");
    println!("the other half of 40 agrees after {took} ms");
    for node in 20..40 {
        assert_eq!(cluster.told(&Event::Died(name(node))), 0);
    }
}

#[test]
fn a_newcomer_is_known_to_all_and_knows_all() {
    for (size, most) in [(3, 1_000), (40, 3_000), (100, 4_000)] {
        let mut cluster = Cluster::new(size as u64, size, Settings::default());
        cluster.run(10_000);
        let node = cluster.add();
        cluster.run(100);
        assert!(cluster.nodes[node].membership.as_ref().expect("runs").has_joined());
        assert_eq!(cluster.nodes[node].view.live_members().count(), size + 1, "has the whole list at once");
        let took = cluster.settle(most).unwrap_or_else(|| panic!("{size} don't know the newcomer"));
        println!("newcomer to {size}: known to all after {} ms", took + 100);
    }
}

#[test]
fn a_planned_end_is_no_death() {
    for size in [2, 9, 40] {
        let mut cluster = Cluster::new(size as u64, size, Settings::default());
        cluster.run(10_000);
        cluster.leave(1, 2_000);
        assert!(cluster.agree(), "{size} still count one that left");
        assert_eq!(cluster.told(&Event::Left(name(1))), size - 1);
        assert_eq!(cluster.told(&Event::Suspected(name(1))), 0);
        cluster.run(10_000);
        assert_eq!(cluster.told(&Event::Died(name(1))), 0);
        let other = cluster.nodes[0].membership.as_ref().expect("runs");
        assert!(other.members().any(|(peer, health)| peer.name == name(1) && health == MemberState::Left));
        cluster.start(1);
        assert!(cluster.settle(3_000).is_some(), "and may come back");
        cluster.check_views();
    }
}

#[test]
fn a_new_life_replaces_the_old_at_once() {
    for seed in 0..10 {
        let mut cluster = Cluster::new(seed, 9, Settings::default());
        cluster.run(10_000);
        let old = cluster.nodes[5].peer.clone();
        cluster.kill(5);
        cluster.run(200);
        cluster.start(5);
        cluster.run(50);
        let knows = |cluster: &Cluster| {
            cluster
                .running()
                .filter(|node| node.view.live_members().any(|(peer, _)| *peer == cluster.nodes[5].peer))
                .count()
        };
        assert!(knows(&cluster) >= 2, "known within a few round trips");
        cluster.settle(2_000).expect("replaced");
        assert_eq!(knows(&cluster), 9);
        assert!(cluster.running().all(|node| node.view.live_members().all(|(peer, _)| *peer != old)));
        assert_eq!(cluster.told(&Event::Died(name(5))), 0);
        cluster.run(20_000);
        assert!(cluster.agree());
        assert_eq!(cluster.told(&Event::Died(name(5))), 0);
    }
}

#[test]
fn the_dead_are_forgotten_in_the_end_and_not_before() {
    let mut cluster = Cluster::new(1, 5, Settings::default());
    cluster.run(5_000);
    cluster.kill(4);
    cluster.run(10_000);
    let remembered =
        |cluster: &Cluster| cluster.nodes[0].membership.as_ref().expect("runs").members().count();
    assert_eq!(remembered(&cluster), 5);
    cluster.run(45_000);
    assert_eq!(remembered(&cluster), 5);
    cluster.run(20_000);
    assert_eq!(remembered(&cluster), 4);
    assert!(cluster.agree());
}

#[test]
fn another_machine_at_the_address_of_a_dead_one_is_not_taken_for_it() {
    let mut cluster = Cluster::new(7, 6, Settings::default());
    cluster.run(5_000);
    cluster.kill(5);
    cluster.run(100);
    cluster.nodes[5].peer.name = "edge-dixie-east-z-77".to_owned();
    cluster.start(5);
    cluster.settle(5_000).expect("the old name is dead, the new one lives");
}

#[test]
fn fleets_with_other_tags_do_not_merge() {
    let mut cluster = Cluster::new(3, 4, Settings::default());
    cluster.settings.fleet += 1;
    (0..4).for_each(|_| {
        cluster.add();
    });
    cluster.run(20_000);
    for (place, node) in cluster.running().enumerate() {
        let own = |other: &str| (0..8).filter(|n| name(*n) == other).all(|n| (n < 4) == (place < 4));
        assert!(node.view.live_members().all(|(peer, _)| own(&peer.name)));
    }
    assert_eq!(cluster.nodes[0].view.live_members().count(), 4);
}

#[test]
fn peers_that_nobody_could_name_or_reach_are_refused() {
    let mut cluster = Cluster::empty(1, Settings::default());
    cluster.add();
    let sound = cluster.nodes[0].peer.clone();
    let refusal = |peer| {
        Membership::new(peer, Vec::new(), Settings::default(), Pcg64::seed_from_u64(1))
            .err()
            .expect("refused")
    };
    let mut peer = sound.clone();
    peer.name = "n".repeat(65);
    assert_eq!(refusal(peer), PeerError::InvalidName(65));
    let mut peer = sound.clone();
    peer.zone = "z".repeat(65);
    assert_eq!(refusal(peer), PeerError::ZoneTooLong(65));
    let mut peer = sound;
    peer.address.set_port(0);
    assert_eq!(
        refusal(peer),
        PeerError::UnreachableAddress(std::net::SocketAddrV4::new(*address(0).ip(), 0))
    );
}

#[test]
fn suspicion_grows_with_the_size_within_bounds() {
    let settings = Settings::default();
    let spans: Vec<u64> = [1, 10, 100, 1_000, 10_000, 1_000_000].map(|size| settings.suspect_ms(size)).into();
    assert_eq!(spans, [1_200, 1_200, 2_400, 3_600, 4_800, 6_000]);
    assert_eq!([1, 3, 100, 1_000].map(|size| settings.sendings(size)), [3, 6, 21, 30]);
}

#[test]
fn a_host_that_does_not_drain_is_told_so() {
    let mut cluster = Cluster::empty(1, Settings { members_max: 20_000, ..Settings::default() });
    cluster.add();
    let mut view = mosshead_membership::View::default();
    let membership = cluster.nodes[0].membership.as_mut().expect("runs");
    let mut maker = Cluster::empty(2, Settings::default());
    for node in 1..9_000 {
        let other = maker.stranger(node);
        membership.receive(Instant::from_millis(node as u64), address(node), &other);
    }
    membership.drain_events().iter().for_each(|event| view.apply(event));
    assert!(view.is_stale());
    view.rebuild(membership.members());
    assert!(!view.is_stale());
    assert_eq!(view.live_members().count(), 9_000);
}

#[test]
fn no_more_members_than_allowed_are_taken() {
    let mut cluster = Cluster::empty(1, Settings { members_max: 50, ..Settings::default() });
    cluster.add();
    let membership = cluster.nodes[0].membership.as_mut().expect("runs");
    let mut maker = Cluster::empty(2, Settings::default());
    for node in 1..500 {
        let other = maker.stranger(node);
        membership.receive(Instant::from_millis(node as u64), address(node), &other);
    }
    assert_eq!(membership.members().count(), 50);
}
