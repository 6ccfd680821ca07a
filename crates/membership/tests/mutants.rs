//! What each part of the protocol is for: without it, a test of the others would fail.

mod cluster;

use cluster::Cluster;
use mosshead_membership::{Event, Settings};

/// Twelve members, one link of which carries nothing, and some loss: (suspicions, deaths) in two minutes.
fn with_a_bad_link(settings: Settings) -> (usize, usize) {
    let mut counts = (0, 0);
    for seed in 0..3 {
        let mut cluster = Cluster::new(seed, 12, settings.clone());
        cluster.run(5_000);
        cluster.cut(&[2], &[7]);
        cluster.run(120_000);
        for (_, event) in cluster.running().flat_map(|node| &node.journal) {
            match event {
                Event::Suspected(_) => counts.0 += 1,
                Event::Died(_) => counts.1 += 1,
                _ => {}
            }
        }
    }
    counts
}

#[test]
fn as_built_a_bad_link_does_nothing() {
    assert_eq!(with_a_bad_link(Settings::default()), (0, 0));
}

#[test]
fn without_second_opinions_a_bad_link_makes_sound_members_suspect() {
    let (suspicions, deaths) = with_a_bad_link(Settings { helpers: 0, ..Settings::default() });
    println!("without second opinions: {suspicions} suspicions, {deaths} deaths");
    assert!(suspicions > 0);
}

#[test]
fn without_second_opinions_and_refutation_a_bad_link_kills_sound_members() {
    let (_, deaths) = with_a_bad_link(Settings { helpers: 0, refutes: false, ..Settings::default() });
    println!("without both: {deaths} deaths");
    assert!(deaths > 0);
}

/// Deaths in two minutes with much loss, by settings.
fn with_loss(settings: Settings) -> usize {
    let mut cluster = Cluster::new(40, 40, settings);
    cluster.loss = 200;
    cluster.run(120_000);
    let journals = cluster.running().flat_map(|node| &node.journal);
    journals.filter(|(_, event)| matches!(event, Event::Died(_))).count()
}

#[test]
fn without_refutation_loss_kills_sound_members() {
    assert_eq!(with_loss(Settings::default()), 0);
    let deaths = with_loss(Settings { refutes: false, ..Settings::default() });
    println!("without refutation: {deaths} deaths");
    assert!(deaths > 0);
}

#[test]
fn without_refutation_a_frozen_one_does_not_come_back() {
    for refutes in [true, false] {
        let mut cluster = Cluster::new(7, 12, Settings { refutes, ..Settings::default() });
        cluster.run(5_000);
        cluster.freeze(5);
        cluster.run(10_000);
        cluster.thaw(5);
        assert_eq!(cluster.settle(8_000).is_some(), refutes);
    }
}

#[test]
fn without_suspicion_loss_kills_sound_members() {
    let hasty = Settings { suspect_min_ms: 1, suspect_max_ms: 1, ..Settings::default() };
    let deaths = with_loss(hasty);
    println!("without suspicion: {deaths} deaths");
    assert!(deaths > 0);
}

#[test]
fn without_memory_of_the_dead_old_news_revives_them() {
    // A thawed one still believes in those that died meanwhile; how often they are taken in again by others.
    let revivals = |remember_ms| {
        let mut cluster = Cluster::new(3, 12, Settings { remember_ms, ..Settings::default() });
        cluster.run(10_000);
        cluster.freeze(7);
        cluster.run(1_000);
        (8..11).for_each(|node| cluster.kill(node));
        cluster.run(30_000);
        let thawed = cluster.now;
        cluster.thaw(7);
        cluster.run(15_000);
        let others = cluster.running().filter(|node| node.peer.name != cluster::name(7));
        others
            .flat_map(|node| &node.journal)
            .filter(|(at, event)| {
                *at > thawed && matches!(event, Event::Joined(peer) if peer.name != cluster::name(7))
            })
            .count()
    };
    assert_eq!(revivals(60_000), 0);
    let walking = revivals(1_000);
    println!("without memory: {walking} revivals");
    assert!(walking > 0);
}
