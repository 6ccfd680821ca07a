//! Shows the purpose of each mechanism of the protocol: without it, healthy members are suspected or declared dead,
//! or dead ones come back.

mod cluster;

use cluster::{Cluster, millis};
use mosshead_membership::{Event, Settings};

/// The number of false suspicions and deaths.
#[derive(Debug, Default, PartialEq)]
struct FalseDetections {
    suspicions: usize,
    deaths: usize,
}

/// The suspicions and deaths in two minutes among twelve members, with one cut link.
fn false_detections_with_a_cut_link(settings: Settings) -> FalseDetections {
    let mut detections = FalseDetections::default();
    for seed in 0..3 {
        let mut cluster = Cluster::new(seed, 12, settings.clone());
        cluster.run(millis(5_000));
        cluster.cut(&[2], &[7]);
        cluster.run(millis(120_000));
        for (_, event) in cluster.running().flat_map(|process| &process.events) {
            match event {
                Event::Suspected(_) => detections.suspicions += 1,
                Event::Died(_) => detections.deaths += 1,
                _ => {}
            }
        }
    }
    detections
}

#[test]
fn with_the_complete_protocol_a_cut_link_does_nothing() {
    assert_eq!(false_detections_with_a_cut_link(Settings::default()), FalseDetections::default());
}

#[test]
fn without_indirect_probes_a_cut_link_makes_healthy_members_suspect() {
    let FalseDetections { suspicions, deaths } =
        false_detections_with_a_cut_link(Settings { indirect_probes: 0, ..Settings::default() });
    println!("without indirect probes: {suspicions} suspicions, {deaths} deaths");
    assert!(suspicions > 0);
}

#[test]
fn without_indirect_probes_and_refutation_a_cut_link_kills_healthy_members() {
    let FalseDetections { deaths, .. } = false_detections_with_a_cut_link(Settings {
        indirect_probes: 0,
        is_refutation_enabled: false,
        ..Settings::default()
    });
    println!("without both: {deaths} deaths");
    assert!(deaths > 0);
}

/// The number of deaths in two minutes, with a fifth of all datagrams lost.
fn deaths_with_loss(settings: Settings) -> usize {
    let mut cluster = Cluster::new(40, 40, settings);
    cluster.loss_per_mille = 200;
    cluster.run(millis(120_000));
    let events = cluster.running().flat_map(|process| &process.events);
    events.filter(|(_, event)| matches!(event, Event::Died(_))).count()
}

#[test]
fn without_refutation_loss_kills_healthy_members() {
    assert_eq!(deaths_with_loss(Settings::default()), 0);
    let deaths = deaths_with_loss(Settings { is_refutation_enabled: false, ..Settings::default() });
    println!("without refutation: {deaths} deaths");
    assert!(deaths > 0);
}

#[test]
fn without_refutation_a_suspended_member_does_not_come_back() {
    for is_refutation_enabled in [true, false] {
        let mut cluster = Cluster::new(7, 12, Settings { is_refutation_enabled, ..Settings::default() });
        cluster.run(millis(5_000));
        cluster.suspend(5);
        cluster.run(millis(10_000));
        cluster.resume(5);
        assert_eq!(cluster.run_until_agreed(millis(8_000)).is_some(), is_refutation_enabled);
    }
}

#[test]
fn without_suspicion_loss_kills_healthy_members() {
    let without_suspicion = Settings {
        min_suspicion_timeout: millis(1),
        max_suspicion_timeout: millis(1),
        ..Settings::default()
    };
    let deaths = deaths_with_loss(without_suspicion);
    println!("without suspicion: {deaths} deaths");
    assert!(deaths > 0);
}

#[test]
fn without_tombstones_outdated_gossip_revives_the_dead() {
    // The view of a resumed member still contains those that died in the meantime. Counts how often others revive them.
    let revivals = |tombstone_retention| {
        let mut cluster = Cluster::new(3, 12, Settings { tombstone_retention, ..Settings::default() });
        cluster.run(millis(10_000));
        cluster.suspend(7);
        cluster.run(millis(1_000));
        (8..11).for_each(|process| cluster.kill(process));
        cluster.run(millis(30_000));
        let resumed_at = cluster.now;
        cluster.resume(7);
        cluster.run(millis(15_000));
        let others = cluster.running().filter(|process| process.peer.name != cluster::name(7));
        others
            .flat_map(|process| &process.events)
            .filter(|(at, event)| {
                *at > resumed_at && matches!(event, Event::Joined(peer) if peer.name != cluster::name(7))
            })
            .count()
    };
    assert_eq!(revivals(millis(60_000)), 0);
    let without_tombstones = revivals(millis(1_000));
    println!("without tombstones: {without_tombstones} revivals");
    assert!(without_tombstones > 0);
}
