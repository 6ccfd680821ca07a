//! What one member sends and receives must not grow with the fleet.

mod cluster;

use cluster::Cluster;
use mosshead_membership::Settings;

const CALM_MS: u64 = 30_000;
/// With the headers of IPv4 and UDP.
const MOST: u64 = 1_200;

#[test]
fn a_calm_fleet_costs_each_member_the_same_at_any_size() {
    let mut rates = Vec::new();
    for size in [10, 100, 1_000] {
        let mut cluster = Cluster::new(size as u64, size, Settings::default());
        cluster.run(300);
        let start = cluster.settle(60_000).expect("agree after the start");
        let before: Vec<(u64, u64)> = cluster.nodes.iter().map(|node| (node.sent, node.received)).collect();
        let begin: u64 = before.iter().map(|(sent, _)| sent).sum::<u64>() / size as u64;
        // News of the start is sent for some time after all have it.
        cluster.run(15_000);
        let before: Vec<(u64, u64)> = cluster.nodes.iter().map(|node| (node.sent, node.received)).collect();
        cluster.run(CALM_MS);
        let rate = |now: u64, then: u64| (now - then) * 1_000 / CALM_MS;
        let each = || cluster.nodes.iter().zip(&before);
        let out = each().map(|(node, (sent, _))| rate(node.sent, *sent)).max().expect("some");
        let back = each().map(|(node, (_, received))| rate(node.received, *received)).max().expect("some");
        let mean = each().map(|(node, (sent, _))| rate(node.sent, *sent)).sum::<u64>() / size as u64;
        println!(
            "{size}: start {} ms, {begin} bytes each; calm bytes/s mean {mean}, most out {out}, most in {back}",
            start + 300
        );
        assert!(out < MOST && back < MOST, "{size}: {out} out, {back} in");
        rates.push(mean);
    }
    let slopes: Vec<f64> = rates.windows(2).map(|pair| pair[1] as f64 / pair[0] as f64).collect();
    println!("each ten times the size costs {slopes:.3?} times as much");
    assert!(slopes.iter().all(|slope| *slope < 1.1));
}

#[test]
fn the_death_of_one_costs_each_member_little() {
    for size in [10, 100] {
        let mut cluster = Cluster::new(size as u64, size, Settings::default());
        cluster.run(90_000);
        let before: u64 = cluster.nodes.iter().skip(1).map(|node| node.sent).sum();
        cluster.run(30_000);
        let calm: u64 = cluster.nodes.iter().skip(1).map(|node| node.sent).sum::<u64>() - before;
        cluster.kill(0);
        let before: u64 = cluster.nodes.iter().skip(1).map(|node| node.sent).sum();
        cluster.run(30_000);
        let busy: u64 = cluster.nodes.iter().skip(1).map(|node| node.sent).sum::<u64>() - before;
        let more = busy.saturating_sub(calm) / (size as u64 - 1);
        println!("{size}: a death costs {more} bytes each");
        assert!(more < 12_000);
    }
}
