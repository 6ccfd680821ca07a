//! Loss, cuts, freezes, kills, restarts, seeds exchanged, partitions.

mod cluster;

use cluster::{Cluster, address, name};
use mosshead_membership::{Event, MemberState, Settings};

fn deaths(cluster: &Cluster) -> usize {
    let died = |event: &(u64, Event)| matches!(event.1, Event::Died(_));
    cluster.running().map(|node| node.journal.iter().filter(|event| died(event)).count()).sum()
}

#[test]
fn loss_kills_nobody() {
    for (size, loss) in [(3, 50), (9, 100), (40, 100), (40, 200)] {
        let mut cluster = Cluster::new(size as u64, size, Settings::default());
        cluster.loss = loss;
        cluster.run(120_000);
        println!("{size} with {loss} of 1,000 lost: {} deaths", deaths(&cluster));
        assert_eq!(deaths(&cluster), 0);
        let living = |node: &cluster::Node| node.view.live_members().count() == size;
        assert!(cluster.running().all(living));
    }
}

#[test]
fn a_lossy_link_makes_nobody_suspect() {
    for seed in 0..5 {
        let mut cluster = Cluster::new(seed, 9, Settings::default());
        cluster.run(5_000);
        cluster.cut(&[2], &[7]);
        cluster.run(120_000);
        assert_eq!(cluster.told(&Event::Suspected(name(2))) + cluster.told(&Event::Suspected(name(7))), 0);
        assert!(cluster.agree());
    }
}

#[test]
fn one_that_is_not_heard_any_more_is_dead_and_comes_back() {
    for deaf in [false, true] {
        let mut cluster = Cluster::new(11, 12, Settings::default());
        cluster.run(5_000);
        for node in 0..12 {
            cluster.cuts.insert(if deaf { (node, 5) } else { (5, node) });
        }
        cluster.run(8_000);
        assert_eq!(cluster.believers(5), 0, "deaf: {deaf}");
        // Nobody is lost by the word of the one that was cut off.
        for node in (0..12).filter(|node| *node != 5) {
            assert!(cluster.believers(node) >= 10, "{node} is missed, deaf: {deaf}");
        }
        cluster.run(10_000);
        cluster.cuts.clear();
        let took = cluster.settle(10_000).unwrap_or_else(|| panic!("not back, deaf: {deaf}"));
        println!("cut off one way (deaf: {deaf}): back after {took} ms");
        cluster.check_views();
    }
}

#[test]
fn a_frozen_one_is_dead_and_comes_back_without_killing_others() {
    for (span, most) in [(1_000, 3_000), (5_000, 5_000), (20_000, 5_000), (90_000, 5_000)] {
        let mut cluster = Cluster::new(span, 20, Settings::default());
        cluster.run(10_000);
        cluster.freeze(7);
        cluster.run(span);
        if span >= 5_000 {
            assert_eq!(cluster.believers(7), 0);
        }
        cluster.thaw(7);
        let took = cluster.settle(most).unwrap_or_else(|| panic!("frozen for {span}: not back"));
        println!("frozen for {span} ms: back after {took} ms");
        for node in (0..20).filter(|node| *node != 7) {
            assert_eq!(cluster.told(&Event::Died(name(node))), 0);
        }
    }
}

#[test]
fn old_news_of_a_thawed_one_does_not_revive_the_dead_for_long() {
    for span in [30_000, 90_000] {
        let mut cluster = Cluster::new(3, 12, Settings::default());
        cluster.run(10_000);
        cluster.freeze(7);
        cluster.run(1_000);
        (8..11).for_each(|node| cluster.kill(node));
        cluster.run(span);
        cluster.thaw(7);
        let took = cluster.settle(15_000).unwrap_or_else(|| panic!("after {span}: the dead walk"));
        println!("frozen for {span} ms with three deaths: agreed after {took} ms");
        cluster.run(30_000);
        assert!(cluster.agree());
    }
}

#[test]
fn slow_members_kill_nobody() {
    // Half of all run only now and then, for a while.
    let mut cluster = Cluster::new(21, 10, Settings::default());
    cluster.run(5_000);
    for _ in 0..100 {
        (0..5).for_each(|node| cluster.freeze(node));
        cluster.run(500);
        (0..5).for_each(|node| cluster.thaw(node));
        cluster.run(50);
    }
    assert_eq!(deaths(&cluster), 0);
    assert!(cluster.settle(5_000).is_some());
}

#[test]
fn all_restart_in_turn() {
    for (size, gap) in [(9, 1_500), (20, 700)] {
        let mut cluster = Cluster::new(size as u64, size, Settings::default());
        cluster.run(5_000);
        for node in 0..size {
            cluster.leave(node, 500);
            cluster.run(300);
            cluster.start(node);
            cluster.run(gap);
            assert!(cluster.running().all(|other| other.view.live_members().count() + 3 >= size));
        }
        let took = cluster.settle(5_000).expect("all agree after the last");
        println!("{size} restarted in turn: agreed after {took} ms");
        assert_eq!(deaths(&cluster), 0);
    }
}

#[test]
fn all_are_killed_at_once_and_come_back() {
    let mut cluster = Cluster::new(5, 30, Settings::default());
    cluster.run(10_000);
    for spread in [100, 1_000] {
        (0..30).for_each(|node| cluster.kill(node));
        let at = cluster.now;
        for node in 0..30 {
            cluster.start(node);
            let late = cluster.draw(spread);
            cluster.wake_at(node, at + late);
        }
        cluster.run(spread);
        let took = cluster.settle(5_000).expect("all agree");
        println!("30 killed at once, back within {spread} ms: agreed {took} ms later");
    }
}

#[test]
fn one_way_of_all_ways_is_cut_at_random() {
    let mut cluster = Cluster::new(8, 20, Settings::default());
    cluster.run(10_000);
    for _ in 0..40 {
        let way = (cluster.draw(20) as usize, cluster.draw(20) as usize);
        cluster.cuts.insert(way);
    }
    cluster.run(60_000);
    assert_eq!(deaths(&cluster), 0);
}

#[test]
fn seeds_are_exchanged_one_after_the_other() {
    let mut cluster = Cluster::new(9, 12, Settings::default());
    cluster.run(5_000);
    for old in 0..3 {
        cluster.kill(old);
        let node = cluster.add();
        cluster.run(3_000);
        // Only those that start from now on are told of it.
        cluster.seeds[old] = address(node);
    }
    let node = cluster.add();
    cluster.settle(8_000).expect("agreed after the exchange");
    assert_eq!(cluster.nodes[node].view.live_members().count(), 13);
    // All those that were told of the first seeds only still know each other, though none of these is left.
    cluster.run(90_000);
    assert!(cluster.agree());
}

#[test]
fn seeds_that_are_down_do_not_keep_a_newcomer_out() {
    let mut cluster = Cluster::new(10, 9, Settings::default());
    cluster.run(5_000);
    cluster.kill(0);
    cluster.kill(1);
    cluster.run(8_000);
    let node = cluster.add();
    cluster.run(1_500);
    assert_eq!(cluster.nodes[node].view.live_members().count(), 8);
    // With no seed up it waits, and is there when one is back, or when told by others of a member.
    cluster.kill(2);
    cluster.run(8_000);
    let late = cluster.add();
    cluster.run(20_000);
    assert_eq!(cluster.nodes[late].view.live_members().count(), 1);
    cluster.start(1);
    cluster.settle(5_000).expect("found through the seed that came back");
    cluster.kill(1);
    let other = cluster.add();
    cluster.run(10_000);
    assert_eq!(cluster.nodes[other].view.live_members().count(), 1);
    cluster.nodes[other].membership.as_mut().expect("runs").add_contacts([address(5)]);
    cluster.settle(8_000).expect("found through the one that was told");
}

#[test]
fn wrong_seeds_can_be_set_right() {
    let mut cluster = Cluster::new(12, 5, Settings::default());
    cluster.run(5_000);
    cluster.seeds = vec![address(900), address(901)];
    let node = cluster.add();
    cluster.run(5_000);
    assert_eq!(cluster.nodes[node].view.live_members().count(), 1);
    cluster.nodes[node].membership.as_mut().expect("runs").set_seeds(vec![address(900), address(3)]);
    cluster.settle(8_000).expect("found");
}

#[test]
fn two_halves_find_each_other_again() {
    for (size, span, most) in
        [(6, 3_000, 8_000), (12, 10_000, 10_000), (40, 20_000, 20_000), (40, 300_000, 20_000)]
    {
        let mut cluster = Cluster::new(size as u64 + span, size, Settings::default());
        cluster.run(10_000);
        let (one, other): (Vec<usize>, Vec<usize>) = (0..size).partition(|node| node % 2 == 0);
        cluster.cut(&one, &other);
        cluster.run(span);
        if span >= 20_000 {
            assert!(cluster.running().all(|node| node.view.live_members().count() == size / 2));
        }
        cluster.cuts.clear();
        let took = cluster.settle(most).unwrap_or_else(|| panic!("{size} cut for {span}: not one again"));
        println!("{size} in halves for {span} ms: one again after {took} ms");
        cluster.check_views();
    }
}

#[test]
fn a_heal_kills_nobody_that_is_sound() {
    // A single member that was cut off believes that all others are dead. Its word isn't taken for theirs.
    let mut cluster = Cluster::new(17, 30, Settings::default());
    cluster.run(10_000);
    let others: Vec<usize> = (0..30).filter(|node| *node != 4).collect();
    cluster.cut(&[4], &others);
    cluster.run(40_000);
    let healed = cluster.now;
    cluster.cuts.clear();
    cluster.settle(15_000).expect("one again");
    let late = |event: &&(u64, Event)| {
        event.0 > healed && matches!(&event.1, Event::Died(name) if *name != cluster::name(4))
    };
    let wrong: usize =
        others.iter().map(|node| cluster.nodes[*node].journal.iter().filter(late).count()).sum();
    assert_eq!(wrong, 0, "a sound member is dead after the heal");
}

#[test]
fn all_ways_are_cut_and_healed() {
    for span in [10_000, 120_000] {
        let mut cluster = Cluster::new(span, 15, Settings::default());
        cluster.run(10_000);
        let all: Vec<usize> = (0..15).collect();
        cluster.cut(&all, &all);
        cluster.run(span);
        cluster.cuts.clear();
        let took = cluster.settle(20_000).unwrap_or_else(|| panic!("cut for {span}: not one again"));
        println!("all ways cut for {span} ms: one again after {took} ms");
    }
}

#[test]
fn halves_without_common_seeds_find_each_other() {
    // All seeds are in one half, and are gone for good when the cut heals.
    let mut cluster = Cluster::new(31, 16, Settings::default());
    cluster.run(10_000);
    let (one, other): (Vec<usize>, Vec<usize>) = (0..16).partition(|node| *node < 8);
    cluster.cut(&one, &other);
    cluster.run(100_000);
    (0..3).for_each(|node| cluster.kill(node));
    cluster.run(10_000);
    cluster.cuts.clear();
    let took = cluster.settle(20_000).expect("one again, by the addresses of the lost");
    println!("halves without seeds: one again after {took} ms");
}

#[test]
fn a_namesake_is_settled() {
    // Two processes of one name, as when an old machine comes back: the view has one of them, and nothing runs wild.
    let mut cluster = Cluster::new(2, 6, Settings::default());
    cluster.run(5_000);
    let twin = cluster.add();
    cluster.nodes[twin].peer.name = name(4);
    cluster.start(twin);
    cluster.run(20_000);
    for node in [0, 1, 2, 3, 5] {
        let known: Vec<MemberState> = cluster.nodes[node]
            .view
            .live_members()
            .filter(|(peer, _)| peer.name == name(4))
            .map(|(_, health)| health)
            .collect();
        assert!(known.len() <= 1);
    }
    cluster.kill(4);
    cluster.settle(10_000).expect("agreed when one is gone");
    let sent = cluster.nodes[0].sent;
    cluster.run(10_000);
    assert!(cluster.nodes[0].sent - sent < 20_000);
}
