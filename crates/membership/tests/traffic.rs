//! The traffic of one member must not grow with the size of the fleet.

mod cluster;

use cluster::{Cluster, millis};
use mosshead_membership::Settings;
use mosshead_time::Duration;

const STEADY_PERIOD: Duration = millis(30_000);
/// Includes the IPv4 and UDP headers.
const MAX_BYTES_PER_SECOND: u64 = 1_200;

/// The number of bytes that a member has sent and received so far.
struct Traffic {
    sent: u64,
    received: u64,
}

/// The traffic of each member.
fn traffic(cluster: &Cluster) -> Vec<Traffic> {
    cluster
        .processes
        .iter()
        .map(|process| Traffic { sent: process.sent_bytes, received: process.received_bytes })
        .collect()
}

/// The number of bytes sent by all members except the first.
fn sent_by_all_but_first(cluster: &Cluster) -> u64 {
    cluster.processes.iter().skip(1).map(|process| process.sent_bytes).sum()
}

#[test]
fn traffic_per_member_does_not_grow_with_the_fleet() {
    let mut rates = Vec::new();
    for size in [10, 100, 1_000] {
        let mut cluster = Cluster::new(size as u64, size, Settings::default());
        cluster.run(millis(300));
        let start = cluster.run_until_agreed(millis(60_000)).expect("agreed after the start");
        let at_start: u64 = traffic(&cluster).iter().map(|member| member.sent).sum::<u64>() / size as u64;
        // Gossip from the start is retransmitted for some time after all members have it.
        cluster.run(millis(15_000));
        let before = traffic(&cluster);
        cluster.run(STEADY_PERIOD);
        let after = traffic(&cluster);
        let rate = |now: u64, then: u64| (now - then) / STEADY_PERIOD.as_secs();
        let sent: Vec<u64> =
            after.iter().zip(&before).map(|(after, before)| rate(after.sent, before.sent)).collect();
        let received = after.iter().zip(&before).map(|(after, before)| rate(after.received, before.received));
        let max_sent = sent.iter().copied().max().expect("the cluster has members");
        let max_received = received.max().expect("the cluster has members");
        let mean = sent.iter().sum::<u64>() / size as u64;
        println!(
            "{size}: start {:?}, {at_start} bytes each; calm bytes/s mean {mean}, most sent {max_sent}, most received \
             {max_received}",
            start + millis(300)
        );
        assert!(
            max_sent < MAX_BYTES_PER_SECOND && max_received < MAX_BYTES_PER_SECOND,
            "{size}: {max_sent} sent, {max_received} received"
        );
        rates.push(mean);
    }
    let slopes: Vec<f64> = rates.windows(2).map(|pair| pair[1] as f64 / pair[0] as f64).collect();
    println!("each ten times the size costs {slopes:.3?} times as much");
    assert!(slopes.iter().all(|slope| *slope < 1.1));
}

#[test]
fn a_crash_causes_little_traffic_per_member() {
    for size in [10, 100] {
        let mut cluster = Cluster::new(size as u64, size, Settings::default());
        cluster.run(millis(90_000));
        let before = sent_by_all_but_first(&cluster);
        cluster.run(millis(30_000));
        let without_crash = sent_by_all_but_first(&cluster) - before;
        cluster.kill(0);
        let before = sent_by_all_but_first(&cluster);
        cluster.run(millis(30_000));
        let with_crash = sent_by_all_but_first(&cluster) - before;
        let extra = with_crash.saturating_sub(without_crash) / (size as u64 - 1);
        println!("{size}: a crash costs {extra} bytes each");
        assert!(extra < 12_000);
    }
}
