//! Random sequences of faults. Afterwards, all running members soon agree on the live members. Faults of some members
//! cause no other healthy member to be declared dead.

mod cluster;

use cluster::{Cluster, millis};
use mosshead_membership::Settings;
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// A step of a random run. Process numbers are taken modulo the size of the cluster; times are in milliseconds.
#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    Start(usize),
    Leave(usize),
    Suspend(usize),
    Resume(usize),
    Cut(usize, usize),
    CutOneWay(usize, usize),
    /// Cuts all links between processes whose numbers differ in this bit (modulo 3).
    Partition(usize),
    Heal,
    /// The number of lost datagrams out of 1,000.
    Loss(u64),
    Add,
    Wait(u64),
}

impl Arbitrary for Fault {
    fn arbitrary(g: &mut Gen) -> Fault {
        let (one, other) = (usize::arbitrary(g) % 16, usize::arbitrary(g) % 16);
        match u8::arbitrary(g) % 16 {
            0 => Fault::Kill(one),
            1 | 2 => Fault::Start(one),
            3 => Fault::Leave(one),
            4 => Fault::Suspend(one),
            5 => Fault::Resume(one),
            6 => Fault::Cut(one, other),
            7 => Fault::CutOneWay(one, other),
            8 => Fault::Partition(one),
            9 => Fault::Heal,
            10 => Fault::Loss(u64::arbitrary(g) % 300),
            11 => Fault::Add,
            _ => Fault::Wait(u64::arbitrary(g) % 8_000),
        }
    }
}

fn apply(cluster: &mut Cluster, fault: &Fault) {
    let size = cluster.processes.len();
    match *fault {
        Fault::Kill(process) => cluster.kill(process % size),
        Fault::Start(process) => cluster.start(process % size),
        Fault::Leave(process) if cluster.processes[process % size].membership.is_some() => {
            cluster.leave(process % size, millis(300));
        }
        Fault::Leave(_) => {}
        Fault::Suspend(process) => cluster.suspend(process % size),
        Fault::Resume(process) => cluster.resume(process % size),
        Fault::Cut(one, other) => cluster.cut(&[one % size], &[other % size]),
        Fault::CutOneWay(one, other) => {
            cluster.cut_links.insert((one % size, other % size));
        }
        Fault::Partition(by) => {
            let (one, other): (Vec<usize>, Vec<usize>) =
                (0..size).partition(|process| (process >> (by % 3)) & 1 == 0);
            cluster.cut(&one, &other);
        }
        Fault::Heal => cluster.cut_links.clear(),
        Fault::Loss(loss) => cluster.loss_per_mille = loss,
        Fault::Add if size < 16 => {
            cluster.add();
        }
        Fault::Add => {}
        Fault::Wait(span_ms) => cluster.run(millis(span_ms)),
    }
}

fn end_faults(cluster: &mut Cluster) {
    cluster.cut_links.clear();
    cluster.loss_per_mille = 0;
    for process in 0..cluster.processes.len() {
        if cluster.processes[process].is_suspended {
            cluster.resume(process);
        }
    }
    // A deployment restarts its seeds.
    for process in 0..3 {
        if cluster.processes[process].membership.is_none() {
            cluster.start(process);
        }
    }
}

fn all_agree_after_faults(seed: u64, faults: Vec<Fault>) -> bool {
    let mut cluster = Cluster::new(seed, 9, Settings::default());
    cluster.run(millis(3_000));
    faults.iter().for_each(|fault| apply(&mut cluster, fault));
    end_faults(&mut cluster);
    let agreed = cluster.run_until_agreed(millis(20_000)).is_some();
    cluster.assert_views_match_members();
    // The agreement must be stable.
    cluster.run(millis(30_000));
    agreed && cluster.is_agreed()
}

#[test]
fn all_members_agree_after_any_faults() {
    QuickCheck::new().rng(Gen::new(60)).quickcheck(all_agree_after_faults as fn(u64, Vec<Fault>) -> bool);
}

/// Applies faults only to the first half of the members: cut links, crashes, suspensions, restarts.
fn healthy_members_stay_live(seed: u64, faults: Vec<Fault>) -> bool {
    let mut cluster = Cluster::new(seed, 12, Settings::default());
    cluster.run(millis(4_000));
    let mut missing = 0;
    for fault in &faults {
        match *fault {
            Fault::Kill(process) => cluster.kill(process % 6),
            Fault::Start(process) => cluster.start(process % 6),
            Fault::Suspend(process) => cluster.suspend(process % 6),
            Fault::Resume(process) => cluster.resume(process % 6),
            Fault::Cut(one, other) => cluster.cut(&[one % 6], &[other % 12]),
            Fault::CutOneWay(one, other) => {
                cluster.cut_links.insert((one % 6, other % 12));
                cluster.cut_links.insert((other % 12, (one + 1) % 6));
            }
            Fault::Heal => cluster.cut_links.clear(),
            Fault::Wait(span_ms) => cluster.run(millis(span_ms)),
            _ => cluster.run(millis(100)),
        }
        // The second half is healthy: their views must contain each other as live.
        let healthy = 6..12;
        for process in healthy.clone() {
            let peer = &cluster.processes[process].peer;
            let is_known_to =
                |other: usize| cluster.processes[other].view.live_members().any(|(known, _)| known == peer);
            missing += healthy.clone().filter(|other| !is_known_to(*other)).count();
        }
    }
    missing == 0
}

#[test]
fn healthy_members_never_declare_each_other_dead() {
    QuickCheck::new().rng(Gen::new(60)).quickcheck(healthy_members_stay_live as fn(u64, Vec<Fault>) -> bool);
}

/// In a fleet without other faults, all members agree on the crashed members in bounded time.
fn crashes_are_detected(seed: u64, size: usize, dead: usize) -> bool {
    let size = size % 20 + 2;
    let dead = dead % (size / 2) + 1;
    let mut cluster = Cluster::new(seed, size, Settings::default());
    cluster.run(millis(6_000));
    let agreed = cluster.is_agreed();
    (0..dead).for_each(|process| cluster.kill(process * 2 % size));
    // Each member is probed within two rounds, and then has time to refute.
    let max = millis(1_000 + 800 * size as u64) + Settings::default().suspicion_timeout(size) + millis(1_000);
    agreed && cluster.run_until_agreed(max).is_some()
}

#[test]
fn every_crash_is_detected_in_bounded_time() {
    QuickCheck::new().quickcheck(crashes_are_detected as fn(u64, usize, usize) -> bool);
}

/// If up to a tenth of all datagrams are lost, no running member is missing from a view for long.
fn loss_is_tolerated(seed: u64, size: usize, loss: u64) -> bool {
    let size = size % 20 + 2;
    let mut cluster = Cluster::new(seed, size, Settings::default());
    cluster.loss_per_mille = loss % 100;
    cluster.run(millis(10_000));
    (0..30).all(|_| {
        cluster.run(millis(1_000));
        let is_complete =
            |cluster: &Cluster| cluster.running().all(|process| process.view.live_members().count() == size);
        if !is_complete(&cluster) {
            cluster.run(millis(3_000));
        }
        is_complete(&cluster)
    })
}

#[test]
fn loss_keeps_no_member_out_for_long() {
    QuickCheck::new().quickcheck(loss_is_tolerated as fn(u64, usize, u64) -> bool);
}
