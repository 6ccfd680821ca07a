//! Datagram loss, cut links, suspended processes, crashes, restarts, replaced seeds and partitions.

mod cluster;

use cluster::{Cluster, address, millis, name};
use mosshead_membership::{Event, MemberState, Settings};
use mosshead_time::Instant;

fn deaths(cluster: &Cluster) -> usize {
    let is_death = |event: &&(Instant, Event)| matches!(event.1, Event::Died(_));
    cluster.running().map(|process| process.events.iter().filter(is_death).count()).sum()
}

#[test]
fn datagram_loss_declares_no_member_dead() {
    for (size, loss) in [(3, 50), (9, 100), (40, 100), (40, 200)] {
        let mut cluster = Cluster::new(size as u64, size, Settings::default());
        cluster.loss_per_mille = loss;
        cluster.run(millis(120_000));
        println!("{size} with {loss} of 1,000 lost: {} deaths", deaths(&cluster));
        assert_eq!(deaths(&cluster), 0);
        let is_complete = |process: &cluster::Process| process.view.live_members().count() == size;
        assert!(cluster.running().all(is_complete));
    }
}

#[test]
fn a_cut_link_makes_no_member_suspect() {
    for seed in 0..5 {
        let mut cluster = Cluster::new(seed, 9, Settings::default());
        cluster.run(millis(5_000));
        cluster.cut(&[2], &[7]);
        cluster.run(millis(120_000));
        assert_eq!(
            cluster.processes_with_event(&Event::Suspected(name(2)))
                + cluster.processes_with_event(&Event::Suspected(name(7))),
            0
        );
        assert!(cluster.is_agreed());
    }
}

#[test]
fn a_member_cut_off_in_one_direction_is_declared_dead_and_comes_back() {
    for is_receiving_cut in [false, true] {
        let mut cluster = Cluster::new(11, 12, Settings::default());
        cluster.run(millis(5_000));
        for process in 0..12 {
            cluster.cut_links.insert(if is_receiving_cut { (process, 5) } else { (5, process) });
        }
        cluster.run(millis(8_000));
        assert_eq!(cluster.views_with_member(5), 0, "receiving cut: {is_receiving_cut}");
        // The updates of the member that is cut off cause no other member to be declared dead.
        for process in (0..12).filter(|process| *process != 5) {
            assert!(
                cluster.views_with_member(process) >= 10,
                "{process} is missed, receiving cut: {is_receiving_cut}"
            );
        }
        cluster.run(millis(10_000));
        cluster.cut_links.clear();
        let took = cluster
            .run_until_agreed(millis(10_000))
            .unwrap_or_else(|| panic!("not back, receiving cut: {is_receiving_cut}"));
        println!("cut off in one direction (receiving cut: {is_receiving_cut}): back after {took:?}");
        cluster.assert_views_match_members();
    }
}

#[test]
fn a_suspended_member_is_declared_dead_and_comes_back_without_killing_others() {
    for (span, max) in [(1_000, 3_000), (5_000, 5_000), (20_000, 5_000), (90_000, 5_000)] {
        let mut cluster = Cluster::new(span, 20, Settings::default());
        cluster.run(millis(10_000));
        cluster.suspend(7);
        cluster.run(millis(span));
        if span >= 5_000 {
            assert_eq!(cluster.views_with_member(7), 0);
        }
        cluster.resume(7);
        let took =
            cluster.run_until_agreed(millis(max)).unwrap_or_else(|| panic!("suspended for {span}: not back"));
        println!("suspended for {span} ms: back after {took:?}");
        for process in (0..20).filter(|process| *process != 7) {
            assert_eq!(cluster.processes_with_event(&Event::Died(name(process))), 0);
        }
    }
}

#[test]
fn outdated_gossip_of_a_resumed_member_does_not_revive_the_dead_for_long() {
    for span in [30_000, 90_000] {
        let mut cluster = Cluster::new(3, 12, Settings::default());
        cluster.run(millis(10_000));
        cluster.suspend(7);
        cluster.run(millis(1_000));
        (8..11).for_each(|process| cluster.kill(process));
        cluster.run(millis(span));
        cluster.resume(7);
        let took = cluster
            .run_until_agreed(millis(15_000))
            .unwrap_or_else(|| panic!("after {span}: dead members are still listed"));
        println!("suspended for {span} ms with three deaths: agreed after {took:?}");
        cluster.run(millis(30_000));
        assert!(cluster.is_agreed());
    }
}

#[test]
fn slow_members_declare_nobody_dead() {
    // Half of the members repeatedly run only for short times.
    let mut cluster = Cluster::new(21, 10, Settings::default());
    cluster.run(millis(5_000));
    for _ in 0..100 {
        (0..5).for_each(|process| cluster.suspend(process));
        cluster.run(millis(500));
        (0..5).for_each(|process| cluster.resume(process));
        cluster.run(millis(50));
    }
    assert_eq!(deaths(&cluster), 0);
    assert!(cluster.run_until_agreed(millis(5_000)).is_some());
}

#[test]
fn a_rolling_restart_keeps_all_members_known() {
    for (size, gap) in [(9, 1_500), (20, 700)] {
        let mut cluster = Cluster::new(size as u64, size, Settings::default());
        cluster.run(millis(5_000));
        for process in 0..size {
            cluster.leave(process, millis(500));
            cluster.run(millis(300));
            cluster.start(process);
            cluster.run(millis(gap));
            assert!(cluster.running().all(|other| other.view.live_members().count() + 3 >= size));
        }
        let took = cluster.run_until_agreed(millis(5_000)).expect("all agree after the last");
        println!("{size} restarted in turn: agreed after {took:?}");
        assert_eq!(deaths(&cluster), 0);
    }
}

#[test]
fn a_fleet_that_crashed_as_a_whole_forms_again() {
    let mut cluster = Cluster::new(5, 30, Settings::default());
    cluster.run(millis(10_000));
    for spread in [100, 1_000] {
        (0..30).for_each(|process| cluster.kill(process));
        let at = cluster.now;
        for process in 0..30 {
            cluster.start(process);
            let late = cluster.draw(spread);
            cluster.wake_at(process, at + millis(late));
        }
        cluster.run(millis(spread));
        let took = cluster.run_until_agreed(millis(5_000)).expect("all agree");
        println!("30 killed at once, back within {spread} ms: agreed {took:?} later");
    }
}

#[test]
fn randomly_cut_links_declare_nobody_dead() {
    let mut cluster = Cluster::new(8, 20, Settings::default());
    cluster.run(millis(10_000));
    for _ in 0..40 {
        let link = (cluster.draw(20) as usize, cluster.draw(20) as usize);
        cluster.cut_links.insert(link);
    }
    cluster.run(millis(60_000));
    assert_eq!(deaths(&cluster), 0);
}

#[test]
fn seeds_can_be_replaced_one_after_the_other() {
    let mut cluster = Cluster::new(9, 12, Settings::default());
    cluster.run(millis(5_000));
    for old in 0..3 {
        cluster.kill(old);
        let process = cluster.add();
        cluster.run(millis(3_000));
        // Only processes that start later get the new seed.
        cluster.seeds[old] = address(process);
    }
    let process = cluster.add();
    cluster.run_until_agreed(millis(8_000)).expect("agreed after the replacement");
    assert_eq!(cluster.processes[process].view.live_members().count(), 13);
    // Members that were started with only the first seeds still know each other, although these seeds are gone.
    cluster.run(millis(90_000));
    assert!(cluster.is_agreed());
}

#[test]
fn seeds_that_are_down_do_not_keep_a_new_member_out() {
    let mut cluster = Cluster::new(10, 9, Settings::default());
    cluster.run(millis(5_000));
    cluster.kill(0);
    cluster.kill(1);
    cluster.run(millis(8_000));
    let process = cluster.add();
    cluster.run(millis(1_500));
    assert_eq!(cluster.processes[process].view.live_members().count(), 8);
    // If all seeds are down, a new member joins only when a seed is back, or when its host adds a contact.
    cluster.kill(2);
    cluster.run(millis(8_000));
    let late = cluster.add();
    cluster.run(millis(20_000));
    assert_eq!(cluster.processes[late].view.live_members().count(), 1);
    cluster.start(1);
    cluster.run_until_agreed(millis(5_000)).expect("found through the seed that came back");
    cluster.kill(1);
    let other = cluster.add();
    cluster.run(millis(10_000));
    assert_eq!(cluster.processes[other].view.live_members().count(), 1);
    cluster.membership_mut(other).add_contacts([address(5)]);
    cluster.run_until_agreed(millis(8_000)).expect("found through the contact that was added");
}

#[test]
fn wrong_seeds_can_be_corrected() {
    let mut cluster = Cluster::new(12, 5, Settings::default());
    cluster.run(millis(5_000));
    cluster.seeds = vec![address(900), address(901)];
    let process = cluster.add();
    cluster.run(millis(5_000));
    assert_eq!(cluster.processes[process].view.live_members().count(), 1);
    cluster.membership_mut(process).set_seeds(vec![address(900), address(3)]);
    cluster.run_until_agreed(millis(8_000)).expect("found");
}

#[test]
fn the_sides_of_a_partition_merge_when_it_heals() {
    for (size, span, max) in
        [(6, 3_000, 8_000), (12, 10_000, 10_000), (40, 20_000, 20_000), (40, 300_000, 20_000)]
    {
        let mut cluster = Cluster::new(size as u64 + span, size, Settings::default());
        cluster.run(millis(10_000));
        let (one, other): (Vec<usize>, Vec<usize>) = (0..size).partition(|process| process % 2 == 0);
        cluster.cut(&one, &other);
        cluster.run(millis(span));
        if span >= 20_000 {
            assert!(cluster.running().all(|process| process.view.live_members().count() == size / 2));
        }
        cluster.cut_links.clear();
        let took = cluster
            .run_until_agreed(millis(max))
            .unwrap_or_else(|| panic!("{size} cut for {span}: not merged"));
        println!("{size} in halves for {span} ms: merged after {took:?}");
        cluster.assert_views_match_members();
    }
}

#[test]
fn healing_a_partition_declares_no_healthy_member_dead() {
    // A single member that was cut off has declared all others dead. They refute this instead of being removed.
    let mut cluster = Cluster::new(17, 30, Settings::default());
    cluster.run(millis(10_000));
    let others: Vec<usize> = (0..30).filter(|process| *process != 4).collect();
    cluster.cut(&[4], &others);
    cluster.run(millis(40_000));
    let healed = cluster.now;
    cluster.cut_links.clear();
    cluster.run_until_agreed(millis(15_000)).expect("merged");
    let is_late_death = |event: &&(Instant, Event)| {
        event.0 > healed && matches!(&event.1, Event::Died(name) if *name != cluster::name(4))
    };
    let wrong_deaths: usize = others
        .iter()
        .map(|process| cluster.processes[*process].events.iter().filter(is_late_death).count())
        .sum();
    assert_eq!(wrong_deaths, 0, "a healthy member is declared dead after the heal");
}

#[test]
fn a_fleet_whose_links_were_all_cut_forms_again() {
    for span in [10_000, 120_000] {
        let mut cluster = Cluster::new(span, 15, Settings::default());
        cluster.run(millis(10_000));
        let all: Vec<usize> = (0..15).collect();
        cluster.cut(&all, &all);
        cluster.run(millis(span));
        cluster.cut_links.clear();
        let took =
            cluster.run_until_agreed(millis(20_000)).unwrap_or_else(|| panic!("cut for {span}: not merged"));
        println!("all links cut for {span} ms: merged after {took:?}");
    }
}

#[test]
fn the_sides_of_a_partition_merge_without_common_seeds() {
    // All seeds are in one half, and are permanently down when the partition heals.
    let mut cluster = Cluster::new(31, 16, Settings::default());
    cluster.run(millis(10_000));
    let (one, other): (Vec<usize>, Vec<usize>) = (0..16).partition(|process| *process < 8);
    cluster.cut(&one, &other);
    cluster.run(millis(100_000));
    (0..3).for_each(|process| cluster.kill(process));
    cluster.run(millis(10_000));
    cluster.cut_links.clear();
    let took = cluster.run_until_agreed(millis(20_000)).expect("merged, by the addresses of lost members");
    println!("halves without seeds: merged after {took:?}");
}

#[test]
fn two_processes_of_one_name_are_resolved_to_one() {
    // Two processes have the same name, for example because an old machine comes back. Each view contains only one of
    // them, and the traffic stays bounded.
    let mut cluster = Cluster::new(2, 6, Settings::default());
    cluster.run(millis(5_000));
    let duplicate = cluster.add();
    cluster.processes[duplicate].peer.name = name(4);
    cluster.start(duplicate);
    cluster.run(millis(20_000));
    for process in [0, 1, 2, 3, 5] {
        let known: Vec<MemberState> = cluster.processes[process]
            .view
            .live_members()
            .filter(|(peer, _)| peer.name == name(4))
            .map(|(_, state)| state)
            .collect();
        assert!(known.len() <= 1);
    }
    cluster.kill(4);
    cluster.run_until_agreed(millis(10_000)).expect("agreed when one is gone");
    let sent = cluster.processes[0].sent_bytes;
    cluster.run(millis(10_000));
    assert!(cluster.processes[0].sent_bytes - sent < 20_000);
}
