//! What one member sends and receives must not grow with the fleet.

mod cluster;

use cluster::{Cluster, millis};
use mosshead_membership::Settings;
use mosshead_time::Duration;

const CALM_PERIOD: Duration = millis(30_000);
/// With the headers of IPv4 and UDP.
const MAX_BYTES_PER_SECOND: u64 = 1_200;

#[test]
fn traffic_per_member_does_not_grow_with_the_fleet() {
    let mut rates = Vec::new();
    for size in [10, 100, 1_000] {
        let mut cluster = Cluster::new(size as u64, size, Settings::default());
        cluster.run(millis(300));
        let start = cluster.settle(millis(60_000)).expect("agreed after the start");
        let before: Vec<(u64, u64)> =
            cluster.processes.iter().map(|process| (process.sent_bytes, process.received_bytes)).collect();
        let begin: u64 = before.iter().map(|(sent, _)| sent).sum::<u64>() / size as u64;
        // Gossip of the start is sent for some time after all have it.
        cluster.run(millis(15_000));
        let before: Vec<(u64, u64)> =
            cluster.processes.iter().map(|process| (process.sent_bytes, process.received_bytes)).collect();
        cluster.run(CALM_PERIOD);
        let rate = |now: u64, then: u64| (now - then) / CALM_PERIOD.as_secs();
        let each = || cluster.processes.iter().zip(&before);
        let out = each().map(|(process, (sent, _))| rate(process.sent_bytes, *sent)).max().expect("some");
        let back = each()
            .map(|(process, (_, received))| rate(process.received_bytes, *received))
            .max()
            .expect("some");
        let mean =
            each().map(|(process, (sent, _))| rate(process.sent_bytes, *sent)).sum::<u64>() / size as u64;
        println!(
            "{size}: start {:?}, {begin} bytes each; calm bytes/s mean {mean}, most out {out}, most in {back}",
            start + millis(300)
        );
        assert!(out < MAX_BYTES_PER_SECOND && back < MAX_BYTES_PER_SECOND, "{size}: {out} out, {back} in");
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
        let before: u64 = cluster.processes.iter().skip(1).map(|process| process.sent_bytes).sum();
        cluster.run(millis(30_000));
        let calm: u64 =
            cluster.processes.iter().skip(1).map(|process| process.sent_bytes).sum::<u64>() - before;
        cluster.kill(0);
        let before: u64 = cluster.processes.iter().skip(1).map(|process| process.sent_bytes).sum();
        cluster.run(millis(30_000));
        let busy: u64 =
            cluster.processes.iter().skip(1).map(|process| process.sent_bytes).sum::<u64>() - before;
        let more = busy.saturating_sub(calm) / (size as u64 - 1);
        println!("{size}: a crash costs {more} bytes each");
        assert!(more < 12_000);
    }
}
